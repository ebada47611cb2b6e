package forward

import (
	"context"
	"sync"
	"sync/atomic"

	"github.com/go-faster/errors"

	"github.com/hibiscuslever/hibiscuslever/coordination/batch"
	"github.com/hibiscuslever/hibiscuslever/coordination/broker"
	"github.com/hibiscuslever/hibiscuslever/coordination/retry"
	"github.com/hibiscuslever/hibiscuslever/state/id"
	"github.com/hibiscuslever/hibiscuslever/state/serverlist"
	"github.com/hibiscuslever/hibiscuslever/tasks"
)

// errSuperseded ends an attempt whose failover attempt has taken the stream over, errNotNeeded a failover attempt whose
// stream goes on at the first engine.
var (
	errSuperseded = errors.New("the stream goes on at another engine")
	errNotNeeded  = errors.New("the stream goes on at its engine")
)

// failoverAttempt is an attempt on another engine for a stream that has stalled or whose engine does not respond. The
// attempt in progress goes on meanwhile, because its engine may only be silent for a time. The failover attempt takes the
// stream over when it has an event to forward, or fails without a trace at the client. It is dropped if the first engine
// sends an event before that.
type failoverAttempt struct {
	// requestCtx ends with the request. A failover attempt of this one goes on when this one has ended.
	requestCtx context.Context
	// origin is the job whose stream is taken over, job the one that runs this attempt.
	origin *engineJob
	job    *engineJob
	cancel context.CancelFunc
	// sentBefore is the sentCount that job started with.
	sentBefore int
	// pending says that the attempt has not taken the stream over.
	pending atomic.Bool
	// endedBefore is the number of ended engines that job started with.
	endedBefore int
	// dropped says that the attempt is not needed. It is guarded by origin.forwarding.
	dropped bool
	// gaveUpOrigin says that the attempt took the stream over while the attempt of origin ran. It is set before done is closed.
	gaveUpOrigin bool
	// superseding is closed when the attempt has an event to forward, joined when the attempt of origin has ended and
	// leaves the stream to this one, and done when this attempt has ended.
	superseding chan struct{}
	joined      chan struct{}
	done        chan struct{}
	// ended and result describe the end; they are set before done is closed.
	ended  broker.EndedGrant
	result attemptResult
	// panicked is set if the attempt has panicked.
	panicked error
}

// isPending reports whether this is a failover attempt that has not taken the stream over.
func (fa *failoverAttempt) isPending() bool { return fa != nil && fa.pending.Load() }

// runsBeside reports whether this is a failover attempt that has not taken the stream over while the attempt of origin goes on.
func (fa *failoverAttempt) runsBeside() bool {
	if !fa.isPending() {
		return false
	}
	select {
	case <-fa.joined:
		return false
	default:
		return true
	}
}

// giveUp makes the attempt fail, so that another engine is looked for while the attempt of origin goes on. It returns false if
// the attempt has an event to forward.
func (fa *failoverAttempt) giveUp() bool {
	fa.origin.forwarding.Lock()
	defer fa.origin.forwarding.Unlock()
	if fa.origin.superseded {
		return false
	}
	fa.dropped = true
	return true
}

// takeOver makes the attempt of origin forward no more events, waits until it has ended, and takes its state over. It
// returns false if the attempt is not needed.
func (fa *failoverAttempt) takeOver(ctx context.Context) bool {
	runsBeside := fa.runsBeside()
	if !fa.supersede() {
		return false
	}
	fa.gaveUpOrigin = runsBeside
	close(fa.superseding)
	select {
	case <-fa.joined:
	case <-ctx.Done():
		return false
	}
	fa.job.inheritFrom(fa.origin)
	fa.pending.Store(false)
	return true
}

// supersede makes the attempt of origin forward no more events, unless it has forwarded one since this attempt began.
func (fa *failoverAttempt) supersede() bool {
	origin := fa.origin
	origin.forwarding.Lock()
	defer origin.forwarding.Unlock()
	if fa.dropped || origin.endsUnnumbered || origin.lastEventID != fa.job.lastEventID {
		return false
	}
	origin.superseded = true
	return true
}

