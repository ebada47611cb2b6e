package measure

import (
	"fmt"
	"time"

	"github.com/hibiscuslever/hibiscuslever/coordination/dispatch"
	"github.com/hibiscuslever/hibiscuslever/standin/batchmodel"
	"github.com/hibiscuslever/hibiscuslever/state/id"
)

// scheduleEngineFailures makes the first count engines fail at failAt and restart with empty memory at restartAt. Entry
// hosts submit the requests of the failed engines again.
func (sm *simulation) scheduleEngineFailures(failAt, restartAt time.Duration, count int) {
	sm.callAt(failAt, func() {
		for _, en := range sm.engines[:count] {
			sm.failEngine(en)
			sm.callAt(restartAt, func() {
				en.failed = false
				en.model = batchmodel.New(sm.engineCosts)
				sm.stepDispatcher(dispatch.SetEngine{Spec: sm.engineSpec(en)})
			})
		}
	})
}

// failEngine makes an engine fail with all attempts that have a part on it. The dispatcher learns of it after
// failureDetectionTime.
func (sm *simulation) failEngine(en *engine) {
	en.failed = true
	sm.callAt(sm.now+failureDetectionTime, func() { sm.stepDispatcher(dispatch.RemoveEngine{Engine: en.name}) })
	for _, rq := range sm.requestsWithGrant() {
		for _, part := range rq.grant.Parts {
			if part.Engine != en.name {
				continue
			}
			sm.retryAfterEngineFailure(rq)
			break
		}
	}
}

// retryAfterEngineFailure ends an attempt one of whose engines has failed. After ten message delays, the entry host
// releases the memory that the attempt holds on the other engines and submits the request again.
func (sm *simulation) retryAfterEngineFailure(rq *requestInProgress) {
	delete(sm.requestByAttempt, rq.attempt)
	rq.failedAttempts++
	rq.interruptedAttempts++
	attempt, parts := rq.attempt, rq.grant.Parts
	sm.callAt(sm.now+10*messageDelay, func() {
		for _, part := range parts {
			sm.engineByName[part.Engine].model.Cancel(attempt)
		}
		sm.stepDispatcher(dispatch.FinishAttempt{Attempt: attempt})
		sm.submit(rq)
	})
}

// scheduleFlood makes one organisation send many prompts of the largest size at once.
func (sm *simulation) scheduleFlood(at time.Duration, count int) {
	for number := range count {
		ar := arrival{
			arrivesAt: at, requestID: id.Request(fmt.Sprintf("flood%06d", number)), organisation: "org-0",
			promptTokens: maxPrompt, answerTokens: id.Tokens(answerMedian), deadline: requestDeadline,
		}
		sm.callAt(at, func() { sm.addRequest(ar) })
	}
}

// scheduleDispatcherReplacement simulates the loss of the dispatcher: a new one without state replaces it at a time.
// Entry hosts report to the new one the grants that they hold and submit the waiting requests again.
func (sm *simulation) scheduleDispatcherReplacement(at time.Duration, seed uint64) {
	sm.callAt(at, func() {
		sm.dispatcher = dispatch.New(sm.config, seed)
		for _, en := range sm.engines {
			if !en.failed {
				sm.stepDispatcher(dispatch.SetEngine{Spec: sm.engineSpec(en)})
			}
		}
		sm.reportGrants()
		for _, rq := range sm.unfinishedRequests {
			// A request waits if it holds no grant and has not been refused since its last submission.
			waiting := !rq.isFinished() && sm.requestByAttempt[rq.attempt] == nil && rq.lastRefusedAt < rq.submittedAt
			if waiting {
				sm.submit(rq)
			}
		}
	})
}
