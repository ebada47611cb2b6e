// Package coldstart decides which servers count as cold. A server is cold for some time after it has started, and may
// become cold again at any moment.
package coldstart

import (
	"time"

	"github.com/hibiscuslever/hibiscuslever/state/id"
	"github.com/hibiscuslever/hibiscuslever/state/serverlist"
)

// Source says what made a server count as cold.
type Source string

// Sources.
const (
	// Listed means that the server's entry in the list says so.
	Listed Source = "its entry"
	// Started means that the server's process is new to this host.
	Started Source = "new in the list"
	// Answered means that an answer of the server to this host says so.
	Answered Source = "its answer"
	// Reported means that another host reported such an answer.
	Reported Source = "another host"
	// Returned means that the server answered for the first time after it was lost.
	Returned Source = "its return"
)

// State says until when a server counts as cold, and why.
type State struct {
	// Until is when the server counts as warm; zero if it was never known to be cold.
	Until  time.Time
	Source Source
}

// IsCold reports whether the server counts as cold.
func (st State) IsCold(now time.Time) bool { return now.Before(st.Until) }

// later returns the state that ends last.
func (st State) later(other State) State {
	if other.Until.After(st.Until) {
		return other
	}
	return st
}

// knownServer is what a host knows of the process of a server.
type knownServer struct {
	startedAtMillis int64
	// startedAt is when the process started, or when this host first saw it listed if it did not see it start.
	startedAt time.Time
	// told is what answers of the server said, to this host or another one.
	told State
	// lostAt is when a request to the server was last lost without an answer to a later one; zero if none was.
	lostAt time.Time
}

// Book holds what a host knows of the listed servers. It is not safe for concurrent use.
type Book struct {
	servers map[id.ServerHash]knownServer
	// hasList says that a list was received.
	hasList bool
}

// NewBook returns a book that knows of no servers.
func NewBook() *Book { return &Book{servers: map[id.ServerHash]knownServer{}} }

// UpdateList takes a new version of the list. A process that was not listed before counts as started now, because
// nothing is known of the time before. Those in the first list are judged by their start times, as far as they are known.
func (bk *Book) UpdateList(now time.Time, listed []serverlist.Server) {
	servers := make(map[id.ServerHash]knownServer, len(listed))
	for _, server := range listed {
		hash := id.HashServer(server.ID)
		known, exists := bk.servers[hash]
		switch {
		case exists && known.startedAtMillis == server.StartedAtMillis:
		case !bk.hasList:
			known = knownServer{startedAtMillis: server.StartedAtMillis, startedAt: startInFirstList(now, server)}
		default:
			known = knownServer{startedAtMillis: server.StartedAtMillis, startedAt: now}
		}
		servers[hash] = known
	}
	bk.servers, bk.hasList = servers, true
}

// startInFirstList returns when a server started according to its start time; zero if it has none. A start in the future,
// which clocks that differ can show, counts as now.
func startInFirstList(now time.Time, server serverlist.Server) time.Time {
	if server.StartedAtMillis <= 0 {
		return time.Time{}
	}
	// Only the age is taken from the time of day.
	age := time.Duration(now.UnixMilli()-server.StartedAtMillis) * time.Millisecond
	if age < 0 {
		return now
	}
	return now.Add(-age)
}

// Tell takes what an answer said of the time for which a listed server remains cold. It reports whether the server counts
// as cold for longer than answers said before. An answer that names no time ends nothing.
func (bk *Book) Tell(now time.Time, server id.ServerHash, remaining time.Duration, source Source) bool {
	known, exists := bk.servers[server]
	if !exists || remaining <= 0 {
		return false
	}
	told := State{Until: now.Add(remaining), Source: source}
	if !told.Until.After(known.told.Until) {
		return false
	}
	known.told = told
	bk.servers[server] = known
	return true
}

// Lose takes that a request did not reach a listed server, or that its connection was lost. The server may have ended.
func (bk *Book) Lose(now time.Time, server serverlist.Server) {
	hash := id.HashServer(server.ID)
	known, exists := bk.servers[hash]
	if !exists || known.startedAtMillis != server.StartedAtMillis {
		return
	}
	known.lostAt = now
	bk.servers[hash] = known
}

// LostSince reports whether a server was lost at a time or later and has not answered since.
func (bk *Book) LostSince(server serverlist.Server, since time.Time) bool {
	known, exists := bk.servers[id.HashServer(server.ID)]
	return exists && known.startedAtMillis == server.StartedAtMillis && !known.lostAt.IsZero() && !known.lostAt.Before(since)
}

// Find takes that a server answered a request that was sent at sentAt. It ends what Lose began, and reports whether the
// server was lost before that request.
func (bk *Book) Find(server id.ServerHash, sentAt time.Time) bool {
	known, exists := bk.servers[server]
	if !exists || known.lostAt.IsZero() || sentAt.Before(known.lostAt) {
		return false
	}
	known.lostAt = time.Time{}
	bk.servers[server] = known
	return true
}

// State returns until when a listed server counts as cold, where a server of its service is cold for period after it has
// started.
func (bk *Book) State(server serverlist.Server, period time.Duration) State {
	state := State{Until: server.ColdUntil, Source: Listed}
	known, exists := bk.servers[id.HashServer(server.ID)]
	if !exists || known.startedAtMillis != server.StartedAtMillis {
		return state
	}
	if !known.startedAt.IsZero() {
		state = state.later(State{Until: known.startedAt.Add(period), Source: Started})
	}
	return state.later(known.told)
}
