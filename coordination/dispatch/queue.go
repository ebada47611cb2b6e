package dispatch

import (
	"time"

	"github.com/hibiscuslever/hibiscuslever/state/container"
	"github.com/hibiscuslever/hibiscuslever/state/id"
)

const minWeight = 0.001

// waitingRequest is a request in the queue.
type waitingRequest struct {
	Request
	plannedAnswerTokens id.Tokens
	// engineTime is the time of one engine that the request takes from others.
	engineTime        time.Duration
	waitingSince      time.Time
	latestStart       time.Time
	lane              *lane
	organisationQueue *organisationQueue
	removed           bool
	// draining says that engines are being emptied for the request.
	draining bool
	// avoidsEngines says that the engines to avoid can be spared.
	avoidsEngines bool
}

// modelQueue holds the requests that wait for one model. The last lane is for requests that have run before and
// were interrupted; it is served first.
type modelQueue struct {
	model id.Model
	lanes []lane
	// nextRetryAt is when the callers that were told to come back will have been served, if all come.
	nextRetryAt time.Time
}

// lane holds the requests of one band of prompt lengths, shared fairly among organisations.
// Start-time fair queueing: each organisation has a tag that grows by work over weight.
type lane struct {
	organisations      map[id.Organisation]*organisationQueue
	organisationsByTag *container.Heap[*organisationQueue]
	// virtualTime is the tag of the organisation served last.
	virtualTime float64
	// queuedTime is the work that waits.
	queuedTime time.Duration
	// activeWeight is the sum over organisations that have waiting requests.
	activeWeight float64
}

type organisationQueue struct {
	name       id.Organisation
	startTag   float64
	weight     float64
	queuedTime time.Duration
	requests   container.Ring[*waitingRequest]
	active     bool
}

func newModelQueue(model id.Model, laneCount int) *modelQueue {
	mq := &modelQueue{model: model, lanes: make([]lane, laneCount+1)}
	for laneIndex := range mq.lanes {
		mq.lanes[laneIndex].organisations = map[id.Organisation]*organisationQueue{}
		mq.lanes[laneIndex].organisationsByTag = container.NewHeap(func(left, right *organisationQueue) bool {
			if left.startTag != right.startTag {
				return left.startTag < right.startTag
			}
			return left.name < right.name
		})
	}
	return mq
}

func (mc *Machine) queueFor(model id.Model) *modelQueue {
	mq, ok := mc.queuesByModel[model]
	if !ok {
		mq = newModelQueue(model, mc.config.Policy.Ordering.LaneCount())
		mc.queuesByModel[model] = mq
		mc.modelQueues = append(mc.modelQueues, mq)
	}
	return mq
}

func (mc *Machine) enqueue(wt *waitingRequest) {
	mc.waitingByID[wt.ID] = wt
	mc.startDeadlines.Push(wt)
	if wt.RunAlone {
		mc.runAloneQueue = append(mc.runAloneQueue, wt)
		return
	}
	mq := mc.queueFor(wt.Model)
	mq.lanes[mc.laneIndex(wt)].push(wt, mc.config.Policy.Ordering.SharesFairly())
}

// laneIndex returns the lane of a request.
func (mc *Machine) laneIndex(wt *waitingRequest) int {
	if wt.AttemptNumber > 1 {
		return mc.config.Policy.Ordering.LaneCount()
	}
	return mc.config.Policy.Ordering.LaneOf(wt.PromptTokens)
}

func (ln *lane) push(wt *waitingRequest, shareFairly bool) {
	var name id.Organisation
	weight := 1.0
	if shareFairly {
		name = wt.Organisation
		weight = wt.Weight
	}
	oq, ok := ln.organisations[name]
	if !ok {
		oq = &organisationQueue{name: name}
		ln.organisations[name] = oq
	}
	wt.lane = ln
	wt.organisationQueue = oq
	ln.queuedTime += wt.engineTime
	oq.queuedTime += wt.engineTime
	oq.requests.Push(wt)
	if oq.active {
		return
	}
	oq.active = true
	oq.weight = weight
	oq.startTag = max(oq.startTag, ln.virtualTime)
	ln.activeWeight += weight
	ln.organisationsByTag.Push(oq)
}

// head returns the request that is next in the lane.
func (ln *lane) head() *waitingRequest {
	for ln.organisationsByTag.Len() > 0 {
		oq := ln.organisationsByTag.Peek()
		for oq.requests.Len() > 0 && oq.requests.Peek().removed {
			oq.requests.Pop()
		}
		if oq.requests.Len() > 0 {
			return oq.requests.Peek()
		}
		ln.organisationsByTag.Pop()
		ln.activeWeight -= oq.weight
		oq.active = false
		if oq.startTag <= ln.virtualTime {
			delete(ln.organisations, oq.name)
		}
	}
	return nil
}

// popHead removes the head and charges its organisation.
func (ln *lane) popHead() {
	oq := ln.organisationsByTag.Pop()
	wt := oq.requests.Pop()
	ln.subtractQueued(wt)
	ln.virtualTime = max(ln.virtualTime, oq.startTag)
	oq.startTag += wt.engineTime.Seconds() / oq.weight
	ln.organisationsByTag.Push(oq)
}

// subtractQueued takes a request that no longer waits out of the counts.
func (ln *lane) subtractQueued(wt *waitingRequest) {
	ln.queuedTime -= wt.engineTime
	wt.organisationQueue.queuedTime -= wt.engineTime
}
