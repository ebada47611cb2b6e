// Package serverlimit records the request rates that backend servers accept from all hosts together. It is pure: it
// reads no clock and does no I/O.
//
// Hosts exchange what servers said as statements. Statements on the same process of a server are ordered by version, not
// by time, because the clocks of hosts may differ.
package serverlimit

import (
	"math"
	"strconv"
	"strings"
	"time"

	"github.com/go-faster/errors"

	"github.com/hibiscuslever/hibiscuslever/state/id"
	"github.com/hibiscuslever/hibiscuslever/state/serverlist"
)

// Rate is a number of requests per second; zero means that there is no limit.
type Rate float64

const (
	// minRate is the lowest rate in force. A server that gets no requests at all could not end its limit.
	minRate Rate = 0.1
	// maxRate is the highest rate that is a limit in practice; higher ones are lowered to it.
	maxRate Rate = 1_000_000
	// RatePrecision is the number of steps per request per second to which rates are rounded, so that they fit into a
	// statement.
	RatePrecision = 1000
)

// ErrInvalidRate is returned by ParseRate for a text that is not a rate.
var ErrInvalidRate = errors.New("the limit is not a decimal number of requests per second")

// ParseRate parses the rate that a server named. It raises rates below 0.1, zero included, to 0.1. It returns
// ErrInvalidRate for a negative or infinite rate and for anything that is not a decimal number.
func ParseRate(text string) (Rate, error) {
	parsed, err := strconv.ParseFloat(strings.TrimSpace(text), 64)
	if err != nil || math.IsNaN(parsed) || math.IsInf(parsed, 0) || parsed < 0 {
		return 0, ErrInvalidRate
	}
	return ClampRate(math.Round(min(parsed, float64(maxRate))*RatePrecision) / RatePrecision), nil
}

// ClampRate returns a number of requests per second as a rate, raised or lowered to the nearest one that can be in force.
func ClampRate(perSecond float64) Rate { return min(maxRate, max(minRate, Rate(perSecond))) }

// Statement is what one process of a server said last of its limit, as far as hosts know.
type Statement struct {
	Server id.ServerHash
	// StartedAtMillis is when the process started, in Unix milliseconds.
	StartedAtMillis int64
	// Version counts the changes of the rate. Of two statements with the same version, the one with the lower rate
	// applies.
	Version uint32
	// Rate is zero if the server ended its limit.
	Rate Rate
}

// overrides reports whether st applies instead of other.
func (st Statement) overrides(other Statement) bool {
	if st.StartedAtMillis != other.StartedAtMillis {
		return st.StartedAtMillis > other.StartedAtMillis
	}
	if st.Version != other.Version {
		return st.Version > other.Version
	}
	return st.Rate.tighterThan(other.Rate)
}

// tighterThan reports whether rt allows fewer requests than other.
func (rt Rate) tighterThan(other Rate) bool { return rt > 0 && (other == 0 || rt < other) }

// knownStatement is a statement and when this host learned it.
type knownStatement struct {
	Statement
	learnedAt time.Time
	// observedAt is when a response to this host last agreed with the statement; zero if none has.
	observedAt time.Time
}

// Table holds the newest statement on each server. It is not safe for concurrent use.
type Table struct {
	statements map[id.ServerHash]knownStatement
}

// NewTable returns a table without statements.
func NewTable() *Table { return &Table{statements: map[id.ServerHash]knownStatement{}} }

// Response is what the head of a server's response says of the server's limit.
type Response struct {
	Server serverlist.Server
	// SentAt is when the request was sent.
	SentAt time.Time
	// Rate is the rate that the response names; zero if it names none.
	Rate Rate
	// Successful says that the server ran the request successfully. Other responses do not end a limit.
	Successful bool
}

// Observe takes what a response says, and returns the new statement if it changes what is known. A response to a request
// that was sent before the known statement was learned may be older than that statement. It only makes a limit tighter.
func (tb *Table) Observe(now time.Time, response Response) (Statement, bool) {
	if response.Rate == 0 && tb.IsEmpty() {
		return Statement{}, false
	}
	hash, startedAtMillis := id.HashServer(response.Server.ID), response.Server.StartedAtMillis
	known, exists := tb.statements[hash]
	if !exists || known.StartedAtMillis < startedAtMillis {
		known = knownStatement{Statement: Statement{Server: hash, StartedAtMillis: startedAtMillis}}
	}
	switch {
	case exists && startedAtMillis == known.StartedAtMillis && response.Rate == known.Rate:
		known.observedAt = now
		tb.statements[hash] = known
		return Statement{}, false
	case startedAtMillis < known.StartedAtMillis, response.Rate == known.Rate, response.Rate == 0 && !response.Successful:
		return Statement{}, false
	case response.SentAt.Before(known.learnedAt) && !response.Rate.tighterThan(known.Rate):
		return Statement{}, false
	}
	known.Version++
	known.Rate = response.Rate
	known.learnedAt, known.observedAt = now, now
	tb.statements[hash] = known
	return known.Statement, true
}

// Learn takes a statement of another host and reports whether it changes what is known.
func (tb *Table) Learn(now time.Time, statement Statement) bool {
	known, exists := tb.statements[statement.Server]
	if exists && !statement.overrides(known.Statement) {
		return false
	}
	tb.statements[statement.Server] = knownStatement{Statement: statement, learnedAt: now}
	return true
}

// Rate returns the rate in force for a server; zero if it has no limit.
func (tb *Table) Rate(server serverlist.Server) Rate {
	if tb.IsEmpty() {
		return 0
	}
	known := tb.statements[id.HashServer(server.ID)]
	if known.StartedAtMillis != server.StartedAtMillis {
		return 0
	}
	return known.Rate
}

// IsEmpty reports whether no statement is known.
func (tb *Table) IsEmpty() bool { return len(tb.statements) == 0 }

// Statements returns the known statements on the listed servers, those that end a limit included, as far as a response
// to this host has agreed with them since the given time. The zero time includes all statements.
func (tb *Table) Statements(listed []serverlist.Server, since time.Time) []Statement {
	if tb.IsEmpty() {
		return nil
	}
	var statements []Statement
	for _, server := range listed {
		if known, exists := tb.statements[id.HashServer(server.ID)]; exists && known.StartedAtMillis == server.StartedAtMillis && !known.observedAt.Before(since) {
			statements = append(statements, known.Statement)
		}
	}
	return statements
}

// statementTTL is how long the statement on an unlisted server is kept. A server may be listed again after an outage of
// the store.
const statementTTL = time.Hour

// ForgetUnlisted drops the statements on processes that have been replaced, and expired statements on servers that are
// not listed.
func (tb *Table) ForgetUnlisted(now time.Time, listed []serverlist.Server) {
	if tb.IsEmpty() {
		return
	}
	startedAtMillis := make(map[id.ServerHash]int64, len(listed))
	for _, server := range listed {
		startedAtMillis[id.HashServer(server.ID)] = server.StartedAtMillis
	}
	for server, known := range tb.statements {
		listedStart, isListed := startedAtMillis[server]
		if listedStart > known.StartedAtMillis || !isListed && now.Sub(known.learnedAt) > statementTTL {
			delete(tb.statements, server)
		}
	}
}
