package forward

import (
	"context"
	"slices"
	"sync"
	"time"

	"github.com/go-faster/errors"

	"github.com/hibiscuslever/hibiscuslever/coordination/requestlimit"
	"github.com/hibiscuslever/hibiscuslever/coordination/retry"
	"github.com/hibiscuslever/hibiscuslever/state/id"
	"github.com/hibiscuslever/hibiscuslever/state/serverlist"
	"github.com/hibiscuslever/hibiscuslever/tasks"
	"github.com/hibiscuslever/hibiscuslever/timer"
)

// errSlowServer is the cause of aborting an attempt whose server was slow, because another server has answered.
var errSlowServer = errors.New("the server is slow to answer")

// slowServerMonitor watches an attempt at a server of a plain service. If the server has not answered within its part of the
// remaining time and another server can take the request, a second attempt runs there while the first one goes on. The one
// that is the first to have an answer forwards it, and ends the other one. It is safe for concurrent use.
type slowServerMonitor struct {
	clock timer.Clock
	// nextWait returns how long to wait until the next search for another server.
	nextWait func() time.Duration
	// findServer returns a server that can take the request, and false if there is none. It is given the failed attempts.
	findServer func(context.Context, []*secondAttempt) (serverlist.Server, bool)
	// takeRetry charges the retry budget and reports whether the request may be sent once more.
	takeRetry func([]*secondAttempt) bool
	// startSecond starts a second attempt, and returns nil if the host stops.
	startSecond func(serverlist.Server, []*secondAttempt) *secondAttempt
	// giveUp ends the first attempt if it is itself a second one that runs beside another, which can then have the server that
	// was found. It returns false otherwise.
	giveUp func() bool
	// abort ends the first attempt with errSlowServer as its cause.
	abort func()

	mutex sync.Mutex
	// ended says that the first attempt has ended or forwards its answer, won that it forwards it, and lost that the second
	// one does or that the first one was given up.
	ended, won, lost bool
	// second is the second attempt that runs or has taken over; nil if there is none. failed holds those that have failed.
	second       *secondAttempt
	failed       []*secondAttempt
	nextSearch   timer.Subscription
	cancelSearch context.CancelFunc
}

// start starts to watch the attempt. The caller must call end when the attempt has ended.
func (sm *slowServerMonitor) start() {
	sm.mutex.Lock()
	defer sm.mutex.Unlock()
	sm.nextSearch = sm.clock.After(sm.nextWait(), sm.search)
}

// search starts a second attempt if another server can take the request, and otherwise schedules the next search.
func (sm *slowServerMonitor) search() {
	sm.mutex.Lock()
	defer sm.mutex.Unlock()
	if sm.ended {
		return
	}
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	sm.cancelSearch = cancel
	server, found := sm.findServerUnlocked(ctx)
	if sm.ended {
		return
	}
	if found && sm.giveUp() {
		sm.lost = true
		sm.abort()
		return
	}
	if found && sm.takeRetry(sm.failed) {
		sm.second = sm.startSecond(server, sm.failed)
	}
	if sm.second == nil {
		sm.nextSearch = sm.clock.After(sm.nextWait(), sm.search)
	}
}

// findServerUnlocked searches for another server. The caller holds the mutex, which is unlocked meanwhile.
func (sm *slowServerMonitor) findServerUnlocked(ctx context.Context) (serverlist.Server, bool) {
	failed := sm.failed
	sm.mutex.Unlock()
	defer sm.mutex.Lock()
	return sm.findServer(ctx, failed)
}

// endSecond records that a second attempt has ended. If it has failed while the first one goes on, the next search is
// scheduled.
func (sm *slowServerMonitor) endSecond(second *secondAttempt) {
	sm.mutex.Lock()
	defer sm.mutex.Unlock()
	if sm.ended || sm.lost {
		return
	}
	sm.second = nil
	sm.failed = append(sm.failed, second)
	nextWait := sm.nextWait()
	if second.gaveUp {
		nextWait = 0
	}
	sm.nextSearch = sm.clock.After(nextWait, sm.search)
}

// win lets the first attempt forward its answer, which ends the second one. It returns false if that one forwards its own. A
// nil monitor returns true.
func (sm *slowServerMonitor) win() bool {
	if sm == nil {
		return true
	}
	sm.mutex.Lock()
	defer sm.mutex.Unlock()
	sm.endLocked()
	if sm.lost {
		return false
	}
	sm.won = true
	if sm.second != nil {
		sm.second.cancel()
	}
	return true
}

// lose lets the second attempt forward its answer and aborts the first one. It returns false if that one forwards its own.
func (sm *slowServerMonitor) lose() bool {
	sm.mutex.Lock()
	defer sm.mutex.Unlock()
	if sm.won {
		return false
	}
	sm.lost = true
	sm.abort()
	return true
}

