package batch

import (
	"maps"
	"math/rand/v2"
	"slices"
	"time"

	"github.com/hibiscuslever/hibiscuslever/state/container"
	"github.com/hibiscuslever/hibiscuslever/state/id"
	"github.com/hibiscuslever/hibiscuslever/state/outcome"
	"github.com/hibiscuslever/hibiscuslever/state/route"
)

// Machine schedules the requests of one service. It is not safe for concurrent use.
type Machine struct {
	config          Config
	profile         route.EngineProfile
	random          *rand.Rand
	engines         []*engine
	enginesByName   map[id.Engine]*engine
	grantsByAttempt map[id.Attempt]*activeGrant
	grantsByRequest map[id.Request]*activeGrant
	waitingByID     map[id.Request]*waitingRequest
	// shortQueue holds the waiting requests with short prompts, longQueue the others.
	shortQueue queue
	longQueue  queue
	// strictestPause is the shortest MaxPause of all requests submitted or taken over so far; zero if none had one.
	strictestPause time.Duration
	// waitDeadlines orders the waiting requests by the time at which they are refused. Requests that no longer wait are
	// removed from it only when they come first.
	waitDeadlines *container.Heap[*waitingRequest]
	// nextDispatchAt is the earliest time at which a tick dispatches waiting requests. Other events dispatch them
	// immediately.
	nextDispatchAt time.Time
	// heldUntil and cautiousUntil are the times of TakeOver. rotation sets the engine at which a cautious machine begins.
	heldUntil     time.Time
	cautiousUntil time.Time
	rotation      uint64
	// candidates holds the engines that may get new work, with their load at candidatesAt.
	candidates   []candidate
	candidatesAt time.Time
	// minTasks is the least number of tasks of any candidate.
	minTasks int
	// The next three hold indexes into candidates. orderedIndexes lists the engines that a long prompt may use, in order
	// of preference; chosenIndexes lists those of the combination under evaluation, bestIndexes those of the best one so
	// far. headBuffer holds the requests that dispatchQueue tries. All four are fields so that their storage is reused.
	orderedIndexes []int
	chosenIndexes  []int
	bestIndexes    []int
	headBuffer     []*waitingRequest
	lastExpiry     time.Time
	effects        []Effect
	// singleCorrection corrects the predicted first events of prompts that one engine reads, sharedCorrection those of
	// prompts that several engines read.
	singleCorrection predictionCorrection
	sharedCorrection predictionCorrection
	room             roomForecast
}

// activeGrant is a grant that has been issued or taken over and has not been released.
type activeGrant struct {
	Grant
	request   Request
	renewedAt time.Time
	started   bool
	// grantedAt is when the machine issued the grant, and modelledFirstEvent the time from then to the first event as it
	// was predicted without correction. Both are zero for a grant that was taken over.
	grantedAt          time.Time
	modelledFirstEvent time.Duration
	// needsShortPasses says that the prompt is short, or that the request has a strict pause. Long prompts avoid engines
	// that answer such requests.
	needsShortPasses bool
	// partReadTime is the time that an engine takes to read its part of the prompt.
	partReadTime time.Duration
	// firstEventAt is when the first event is predicted: when the prompt has been read, plus GrantDelay and, for a long
	// prompt, half a pass. For a grant that was taken over it is only the predicted end of reading from then on.
	firstEventAt time.Time
}

// New returns a machine without engines. The seed determines its random choices.
func New(config Config, seed uint64) *Machine {
	return &Machine{
		config:          config,
		random:          rand.New(rand.NewPCG(seed, seed)),
		rotation:        seed,
		enginesByName:   map[id.Engine]*engine{},
		grantsByAttempt: map[id.Attempt]*activeGrant{},
		grantsByRequest: map[id.Request]*activeGrant{},
		waitingByID:     map[id.Request]*waitingRequest{},
		shortQueue:      queue{readTimeByOrganisation: map[id.Organisation]time.Duration{}},
		longQueue:       queue{readTimeByOrganisation: map[id.Organisation]time.Duration{}},
		waitDeadlines:   container.NewHeap(func(left, right *waitingRequest) bool { return left.refuseAt.Before(right.refuseAt) }),
	}
}

