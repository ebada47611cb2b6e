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
func (sw *Switch) Set(fl Fault) {
	sw.mutex.Lock()
	defer sw.mutex.Unlock()
	sw.current = fl
	close(sw.changed)
	sw.changed = make(chan struct{})
}

func (sw *Switch) get() (Fault, <-chan struct{}) {
	sw.mutex.Lock()
	defer sw.mutex.Unlock()
	return sw.current, sw.changed
}

func (sw *Switch) takeDrop() bool {
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
			sw.control(rw, rq)
			return
		}
		if strings.HasPrefix(rq.URL.Path, "/standin/") {
			next.ServeHTTP(rw, rq)
			return
		}
		sw.serve(rw, rq, next)
	})
}

func (sw *Switch) serve(rw http.ResponseWriter, rq *http.Request, next http.Handler) {
	fl, ok := sw.pass(rq)
	if !ok {
		return
	}
	if !fl.matches(rq) {
		next.ServeHTTP(rw, rq)
		return
	}
	if fl.Refuse != 0 {
		rw.WriteHeader(fl.Refuse)
		return
	}
	if fl.DropAnswers > 0 && sw.takeDrop() {
		next.ServeHTTP(httptest.NewRecorder(), rq)
		panic(http.ErrAbortHandler)
	}
	next.ServeHTTP(rw, rq)
}

// pass waits out delays and freezes and returns the fault in force afterwards.
func (sw *Switch) pass(rq *http.Request) (Fault, bool) {
	for {
		fl, changed := sw.get()
		if !fl.matches(rq) || !fl.Freeze && fl.Delay == 0 {
			return fl, true
		}
		var after <-chan time.Time
		if !fl.Freeze {
			after = time.After(fl.Delay)
		}
		select {
		case <-after:
			return fl, true
		case <-changed:
		case <-rq.Context().Done():
			return fl, false
		}
	}
}

func (fl Fault) matches(rq *http.Request) bool {
	return strings.Contains(rq.Method+" "+rq.URL.Path, fl.Match)
}

func (sw *Switch) control(rw http.ResponseWriter, rq *http.Request) {
	if rq.Method == http.MethodPut {
		var fl Fault
		if err := json.NewDecoder(rq.Body).Decode(&fl); err != nil {
			http.Error(rw, err.Error(), http.StatusBadRequest)
			return
		}
		sw.Set(fl)
	}
	current, _ := sw.get()
	rw.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(rw).Encode(current)
}
