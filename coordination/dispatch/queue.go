package dispatch

import (
	"time"

	"github.com/hibiscuslever/hibiscuslever/state/container"
	"github.com/hibiscuslever/hibiscuslever/state/id"
)

// minWeight is the least weight of an organisation. Weights are divisors, so they must not be 0.
const minWeight = 0.001

// waitingRequest is a request in a queue.
type waitingRequest struct {
	Request
	// plannedAnswerTokens is the length of the answer that memory and time are planned for.
	plannedAnswerTokens id.Tokens
	// engineTime is the engine time that the request costs; see engineTimeOf.
	engineTime   time.Duration
	waitingSince time.Time
	// latestStart is the time after which the request is refused.
	latestStart time.Time
	// lane and organisationQueue are where the request waits; nil for a request with RunAlone.
	lane              *lane
	organisationQueue *organisationQueue
	// removed says that the request no longer waits. It may still be in the queue of its organisation and in
	// waitingByLatestStart.
	removed bool
	// draining says that engines are being drained for the request.
	draining bool
	// avoidsEngines says that the request avoids AvoidedEngines, because the other engines suffice for it.
	avoidsEngines bool
}

// modelQueue holds the requests that wait for one model. The last lane is for attempts after the first, which continue
// interrupted work; it is served first.
type modelQueue struct {
	model id.Model
	lanes []lane
	// nextRetryAt is the predicted time at which all refused clients that were asked to retry have been served, if each
	// of them does retry.
	nextRetryAt time.Time
}

// lane holds the waiting requests for one of the lanes of the ordering. Organisations share it by start-time fair
// queueing: each organisation has a start tag that grows by the cost of each served request divided by the
// organisation's weight, and the organisation with the lowest tag is served next.
type lane struct {
	organisations map[id.Organisation]*organisationQueue
	// organisationsByTag holds the active organisations, the one to serve next first.
	organisationsByTag *container.Heap[*organisationQueue]
	// virtualTime is the start tag of the organisation that was served last. An organisation that becomes active starts
	// with no lower tag, so that it gains nothing from the time in which it had no requests.
	virtualTime float64
	// queuedTime is the engine time of the waiting requests.
	queuedTime time.Duration
	// activeWeight is the sum of the weights of the active organisations.
	activeWeight float64
}

// organisationQueue holds the waiting requests of one organisation in a lane, in the order of their arrival.
type organisationQueue struct {
	name     id.Organisation
	startTag float64
	weight   float64
	// queuedTime is the engine time of the waiting requests.
	queuedTime time.Duration
	// requests may also hold requests that have been removed. They are dropped when they come first.
	requests container.Ring[*waitingRequest]
	// active says that the organisation is in organisationsByTag.
	active bool
}

// newModelQueue returns an empty queue with the given number of lanes and one more for interrupted requests.
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

// queueFor returns the queue of a model and creates it if there is none.
func (mc *Machine) queueFor(model id.Model) *modelQueue {
	mq, ok := mc.queuesByModel[model]
	if !ok {
		mq = newModelQueue(model, mc.config.Policy.Ordering.LaneCount())
		mc.queuesByModel[model] = mq
		mc.modelQueues = append(mc.modelQueues, mq)
	}
	return mq
}

// enqueue adds a request to the queue of its model, or to runAloneQueue if it has RunAlone.
func (mc *Machine) enqueue(wt *waitingRequest) {
	mc.waitingByID[wt.ID] = wt
	mc.waitingByLatestStart.Push(wt)
	if wt.RunAlone {
		mc.runAloneQueue = append(mc.runAloneQueue, wt)
		return
	}
	mq := mc.queueFor(wt.Model)
	mq.lanes[mc.laneIndex(wt)].push(wt, mc.config.Policy.Ordering.SharesFairly())
}

// laneIndex returns the index of the lane in which a request waits.
func (mc *Machine) laneIndex(wt *waitingRequest) int {
	if wt.AttemptNumber > 1 {
		return mc.config.Policy.Ordering.LaneCount()
	}
	return mc.config.Policy.Ordering.LaneOf(wt.PromptTokens)
}

// push appends a request to the queue of its organisation. Unless organisations share fairly, all requests are in one
// queue, under the empty name.
func (ln *lane) push(wt *waitingRequest, shareFairly bool) {
	var queueName id.Organisation
	weight := 1.0
	if shareFairly {
		queueName = wt.Organisation
		weight = wt.Weight
	}
	oq, ok := ln.organisations[queueName]
	if !ok {
		oq = &organisationQueue{name: queueName}
		ln.organisations[queueName] = oq
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

// head returns the request that is next in the lane, or nil if none waits. It drops removed requests at the front of
// queues and makes organisations inactive that have no other requests. It deletes inactive organisations whose start
// tag is not above virtualTime, because a new organisation would get the same tag.
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

// popHead removes the request that the last call of head returned, and charges its cost to the organisation.
func (ln *lane) popHead() {
	oq := ln.organisationsByTag.Pop()
	wt := oq.requests.Pop()
	ln.subtractQueued(wt)
	ln.virtualTime = max(ln.virtualTime, oq.startTag)
	oq.startTag += wt.engineTime.Seconds() / oq.weight
	ln.organisationsByTag.Push(oq)
}

// subtractQueued subtracts a request that no longer waits from the queued engine time.
func (ln *lane) subtractQueued(wt *waitingRequest) {
	ln.queuedTime -= wt.engineTime
	wt.organisationQueue.queuedTime -= wt.engineTime
}