// Step applies one event and returns its effects, which are valid until the next call.
func (mc *Machine) Step(now time.Time, ev Event) []Effect {
	mc.effects = mc.effects[:0]
	switch ev := ev.(type) {
	case SetEngineProfile:
		mc.profile = ev.Profile
	case SetEngines:
		mc.updateEngines(now, ev.Engines)
		mc.refuseEvacuated()
	case Submit:
		mc.submit(now, ev.Request)
	case Withdraw:
		mc.withdraw(now, ev.Request)
	case Review:
		mc.review(now, ev)
	case RenewGrant:
		mc.renew(now, ev)
	case AttemptStarted:
		if gr, ok := mc.grantsByAttempt[ev.Attempt]; ok && !gr.started {
			mc.observeFirstEvent(now, gr)
		}
		mc.markStarted(now, ev.Attempt)
	case FinishAttempt:
		mc.recordFault(now, ev)
		mc.finishAttempt(now, ev.Attempt)
	case TakeOver:
		mc.takeOver(ev)
	case Informed:
		mc.inform(ev)
	case Tick:
		mc.expireGrants(now)
	}
	mc.refuseExpired(now)
	if _, tick := ev.(Tick); !tick || !now.Before(mc.nextDispatchAt) {
		mc.dispatch(now)
	}
	return mc.effects
}

// ActiveGrant returns the request of an attempt that has a grant, and whether its answer has begun.
func (mc *Machine) ActiveGrant(att id.Attempt) (rq Request, started, ok bool) {
	gr, ok := mc.grantsByAttempt[att]
	if !ok {
		return Request{}, false, false
	}
	return gr.request, gr.started, true
}

// Waiting returns the number of requests that wait.
func (mc *Machine) Waiting() int { return len(mc.waitingByID) }

// Granted returns the number of grants that have not been released.
func (mc *Machine) Granted() int { return len(mc.grantsByAttempt) }

// submit queues a request unless it is refused, waits already, or already has a grant for the same attempt.
func (mc *Machine) submit(now time.Time, rq Request) {
	if wt, alreadyWaiting := mc.waitingByID[rq.ID]; alreadyWaiting {
		if wt.AttemptNumber >= rq.AttemptNumber {
			wt.BackoffUntil = rq.BackoffUntil
			return
		}
		mc.removeWaiting(wt)
	}
	if gr, alreadyGranted := mc.grantsByRequest[rq.ID]; alreadyGranted {
		if gr.Attempt == id.NewAttempt(rq.ID, rq.AttemptNumber) {
			mc.effects = append(mc.effects, Effect{Kind: Granted, Request: rq.ID, Grant: gr.Grant})
			return
		}
		mc.releaseGrant(now, gr)
	}
	mc.notePause(rq)
	wt := mc.newWaitingRequest(rq)
	wt.waitingSince = now
	if oc, admitted := mc.admit(now, wt); !admitted {
		mc.addRefusal(wt, oc)
		return
	}
	mc.waitingByID[rq.ID] = wt
	mc.queueFor(wt).push(wt)
	if mc.hasShortPrompt(wt) {
		mc.room.countArrival(now)
	}
	mc.waitDeadlines.Push(wt)
}

// notePause lowers strictestPause to the MaxPause of a request, if that is shorter.
func (mc *Machine) notePause(rq Request) {
	if rq.MaxPause > 0 && (mc.strictestPause == 0 || rq.MaxPause < mc.strictestPause) {
		mc.strictestPause = rq.MaxPause
	}
}

// hasShortPrompt reports whether one engine reads the prompt fast enough for it to count as short.
func (mc *Machine) hasShortPrompt(wt *waitingRequest) bool {
	return wt.readTime <= mc.config.ShortPromptReadTime
}

// addRefusal notifies the entry host that a request is refused.
func (mc *Machine) addRefusal(wt *waitingRequest, oc outcome.Outcome) {
	mc.effects = append(mc.effects, Effect{Kind: Refused, Request: wt.ID, Outcome: oc})
}

// renew extends the lifetime of a grant, and takes the grant over if the machine does not know it.
func (mc *Machine) renew(now time.Time, ev RenewGrant) {
	gr, found := mc.grantsByAttempt[ev.Grant.Attempt]
	if !found {
		gr = mc.adopt(now, ev)
	}
	gr.renewedAt = now
	if ev.Started {
		mc.markStarted(now, gr.Attempt)
	}
}

