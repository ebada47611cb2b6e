package forward

import (
	"context"
	"sync"
	"time"

	"github.com/hibiscuslever/hibiscuslever/coordination/batch"
	"github.com/hibiscuslever/hibiscuslever/state/id"
	"github.com/hibiscuslever/hibiscuslever/timer"
)

// watch asks an engine whether it is alive when its stream has been silent for too long, and ends the attempt when
// it does not answer, or when it answers and its stream has stalled all the same and can go on elsewhere.
type watch struct {
	runner  *Runner
	part    batch.Part
	silence time.Duration
	// stall is how long the stream may bring no event from an engine that is alive; zero for any time.
	stall time.Duration
	// seek looks for another place for a stream that has stalled, and reports whether it has one. Its context ends when the
	// stream gets on.
	seek func(context.Context) bool
	lost func(error)
	// useBy is when the first event is to have come because memory is set aside for it; zero for any time.
	useBy time.Time

	mutex sync.Mutex
	// stopSeeking ends a search for another place, which seeking waits for; nil if there is none.
	stopSeeking context.CancelFunc
	seeking     sync.WaitGroup
	// last is the last sign of life, moved when the last event with an id came.
	last    time.Time
	moved   time.Time
	stopped bool
	sub     timer.Subscription
}

// bounds are the times of a stream that is watched.
type bounds struct {
	// first is how long it may be silent before its first event.
	first time.Duration
	// stall and useBy are those of the watch.
	stall time.Duration
	useBy time.Time
}

// newWatch starts to watch a stream.
func newWatch(rn *Runner, part batch.Part, bd bounds, seek func(context.Context) bool, lost func(error)) *watch {
	first := bd.first
	begun := rn.clock.Now().Add(first - rn.config.IdleBeforeProbe)
	wt := &watch{runner: rn, part: part, silence: rn.config.IdleBeforeProbe, stall: bd.stall, useBy: bd.useBy, seek: seek, lost: lost, last: begun, moved: begun}
	if !bd.useBy.IsZero() {
		first = min(first, max(0, bd.useBy.Sub(rn.clock.Now())))
	}
	wt.mutex.Lock()
	defer wt.mutex.Unlock()
	wt.sub = rn.clock.After(first, wt.look)
	return wt
}

// heard notes an event. One without an id is a sign of life, but the stream does not get on by it.
func (wt *watch) heard(ev event) {
	wt.mutex.Lock()
	defer wt.mutex.Unlock()
	wt.last = wt.runner.clock.Now()
	if ev.id != "" {
		wt.useBy = time.Time{}
		if wt.stopSeeking != nil {
			wt.stopSeeking()
		}
		wt.moved = wt.last
	}
}

// look asks the engine if it has been silent, and looks again later.
func (wt *watch) look() {
	wt.mutex.Lock()
	if wt.stopped {
		wt.mutex.Unlock()
		return
	}
	now := wt.runner.clock.Now()
	if !wt.useBy.IsZero() && !now.Before(wt.useBy) {
		wt.mutex.Unlock()
		wt.lost(errStalled)
		return
	}
	if wt.stalled(now) {
		ctx, cancel := context.WithCancel(context.Background())
		defer cancel()
		wt.stopSeeking = cancel
		wt.seeking.Add(1)
		wt.mutex.Unlock()
		found := wt.seek(ctx)
		wt.seeking.Done()
		if found {
			wt.lost(errStalled)
			return
		}
		wt.mutex.Lock()
		wt.stopSeeking = nil
		if wt.stopped {
			wt.mutex.Unlock()
			return
		}
		now = wt.runner.clock.Now()
	}
	if left := wt.silence - now.Sub(wt.last); left > 0 {
		wt.sub = wt.runner.clock.After(left, wt.look)
		wt.mutex.Unlock()
		return
	}
	wt.mutex.Unlock()
	ctx, cancel := context.WithTimeout(context.Background(), wt.runner.config.ProbeTimeout)
	defer cancel()
	alive := wt.runner.wantsNothing(id.BackendServer(wt.part.Engine)) || wt.runner.servers.Alive(ctx, wt.part.Address)
	wt.mutex.Lock()
	defer wt.mutex.Unlock()
	if wt.stopped {
		return
	}
	if !alive && wt.runner.clock.Now().Sub(wt.last) >= wt.silence {
		wt.lost(errSilent)
		return
	}
	wt.last = wt.runner.clock.Now()
	wt.sub = wt.runner.clock.After(wt.silence, wt.look)
}

// stalled reports whether the stream has brought no event for too long. The caller holds the lock.
func (wt *watch) stalled(now time.Time) bool {
	return wt.stall > 0 && now.Sub(wt.moved) >= wt.stall
}

// stop ends the watch and waits for a search for another place to end.
func (wt *watch) stop() {
	wt.mutex.Lock()
	wt.stopped = true
	if wt.stopSeeking != nil {
		wt.stopSeeking()
	}
	wt.sub.Stop()
	wt.mutex.Unlock()
	wt.seeking.Wait()
}
