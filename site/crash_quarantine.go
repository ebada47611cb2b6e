package site

import (
	"log/slog"
	"sync"
	"time"

	"github.com/uber-go/tally/v4"

	"github.com/hibiscuslever/hibiscuslever/coordination/crashlog"
	"github.com/hibiscuslever/hibiscuslever/coordination/membership"
	"github.com/hibiscuslever/hibiscuslever/state/id"
	"github.com/hibiscuslever/hibiscuslever/state/quarantine"
	"github.com/hibiscuslever/hibiscuslever/timer"
)

const (
	// crashLimit is the number of confirmed crashes at which requests with a content are refused. The users limit the
	// retries of such a request from its third crash on. Two crashes may have other causes and must not quarantine a
	// request.
	crashLimit = 3
	// quarantineTTL is how long the content of requests that crash servers is remembered.
	quarantineTTL = time.Hour
	// reportTTL is how long an unresponsive server counts as crashed while the list does not show it as gone: the time of
	// three heartbeats, and the time until the host has read the changed list.
	reportTTL = 6 * time.Second
	// minSharedCrashes is the number of crashes of a content from which on the evidence is sent to all hosts and stored.
	// With fewer crashes only the dispatcher of the service gets the evidence, because most crashed servers leave a single
	// crash with each content that was running on them.
	minSharedCrashes = 2
)

// evidenceSyncConfig returns the intervals and timeouts with which crash evidence is written to the store and read from
// it. Only the host that reads the list of servers for the fleet reads the evidence.
func evidenceSyncConfig() crashlog.Config {
	return crashlog.Config{
		TTL:                 quarantineTTL,
		ReadWait:            4 * time.Second,
		ReadInterval:        time.Second,
		BatchDelay:          200 * time.Millisecond,
		AppendRetryInterval: time.Second,
		CallTimeout:         700 * time.Millisecond,
	}
}

// crashQuarantine holds the evidence of which request contents crashed servers, and decides whether requests with a
// content may run. It exchanges the evidence with the other hosts and with the store. It implements the Quarantine
// interfaces of packages forward and broker, and is safe for concurrent use.
type crashQuarantine struct {
	clock   timer.Clock
	metrics tally.Scope
	logger  *slog.Logger
	// reportToDispatcher sends evidence to the dispatcher of a service.
	reportToDispatcher func(id.Service, quarantine.Evidence)
	// spreadFact sends a fact to all other hosts by gossip.
	spreadFact func(membership.Fact)
	// storeEvidence adds evidence to the store.
	storeEvidence func(evidence ...quarantine.Evidence)

	// mutex guards table.
	mutex sync.Mutex
	table *quarantine.Table
}

// newCrashQuarantine returns a quarantine without evidence. The caller sets reportToDispatcher and storeEvidence before
// its first use.
func newCrashQuarantine(clock timer.Clock, metrics tally.Scope, logger *slog.Logger, spreadFact func(membership.Fact)) *crashQuarantine {
	return &crashQuarantine{
		clock: clock, metrics: metrics, logger: logger, spreadFact: spreadFact,
		table: quarantine.New(quarantine.Config{CrashLimit: crashLimit, TTL: quarantineTTL, ReportTTL: reportTTL}),
	}
}

// QuarantineDecision returns whether and how a request content may run now and, if it is refused or held, how long that
// decision lasts.
func (cq *crashQuarantine) QuarantineDecision(fingerprint id.Fingerprint) (quarantine.Decision, time.Duration) {
	cq.mutex.Lock()
	defer cq.mutex.Unlock()
	now := cq.clock.Now()
	decision := cq.table.Decide(now, fingerprint)
	if decision != quarantine.Refuse && decision != quarantine.Hold {
		return decision, 0
	}
	return decision, cq.table.DecisionExpiresIn(now, fingerprint)
}

// CrashConfirmedAt returns when this host first learned that a crash was confirmed, and false if it has not.
func (cq *crashQuarantine) CrashConfirmedAt(crash quarantine.CrashID) (time.Time, bool) {
	cq.mutex.Lock()
	defer cq.mutex.Unlock()
	return cq.table.FirstConfirmedAt(crash)
}

