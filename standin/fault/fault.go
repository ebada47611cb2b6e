// Package fault injects faults into the HTTP servers of stand-ins. A fault is switched on and off while the server
// runs.
package fault

import (
	"encoding/json"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync"
	"time"
)

// Path is the URL path at which the fault is set (PUT) or shown (GET), encoded as JSON.
const Path = "/standin/fault"

// Fault describes how a server misbehaves. The zero value is no fault.
type Fault struct {
	// Delay is how long each request waits before it is handled.
	Delay time.Duration
	// Refuse is the HTTP status with which every request is rejected before it has any effect; 0 rejects none.
	Refuse int
	// DropAnswers is how many further requests take effect but lose their connection before the response is sent.
	DropAnswers int
	// Freeze makes every request wait until the fault is changed.
	Freeze bool
	// Match restricts the fault to requests for which "METHOD path" contains this text; empty matches all requests.
	Match string
}

// Switch holds the current fault of a server. It is safe for concurrent use.
type Switch struct {
	mutex   sync.Mutex
	current Fault
	// changed is closed and replaced whenever the fault is set.
	changed chan struct{}
}

// New returns a switch without a fault.
func New() *Switch {
	return &Switch{changed: make(chan struct{})}
}

// Set replaces the current fault. Requests that wait because of the previous fault are reconsidered under the new one.
func (sw *Switch) Set(fault Fault) {
	sw.mutex.Lock()
	defer sw.mutex.Unlock()
	sw.current = fault
	close(sw.changed)
	sw.changed = make(chan struct{})
}

// snapshot returns the current fault and a channel that is closed when the fault is set again.
func (sw *Switch) snapshot() (Fault, <-chan struct{}) {
	sw.mutex.Lock()
	defer sw.mutex.Unlock()
	return sw.current, sw.changed
}

// consumeDrop reports whether the response to a request must be dropped, and counts it off DropAnswers if so.
func (sw *Switch) consumeDrop() bool {
	sw.mutex.Lock()
	defer sw.mutex.Unlock()
	if sw.current.DropAnswers <= 0 {
		return false
	}
	sw.current.DropAnswers--
	return true
}

// Wrap returns a handler that applies the current fault to requests for next. It serves Path itself. Other paths below
// /standin/, which control and inspect the stand-in, are exempt from faults.
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

// serveWithFault applies the current fault to a request. A delay comes first, then a rejection, then a dropped
// response: next handles the request, and the connection is closed in place of its response.
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

// waitOutDelay blocks while a delay or a freeze applies to the request and returns the fault in force afterwards. It
// returns false if the caller went away meanwhile. Setting the fault again restarts a delay.
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

// matches reports whether the fault applies to a request.
func (fl Fault) matches(rq *http.Request) bool {
	return strings.Contains(rq.Method+" "+rq.URL.Path, fl.Match)
}

// serveControl sets the fault on PUT and responds with the fault in force.
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
