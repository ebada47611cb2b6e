package forward

import (
	"context"
	"slices"
	"sync"
	"time"

	"github.com/go-faster/errors"

	"github.com/hibiscuslever/hibiscuslever/coordination/retry"
	"github.com/hibiscuslever/hibiscuslever/state/id"
	"github.com/hibiscuslever/hibiscuslever/state/serverlist"
	"github.com/hibiscuslever/hibiscuslever/timer"
)

// errSlowServer is the cause of aborting an attempt whose server has not answered within its part of the remaining time.
var errSlowServer = errors.New("the server is slow to answer")

// slowServerMonitor watches an attempt at a server of a plain service. If the server has not answered within its part of the
// remaining time and another server can take the request, it aborts the attempt. An attempt whose answer is being
// forwarded is not aborted. It is safe for concurrent use.
type slowServerMonitor struct {
	clock timer.Clock
	// nextWait returns how long to wait until the next search for another server.
	nextWait func() time.Duration
	// findServer returns a server that can take the request, and false if there is none.
	findServer func(context.Context) (serverlist.Server, bool)
	// takeRetry charges the retry budget and reports whether the request may be sent once more.
	takeRetry func() bool
	// abort ends the attempt with errSlowServer as its cause.
	abort func()

	mutex sync.Mutex
	// kept says that the attempt must not be aborted any more, aborted that it was.
	kept    bool
	aborted bool
	// replacement is the server that the request is sent to next; set if aborted is.
	replacement  serverlist.Server
	nextSearch   timer.Subscription
	cancelSearch context.CancelFunc
}

// start starts to watch the attempt. The caller must call keep when the attempt has ended or its answer is to be forwarded.
func (sm *slowServerMonitor) start() {
	sm.mutex.Lock()
	defer sm.mutex.Unlock()
	sm.nextSearch = sm.clock.After(sm.nextWait(), sm.search)
}

// search aborts the attempt if another server can take the request, and otherwise schedules the next search.
func (sm *slowServerMonitor) search() {
	sm.mutex.Lock()
	defer sm.mutex.Unlock()
	if sm.kept {
		return
	}
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	sm.cancelSearch = cancel
	server, found := sm.findServerUnlocked(ctx)
	switch {
	case sm.kept:
	case found && sm.takeRetry():
		sm.aborted, sm.replacement = true, server
		sm.abort()
	default:
		sm.nextSearch = sm.clock.After(sm.nextWait(), sm.search)
	}
}

// findServerUnlocked searches for another server. The caller holds the mutex, which is unlocked meanwhile.
func (sm *slowServerMonitor) findServerUnlocked(ctx context.Context) (serverlist.Server, bool) {
	sm.mutex.Unlock()
	defer sm.mutex.Lock()
	return sm.findServer(ctx)
}

// keep makes the monitor abort the attempt no more and reports whether it has not done so. A nil monitor never aborts.
func (sm *slowServerMonitor) keep() bool {
	if sm == nil {
		return true
	}
	sm.mutex.Lock()
	defer sm.mutex.Unlock()
	sm.kept = true
	sm.nextSearch.Stop()
	if sm.cancelSearch != nil {
		sm.cancelSearch()
	}
	return !sm.aborted
}

// takeReplacement ends the monitoring and returns the server for which the attempt was aborted, and false if it was not.
func (sm *slowServerMonitor) takeReplacement() (serverlist.Server, bool) {
	if sm.keep() {
		return serverlist.Server{}, false
	}
	return sm.replacement, true
}

// watchSlowServer returns a running monitor of an attempt at the last one of the servers tried. It returns nil if the
// request can't be sent to another server.
func (jb *job) watchSlowServer(ctx context.Context, tried []id.BackendServer, abort func()) *slowServerMonitor {
	if !jb.canTryAnotherServer(tried) {
		return nil
	}
	// minSearchInterval bounds the number of searches shortly before the deadline.
	const minSearchInterval = 50 * time.Millisecond
	attemptsMade, excluded := jb.sentCount+1, slices.Clone(tried)
	sm := &slowServerMonitor{
		clock: jb.runner.clock,
		nextWait: func() time.Duration {
			return max(minSearchInterval, time.Duration(jb.runner.config.AttemptTimeoutShare*float64(jb.remaining())))
		},
		findServer: func(searchCtx context.Context) (serverlist.Server, bool) {
			return jb.findReplacement(searchCtx, excluded, attemptsMade)
		},
		takeRetry: func() bool { return jb.takeRetryAfter(ctx, retry.Interrupted, attemptsMade) },
		abort:     abort,
	}
	sm.start()
	return sm
}

// findReplacement returns the best server that is not among those tried, accepts connections and may get the request at
// once. It returns false if there is none or the retry policy allows no retry.
func (jb *job) findReplacement(ctx context.Context, tried []id.BackendServer, attemptsMade int) (serverlist.Server, bool) {
	rn := jb.runner
	if !jb.retryAllowed(attemptsMade) {
		return serverlist.Server{}, false
	}
	for excluded := slices.Clone(tried); ctx.Err() == nil; {
		server, _, ok := jb.bestServer(excluded)
		if !ok {
			return serverlist.Server{}, false
		}
		permitted := rn.limits.Rate(server) == 0 || rn.limits.Acquire(ctx, jb.request.Service, []serverlist.Server{server}, 0).Granted()
		if permitted && rn.probeConnection(ctx, server).Alive() {
			return server, true
		}
		excluded = append(excluded, server.ID)
	}
	return serverlist.Server{}, false
}
