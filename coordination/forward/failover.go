package forward

import (
	"context"
	"sync"

	"github.com/hibiscuslever/hibiscuslever/coordination/batch"
	"github.com/hibiscuslever/hibiscuslever/coordination/broker"
	"github.com/hibiscuslever/hibiscuslever/coordination/retry"
	"github.com/hibiscuslever/hibiscuslever/state/id"
	"github.com/hibiscuslever/hibiscuslever/state/serverlist"
)

// failoverGrant holds a grant on another engine for a stream that has stalled or whose engine does not respond. The stream stays at its engine until
// there is such a grant. It is safe for concurrent use: the stream monitor stores the grant while the attempt still
// runs.
type failoverGrant struct {
	mutex        sync.Mutex
	grantRequest broker.GrantRequest
	grant        batch.Grant
	present      bool
}

func (fg *failoverGrant) store(grantRequest broker.GrantRequest, grant batch.Grant) {
	fg.mutex.Lock()
	defer fg.mutex.Unlock()
	fg.grantRequest, fg.grant, fg.present = grantRequest, grant, true
}

// take removes and returns the grant and the request that it was issued for. It returns false if there is none.
func (fg *failoverGrant) take() (broker.GrantRequest, batch.Grant, bool) {
	fg.mutex.Lock()
	defer fg.mutex.Unlock()
	present := fg.present
	fg.present = false
	return fg.grantRequest, fg.grant, present
}

func (fg *failoverGrant) isPresent() bool {
	fg.mutex.Lock()
	defer fg.mutex.Unlock()
	return fg.present
}

// findFailover requests a grant on another engine for a stream that has stalled or whose engine does not respond, and
// stores it. It reports whether it got one, the engine accepts connections and the retry policy allows its use. The grant on the first engine stays valid
// meanwhile, because the new request to the dispatcher has its own id. The number of attempts made includes the current
// one. ctx ends when the stream goes on.
func (st *engineJob) findFailover(ctx context.Context, grantRequest broker.GrantRequest, stalledEngine id.Engine, attemptsMade int) bool {
	rn := st.runner
	if rn.grantContext.Err() != nil || st.grantsUsed >= rn.config.MaxGrants || !st.retryAllowed(attemptsMade) {
		return false
	}
	grantRequest.ID = id.NewRequest(rn.host, rn.incarnation, rn.requestCounter.Add(1))
	grantRequest.AttemptNumber++
	grantRequest.Unanswered = false
	grantRequest.AvoidedEngines = append(append([]id.Engine(nil), grantRequest.AvoidedEngines...), stalledEngine)
	grantRequest.BackoffUntil = rn.engineBackoffs(st.request.Service, grantRequest.AttemptNumber)
	st.setIsolation(&grantRequest)
	grantRequest.WaitLimit = st.waitLimitFromArrival()
	acquireCtx, detach := withShutdown(ctx, rn.grantContext)
	defer detach()
	grant, oc := rn.dispatcher.Acquire(acquireCtx, grantRequest)
	if !oc.OK() {
		rn.logger.Info("stalled stream stays at its engine", "request", st.request.ID, "place", string(grantRequest.ID), "engine", string(stalledEngine),
			"reason", string(oc.Reason), "detail", oc.Detail)
		return false
	}
	ended := broker.EndedGrant{Request: grantRequest.ID, Attempt: grant.Attempt}
	primary := grant.Parts[0]
	switch {
	case acquireCtx.Err() != nil:
	case !rn.accepts(acquireCtx, rn.serverOfPart(st.request.Service, primary), &ended):
		rn.logger.Info("stream stays at its engine", "request", st.request.ID, "place", string(grantRequest.ID), "engine", string(stalledEngine),
			"reason", "the next engine can't be reached", "next", string(primary.Engine))
	case st.takeRetryAfter(ctx, retry.Interrupted, attemptsMade):
		st.failover.store(grantRequest, grant)
		return true
	}
	rn.dispatcher.ReportEnded(ended)
	return false
}

// accepts reports whether an engine accepts connections, from this host or another one. If it has failed, the report to the
// dispatcher says so.
func (rn *Runner) accepts(ctx context.Context, engine serverlist.Server, ended *broker.EndedGrant) bool {
	result := rn.probeConnection(ctx, engine)
	if result.saysServerFailed() && ctx.Err() == nil {
		ended.FailedEngine, ended.Fault = id.Engine(engine.ID), batch.Unreachable
	}
	return result.Alive()
}
