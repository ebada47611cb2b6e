package broker

import (
	"slices"
	"time"

	"github.com/hibiscuslever/hibiscuslever/coordination/batch"
	"github.com/hibiscuslever/hibiscuslever/state/id"
	"github.com/hibiscuslever/hibiscuslever/state/outcome"
	"github.com/hibiscuslever/hibiscuslever/state/quarantine"
)

// judge sets how the request is to run now. If it must not run, it returns the refusal and true.
func (wr *waitingRequest) judge(qr Quarantine, requestID id.Request) (outcome.Outcome, bool) {
	verdict := qr.Judge(wr.content)
	wr.isolation = batch.ReviewedRequest{
		Request: requestID, RunAlone: wr.askedToRunAlone || verdict.Decision == quarantine.RunAlone, SuspectParts: verdict.SuspectParts, Exclusive: verdict.Exclusive,
	}
	return quarantine.RefusalOutcome(verdict.Decision, verdict.ExpiresIn)
}

// EvidenceChanged makes the dispatchers review their waiting requests soon, because this host has learned or cleared
// evidence that was not in a report or a request.
func (sv *Server) EvidenceChanged() {
	sv.evidenceChanged.Store(true)
	sv.triggerTick()
}

// reviewWaiting judges all waiting requests again, refuses those that must not run any more, and changes how the others
// are to run. The caller holds the mutex.
func (sv *Server) reviewWaiting(now time.Time) {
	for _, dp := range sv.dispatchers {
		var review batch.Review
		for requestID, waiting := range dp.waiting {
			previous := waiting.isolation
			refusal, barred := waiting.judge(sv.quarantine, requestID)
			switch {
			case barred:
				sv.metrics.Counter("quarantine_refused").Inc(1)
				delete(dp.waiting, requestID)
				review.Withdrawn = append(review.Withdrawn, requestID)
				sv.pendingDeliveries.Go(func() { sv.deliverResponse(dp.service, waiting.host, requestID, GrantResponse{Refusal: &refusal}) })
			case waiting.isolation.RunAlone != previous.RunAlone || waiting.isolation.Exclusive != previous.Exclusive || !slices.Equal(waiting.isolation.SuspectParts, previous.SuspectParts):
				dp.waiting[requestID] = waiting
				review.Changed = append(review.Changed, waiting.isolation)
			}
		}
		if len(review.Withdrawn)+len(review.Changed) > 0 {
			sv.applyEffects(dp, dp.machine.Step(now, review))
		}
	}
}
