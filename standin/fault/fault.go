// Package fault adds switchable faults to the HTTP servers of stand-ins.
package fault

import (
	"encoding/json"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync"
	"time"
)

// Path sets the fault (PUT) or shows it (GET).
const Path = "/standin/fault"

// Fault is what goes wrong. Its zero value is no fault.
type Fault struct {
	// Delay holds each request back.
	Delay time.Duration
	// Refuse answers every request with this status before anything takes effect.
	Refuse int
	// DropAnswers cuts the connections of this many requests after they have taken effect.
	DropAnswers int
	// Freeze holds every request back until the fault is changed.
	Freeze bool
	// Match restricts the fault to requests whose method and path contain it.
	Match string
}

// Switch holds the current fault of a server.
type Switch struct {
	mutex   sync.Mutex
	current Fault
	changed chan struct{}
}

// New returns a switch without a fault.
func New() *Switch {
	return &Switch{changed: make(chan struct{})}
}

// Set replaces the current fault.
func (sw *Switch) Set(fault Fault) {
	sw.mutex.Lock()
	defer sw.mutex.Unlock()
	sw.current = fault
	close(sw.changed)
	sw.changed = make(chan struct{})
}

func (sw *Switch) snapshot() (Fault, <-chan struct{}) {
	sw.mutex.Lock()
	defer sw.mutex.Unlock()
	return sw.current, sw.changed
}

func (sw *Switch) consumeDrop() bool {
	sw.mutex.Lock()
	defer sw.mutex.Unlock()
	if sw.current.DropAnswers <= 0 {
		return false
	}
	sw.current.DropAnswers--
	return true
}

// Wrap returns a handler that applies the current fault before next.
// Paths below /standin/ are never faulty.
func (sw *Switch) Wrap(next http.Handler) http.Handler {
	return http.HandlerFunc(func(rw http.ResponseWriter, rq *http.Request) {
		if rq.URL.Path == Path {
			sw.serveControl(rw, rq)
			return
		}
		if strings.HasPrefix(rq.URL.Path, "/standin/") {
			next.ServeHTTP(rw, rq)
			return
		}
		sw.serveWithFault(rw, rq, next)
	})
}

func (sw *Switch) serveWithFault(rw http.ResponseWriter, rq *http.Request, next http.Handler) {
	fault, callerPresent := sw.waitOutDelay(rq)
	if !callerPresent {
		return
	}
	if !fault.matches(rq) {
		next.ServeHTTP(rw, rq)
		return
	}
	if fault.Refuse != 0 {
		rw.WriteHeader(fault.Refuse)
		return
	}
	if fault.DropAnswers > 0 && sw.consumeDrop() {
		next.ServeHTTP(httptest.NewRecorder(), rq)
		panic(http.ErrAbortHandler)
	}
	next.ServeHTTP(rw, rq)
}

// waitOutDelay waits out delays and freezes and returns the fault in force afterwards.
func (sw *Switch) waitOutDelay(rq *http.Request) (Fault, bool) {
	for {
		fault, changed := sw.snapshot()
		if !fault.matches(rq) || !fault.Freeze && fault.Delay == 0 {
			return fault, true
		}
		var delayOver <-chan time.Time
		if !fault.Freeze {
			delayOver = time.After(fault.Delay)
		}
		select {
		case <-delayOver:
			return fault, true
		case <-changed:
		case <-rq.Context().Done():
			return fault, false
		}
	}
}

func (fl Fault) matches(rq *http.Request) bool {
	return strings.Contains(rq.Method+" "+rq.URL.Path, fl.Match)
}

func (sw *Switch) serveControl(rw http.ResponseWriter, rq *http.Request) {
	if rq.Method == http.MethodPut {
		var fault Fault
		if err := json.NewDecoder(rq.Body).Decode(&fault); err != nil {
			http.Error(rw, err.Error(), http.StatusBadRequest)
			return
		}
		sw.Set(fault)
	}
	current, _ := sw.snapshot()
	rw.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(rw).Encode(current)
}