// adopt takes over a grant that another dispatcher issued, or the entry host itself.
func (mc *Machine) adopt(now time.Time, ev RenewGrant) *activeGrant {
	if wt, ok := mc.waitingByID[ev.Request.ID]; ok {
		mc.removeWaiting(wt)
	}
	mc.notePause(ev.Request)
	readTime := mc.profile.PrefillTime(ev.Request.PromptTokens)
	partReadTime := readTime / time.Duration(max(1, len(ev.Grant.Parts)))
	request := ev.Request
	// The grant does not say whether it is exclusive.
	request.SuspectParts, request.Exclusive = ev.Grant.SuspectParts, len(ev.Grant.SuspectParts) > 0
	gr := &activeGrant{
		Grant:            ev.Grant,
		request:          request,
		partReadTime:     partReadTime,
		firstEventAt:     now.Add(partReadTime),
		needsShortPasses: readTime <= mc.config.ShortPromptReadTime || mc.hasStrictPause(ev.Request),
	}
	mc.addGrant(gr)
	return gr
}

// addGrant adds a grant to the machine and to the tasks of its engines.
func (mc *Machine) addGrant(gr *activeGrant) {
	mc.grantsByAttempt[gr.Attempt] = gr
	mc.grantsByRequest[gr.request.ID] = gr
	for _, part := range gr.Parts {
		en, ok := mc.enginesByName[part.Engine]
		if !ok {
			continue
		}
		en.addTask(gr)
		if !gr.started && gr.firstEventAt.After(en.busyUntil) {
			en.busyUntil = gr.firstEventAt
		}
	}
}

// markStarted records that the first event of an attempt has arrived, which means that its prompt has been read. It
// also resets the fault counters of the answering engine.
func (mc *Machine) markStarted(now time.Time, att id.Attempt) {
	gr, ok := mc.grantsByAttempt[att]
	if !ok || gr.started {
		return
	}
	gr.started = true
	mc.shortenBusyTime(now, gr)
	if en, ok := mc.enginesByName[gr.Parts[0].Engine]; ok {
		en.consecutiveFaults, en.consecutiveRejections = 0, 0
	}
}

// shortenBusyTime moves the predicted end of reading of a grant's engines earlier if the grant's prompt was read, or is
// no longer to be read, before firstEventAt.
func (mc *Machine) shortenBusyTime(now time.Time, gr *activeGrant) {
	gained := gr.firstEventAt.Sub(now)
	if gained <= 0 {
		return
	}
	for _, part := range gr.Parts {
		if en, ok := mc.enginesByName[part.Engine]; ok {
			en.busyUntil = en.busyUntil.Add(-min(gained, gr.partReadTime))
		}
	}
}

func (mc *Machine) finishAttempt(now time.Time, att id.Attempt) {
	if gr, ok := mc.grantsByAttempt[att]; ok {
		mc.releaseGrant(now, gr)
	}
}

// releaseGrant removes a grant and its tasks. Reading that has not been done no longer counts as the engines' work.
func (mc *Machine) releaseGrant(now time.Time, gr *activeGrant) {
	delete(mc.grantsByAttempt, gr.Attempt)
	if gr.started && !gr.grantedAt.IsZero() {
		mc.room.countHold(now.Sub(gr.grantedAt))
	}
	if mc.grantsByRequest[gr.request.ID] == gr {
		delete(mc.grantsByRequest, gr.request.ID)
	}
	if !gr.started {
		mc.shortenBusyTime(now, gr)
	}
	for _, part := range gr.Parts {
		if en, ok := mc.enginesByName[part.Engine]; ok {
			en.tasks = slices.DeleteFunc(en.tasks, func(tk task) bool { return tk.activeGrant == gr })
		}
	}
}

// expireGrants releases grants that have not been renewed for GrantTTL.
func (mc *Machine) expireGrants(now time.Time) {
	const expiryInterval = 500 * time.Millisecond
	if now.Sub(mc.lastExpiry) < expiryInterval {
		return
	}
	mc.lastExpiry = now
	for _, att := range slices.Sorted(maps.Keys(mc.grantsByAttempt)) {
		if gr := mc.grantsByAttempt[att]; now.Sub(gr.renewedAt) > mc.config.GrantTTL {
			mc.releaseGrant(now, gr)
		}
	}
}
