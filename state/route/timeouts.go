package route

import (
	"math"
	"time"
)

// PastTimeouts holds the timeouts that routes had in earlier desired states, as far as requests that arrived under them may
// still run. The zero value holds none.
type PastTimeouts struct {
	// byRoute holds the timeouts of a route by its name, the longest and earliest first. A timeout that a later one exceeds is
	// left out.
	byRoute map[string][]pastTimeout
}

// pastTimeout is a timeout that was in force until replacedAt.
type pastTimeout struct {
	timeout    time.Duration
	replacedAt time.Time
}

// maxRequestAge is the age up to which past timeouts are kept. It is longer than the time that clients may give a request.
const maxRequestAge = 2 * time.Hour

// noLimit stands for the timeout of a route without one.
const noLimit = time.Duration(math.MaxInt64)

// limitOf returns a timeout in a form that can be compared.
func limitOf(timeout time.Duration) time.Duration {
	if timeout <= 0 {
		return noLimit
	}
	return timeout
}

// Replace records that a desired state is replaced by the next one.
func (pt *PastTimeouts) Replace(now time.Time, replaced, next *Table) {
	if pt.byRoute == nil {
		pt.byRoute = map[string][]pastTimeout{}
	}
	for name, timeout := range replaced.timeoutsByRoute {
		if nextTimeout, found := next.timeoutsByRoute[name]; found && nextTimeout >= timeout {
			continue
		}
		past := pt.byRoute[name]
		for len(past) > 0 && past[len(past)-1].timeout <= timeout {
			past = past[:len(past)-1]
		}
		pt.byRoute[name] = append(past, pastTimeout{timeout, now})
	}
	for name, past := range pt.byRoute {
		for len(past) > 0 && now.Sub(past[0].replacedAt) > maxRequestAge {
			past = past[1:]
		}
		pt.byRoute[name] = past
		if len(past) == 0 {
			delete(pt.byRoute, name)
		}
	}
}

// Longest returns the longest timeout that a route has had since the arrival of a request, given the current desired state
// and the route as it was on arrival. Zero means that there was no limit at some time.
func (pt *PastTimeouts) Longest(current *Table, arrival Route, arrivedAt time.Time) time.Duration {
	longest := limitOf(arrival.Timeout)
	if timeout, found := current.timeoutsByRoute[arrival.Name]; found {
		longest = max(longest, timeout)
	}
	for _, past := range pt.byRoute[arrival.Name] {
		if !past.replacedAt.Before(arrivedAt) {
			longest = max(longest, past.timeout)
		}
	}
	if longest == noLimit {
		return 0
	}
	return longest
}
