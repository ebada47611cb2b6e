package forward

import (
	"sync"
	"time"

	"github.com/go-faster/errors"

	"github.com/hibiscuslever/hibiscuslever/timer"
)

// errSlowServer is the cause of aborting an attempt whose server has not answered within its part of the remaining time.
var errSlowServer = errors.New("the server is slow to answer")

// slowServerTimer aborts an attempt whose server is slow to answer, but not once its answer is being forwarded. It is safe
// for concurrent use.
type slowServerTimer struct {
	abort func()

	mutex sync.Mutex
	// kept says that the attempt must not be aborted any more, aborted that it was.
	kept    bool
	aborted bool
	expiry  timer.Subscription
}

// startSlowServerTimer returns a timer that aborts an attempt after a time. The caller must call keep when the attempt has
// ended or its answer is to be forwarded.
func startSlowServerTimer(clock timer.Clock, timeout time.Duration, abort func()) *slowServerTimer {
	st := &slowServerTimer{abort: abort}
	st.expiry = clock.After(timeout, st.expire)
	return st
}

func (st *slowServerTimer) expire() {
	st.mutex.Lock()
	defer st.mutex.Unlock()
	if !st.kept {
		st.aborted = true
		st.abort()
	}
}

// keep makes the timer abort the attempt no more and reports whether it has not done so.
func (st *slowServerTimer) keep() bool {
	if st == nil {
		return true
	}
	st.mutex.Lock()
	defer st.mutex.Unlock()
	st.kept = true
	st.expiry.Stop()
	return !st.aborted
}
