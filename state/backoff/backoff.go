// Package backoff records which backend servers have asked for backoff or are out of reach of the host, and limits the
// requests that they receive afterwards. It is pure: it reads no clock and does no I/O.
//
// It addresses the load pattern in which all servers of a service are full and each asks every host to retry after the
// same time. Each host then retries after a slightly different time and with one request, instead of sending all the
// requests that have accumulated.
package backoff

import (
	"math/rand/v2"
	"time"

	"github.com/hibiscuslever/hibiscuslever/state/id"
	"github.com/hibiscuslever/hibiscuslever/state/serverlist"
)

const (
	// maxJitterShare is the largest jitter that is added to a backoff, as a share of its duration, so that hosts do not
	// retry at the same time.
	maxJitterShare = 0.25
	// maxJitter is the largest jitter in absolute terms.
	maxJitter = time.Second
	// trialTimeout is how long a trial request, which is sent after the end of a backoff, keeps other requests from the
	// server if it gets no response.
	trialTimeout = time.Second
	// maxBackoff is the longest backoff that a server may ask for, without the jitter. Longer ones are cut to it.
	maxBackoff = 10 * time.Minute
)

// serverBackoff is the backoff of one server. It stays in the table after its end, until the server accepts a request.
type serverBackoff struct {
	service id.Service
	// startedAtMillis is when the server started, in Unix milliseconds. Another value under the same ID means that the
	// server has restarted, which ends the backoff.
	startedAtMillis int64
	backoffUntil    time.Time
	// askedUntil is the end of the backoff that the server itself asked for; zero if the host alone decided on it.
	askedUntil time.Time
	// lastSentAt is when a request was last sent to the server; zero if none was sent since the server last asked for
	// backoff. A request that is sent after the backoff is a trial.
	lastSentAt time.Time
}

// Table holds the backoffs of servers. It is not safe for concurrent use.
type Table struct {
	random   *rand.Rand
	backoffs map[id.BackendServer]*serverBackoff
}

// New returns an empty table. The seed determines the jitter.
func New(seed uint64) *Table {
	return &Table{random: rand.New(rand.NewPCG(seed, seed)), backoffs: map[id.BackendServer]*serverBackoff{}}
}

// RecordBackoff records that a server has asked for backoff. A backoff that would end before the current one does not
// shorten it.
func (tb *Table) RecordBackoff(now time.Time, server serverlist.Server, duration time.Duration) {
	entry, backoffUntil := tb.extend(now, server, duration)
	if backoffUntil.After(entry.askedUntil) {
		entry.askedUntil = backoffUntil
	}
}

// RecordUnreachable records that the host sends nothing to a server for a time, although the server did not ask for it. A
// backoff that would end before the current one does not shorten it.
func (tb *Table) RecordUnreachable(now time.Time, server serverlist.Server, duration time.Duration) {
	tb.extend(now, server, duration)
}

// extend makes the backoff of a server last at least for a time, and returns it and the end of that time.
func (tb *Table) extend(now time.Time, server serverlist.Server, duration time.Duration) (*serverBackoff, time.Time) {
	duration = min(duration, maxBackoff)
	duration += time.Duration(tb.random.Float64() * min(maxJitterShare*float64(duration), float64(maxJitter)))
	entry, exists := tb.backoffs[server.ID]
	if !exists || entry.startedAtMillis != server.StartedAtMillis {
		entry = &serverBackoff{service: server.Service, startedAtMillis: server.StartedAtMillis}
		tb.backoffs[server.ID] = entry
	}
	entry.lastSentAt = time.Time{}
	backoffUntil := now.Add(duration)
	if backoffUntil.After(entry.backoffUntil) {
		entry.backoffUntil = backoffUntil
	}
	return entry, backoffUntil
}

// AllowsRequest reports whether a request may be sent to a server now: either the server has no backoff, or the backoff
// is over and, if the server asked for it, no request was sent within trialTimeout.
func (tb *Table) AllowsRequest(now time.Time, server serverlist.Server) bool {
	entry, exists := tb.backoffs[server.ID]
	if !exists || entry.startedAtMillis != server.StartedAtMillis {
		return true
	}
	return !now.Before(entry.backoffUntil) && (entry.askedUntil.IsZero() || now.Sub(entry.lastSentAt) >= trialTimeout)
}

// RecordSent records that a request is sent to a server.
func (tb *Table) RecordSent(now time.Time, server id.BackendServer) {
	if entry, exists := tb.backoffs[server]; exists {
		entry.lastSentAt = now
	}
}

// RecordAccepted records that a server has accepted a request. If its backoff is over, the server may receive any
// number of requests again. During the backoff it has no effect, because the request was sent before the server asked
// for it.
func (tb *Table) RecordAccepted(now time.Time, server id.BackendServer) {
	if entry, exists := tb.backoffs[server]; exists && !now.Before(entry.backoffUntil) {
		delete(tb.backoffs, server)
	}
}

// BackoffUntil returns the end of a server's backoff, or false if the server has none or it is over.
func (tb *Table) BackoffUntil(now time.Time, server id.BackendServer) (time.Time, bool) {
	entry, exists := tb.backoffs[server]
	if !exists || !now.Before(entry.backoffUntil) {
		return time.Time{}, false
	}
	return entry.backoffUntil, true
}

// AskedUntil returns the end of the backoff that a server asked for, or false if it asked for none or it is over.
func (tb *Table) AskedUntil(now time.Time, server id.BackendServer) (time.Time, bool) {
	entry, exists := tb.backoffs[server]
	if !exists || !now.Before(entry.askedUntil) {
		return time.Time{}, false
	}
	return entry.askedUntil, true
}

// MinWait returns the shortest time until the backoff of any of the servers ends. It is zero if one of them has no
// backoff or it is over, and if there are no servers.
func (tb *Table) MinWait(now time.Time, servers []serverlist.Server) time.Duration {
	minWait := time.Duration(0)
	for index, server := range servers {
		wait := time.Duration(0)
		if backoffUntil, backsOff := tb.BackoffUntil(now, server.ID); backsOff {
			wait = backoffUntil.Sub(now)
		}
		if index == 0 || wait < minWait {
			minWait = wait
		}
	}
	return minWait
}

// ServiceBackoffs returns the ends of all backoffs of a service's servers that are not over; nil if there are none.
func (tb *Table) ServiceBackoffs(now time.Time, service id.Service) map[id.BackendServer]time.Time {
	var backoffUntil map[id.BackendServer]time.Time
	for server, entry := range tb.backoffs {
		if entry.service != service || !now.Before(entry.backoffUntil) {
			continue
		}
		if backoffUntil == nil {
			backoffUntil = map[id.BackendServer]time.Time{}
		}
		backoffUntil[server] = entry.backoffUntil
	}
	return backoffUntil
}

// ForgetUnlisted drops the backoffs of servers that are not listed or have restarted.
func (tb *Table) ForgetUnlisted(listed []serverlist.Server) {
	if len(tb.backoffs) == 0 {
		return
	}
	startedAtMillis := make(map[id.BackendServer]int64, len(listed))
	for _, server := range listed {
		startedAtMillis[server.ID] = server.StartedAtMillis
	}
	for server, entry := range tb.backoffs {
		if listedStart, listed := startedAtMillis[server]; !listed || listedStart != entry.startedAtMillis {
			delete(tb.backoffs, server)
		}
	}
}
