package batch

import "time"

// TakeOver tells the machine that it has just begun to decide for the service, or does so beside another one, so that it
// may not know all requests that run. It grants nothing before HoldUntil or Informed, whichever comes first. Until
// CautiousUntil, or Informed with NoOtherGrants, it grants short prompts cautiously.
type TakeOver struct {
	HoldUntil     time.Time
	CautiousUntil time.Time
}

// Informed says that all running requests that other hosts can report have been reported. If NoOtherGrants is set, no other
// machine grants requests, so that this one need not be cautious any more.
type Informed struct{ NoOtherGrants bool }

func (TakeOver) event() {}
func (Informed) event() {}

// takeOver holds back grants and makes them cautious for the given times. It shortens neither time.
func (mc *Machine) takeOver(ev TakeOver) {
	if ev.HoldUntil.After(mc.heldUntil) {
		mc.heldUntil = ev.HoldUntil
	}
	if ev.CautiousUntil.After(mc.cautiousUntil) {
		mc.cautiousUntil = ev.CautiousUntil
	}
}

// inform ends the holding back of grants, and caution if no other machine grants requests.
func (mc *Machine) inform(ev Informed) {
	mc.heldUntil = time.Time{}
	if ev.NoOtherGrants {
		mc.cautiousUntil = time.Time{}
	}
}

// isCautious reports whether the engines may run requests that the machine does not know.
func (mc *Machine) isCautious(now time.Time) bool { return now.Before(mc.cautiousUntil) }

// maxCautiousReads is the number of prompts from which on an engine gets no short prompt from a cautious machine while it
// is predicted to read them.
const maxCautiousReads = 2

// proposeCautiously chooses the engine for a short prompt without packing: the one with the fewest requests that wait for
// their first event, then the one with the fewest answers. Among equal ones it begins at another engine than other
// machines do, so that machines that do not know each other's grants rarely choose the same engine. It returns false, and
// the request waits, if all engines have maxCautiousReads prompts to read, or the first event is late and its engine is
// not about to become free.
func (mc *Machine) proposeCautiously(now time.Time, wt *waitingRequest) (proposal, bool) {
	avoidFailed := mc.hasOtherCandidate(wt)
	var best *candidate
	for step := range mc.candidates {
		cd := &mc.candidates[(step+int(mc.rotation%uint64(len(mc.candidates))))%len(mc.candidates)]
		if cd.load.promptsToRead >= maxCautiousReads || !mc.mayServe(cd, wt, avoidFailed) {
			continue
		}
		if best == nil || isLessLoaded(cd.load, best.load) {
			best = cd
		}
	}
	if best == nil || best.waitTime+wt.readTime+best.passTime/2 > wt.FirstEventTarget && best.waitTime > mc.config.DispatchLead {
		return proposal{}, false
	}
	return mc.shortProposal(now, wt, best), true
}

// isLessLoaded reports whether an engine has fewer unstarted requests than another one, or as many and fewer answers.
func isLessLoaded(left, right load) bool {
	if left.unstarted != right.unstarted {
		return left.unstarted < right.unstarted
	}
	return left.slotsUsed < right.slotsUsed
}

// shortProposal returns the proposal that grants a short prompt to a candidate.
func (mc *Machine) shortProposal(now time.Time, wt *waitingRequest, cd *candidate) proposal {
	return proposal{grant: &activeGrant{
		Grant:              Grant{Parts: []Part{{Engine: cd.engine.Engine, Address: cd.engine.Address, MemoryTokens: wt.PromptTokens + wt.MaxAnswerTokens}}},
		partReadTime:       wt.readTime,
		firstEventAt:       now.Add(cd.waitTime + wt.readTime + mc.config.GrantDelay),
		modelledFirstEvent: mc.modelFirstEvent(cd.waitTime, wt.readTime, cd.passTime),
	}}
}