// hasLost reports whether the second attempt forwards its answer or the first one was given up.
func (sm *slowServerMonitor) hasLost() bool {
	if sm == nil {
		return false
	}
	sm.mutex.Lock()
	defer sm.mutex.Unlock()
	return sm.lost
}

// hasSecond reports whether a second attempt runs.
func (sm *slowServerMonitor) hasSecond() bool {
	if sm == nil {
		return false
	}
	sm.mutex.Lock()
	defer sm.mutex.Unlock()
	return sm.second != nil
}

// endLocked ends the searches. The caller holds the mutex.
func (sm *slowServerMonitor) endLocked() {
	sm.ended = true
	sm.nextSearch.Stop()
	if sm.cancelSearch != nil {
		sm.cancelSearch()
	}
}

// end ends the monitoring because the first attempt has ended. It returns the second attempt to go on with, nil if there is
// none, and those that have failed.
func (sm *slowServerMonitor) end() (*secondAttempt, []*secondAttempt) {
	if sm == nil {
		return nil, nil
	}
	sm.mutex.Lock()
	defer sm.mutex.Unlock()
	sm.endLocked()
	if sm.won {
		return nil, sm.failed
	}
	return sm.second, sm.failed
}

// secondAttempt is an attempt at another server while the first one is slow to answer.
type secondAttempt struct {
	// requestCtx ends with the request. A second attempt beside this one goes on when this one has ended.
	requestCtx context.Context
	// origin is the job of the first attempt, job the one that runs this attempt.
	origin, job *job
	monitor     *slowServerMonitor
	server      serverlist.Server
	cancel      context.CancelFunc
	// sentBefore is the sentCount that job started with.
	sentBefore int
	// gaveUp says that this attempt was ended for another one. The mutex of monitor guards it.
	gaveUp bool
	// tookOver says that this attempt forwards its answer. Only the goroutine of the attempt uses it before done is closed.
	tookOver bool
	// joined is closed when the first attempt has ended and leaves the client to this one, done when this attempt has ended.
	joined, done chan struct{}
	// The next three are the results of attemptPlain; they are set before done is closed.
	errorResponse *bufferedResponse
	retryCause    retry.Cause
	description   string
	// panicked is set if the attempt has panicked.
	panicked error
}

// takeOver makes the first attempt end and waits for that, so that this attempt can forward its answer. It returns false if
// the first one forwards its own. For nil, which is no second attempt, it returns true.
func (sa *secondAttempt) takeOver(ctx context.Context) bool {
	if sa == nil || sa.tookOver {
		return true
	}
	if !sa.monitor.lose() {
		return false
	}
	select {
	case <-sa.joined:
	case <-ctx.Done():
		return false
	}
	sa.tookOver = true
	sa.job.inheritFrom(sa.origin)
	return true
}

// giveUp records that the attempt is ended, so that another one can run beside the first attempt. It returns false for nil, or if
// the first attempt has ended.
func (sa *secondAttempt) giveUp() bool {
	if sa == nil {
		return false
	}
	select {
	case <-sa.joined:
		return false
	default:
	}
	sa.monitor.mutex.Lock()
	defer sa.monitor.mutex.Unlock()
	sa.gaveUp = true
	return true
}

// isPending reports whether this is a second attempt that does not forward its answer.
func (sa *secondAttempt) isPending() bool { return sa != nil && !sa.tookOver }

// inheritFrom copies the results of the job whose first attempt has ended.
func (jb *job) inheritFrom(origin *job) {
	result := origin.result
	result.Attempts += jb.result.Attempts
	result.PassedOn += jb.result.PassedOn
	result.Server = jb.result.Server
	jb.result = result
	jb.newConnection = jb.newConnection || origin.newConnection
}

