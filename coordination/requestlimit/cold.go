package requestlimit

import (
	"context"
	"log/slog"
	"sync"
	"time"

	"github.com/uber-go/tally/v4"

	"github.com/hibiscuslever/hibiscuslever/coordination/membership"
	"github.com/hibiscuslever/hibiscuslever/state/coldstart"
	"github.com/hibiscuslever/hibiscuslever/state/id"
	"github.com/hibiscuslever/hibiscuslever/state/serverlimit"
	"github.com/hibiscuslever/hibiscuslever/state/serverlist"
	"github.com/hibiscuslever/hibiscuslever/timer"
)

// ColdService describes the cold servers of a service. The zero value is for a service that has none.
type ColdService struct {
	// Duration is how long a server is cold after its start.
	Duration time.Duration
	// Limit is the limit of a cold server.
	Limit serverlimit.ColdLimit
}

// HasColdServers reports whether servers of the service may be cold.
func (cs ColdService) HasColdServers() bool { return cs.Limit.Rate > 0 }

// ColdFleet gives access to what this host knows of the services and of the list of servers.
type ColdFleet interface {
	// ColdService describes the cold servers of a service.
	ColdService(service id.Service) ColdService
	// ListAge returns the time since the list was last known to be up to date.
	ListAge() time.Duration
}

// ColdStarts knows which servers are cold, logs changes and exchanges what servers said with the other hosts. It is safe
// for concurrent use.
type ColdStarts struct {
	clock   timer.Clock
	metrics tally.Scope
	logger  *slog.Logger
	fleet   ColdFleet
	// spreadFact sends a fact to all other hosts by gossip.
	spreadFact func(membership.Fact)
	// changed is called when a server may have become cold or warm.
	changed func()

	// mutex guards the following fields.
	mutex sync.Mutex
	book  *coldstart.Book
	// servers are the listed servers whose services have cold servers, and cold those of them that were cold when this was
	// last checked. listOutdated says whether the list was outdated then.
	servers      []serverlist.Server
	cold         map[id.BackendServer]bool
	listOutdated bool
}

// NewColdStarts returns an instance that knows of no servers.
func NewColdStarts(clock timer.Clock, metrics tally.Scope, logger *slog.Logger, fleet ColdFleet, spreadFact func(membership.Fact), changed func()) *ColdStarts {
	return &ColdStarts{
		clock: clock, metrics: metrics, logger: logger, fleet: fleet, spreadFact: spreadFact, changed: changed,
		book: coldstart.NewBook(), cold: map[id.BackendServer]bool{},
	}
}

// outdatedListAge is the age of the list from which on a server may have become cold without a trace in it.
const outdatedListAge = 3 * time.Second

// Limit returns the limit of a server while it is cold, or may be because the list is outdated. It has no rate if the
// server is warm.
func (cs *ColdStarts) Limit(server serverlist.Server) serverlimit.ColdLimit {
	service := cs.fleet.ColdService(server.Service)
	if !service.HasColdServers() {
		return serverlimit.ColdLimit{}
	}
	cs.mutex.Lock()
	now, listAge := cs.clock.Now(), cs.fleet.ListAge()
	isCold := cs.book.State(server, service.Duration).IsCold(now) || cs.isLost(server, now, listAge)
	cs.mutex.Unlock()
	limit := service.Limit
	switch {
	case isCold:
		return limit
	case listAge > outdatedListAge:
		limit.Assumed = true
		return limit
	default:
		return serverlimit.ColdLimit{}
	}
}

// isLost reports whether a server was lost at a time of which the list says nothing yet, and has not answered since. It may
// have started again. The caller holds the mutex.
func (cs *ColdStarts) isLost(server serverlist.Server, now time.Time, listAge time.Duration) bool {
	return listAge > outdatedListAge && cs.book.LostSince(server, now.Add(-listAge-outdatedListAge))
}

// RecordLoss records that a request of this host did not reach a server, or that its connection was lost.
func (cs *ColdStarts) RecordLoss(server serverlist.Server) {
	if !cs.fleet.ColdService(server.Service).HasColdServers() {
		return
	}
	cs.mutex.Lock()
	defer cs.mutex.Unlock()
	cs.book.Lose(cs.clock.Now(), server)
}