// inheritFrom copies what a client has received from the job whose stream this one takes over.
func (st *engineJob) inheritFrom(origin *engineJob) {
	// The monitor may start a failover attempt meanwhile.
	st.forwarding.Lock()
	defer st.forwarding.Unlock()
	result := origin.result
	result.Attempts += st.result.Attempts
	result.PassedOn += st.result.PassedOn
	result.Server, result.Helpers, result.DispatchID = st.result.Server, st.result.Helpers, st.result.DispatchID
	st.result = result
	st.newConnection = st.newConnection || origin.newConnection
	st.mutex.Lock()
	defer st.mutex.Unlock()
	st.lastEventAt = origin.lastEventAt
}

// failoverState holds the failover attempts of one attempt. It is safe for concurrent use.
type failoverState struct {
	mutex   sync.Mutex
	current *failoverAttempt
	failedFailovers
}

// failedFailovers counts what failover attempts used that did not take their stream over.
type failedFailovers struct {
	grants, sent, attempts, passedOn int
	// engines are those of the attempts that were not dropped.
	engines []id.Engine
	// engineUse is what the attempts remember of their engines.
	engineUse engineUse
}

// take removes and returns the current failover attempt; nil if there is none.
func (fs *failoverState) take() *failoverAttempt {
	fs.mutex.Lock()
	defer fs.mutex.Unlock()
	current := fs.current
	fs.current = nil
	return current
}

func (fs *failoverState) set(current *failoverAttempt) {
	fs.mutex.Lock()
	defer fs.mutex.Unlock()
	fs.current = current
}

func (fs *failoverState) isPresent() bool {
	fs.mutex.Lock()
	defer fs.mutex.Unlock()
	return fs.current != nil
}

// failed returns what failed failover attempts used so far.
func (fs *failoverState) failed() failedFailovers {
	fs.mutex.Lock()
	defer fs.mutex.Unlock()
	return fs.failedFailovers
}

// avoid makes later searches avoid an engine that was granted and can't be reached.
func (fs *failoverState) avoid(engine id.Engine) {
	fs.mutex.Lock()
	defer fs.mutex.Unlock()
	fs.engines = append(fs.engines, engine)
}

// recordFailed counts the current failover attempt, which has ended, as failed.
func (fs *failoverState) recordFailed(fa *failoverAttempt) {
	fs.mutex.Lock()
	defer fs.mutex.Unlock()
	fs.current = nil
	fs.grants++
	fs.sent += fa.job.sentCount - fa.sentBefore
	fs.attempts += fa.job.result.Attempts
	fs.passedOn += fa.job.result.PassedOn
	fs.engineUse.add(fa.job.engineUse, fa.endedBefore)
	switch {
	case fa.ended.FailedEngine != "":
		fs.engines = append(fs.engines, fa.ended.FailedEngine)
	case fa.job.sentCount > fa.sentBefore:
		fs.engineUse.givenUp = append(fs.engineUse.givenUp, id.Engine(fa.job.server.ID))
	}
}

// countFailedFailovers adds what the failed failover attempts of the last attempt used to what the request used.
func (st *engineJob) countFailedFailovers() {
	failed := st.failover.failed()
	st.grantsUsed += failed.grants
	st.sentCount += failed.sent
	st.mayHaveRun = st.mayHaveRun || failed.sent > 0
	st.result.Attempts += failed.attempts
	st.result.PassedOn += failed.passedOn
	st.grantRequest.AvoidedEngines = append(st.grantRequest.AvoidedEngines, failed.engines...)
	st.engineUse.add(failed.engineUse, 0)
	st.failover.mutex.Lock()
	defer st.failover.mutex.Unlock()
	st.failover.failedFailovers = failedFailovers{}
}

