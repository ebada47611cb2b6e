package experiment

import (
	"fmt"
	"slices"
	"time"

	"github.com/hibiscuslever/hibiscuslever/coordination/batch"
	"github.com/hibiscuslever/hibiscuslever/state/id"
	"github.com/hibiscuslever/hibiscuslever/state/route"
)

// firstEventWaitLimit returns the time from arrival after which a client that has seen no event gives up.
func firstEventWaitLimit(kind Kind) time.Duration {
	return min(kind.Timeout, route.WaitLimit(kind.Target, kind.MaxPause))
}

// submit submits a request to the dispatcher. It does nothing if the request has ended.
func (sm *simulation) submit(rq *request) {
	if rq.ended {
		return
	}
	sm.requestsByID[rq.id] = rq
	sm.stepDispatcher(batch.Submit{Request: batch.Request{
		ID:               rq.id,
		Organisation:     id.Organisation(fmt.Sprintf("organisation-%02d", rq.organisationIndex)),
		PromptTokens:     rq.promptTokens,
		MaxAnswerTokens:  id.Tokens(rq.answerEvents * sm.pattern.EngineProfile.StepsPerDecodePass),
		FirstEventTarget: rq.kind.Target,
		MaxPause:         rq.kind.MaxPause,
		WaitLimit:        firstEventWaitLimit(rq.kind),
		ArrivedAt:        sm.start.Add(rq.arrival.sinceStart),
		AttemptNumber:    rq.attemptNumber,
		AvoidedEngines:   rq.avoidedEngines,
	}})
}

// stepDispatcher passes an event to the dispatcher and carries out its effects. Effects for requests that have ended
// are ignored.
func (sm *simulation) stepDispatcher(event batch.Event) {
	for _, effect := range slices.Clone(sm.dispatcher.Step(sm.scheduler.Now(), event)) {
		rq := sm.requestsByID[effect.Request]
		if rq == nil || rq.ended {
			continue
		}
		if effect.Kind == batch.Refused {
			sm.handleRefusal(rq, effect.Outcome.RetryAfter)
			continue
		}
		rq.grant = effect.Grant
		sm.scheduler.ScheduleAt(sm.scheduler.Now().Add(sm.dispatchTime(rq)), func(now time.Time) { sm.startJob(now, rq, effect.Grant) })
	}
}

// handleRefusal retries a refused request after the delay that the dispatcher asks for, or almost at once if the client
// is impatient. The request ends if no retries are left, if the dispatcher gives no delay, or if the delay is too long
// for the client's remaining time.
func (sm *simulation) handleRefusal(rq *request, retryAfter time.Duration) {
	if rq.impatient {
		const impatientDelay = 20 * time.Millisecond
		retryAfter = impatientDelay
	}
	timeLeft := rq.kind.Timeout - sm.scheduler.Now().Sub(sm.start.Add(rq.arrival.sinceStart))
	if rq.retriesLeft == 0 || retryAfter <= 0 || retryAfter > timeLeft/retryWaitDivisor {
		rq.ended, rq.refused = true, true
		return
	}
	rq.retriesLeft--
	// To the dispatcher, a retry is a new request.
	rq.id += "b"
	sm.scheduler.ScheduleAt(sm.scheduler.Now().Add(retryAfter), func(time.Time) { sm.submit(rq) })
}

// abandon ends a request whose client has disconnected: it withdraws a waiting request and cancels a granted one. It
// does nothing if the request has ended.
func (sm *simulation) abandon(rq *request) {
	if rq.ended {
		return
	}
	rq.ended, rq.abandoned = true, true
	if rq.grant.Attempt == "" {
		sm.stepDispatcher(batch.Withdraw{Request: rq.id})
		return
	}
	sm.cancelJob(rq)
	sm.stepDispatcher(batch.FinishAttempt{Attempt: rq.grant.Attempt})
}
