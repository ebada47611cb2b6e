package batch

import (
	"cmp"
	"slices"
	"time"

	"github.com/hibiscuslever/hibiscuslever/state/id"
)

// waitingRequest is a request in a queue.
type waitingRequest struct {
	Request
	// waitingSince is when the request began to wait.
	waitingSince time.Time
	// readTime is the time that one engine takes to read the prompt by itself.
	readTime time.Duration
	// latestStart is the latest start with which the first event is on time if the planned number of engines reads the
	// prompt.
	latestStart time.Time
	// sortTime orders requests of the same priority; the earliest goes first.
	sortTime time.Time
	// refuseAt is when the request is refused if it still waits: after that its first event can't come before the client
	// stops waiting, even if as many engines as possible read the prompt.
	refuseAt time.Time
	// removed says that the request no longer waits. It may still be in waitDeadlines.
	removed bool
}

// queue holds waiting requests in two lists: those that can still be on time, and the others. Both lists are sorted:
// interrupted work first, then by priority, then by the latest start, where prompts that take longer to read move back
// somewhat. Requests of an organisation also move back by the work that it already has in the queue, so that an
// organisation that floods the service delays mostly itself.
type queue struct {
	onTime []*waitingRequest
	late   []*waitingRequest
	// totalReadTime is the sum of the reading times of all requests in the queue.
	totalReadTime time.Duration
	// readTimeByOrganisation holds the same sum for each organisation that has requests in the queue.
	readTimeByOrganisation map[id.Organisation]time.Duration
}

// compareRequests returns a negative number if left goes before right in a queue.
func compareRequests(left, right *waitingRequest) int {
	if (left.AttemptNumber > 1) != (right.AttemptNumber > 1) {
		return cmp.Compare(right.AttemptNumber, left.AttemptNumber)
	}
	if left.Priority != right.Priority {
		return cmp.Compare(left.Priority, right.Priority)
	}
	if byTime := left.sortTime.Compare(right.sortTime); byTime != 0 {
		return byTime
	}
	return cmp.Compare(left.ID, right.ID)
}

func insertSorted(list []*waitingRequest, wt *waitingRequest) []*waitingRequest {
	index, _ := slices.BinarySearchFunc(list, wt, compareRequests)
	return slices.Insert(list, index, wt)
}

func removeSorted(list []*waitingRequest, wt *waitingRequest) ([]*waitingRequest, bool) {
	index, found := slices.BinarySearchFunc(list, wt, compareRequests)
	if !found {
		return list, false
	}
	return slices.Delete(list, index, index+1), true
}

func (qu *queue) push(wt *waitingRequest) {
	qu.onTime = insertSorted(qu.onTime, wt)
	qu.totalReadTime += wt.readTime
	qu.readTimeByOrganisation[wt.Organisation] += wt.readTime
}

func (qu *queue) remove(wt *waitingRequest) {
	found := false
	if qu.onTime, found = removeSorted(qu.onTime, wt); !found {
		qu.late, _ = removeSorted(qu.late, wt)
	}
	qu.totalReadTime -= wt.readTime
	qu.readTimeByOrganisation[wt.Organisation] -= wt.readTime
	if qu.readTimeByOrganisation[wt.Organisation] <= 0 {
		delete(qu.readTimeByOrganisation, wt.Organisation)
	}
}

// appendHeads appends the first requests of the queue to heads until it has limit entries. It moves requests that can
// no longer be on time to the late list.
func (qu *queue) appendHeads(now time.Time, limit int, heads []*waitingRequest) []*waitingRequest {
	for ix := 0; ix < len(qu.onTime) && len(heads) < limit; {
		wt := qu.onTime[ix]
		if wt.AttemptNumber <= 1 && wt.latestStart.Before(now) {
			qu.onTime = slices.Delete(qu.onTime, ix, ix+1)
			qu.late = insertSorted(qu.late, wt)
			continue
		}
		heads = append(heads, wt)
		ix++
	}
	for _, wt := range qu.late {
		if len(heads) == limit {
			break
		}
		heads = append(heads, wt)
	}
	return heads
}