// failoverOrigin is what a failover attempt needs to know of the attempt in progress. It does not change during that
// attempt.
type failoverOrigin struct {
	// requestCtx ends with the request, attemptCtx with the attempt.
	requestCtx, attemptCtx context.Context
	grantRequest           broker.GrantRequest
	engine                 id.Engine
	// attemptsMade counts the attempts that may have reached an engine, the current one included. endedEngines counts the engines
	// that have ended.
	attemptsMade, grantsUsed      int
	endedEngines                  int
	newConnection, endUnconfirmed bool
}

func (st *engineJob) failoverOrigin(requestCtx, attemptCtx context.Context, engine id.Engine) failoverOrigin {
	if st.asFailover != nil {
		requestCtx = st.asFailover.requestCtx
	}
	return failoverOrigin{
		requestCtx: requestCtx, attemptCtx: attemptCtx, grantRequest: st.grantRequest, engine: engine,
		attemptsMade: st.sentCount + 1, grantsUsed: st.grantsUsed, endedEngines: st.engineUse.ended, newConnection: st.newConnection, endUnconfirmed: st.endUnconfirmed,
	}
}

// findFailover requests a grant on another engine for a stream that has stalled or whose engine does not respond, and
// starts a failover attempt there if the engine responds to a probe and the retry policy allows it. The attempt in progress
// and its grant stay valid meanwhile, because the new request to the dispatcher has its own id. It returns true when the
// failover attempt takes the stream over, and false if it fails. ctx ends when the engine in use goes on; a
// failover attempt that runs by then ends only with the next event.
//
// For a failover attempt that runs beside another attempt, it returns true to end it: at most two attempts run at a time.
func (st *engineJob) findFailover(ctx context.Context, origin failoverOrigin) bool {
	rn := st.runner
	failed := st.failover.failed()
	attemptsMade := origin.attemptsMade + failed.sent
	use := engineUse{ended: origin.endedEngines + failed.engineUse.ended}
	if rn.grantContext.Err() != nil && !st.hasForwarded() || origin.grantsUsed+failed.grants >= rn.config.MaxGrants ||
		attemptsMade >= use.limit(st.request.Route.MaxAttempts) || !st.retryAllowed(attemptsMade) || !st.isResumable() {
		return false
	}
	if st.asFailover.runsBeside() {
		return st.asFailover.giveUp()
	}
	grantRequest := origin.grantRequest
	grantRequest.ID = id.NewRequest(rn.host, rn.incarnation, rn.requestCounter.Add(1))
	grantRequest.AttemptNumber += 1 + failed.grants
	grantRequest.Unanswered = false
	grantRequest.AvoidedEngines = append(append([]id.Engine(nil), grantRequest.AvoidedEngines...), origin.engine)
	grantRequest.AvoidedEngines = append(grantRequest.AvoidedEngines, failed.engines...)
	grantRequest.BackoffUntil = rn.engineBackoffs(st.request.Service, grantRequest.AttemptNumber)
	st.setIsolation(&grantRequest)
	grantRequest.WaitLimit = st.waitLimitFromArrival()
	acquireCtx, detach := st.withFailoverGrant(ctx)
	defer detach()
	grant, oc := rn.dispatcher.Acquire(acquireCtx, grantRequest)
	if !oc.OK() {
		rn.logger.Info("stalled stream stays at its engine", "request", st.request.ID, "place", string(grantRequest.ID), "engine", string(origin.engine),
			"reason", string(oc.Reason), "detail", oc.Detail)
		return false
	}
	ended := broker.EndedGrant{Request: grantRequest.ID, Attempt: grant.Attempt}
	primary := grant.Parts[0]
	switch {
	case acquireCtx.Err() != nil:
	case !rn.responds(acquireCtx, rn.serverOfPart(st.request.Service, primary), &ended):
		if acquireCtx.Err() == nil {
			st.failover.avoid(primary.Engine)
		}
		rn.logger.Info("stream stays at its engine", "request", st.request.ID, "place", string(grantRequest.ID), "engine", string(origin.engine),
			"reason", "the next engine does not respond", "next", string(primary.Engine))
	case st.takeRetryAfter(ctx, retry.Interrupted, attemptsMade):
		if fa := st.startFailover(origin, grantRequest, grant); fa != nil {
			return st.awaitFailover(origin.attemptCtx, fa)
		}
	}
	rn.dispatcher.ReportEnded(ended)
	return false
}

