package modelcall

import (
	"context"
	"strconv"

	"github.com/hibiscuslever/hibiscuslever/coordination/dispatch"
	"github.com/hibiscuslever/hibiscuslever/coordination/retry"
	"github.com/hibiscuslever/hibiscuslever/coordination/shard"
	"github.com/hibiscuslever/hibiscuslever/state/id"
)

// failover is a grant on other engines for a request whose engine does not respond. The attempt in progress and its grant
// stay valid meanwhile, because it was requested under an identifier of its own.
type failover struct {
	requestID id.Request
	grant     dispatch.Grant
}

// failoverSearch looks for a failover while the attempt goes on.
type failoverSearch struct {
	runner *Runner
	cancel context.CancelFunc
	// unresponsive is the result that the attempt has if a second one takes over on the failover.
	unresponsive attemptResult
	// found gets one value when the search has ended: the failover, or nil if there is none.
	found chan *failover
}

// startFailoverSearch starts to look for engines other than the one that does not respond.
func (as *attemptStreams) startFailoverSearch(ctx context.Context, unresponsive attemptResult) *failoverSearch {
	ctx, cancel := context.WithCancel(ctx)
	search := &failoverSearch{runner: as.runner, cancel: cancel, unresponsive: unresponsive, found: make(chan *failover, 1)}
	as.state.failoverSearches++
	request := *as.state
	request.requestID = failoverRequestID(request.call.RequestID, request.failoverSearches)
	request.summary.Attempts++
	request.avoidedEngines = append(append([]id.Engine(nil), request.avoidedEngines...), unresponsive.engine)
	as.runner.backgroundWork.Go(func() { search.found <- as.runner.findFailover(ctx, &request) })
	return search
}

// failoverRequestID returns the identifier under which a search requests a grant. It differs from that of the attempt in
// progress, because the dispatcher releases the grant of a request that asks for another, and from those of other
// searches, because reports on their grants may arrive late.
func failoverRequestID(requestID id.Request, searchNumber int) id.Request {
	return id.Request(string(requestID) + "-" + strconv.Itoa(searchNumber))
}

// findFailover acquires a grant on engines that all respond. It returns nil if there is none before the context ends.
func (rn *Runner) findFailover(ctx context.Context, request *requestState) *failover {
	grant, acquireOutcome := rn.acquireGrant(ctx, request)
	if len(grant.Parts) == 0 || !acquireOutcome.OK() {
		return nil
	}
	found := &failover{requestID: request.requestID, grant: grant}
	candidate := &attemptStreams{runner: rn, state: request, grant: grant}
	if ctx.Err() == nil && candidate.findLostEngine(ctx, 0).kind == failed {
		return found
	}
	rn.releaseFailover(ctx, found)
	return nil
}

// releaseFailover reports that a failover is not used.
func (rn *Runner) releaseFailover(ctx context.Context, unused *failover) {
	rn.cleanUpInBackground(ctx, func(ctx context.Context) {
		rn.dispatchers.ReportEnded(ctx, shard.EndedGrant{Request: unused.requestID, Attempt: unused.grant.Attempt})
	})
}

// results returns the channel that gets the result of the search; nil, which never gets one, if there is no search.
func (fs *failoverSearch) results() <-chan *failover {
	if fs == nil {
		return nil
	}
	return fs.found
}

// end ends the search, if there is one, and releases a failover that was found but not used.
func (fs *failoverSearch) end(ctx context.Context) {
	if fs == nil {
		return
	}
	fs.cancel()
	fs.runner.cleanUpInBackground(ctx, func(context.Context) {
		if unused := <-fs.found; unused != nil {
			fs.runner.releaseFailover(ctx, unused)
		}
	})
}

// mayUseFailover reports whether a second attempt is to run on a failover: there is one, and the retry policy allows another
// attempt.
func (as *attemptStreams) mayUseFailover(ctx context.Context, found *failover, cause retry.Cause) bool {
	if found == nil {
		return false
	}
	if !as.runner.decideRetry(as.state, cause).Retry {
		as.runner.releaseFailover(ctx, found)
		return false
	}
	return true
}
