package forward

import (
	"context"
	"sync"

	"github.com/hibiscuslever/hibiscuslever/coordination/batch"
	"github.com/hibiscuslever/hibiscuslever/coordination/broker"
	"github.com/hibiscuslever/hibiscuslever/coordination/retry"
	"github.com/hibiscuslever/hibiscuslever/state/id"
)

// otherPlace is the place at which a stream goes on that stands still at its engine. The stream is left there until it has
// one.
type otherPlace struct {
	mutex sync.Mutex
	ask   broker.GrantRequest
	grant batch.Grant
	held  bool
}

func (op *otherPlace) keep(ask broker.GrantRequest, grant batch.Grant) {
	op.mutex.Lock()
	defer op.mutex.Unlock()
	op.ask, op.grant, op.held = ask, grant, true
}

// take returns the place, if there is one, and keeps it no more.
func (op *otherPlace) take() (broker.GrantRequest, batch.Grant, bool) {
	op.mutex.Lock()
	defer op.mutex.Unlock()
	held := op.held
	op.held = false
	return op.ask, op.grant, held
}

func (op *otherPlace) isHeld() bool {
	op.mutex.Lock()
	defer op.mutex.Unlock()
	return op.held
}

// seek asks for another place for a stream that stands still, and reports whether it has one and may go there. The place at its
// engine is kept meanwhile: the ask has an id of its own. The context ends when the stream gets on.
func (st *streaming) seek(ctx context.Context, ask broker.GrantRequest, stalled id.Engine) bool {
	rn := st.runner
	if rn.placing.Err() != nil {
		return false
	}
	ask.ID = id.NewRequest(rn.host, rn.inc, rn.sequence.Add(1))
	ask.AttemptNumber++
	ask.AvoidedEngines = append(append([]id.Engine(nil), ask.AvoidedEngines...), stalled)
	ask.BackoffUntil = rn.banned(st.request.Service)
	ask.RunAlone = st.suspected()
	ask.WaitLimit = st.patience()
	wait, stop := until(ctx, rn.placing)
	defer stop()
	grant, oc := rn.places.Acquire(wait, ask)
	if !oc.OK() {
		rn.logger.Info("stalled stream stays at its engine", "request", st.request.ID, "place", string(ask.ID), "engine", string(stalled),
			"reason", string(oc.Reason), "detail", oc.Detail)
		return false
	}
	if wait.Err() == nil && st.again(ctx, retry.Interrupted) {
		st.other.keep(ask, grant)
		return true
	}
	rn.places.ReportEnded(broker.EndedGrant{Request: ask.ID, Attempt: grant.Attempt})
	return false
}
