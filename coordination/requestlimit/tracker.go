// Package requestlimit makes all hosts together respect the request rates that backend servers name in their responses.
package requestlimit

import (
	"log/slog"
	"sync"
	"time"

	"github.com/uber-go/tally/v4"

	"github.com/hibiscuslever/hibiscuslever/coordination/membership"
	"github.com/hibiscuslever/hibiscuslever/state/serverlimit"
	"github.com/hibiscuslever/hibiscuslever/state/serverlist"
	"github.com/hibiscuslever/hibiscuslever/timer"
)

// Tracker holds what this host knows of the limits of servers, and exchanges it with the other hosts. It is safe for
// concurrent use.
type Tracker struct {
	clock   timer.Clock
	metrics tally.Scope
	logger  *slog.Logger
	// spreadFact sends a fact to all other hosts by gossip.
	spreadFact func(membership.Fact)
	// changed is called when a limit has changed.
	changed func()

	// cold knows the cold servers; nil if no service has any.
	cold *ColdStarts

	// mutex guards table.
	mutex sync.Mutex
	table *serverlimit.Table
}

// NewTracker returns a tracker that knows of no limits.
func NewTracker(clock timer.Clock, metrics tally.Scope, logger *slog.Logger, spreadFact func(membership.Fact), changed func()) *Tracker {
	return &Tracker{clock: clock, metrics: metrics, logger: logger, spreadFact: spreadFact, changed: changed, table: serverlimit.NewTable()}
}

// SetColdStarts makes the tracker respect the limits of cold servers. It must be called before the other methods.
func (tr *Tracker) SetColdStarts(cold *ColdStarts) { tr.cold = cold }

// ColdLimit returns the limit of a server while it is cold or may be; without a rate if it is warm.
func (tr *Tracker) ColdLimit(server serverlist.Server) serverlimit.ColdLimit {
	if tr.cold == nil {
		return serverlimit.ColdLimit{}
	}
	return tr.cold.Limit(server)
}

// RecordResponse records what a server's response to a request that was sent at sentAt says of the server's limit, and
// of the time for which it remains cold.
func (tr *Tracker) RecordResponse(server serverlist.Server, sentAt time.Time, named Named, successful bool) {
	if tr.cold != nil {
		tr.cold.recordReturn(server, sentAt)
		tr.cold.RecordAnswer(server, named.ColdFor)
	}
	if named.Invalid != "" {
		tr.metrics.Counter("request_limits_invalid").Inc(1)
		tr.logger.Warn("ignored an invalid request limit", "server", string(server.ID), "address", server.Address, "value", named.Invalid)
		return
	}
	tr.mutex.Lock()
	previous := tr.table.Rate(server)
	statement, changed := tr.table.Observe(tr.clock.Now(), serverlimit.Response{Server: server, SentAt: sentAt, Rate: named.Rate, Successful: successful})
	tr.mutex.Unlock()
	if !changed {
		return
	}
	tr.metrics.Counter("request_limits_named").Inc(1)
	tr.logger.Info("backend server changed its request limit", "server", string(server.ID), "address", server.Address, "limit_per_s", float64(statement.Rate),
		"previous_per_s", float64(previous), "version", statement.Version, "source", "its answer", "answer_ms", tr.clock.Now().Sub(sentAt).Milliseconds())
	tr.spreadFact(ToFact(statement))
	tr.changed()
}

// RecordLoss records that a request did not reach a server of a plain service, or that its connection was lost.
func (tr *Tracker) RecordLoss(server serverlist.Server) {
	if tr.cold != nil {
		tr.cold.RecordLoss(server)
	}
}

// Named is what the head of a response says of a limit.
type Named struct {
	// Rate is the rate that the response names; zero if it names none.
	Rate serverlimit.Rate
	// Invalid is the text that the response names instead of a rate; empty if there is none.
	Invalid string
	// ColdFor is how long the server remains cold; zero if the response does not say that it is cold.
	ColdFor time.Duration
}

// Learn takes statements of another host.
func (tr *Tracker) Learn(source string, statements ...serverlimit.Statement) {
	anyChanged := false
	for _, statement := range statements {
		tr.mutex.Lock()
		changed := tr.table.Learn(tr.clock.Now(), statement)
		tr.mutex.Unlock()
		if !changed {
			continue
		}
		anyChanged = true
		tr.logger.Info("learned a request limit of a backend server", "server_hash", uint64(statement.Server), "born", statement.StartedAtMillis,
			"limit_per_s", float64(statement.Rate), "version", statement.Version, "source", source)
		tr.spreadFact(ToFact(statement))
	}
	if anyChanged {
		tr.changed()
	}
}

// Rate returns the rate that a server named; zero if it has no limit.
func (tr *Tracker) Rate(server serverlist.Server) serverlimit.Rate {
	tr.mutex.Lock()
	defer tr.mutex.Unlock()
	return tr.table.Rate(server)
}

// Any reports whether any limit is or was known, or a service has cold servers.
func (tr *Tracker) Any() bool {
	if tr.cold != nil && tr.cold.AnyService() {
		return true
	}
	tr.mutex.Lock()
	defer tr.mutex.Unlock()
	return !tr.table.IsEmpty()
}

// Statements returns what is known of the limits of the given servers.
func (tr *Tracker) Statements(servers []serverlist.Server) []serverlimit.Statement {
	tr.mutex.Lock()
	defer tr.mutex.Unlock()
	return tr.table.Statements(servers, time.Time{})
}

// observedDuration is how long a response of a server is passed on directly to the hosts that count the server's
// requests. Later they know it by gossip.
const observedDuration = 2 * time.Second

// ObservedStatements returns what recent responses to this host said of the limits of the given servers.
func (tr *Tracker) ObservedStatements(servers []serverlist.Server) []serverlimit.Statement {
	tr.mutex.Lock()
	defer tr.mutex.Unlock()
	return tr.table.Statements(servers, tr.clock.Now().Add(-observedDuration))
}

// UpdateServers takes a new version of the list of servers.
func (tr *Tracker) UpdateServers(listed []serverlist.Server) {
	tr.mutex.Lock()
	defer tr.mutex.Unlock()
	tr.table.ForgetUnlisted(tr.clock.Now(), listed)
}
