package forward

import (
	"context"
	"sync"
	"time"

	"github.com/hibiscuslever/hibiscuslever/timer"
)

// watch asks an engine whether it is alive when its stream has been silent for too long, and ends the attempt when
// it does not answer.
type watch struct {
	runner  *Runner
	address string
	silence time.Duration
	lost    func()

	mutex   sync.Mutex
	last    time.Time
	stopped bool
	sub     timer.Subscription
}

// newWatch starts to watch a stream that may be silent for a time before its first event.
func newWatch(rn *Runner, address string, first time.Duration, lost func()) *watch {
	wt := &watch{runner: rn, address: address, silence: rn.config.StreamSilence, lost: lost, last: rn.clock.Now().Add(first - rn.config.StreamSilence)}
	wt.mutex.Lock()
	defer wt.mutex.Unlock()
	wt.sub = rn.clock.After(first, wt.look)
	return wt
}

// heard notes a sign of life.
func (wt *watch) heard() {
	wt.mutex.Lock()
	defer wt.mutex.Unlock()
	wt.last = wt.runner.clock.Now()
}

// look asks the engine if it has been silent, and looks again later.
func (wt *watch) look() {
	wt.mutex.Lock()
	if wt.stopped {
		wt.mutex.Unlock()
		return
	}
	now := wt.runner.clock.Now()
	if left := wt.silence - now.Sub(wt.last); left > 0 {
		wt.sub = wt.runner.clock.After(left, wt.look)
		wt.mutex.Unlock()
		return
	}
	wt.mutex.Unlock()
	ctx, cancel := context.WithTimeout(context.Background(), wt.runner.config.ProbeTimeout)
	defer cancel()
	alive := wt.runner.servers.Alive(ctx, wt.address)
	wt.mutex.Lock()
	defer wt.mutex.Unlock()
	if wt.stopped {
		return
	}
	if !alive && wt.runner.clock.Now().Sub(wt.last) >= wt.silence {
		wt.lost()
		return
	}
	wt.last = wt.runner.clock.Now()
	wt.sub = wt.runner.clock.After(wt.silence, wt.look)
}

func (wt *watch) stop() {
	wt.mutex.Lock()
	defer wt.mutex.Unlock()
	wt.stopped = true
	wt.sub.Stop()
}