// hasForwarded reports whether an event was forwarded. Such a stream may go on at another engine also while the host stops:
// its client has no use for a refusal.
func (st *engineJob) hasForwarded() bool {
	st.mutex.Lock()
	defer st.mutex.Unlock()
	return !st.lastEventAt.IsZero()
}

// withFailoverGrant returns a copy of ctx for the request of a grant for a failover attempt. It also ends when the host rejects
// requests that wait for a grant, unless an event was forwarded. The caller must call the returned function to free resources.
func (st *engineJob) withFailoverGrant(ctx context.Context) (context.Context, context.CancelFunc) {
	if st.hasForwarded() {
		return context.WithCancel(ctx)
	}
	return withShutdown(ctx, st.runner.grantContext)
}

// isResumable reports whether a request can ask an engine to go on after the last forwarded event.
func (st *engineJob) isResumable() bool {
	st.forwarding.Lock()
	defer st.forwarding.Unlock()
	return !st.endsUnnumbered
}

// startFailover starts a failover attempt under a grant. It returns nil if the stream can't be resumed or the host stops.
func (st *engineJob) startFailover(origin failoverOrigin, grantRequest broker.GrantRequest, grant batch.Grant) *failoverAttempt {
	rn := st.runner
	failed := st.failover.failed()
	st.forwarding.Lock()
	defer st.forwarding.Unlock()
	if st.endsUnnumbered {
		return nil
	}
	st.mutex.Lock()
	lastEventAt := st.lastEventAt
	st.mutex.Unlock()
	jb := &job{runner: rn, request: st.request, sink: st.sink, limit: st.limit, start: st.start, sentCount: origin.attemptsMade + failed.sent, mayHaveRun: true, newConnection: origin.newConnection}
	jb.result = Result{HeadSent: !lastEventAt.IsZero(), Fingerprint: st.result.Fingerprint, DispatchID: grantRequest.ID}
	endedBefore := origin.endedEngines + failed.engineUse.ended
	fa := &failoverAttempt{requestCtx: origin.requestCtx, origin: st, sentBefore: jb.sentCount, endedBefore: endedBefore, superseding: make(chan struct{}), joined: make(chan struct{}), done: make(chan struct{})}
	fa.pending.Store(true)
	fa.job = &engineJob{
		job: jb, grantRequest: grantRequest, lastEventID: st.lastEventID, endUnconfirmed: origin.endUnconfirmed,
		grantsUsed: origin.grantsUsed + failed.grants, engineUse: engineUse{ended: endedBefore}, asFailover: fa, lastEventAt: lastEventAt,
	}
	ctx, cancel := context.WithCancel(origin.requestCtx)
	fa.cancel = cancel
	st.failover.set(fa)
	started := rn.background.Go(func() {
		defer cancel()
		fa.panicked = tasks.Call(func() error {
			fa.ended, fa.result = fa.job.useGrant(ctx, grant)
			fa.job.countFailedFailovers()
			return nil
		})
		close(fa.done)
		panicUnlessJoined(fa.panicked, fa.joined)
	})
	if !started {
		cancel()
		st.failover.set(nil)
		return nil
	}
	return fa
}

// panicUnlessJoined passes the panic of an attempt on, unless the goroutine of the request does. A panic there ends the
// request and not the process.
func panicUnlessJoined(panicked error, joined <-chan struct{}) {
	select {
	case <-joined:
	default:
		if panicked != nil {
			panic(panicked)
		}
	}
}

