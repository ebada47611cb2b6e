package experiment

import (
	"fmt"
	"slices"
	"time"

	"github.com/hibiscuslever/hibiscuslever/coordination/batch"
	"github.com/hibiscuslever/hibiscuslever/state/id"
	"github.com/hibiscuslever/hibiscuslever/state/route"
)

// patience returns how long a client waits for its first event.
func patience(kind Kind) time.Duration {
	return min(kind.Timeout, route.WaitLimit(kind.Target, kind.MaxPause))
}

// submit asks the dispatcher for a place.
func (wd *world) submit(rq *request) {
	if rq.done {
		return
	}
	wd.requests[rq.id] = rq
	wd.step(batch.Submit{Request: batch.Request{
		ID:               rq.id,
		Organisation:     id.Organisation(fmt.Sprintf("organisation-%02d", rq.organisation)),
		PromptTokens:     rq.prompt,
		MaxAnswerTokens:  id.Tokens(rq.events * wd.pattern.EngineProfile.StepsPerDecodePass),
		FirstEventTarget: rq.kind.Target,
		MaxPause:         rq.kind.MaxPause,
		WaitLimit:        patience(rq.kind),
		ArrivedAt:        wd.start.Add(rq.arrival.at),
		AttemptNumber:    rq.number,
		AvoidedEngines:   rq.avoid,
	}})
}

// step passes an event to the dispatcher's machine and carries its effects out.
func (wd *world) step(ev batch.Event) {
	for _, ef := range slices.Clone(wd.machine.Step(wd.agenda.Now(), ev)) {
		rq := wd.requests[ef.Request]
		if rq == nil || rq.done {
			continue
		}
		if ef.Kind == batch.Refused {
			wd.refuse(rq, ef.Outcome.RetryAfter)
			continue
		}
		rq.grant = ef.Grant
		wd.agenda.ScheduleAt(wd.agenda.Now().Add(wd.hop(rq)), func(now time.Time) { wd.run(now, rq, ef.Grant) })
	}
}

// refuse has a client come back as it is told, or at once if it is impatient, as long as it has time.
func (wd *world) refuse(rq *request, after time.Duration) {
	if rq.impatient {
		const again = 20 * time.Millisecond
		after = again
	}
	left := rq.kind.Timeout - wd.agenda.Now().Sub(wd.start.Add(rq.arrival.at))
	if rq.returns == 0 || after <= 0 || after > left/retryBound {
		rq.done, rq.refused = true, true
		return
	}
	rq.returns--
	rq.id += "b"
	wd.agenda.ScheduleAt(wd.agenda.Now().Add(after), func(time.Time) { wd.submit(rq) })
}

// leave ends a request whose client has gone.
func (wd *world) leave(rq *request) {
	if rq.done {
		return
	}
	rq.done, rq.left = true, true
	if rq.grant.Attempt == "" {
		wd.step(batch.Withdraw{Request: rq.id})
		return
	}
	wd.cancel(rq)
	wd.step(batch.FinishAttempt{Attempt: rq.grant.Attempt})
}
