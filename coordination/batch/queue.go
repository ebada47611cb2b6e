package batch

import (
	"cmp"
	"slices"
	"time"

	"github.com/hibiscuslever/hibiscuslever/state/id"
)

// waiting is a request in a queue.
type waiting struct {
	Request
	// since is when the request began to wait.
	since time.Time
	// read is the time that one engine takes to read the prompt.
	read time.Duration
	// latest is the latest start with which the first event is on time, on all engines.
	latest time.Time
	// order is what requests of one rank are sorted by.
	order time.Time
	// last is when it is too late to read the prompt before the client leaves.
	last time.Time
	// gone says that the request waits no longer.
	gone bool
}

// queue holds the requests that wait, in two parts: those that can still be on time, and the others. Both are sorted:
// interrupted work first, then by rank, then by the latest start, with prompts that take longer to read somewhat later.
// What an organisation has waiting already puts its further requests back, so that one that floods harms itself.
type queue struct {
	fresh []*waiting
	late  []*waiting
	// work is the reading time of all that wait, of the same by organisation.
	work time.Duration
	of   map[id.Organisation]time.Duration
}

func compareWaiting(left, right *waiting) int {
	if (left.AttemptNumber > 1) != (right.AttemptNumber > 1) {
		return cmp.Compare(right.AttemptNumber, left.AttemptNumber)
	}
	if left.Priority != right.Priority {
		return cmp.Compare(left.Priority, right.Priority)
	}
	if order := left.order.Compare(right.order); order != 0 {
		return order
	}
	return cmp.Compare(left.ID, right.ID)
}

func insert(list []*waiting, wt *waiting) []*waiting {
	at, _ := slices.BinarySearchFunc(list, wt, compareWaiting)
	return slices.Insert(list, at, wt)
}

func remove(list []*waiting, wt *waiting) ([]*waiting, bool) {
	at, found := slices.BinarySearchFunc(list, wt, compareWaiting)
	if !found {
		return list, false
	}
	return slices.Delete(list, at, at+1), true
}

func (qu *queue) push(wt *waiting) {
	qu.fresh = insert(qu.fresh, wt)
	qu.work += wt.read
	qu.of[wt.Organisation] += wt.read
}

func (qu *queue) drop(wt *waiting) {
	found := false
	if qu.fresh, found = remove(qu.fresh, wt); !found {
		qu.late, _ = remove(qu.late, wt)
	}
	qu.work -= wt.read
	qu.of[wt.Organisation] -= wt.read
	if qu.of[wt.Organisation] <= 0 {
		delete(qu.of, wt.Organisation)
	}
}

// heads returns the requests that are next, at most count, in storage that is passed in.
func (qu *queue) heads(now time.Time, count int, found []*waiting) []*waiting {
	for ix := 0; ix < len(qu.fresh) && len(found) < count; {
		wt := qu.fresh[ix]
		if wt.AttemptNumber <= 1 && wt.latest.Before(now) {
			qu.fresh = slices.Delete(qu.fresh, ix, ix+1)
			qu.late = insert(qu.late, wt)
			continue
		}
		found = append(found, wt)
		ix++
	}
	for _, wt := range qu.late {
		if len(found) == count {
			break
		}
		found = append(found, wt)
	}
	return found
}

// newWaiting prepares a request for its queue.
func (mc *Machine) newWaiting(rq Request) *waiting {
	wt := &waiting{Request: rq, read: mc.engine.PrefillTime(rq.PromptTokens)}
	parts := mc.allParts()
	planned := mc.plannedParts()
	wt.latest = rq.ArrivedAt.Add(rq.FirstEventTarget - wt.read/planned - mc.config.StartOverhead)
	wt.last = rq.ArrivedAt.Add(rq.WaitLimit - wt.read/parts)
	backlog := time.Duration(mc.config.BacklogWeight * float64(mc.queueOf(wt).of[rq.Organisation]))
	wt.order = wt.latest.Add((time.Duration(mc.config.ReadTimeWeight)*wt.read + backlog) / planned)
	if mc.config.FirstComeFirstServed {
		wt.order = rq.ArrivedAt
	}
	return wt
}

// allParts returns the number of engines that could read one prompt together.
func (mc *Machine) allParts() time.Duration {
	return time.Duration(max(1, min(len(mc.engines), mc.config.MaxParts)))
}

// plannedParts returns the number of engines that one prompt is expected to get while others wait.
func (mc *Machine) plannedParts() time.Duration {
	return time.Duration(max(1, min(int(mc.config.PlannedEngineShare*float64(len(mc.engines))), mc.config.MaxParts)))
}

// queueOf returns the queue of a request: short prompts wait apart from long ones.
func (mc *Machine) queueOf(wt *waiting) *queue {
	if mc.isShort(wt) {
		return &mc.short
	}
	return &mc.long
}

func (mc *Machine) drop(wt *waiting) {
	delete(mc.waiting, wt.ID)
	wt.gone = true
	mc.queueOf(wt).drop(wt)
}

// withdraw ends a request that nobody waits for any more. A grant that crossed the withdrawal is ended as well.
func (mc *Machine) withdraw(now time.Time, rq id.Request) {
	if wt, ok := mc.waiting[rq]; ok {
		mc.drop(wt)
	}
	if gr, ok := mc.granted[rq]; ok {
		mc.release(now, gr)
	}
}