// awaitFailover waits until a failover attempt takes the stream over, and returns true, or until it has failed or is
// dropped. If the attempt in progress ends before that, the failover attempt stays for joinFailover.
func (st *engineJob) awaitFailover(attemptCtx context.Context, fa *failoverAttempt) bool {
	select {
	case <-fa.superseding:
		return true
	case <-fa.done:
	case <-attemptCtx.Done():
		st.forwarding.Lock()
		stays := !fa.dropped
		st.forwarding.Unlock()
		if stays {
			return false
		}
		<-fa.done
	}
	st.failover.recordFailed(fa)
	return false
}

// joinFailover leaves the stream to a failover attempt after the attempt that it was started for has ended. It returns how
// the failover attempt ended.
func (st *engineJob) joinFailover(fa *failoverAttempt) (broker.EndedGrant, attemptResult) {
	close(fa.joined)
	<-fa.done
	if fa.panicked != nil {
		panic(fa.panicked)
	}
	next := fa.job
	if fa.isPending() {
		oc := next.result.Outcome
		next.inheritFrom(st)
		next.result.Outcome = oc
	}
	// The attempt of origin was counted as sent when the failover attempt began.
	originSent := fa.origin.sentCount >= fa.sentBefore
	st.sentCount += next.sentCount - fa.sentBefore
	st.result, st.grantRequest, st.grantsUsed = next.result, next.grantRequest, next.grantsUsed
	st.mayHaveRun, st.newConnection = st.mayHaveRun || next.sentCount > fa.sentBefore, next.newConnection
	st.engineUse.add(next.engineUse, fa.endedBefore)
	if fa.gaveUpOrigin && originSent {
		st.engineUse.givenUp = append(st.engineUse.givenUp, id.Engine(fa.origin.server.ID))
	}
	st.lastEventID, st.endsUnnumbered, st.endUnconfirmed = next.lastEventID, next.endsUnnumbered, next.endUnconfirmed
	st.superseded = false
	st.mutex.Lock()
	st.lastEventAt = next.lastEventAt
	st.mutex.Unlock()
	st.failover.set(next.failover.take())
	return fa.ended, fa.result
}

// dropFailover ends the failover attempt, if there is one.
func (st *engineJob) dropFailover() {
	if fa := st.failover.take(); fa != nil {
		fa.origin.forwarding.Lock()
		defer fa.origin.forwarding.Unlock()
		fa.drop()
	}
}

// drop ends the attempt because it is not needed. The caller holds origin.forwarding.
func (fa *failoverAttempt) drop() {
	fa.dropped = true
	fa.cancel()
}

// dropBefore ends the failover attempt, if there is one, because an event of the attempt in progress is to be forwarded. The
// caller holds st.forwarding.
func (st *engineJob) dropBefore(ev event) {
	if !ev.hasField {
		return
	}
	st.failover.mutex.Lock()
	defer st.failover.mutex.Unlock()
	if st.failover.current != nil {
		st.failover.current.drop()
	}
}

// responds reports whether an engine responds to a probe, from this host or another one. If it has failed, the report to the
// dispatcher says so. A silent engine also accepts connections, so that one is no sign that it would run the request.
func (rn *Runner) responds(ctx context.Context, engine serverlist.Server, ended *broker.EndedGrant) bool {
	result := rn.probeHTTP(ctx, engine.ID, engine.Address)
	if result.saysServerFailed() && ctx.Err() == nil {
		ended.FailedEngine, ended.Fault = id.Engine(engine.ID), batch.Unresponsive
		if result == ConnectionRefused {
			ended.Fault = batch.Unreachable
		}
	}
	return result.Alive()
}

// probeHTTP returns how an engine responds to an HTTP request. An engine that asked for backoff is not probed and counts as
// reachable.
func (rn *Runner) probeHTTP(ctx context.Context, engine id.BackendServer, address string) ProbeResult {
	ctx, cancel := context.WithTimeout(ctx, rn.config.ProbeTimeout)
	defer cancel()
	if rn.askedForBackoff(engine) {
		return Reachable
	}
	return rn.sender.ProbeHTTP(ctx, address)
}