// LearnLocalEvidence records evidence that this host found. It sends new evidence to all hosts if several crashes of
// the content are recorded, and otherwise to the dispatcher of the service.
func (cq *crashQuarantine) LearnLocalEvidence(service id.Service, evidence quarantine.Evidence) {
	if cq.learn(evidence, "own") && !cq.shareRepeatedCrashes(evidence.Fingerprint) {
		cq.reportToDispatcher(service, evidence)
	}
}

// LearnReportedEvidence records evidence that a host sent to this host, which is the dispatcher of the service. If
// several crashes of the content are now recorded, it sends the evidence to all hosts.
func (cq *crashQuarantine) LearnReportedEvidence(evidence quarantine.Evidence) {
	if cq.learn(evidence, "host") {
		cq.shareRepeatedCrashes(evidence.Fingerprint)
	}
}

// LearnGossipedEvidence records evidence that is spread to all hosts by gossip.
func (cq *crashQuarantine) LearnGossipedEvidence(evidence quarantine.Evidence) {
	cq.learn(evidence, "host")
}

// LearnStoredEvidence records evidence that was read from the store. It sends new evidence to the other hosts, because
// usually only one host reads the store.
func (cq *crashQuarantine) LearnStoredEvidence(evidence quarantine.Evidence) {
	if cq.learn(evidence, "store") {
		cq.spreadFact(crashlog.ToFact(evidence))
	}
}

// RequestCompleted records that a request with this content ran to its end, which clears the crashes of the content. It
// sends the cleared evidence to all hosts if several crashes are recorded, and otherwise to the dispatcher of the
// service.
func (cq *crashQuarantine) RequestCompleted(service id.Service, fingerprint id.Fingerprint) {
	cq.mutex.Lock()
	cleared := cq.table.RequestCompleted(cq.clock.Now(), fingerprint)
	cq.mutex.Unlock()
	for _, evidence := range cleared {
		cq.logEvidence(evidence, "own")
	}
	if len(cleared) == 0 || cq.shareRepeatedCrashes(fingerprint) {
		return
	}
	for _, evidence := range cleared {
		cq.reportToDispatcher(service, evidence)
	}
}

// learn records evidence and reports whether it was new. The source of new evidence appears in logs and metrics.
func (cq *crashQuarantine) learn(evidence quarantine.Evidence, source string) bool {
	cq.mutex.Lock()
	isNew := cq.table.Learn(cq.clock.Now(), evidence)
	cq.mutex.Unlock()
	if isNew {
		cq.logEvidence(evidence, source)
	}
	return isNew
}

// shareRepeatedCrashes sends all evidence about a content to all hosts if at least minSharedCrashes crashes are
// recorded, and reports whether they are. Evidence about crashes that are confirmed or cleared is also stored.
func (cq *crashQuarantine) shareRepeatedCrashes(fingerprint id.Fingerprint) bool {
	cq.mutex.Lock()
	recorded := cq.table.EvidenceFor(fingerprint)
	cq.mutex.Unlock()
	if len(recorded) < minSharedCrashes {
		return false
	}
	var conclusive []quarantine.Evidence
	for _, evidence := range recorded {
		cq.spreadFact(crashlog.ToFact(evidence))
		if evidence.Status > quarantine.Reported {
			conclusive = append(conclusive, evidence)
		}
	}
	cq.storeEvidence(conclusive...)
	return true
}

// logEvidence logs and counts new evidence, together with the decision for the content that results from it.
func (cq *crashQuarantine) logEvidence(evidence quarantine.Evidence, source string) {
	cq.mutex.Lock()
	crashes, decision := cq.table.ConfirmedCrashes(evidence.Fingerprint), cq.table.Decide(cq.clock.Now(), evidence.Fingerprint)
	cq.mutex.Unlock()
	cq.metrics.Tagged(map[string]string{"standing": evidence.Status.String(), "source": source}).Counter("crashes_under_requests").Inc(1)
	cq.logger.Info("crash under a request", "fingerprint", evidence.Fingerprint.String(), "crash", evidence.Crash.String(), "standing", evidence.Status.String(),
		"source", source, "crashes", crashes, "refused", decision == quarantine.Refuse, "held", decision == quarantine.Hold)
}