// recordReturn takes an answer to a request that was sent at sentAt. A server that was lost while the list is outdated may
// have started at any time before the answer, and counts as cold from then on. The other hosts learn it, too.
func (cs *ColdStarts) recordReturn(server serverlist.Server, sentAt time.Time) {
	service := cs.fleet.ColdService(server.Service)
	if !service.HasColdServers() {
		return
	}
	now, listAge := cs.clock.Now(), cs.fleet.ListAge()
	hash := id.HashServer(server.ID)
	cs.mutex.Lock()
	wasLost := cs.isLost(server, now, listAge)
	returned := cs.book.Find(hash, sentAt) && wasLost
	if returned {
		cs.book.Tell(now, hash, service.Duration, coldstart.Returned)
	}
	cs.mutex.Unlock()
	if !returned {
		return
	}
	cs.spreadFact(coldFact(now, server, service.Duration))
	if cs.check() {
		cs.changed()
	}
}

// UpdateServers takes a new version of the list of servers, or of the desired state.
func (cs *ColdStarts) UpdateServers(listed []serverlist.Server) {
	cs.mutex.Lock()
	cs.book.UpdateList(cs.clock.Now(), listed)
	cs.servers = nil
	for _, server := range listed {
		if cs.fleet.ColdService(server.Service).HasColdServers() {
			cs.servers = append(cs.servers, server)
		}
	}
	cs.mutex.Unlock()
	cs.check()
}

// negligibleTime is the longest time for which a server remains cold that is over before the hosts have learned of it. A
// server that is known to be cold and says that it remains so for longer by no more than that is not reported again.
const negligibleTime = 100 * time.Millisecond

// RecordAnswer records for how long a server remains cold according to its answer to this host; zero if the answer does
// not say that it is cold. It tells the other hosts if they may take the server for warm before that.
func (cs *ColdStarts) RecordAnswer(server serverlist.Server, remaining time.Duration) {
	service := cs.fleet.ColdService(server.Service)
	if remaining <= negligibleTime || !service.HasColdServers() {
		return
	}
	now := cs.clock.Now()
	cs.mutex.Lock()
	knownRemaining := max(0, cs.book.State(server, service.Duration).Until.Sub(now))
	isNew := cs.book.Tell(now, id.HashServer(server.ID), remaining, coldstart.Answered)
	cs.mutex.Unlock()
	if !isNew || remaining-knownRemaining <= negligibleTime {
		return
	}
	cs.spreadFact(coldFact(now, server, remaining))
	if cs.check() {
		cs.changed()
	}
}

const (
	// remainingBits is the number of low bits of a fact's value that hold the remaining time in milliseconds. The bits above
	// hold the time of the answer, so that of two answers the later one wins.
	remainingBits = 20
	// maxFactAge is the age from which on a fact says nothing any more, and the largest difference of two hosts' clocks for
	// which facts count.
	maxFactAge = 30 * time.Second
)

// coldFact returns the fact that a server answered at now that it remains cold for a time.
func coldFact(now time.Time, server serverlist.Server, remaining time.Duration) membership.Fact {
	remainingMillis := min(remaining.Milliseconds(), 1<<remainingBits-1)
	return membership.Fact{
		Kind: membership.ColdFact, Key: uint64(id.HashServer(server.ID)), Detail: uint64(server.StartedAtMillis),
		Value: now.UnixMilli()<<remainingBits | remainingMillis,
	}
}

// LearnFact takes the fact of another host that a server answered that it is cold. The remaining time counts from now,
// because the clocks of hosts differ.
func (cs *ColdStarts) LearnFact(fact membership.Fact) {
	now := cs.clock.Now()
	if age := now.Sub(time.UnixMilli(fact.Value >> remainingBits)); age > maxFactAge || age < -maxFactAge {
		return
	}
	remaining := time.Duration(fact.Value&(1<<remainingBits-1)) * time.Millisecond
	cs.mutex.Lock()
	for _, server := range cs.servers {
		if uint64(id.HashServer(server.ID)) == fact.Key && uint64(server.StartedAtMillis) == fact.Detail {
			cs.book.Tell(now, id.HashServer(server.ID), remaining, coldstart.Reported)
			// Otherwise the first answer to each host would make the server count as cold for longer.
			cs.book.Find(id.HashServer(server.ID), now)
		}
	}
	cs.mutex.Unlock()
	if cs.check() {
		cs.changed()
	}
}