// newWaitingRequest computes the times by which a request is queued.
func (mc *Machine) newWaitingRequest(rq Request) *waitingRequest {
	wt := &waitingRequest{Request: rq, readTime: mc.profile.PrefillTime(rq.PromptTokens)}
	maxParts := mc.maxPartsPerPrompt()
	plannedParts := mc.plannedPartsPerPrompt()
	wt.latestStart = rq.ArrivedAt.Add(rq.FirstEventTarget - wt.readTime/plannedParts - mc.config.StartOverhead)
	wt.refuseAt = rq.ArrivedAt.Add(rq.WaitLimit - wt.readTime/maxParts - mc.startTime(rq))
	backlog := time.Duration(mc.config.BacklogWeight * float64(mc.queueFor(wt).readTimeByOrganisation[rq.Organisation]))
	wt.sortTime = wt.latestStart.Add((time.Duration(mc.config.ReadTimeWeight)*wt.readTime + backlog) / plannedParts)
	if mc.config.FirstComeFirstServed {
		wt.sortTime = rq.ArrivedAt
	}
	return wt
}

// startTime returns the time between a grant and the first event that is not spent on reading. It is zero for attempts
// after the first, whose clients may have received a part of the answer and can't be refused any more.
func (mc *Machine) startTime(rq Request) time.Duration {
	if rq.AttemptNumber > 1 {
		return 0
	}
	return mc.config.StartOverhead
}

// maxPartsPerPrompt returns the number of engines that could read one prompt together, at least 1. It counts leaving
// engines too. It is a Duration so that reading times can be divided by it.
func (mc *Machine) maxPartsPerPrompt() time.Duration {
	return time.Duration(max(1, min(len(mc.engines), mc.config.MaxParts)))
}

// plannedPartsPerPrompt returns the number of engines that one prompt is assumed to get while others wait, at least 1.
// It counts leaving engines too. It is a Duration so that reading times can be divided by it.
func (mc *Machine) plannedPartsPerPrompt() time.Duration {
	return time.Duration(max(1, min(int(mc.config.PlannedEngineShare*float64(len(mc.engines))), mc.config.MaxParts)))
}

// queueFor returns the queue of a request; short and long prompts have separate queues.
func (mc *Machine) queueFor(wt *waitingRequest) *queue {
	if mc.hasShortPrompt(wt) {
		return &mc.shortQueue
	}
	return &mc.longQueue
}

// removeWaiting removes a request from its queue. Its entry in waitDeadlines is dropped later, by refuseExpired.
func (mc *Machine) removeWaiting(wt *waitingRequest) {
	delete(mc.waitingByID, wt.ID)
	wt.removed = true
	mc.queueFor(wt).remove(wt)
}

// review withdraws requests and changes how others are to run. Requests that do not wait are ignored.
func (mc *Machine) review(now time.Time, ev Review) {
	for _, requestID := range ev.Withdrawn {
		mc.withdraw(now, requestID)
	}
	for _, reviewed := range ev.Changed {
		if wt, ok := mc.waitingByID[reviewed.Request]; ok {
			wt.RunAlone, wt.SuspectParts, wt.Exclusive = reviewed.RunAlone, reviewed.SuspectParts, reviewed.Exclusive
		}
	}
}

// withdraw removes a request that the client no longer waits for. It also releases a grant that was issued before the
// withdrawal arrived.
func (mc *Machine) withdraw(now time.Time, requestID id.Request) {
	if wt, ok := mc.waitingByID[requestID]; ok {
		mc.removeWaiting(wt)
	}
	if gr, ok := mc.grantsByRequest[requestID]; ok {
		mc.releaseGrant(now, gr)
	}
}