// watchSlowServer returns a running monitor of an attempt at the last one of the servers tried. It returns nil if the
// request can't be sent to another server.
func (jb *job) watchSlowServer(ctx context.Context, tried []id.BackendServer, abort func()) *slowServerMonitor {
	if !jb.canTryAnotherServer(tried) {
		return nil
	}
	if jb.second != nil {
		ctx = jb.second.requestCtx
	}
	// minSearchInterval bounds the number of searches shortly before the deadline.
	const minSearchInterval = 50 * time.Millisecond
	sentBefore, excluded, newConnection := jb.sentCount+1, slices.Clone(tried), jb.newConnection
	sm := &slowServerMonitor{
		clock: jb.runner.clock,
		nextWait: func() time.Duration {
			return max(minSearchInterval, time.Duration(jb.runner.config.AttemptTimeoutShare*float64(jb.remaining())))
		},
		findServer: func(searchCtx context.Context, failed []*secondAttempt) (serverlist.Server, bool) {
			return jb.findReplacement(searchCtx, withServersOf(excluded, failed), sentBefore+countSent(failed))
		},
		takeRetry: func(failed []*secondAttempt) bool {
			return jb.takeRetryAfter(ctx, retry.Interrupted, sentBefore+countSent(failed))
		},
		giveUp: jb.second.giveUp,
		abort:  abort,
	}
	sm.startSecond = func(server serverlist.Server, failed []*secondAttempt) *secondAttempt {
		next := &job{
			runner: jb.runner, request: jb.request, sink: jb.sink, limit: jb.limit, start: jb.start, sentCount: sentBefore + countSent(failed), mayHaveRun: true, newConnection: newConnection,
			result: Result{Fingerprint: jb.result.Fingerprint, Server: server.ID, Attempts: 1},
		}
		second := &secondAttempt{requestCtx: ctx, origin: jb, job: next, monitor: sm, server: server, sentBefore: next.sentCount, joined: make(chan struct{}), done: make(chan struct{})}
		next.second = second
		return second.start(ctx, append(withServersOf(excluded, failed), server.ID))
	}
	sm.start()
	return sm
}

// start runs the attempt in the background. It returns nil if the host stops.
func (sa *secondAttempt) start(ctx context.Context, tried []id.BackendServer) *secondAttempt {
	ctx, sa.cancel = context.WithCancel(ctx)
	sa.job.recordSent(sa.server)
	started := sa.job.runner.background.Go(func() {
		defer sa.cancel()
		sa.panicked = tasks.Call(func() error {
			sa.errorResponse, sa.retryCause, sa.description = sa.job.attemptPlain(ctx, sa.server, tried)
			sa.job.logAttempt(sa.server, sa.description)
			return nil
		})
		close(sa.done)
		sa.monitor.endSecond(sa)
		panicUnlessJoined(sa.panicked, sa.joined)
	})
	if !started {
		sa.cancel()
		return nil
	}
	return sa
}

// mayHaveRun reports whether the server may have run the request in an attempt that has ended.
func (sa *secondAttempt) mayHaveRun() bool {
	return sa.retryCause != retry.NotSent && sa.retryCause != retry.BackendRefused
}

// joinSecond leaves the client to a second attempt after the first one has ended. It returns what attemptPlain returned for
// the second one.
func (jb *job) joinSecond(second *secondAttempt) (*bufferedResponse, retry.Cause, string) {
	close(second.joined)
	<-second.done
	if second.panicked != nil {
		panic(second.panicked)
	}
	next := second.job
	if !second.tookOver {
		next.inheritFrom(jb)
	}
	// The first attempt was counted as sent when the second one began.
	jb.sentCount += next.sentCount - second.sentBefore
	jb.result, jb.newConnection = next.result, next.newConnection
	jb.mayHaveRun = jb.mayHaveRun || second.mayHaveRun()
	jb.nextSecond, jb.failedSeconds = next.nextSecond, next.failedSeconds
	return second.errorResponse, second.retryCause, second.description
}

// countSent returns how many of the attempts that have ended may have reached a server.
func countSent(ended []*secondAttempt) int {
	sent := 0
	for _, second := range ended {
		sent += second.job.sentCount - second.sentBefore
	}
	return sent
}

// withServersOf returns servers and those of the attempts.
func withServersOf(servers []id.BackendServer, attempts []*secondAttempt) []id.BackendServer {
	servers = slices.Clone(servers)
	for _, second := range attempts {
		servers = append(servers, second.server.ID)
	}
	return servers
}

// findReplacement returns the best server that is not among those tried, accepts connections and may get the request at
// once. It returns false if there is none or the retry policy allows no retry.
func (jb *job) findReplacement(ctx context.Context, tried []id.BackendServer, attemptsMade int) (serverlist.Server, bool) {
	rn := jb.runner
	_, quarantined := jb.quarantineOutcome()
	if quarantined || attemptsMade >= jb.request.Route.MaxAttempts || !jb.retryAllowed(attemptsMade) {
		return serverlist.Server{}, false
	}
	var permit requestlimit.Permit
	for excluded := slices.Clone(tried); ctx.Err() == nil; {
		server, _, ok := jb.bestServer(excluded)
		if !ok {
			return serverlist.Server{}, false
		}
		permitted := rn.limits.Rate(server) == 0
		if !permitted && !permit.NoIssuer {
			permit = rn.limits.Acquire(ctx, jb.request.Service, []serverlist.Server{server}, 0)
			permitted = permit.Granted()
		}
		if permitted && rn.probeConnection(ctx, server).Alive() {
			return server, true
		}
		excluded = append(excluded, server.ID)
	}
	return serverlist.Server{}, false
}