// AnyService reports whether a service has cold servers.
func (cs *ColdStarts) AnyService() bool {
	cs.mutex.Lock()
	defer cs.mutex.Unlock()
	return len(cs.servers) > 0
}

// Count returns the number of listed servers that are known to be cold.
func (cs *ColdStarts) Count() int {
	cs.mutex.Lock()
	defer cs.mutex.Unlock()
	return len(cs.cold)
}

// checkInterval is the time between two checks of which servers have become warm.
const checkInterval = 100 * time.Millisecond

// Run notices when servers become warm and when the list becomes outdated, until the context ends. It always returns nil.
func (cs *ColdStarts) Run(ctx context.Context) error {
	subscription := timer.Every(cs.clock, checkInterval, func() {
		if cs.mayChange() && cs.check() {
			cs.changed()
		}
	})
	<-ctx.Done()
	subscription.Stop()
	return nil
}

// mayChange reports whether a server may have become warm, or the list outdated or up to date, since the last check.
func (cs *ColdStarts) mayChange() bool {
	cs.mutex.Lock()
	defer cs.mutex.Unlock()
	return len(cs.cold) > 0 || cs.outdated(cs.fleet.ListAge()) != cs.listOutdated
}

// outdated reports whether servers may have become cold unnoticed, for an age of the list. The caller holds the mutex.
func (cs *ColdStarts) outdated(listAge time.Duration) bool {
	return len(cs.servers) > 0 && listAge > outdatedListAge
}

// check logs which servers have become cold or warm since the last check, and reports whether there are any.
func (cs *ColdStarts) check() bool {
	cs.mutex.Lock()
	defer cs.mutex.Unlock()
	now, listAge := cs.clock.Now(), cs.fleet.ListAge()
	anyChanged := false
	if outdated := cs.outdated(listAge); outdated != cs.listOutdated {
		cs.listOutdated, anyChanged = outdated, true
		cs.logger.Info("servers may have become cold unnoticed", "applies", outdated, "list_age_ms", listAge.Milliseconds(), "servers", len(cs.servers))
	}
	cold := map[id.BackendServer]bool{}
	changes := map[coldChange]changedServers{}
	for _, server := range cs.servers {
		state := cs.book.State(server, cs.fleet.ColdService(server.Service).Duration)
		isCold := state.IsCold(now)
		if isCold {
			cold[server.ID] = true
		}
		if isCold != cs.cold[server.ID] {
			change := coldChange{server.Service, server.AvailabilityZone, isCold, state.Source}
			changes[change] = changes[change].with(server.ID, state.Until)
		}
	}
	cs.cold = cold
	for change, servers := range changes {
		cs.logChange(now, change, servers, listAge)
	}
	return anyChanged || len(changes) > 0
}

// coldChange is what servers that became cold or warm at the same time have in common.
type coldChange struct {
	service id.Service
	zone    id.AvailabilityZone
	isCold  bool
	source  coldstart.Source
}

// changedServers are servers with the same change, and the time until which the last of them counts as cold.
type changedServers struct {
	names []string
	until time.Time
}

// with returns the servers and one more.
func (cs changedServers) with(server id.BackendServer, until time.Time) changedServers {
	if until.After(cs.until) {
		cs.until = until
	}
	cs.names = append(cs.names, string(server))
	return cs
}

// logChange logs that servers became cold or warm.
func (cs *ColdStarts) logChange(now time.Time, change coldChange, servers changedServers, listAge time.Duration) {
	const maxNames = 8
	if change.isCold {
		cs.metrics.Counter("servers_turned_cold").Inc(int64(len(servers.names)))
	}
	cs.logger.Info("backend servers became cold or warm", "service", string(change.service), "zone", string(change.zone), "cold", change.isCold,
		"count", len(servers.names), "first", servers.names[:min(maxNames, len(servers.names))], "source", string(change.source),
		"remaining_ms", max(0, servers.until.Sub(now)).Milliseconds(), "limit_per_s", float64(cs.fleet.ColdService(change.service).Limit.Rate),
		"list_age_ms", listAge.Milliseconds())
}
