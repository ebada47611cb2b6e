package dispatch

import (
	"time"

	"github.com/hibiscuslever/hibiscuslever/state/container"
	"github.com/hibiscuslever/hibiscuslever/state/id"
)

const minWeight = 0.001

// waiting is a request in the queue.
type waiting struct {
	Request
	answer id.Tokens
	// work is the time of one engine that the request takes from others.
	work        time.Duration
	since       time.Time
	latestStart time.Time
	lane        *lane
	queue       *organisationQueue
	gone        bool
	// draining says that engines are being emptied for the request.
	draining bool
	// avoiding says that the engines to avoid can be spared.
	avoiding bool
}

// modelQueue holds the requests that wait for one model. The last lane is for requests that have run before and
// were interrupted; it is served first.
type modelQueue struct {
	model id.Model
	lanes []lane
	// returns is when the callers that were told to come back will have been served, if all come.
	returns time.Time
}

// lane holds the requests of one band of prompt lengths, shared fairly among organisations.
// Start-time fair queueing: each organisation has a tag that grows by work over weight.
type lane struct {
	organisations map[id.Organisation]*organisationQueue
	order         *container.Heap[*organisationQueue]
	// virtual is the tag of the organisation served last.
	virtual float64
	// queued is the work that waits.
	queued time.Duration
	// weight is the sum over organisations that have waiting requests.
	weight float64
}

type organisationQueue struct {
	name     id.Organisation
	tag      float64
	weight   float64
	queued   time.Duration
	requests container.Ring[*waiting]
	active   bool
}

func newModelQueue(model id.Model, lanes int) *modelQueue {
	mq := &modelQueue{model: model, lanes: make([]lane, lanes+1)}
	for ix := range mq.lanes {
		mq.lanes[ix].organisations = map[id.Organisation]*organisationQueue{}
		mq.lanes[ix].order = container.NewHeap(func(left, right *organisationQueue) bool {
			if left.tag != right.tag {
				return left.tag < right.tag
			}
			return left.name < right.name
		})
	}
	return mq
}

func (mc *Machine) queueOf(model id.Model) *modelQueue {
	mq, ok := mc.byModel[model]
	if !ok {
		mq = newModelQueue(model, mc.config.Policy.Ordering.LaneCount())
		mc.byModel[model] = mq
		mc.models = append(mc.models, mq)
	}
	return mq
}

func (mc *Machine) enqueue(wt *waiting) {
	mc.waiting[wt.ID] = wt
	mc.latest.Push(wt)
	if wt.RunAlone {
		mc.alone = append(mc.alone, wt)
		return
	}
	mq := mc.queueOf(wt.Model)
	mq.lanes[mc.laneOf(wt)].push(wt, mc.config.Policy.Ordering.SharesFairly())
}

// laneOf returns the lane of a request.
func (mc *Machine) laneOf(wt *waiting) int {
	if wt.AttemptNumber > 1 {
		return mc.config.Policy.Ordering.LaneCount()
	}
	return mc.config.Policy.Ordering.LaneOf(wt.PromptTokens)
}

func (ln *lane) push(wt *waiting, fair bool) {
	var name id.Organisation
	weight := 1.0
	if fair {
		name = wt.Organisation
		weight = wt.Weight
	}
	oq, ok := ln.organisations[name]
	if !ok {
		oq = &organisationQueue{name: name}
		ln.organisations[name] = oq
	}
	wt.lane = ln
	wt.queue = oq
	ln.queued += wt.work
	oq.queued += wt.work
	oq.requests.Push(wt)
	if oq.active {
		return
	}
	oq.active = true
	oq.weight = weight
	oq.tag = max(oq.tag, ln.virtual)
	ln.weight += weight
	ln.order.Push(oq)
}

// head returns the request that is next in the lane.
func (ln *lane) head() *waiting {
	for ln.order.Len() > 0 {
		oq := ln.order.Peek()
		for oq.requests.Len() > 0 && oq.requests.Peek().gone {
			oq.requests.Pop()
		}
		if oq.requests.Len() > 0 {
			return oq.requests.Peek()
		}
		ln.order.Pop()
		ln.weight -= oq.weight
		oq.active = false
		if oq.tag <= ln.virtual {
			delete(ln.organisations, oq.name)
		}
	}
	return nil
}

// take removes the head and charges its organisation.
func (ln *lane) take() {
	oq := ln.order.Pop()
	wt := oq.requests.Pop()
	ln.leave(wt)
	ln.virtual = max(ln.virtual, oq.tag)
	oq.tag += wt.work.Seconds() / oq.weight
	ln.order.Push(oq)
}

// leave takes a request that no longer waits out of the counts.
func (ln *lane) leave(wt *waiting) {
	ln.queued -= wt.work
	wt.queue.queued -= wt.work
}
