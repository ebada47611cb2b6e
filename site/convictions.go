package site

import (
	"log/slog"
	"sync"
	"time"

	"github.com/uber-go/tally/v4"

	"github.com/hibiscuslever/hibiscuslever/coordination/conviction"
	"github.com/hibiscuslever/hibiscuslever/coordination/membership"
	"github.com/hibiscuslever/hibiscuslever/state/id"
	"github.com/hibiscuslever/hibiscuslever/state/quarantine"
	"github.com/hibiscuslever/hibiscuslever/timer"
)

const (
	// crashLimit is the number of crashes after which a content is refused: the users' bound begins with the third, and
	// servers that die by themselves twice under a request are to convict nobody.
	crashLimit = 3
	// convictionTTL is how long the content of requests that crash servers is remembered.
	convictionTTL = time.Hour
	// reportTTL is how long a silent server counts as crashed that no list shows as gone: three heartbeats, and the time to
	// read of it.
	reportTTL = 6 * time.Second
	// sharedFrom is the number of crashes from which on all hosts and the store know of a content. Before, its dispatcher does:
	// most servers that die leave one crash to each content that ran there.
	sharedFrom = 2
)

// keeperConfig returns the periods in which the host that reads the list of servers reads what the store keeps of crashes.
func keeperConfig() conviction.Config {
	return conviction.Config{
		TTL:                 convictionTTL,
		ReadWait:            4 * time.Second,
		ReadInterval:        time.Second,
		BatchDelay:          200 * time.Millisecond,
		AppendRetryInterval: time.Second,
		CallTimeout:         700 * time.Millisecond,
	}
}

// convictions holds crashes of servers by the content of requests, and shares them with all hosts.
type convictions struct {
	clock   timer.Service
	metrics tally.Scope
	logger  *slog.Logger
	// tell tells the dispatcher of a service, spread all hosts; keep has the store keep evidence.
	tell   func(id.Service, quarantine.Evidence)
	spread func(membership.Fact)
	keep   func(evidence ...quarantine.Evidence)

	mutex sync.Mutex
	table *quarantine.Table
}

func newConvictions(clock timer.Service, metrics tally.Scope, logger *slog.Logger, spread func(membership.Fact)) *convictions {
	return &convictions{
		clock: clock, metrics: metrics, logger: logger, spread: spread,
		table: quarantine.New(quarantine.Config{CrashLimit: crashLimit, TTL: convictionTTL, ReportTTL: reportTTL}),
	}
}

// QuarantineDecision says how a content may run now, and how long that holds if it may not.
func (cv *convictions) QuarantineDecision(fp id.Fingerprint) (quarantine.Decision, time.Duration) {
	cv.mutex.Lock()
	defer cv.mutex.Unlock()
	now := cv.clock.Now()
	decision := cv.table.Decide(now, fp)
	if decision != quarantine.Refuse && decision != quarantine.Hold {
		return decision, 0
	}
	return decision, cv.table.DecisionExpiresIn(now, fp)
}

// CrashConfirmedAt returns when the host learnt of a crash, if it did.
func (cv *convictions) CrashConfirmedAt(crash quarantine.CrashID) (time.Time, bool) {
	cv.mutex.Lock()
	defer cv.mutex.Unlock()
	return cv.table.FirstConfirmedAt(crash)
}

// AddEvidence takes evidence of the own host and tells the others.
func (cv *convictions) AddEvidence(service id.Service, ev quarantine.Evidence) {
	if cv.take(ev, "own") && !cv.share(ev.Fingerprint) {
		cv.tell(service, ev)
	}
}

// AddCrashEvidence takes evidence that a host told the own dispatcher.
func (cv *convictions) AddCrashEvidence(ev quarantine.Evidence) {
	if cv.take(ev, "host") {
		cv.share(ev.Fingerprint)
	}
}

// LearnGossipedEvidence takes evidence that all hosts are told.
func (cv *convictions) LearnGossipedEvidence(ev quarantine.Evidence) { cv.take(ev, "host") }

// LearnStoredEvidence takes evidence that the store kept, and tells the other hosts, which may not read it.
func (cv *convictions) LearnStoredEvidence(ev quarantine.Evidence) {
	if cv.take(ev, "store") {
		cv.spread(conviction.ToFact(ev))
	}
}

// RequestCompleted notes that a content has run to its end.
func (cv *convictions) RequestCompleted(service id.Service, fp id.Fingerprint) {
	cv.mutex.Lock()
	cleared := cv.table.RequestCompleted(cv.clock.Now(), fp)
	cv.mutex.Unlock()
	for _, ev := range cleared {
		cv.log(ev, "own")
	}
	if len(cleared) == 0 || cv.share(fp) {
		return
	}
	for _, ev := range cleared {
		cv.tell(service, ev)
	}
}

// take adds evidence to the table and reports whether it was news.
func (cv *convictions) take(ev quarantine.Evidence, source string) bool {
	cv.mutex.Lock()
	news := cv.table.Learn(cv.clock.Now(), ev)
	cv.mutex.Unlock()
	if news {
		cv.log(ev, source)
	}
	return news
}

// share tells all hosts, and has the store keep, what is known of a content with several crashes. It reports whether there
// are several.
func (cv *convictions) share(fp id.Fingerprint) bool {
	cv.mutex.Lock()
	known := cv.table.EvidenceFor(fp)
	cv.mutex.Unlock()
	if len(known) < sharedFrom {
		return false
	}
	var lasting []quarantine.Evidence
	for _, ev := range known {
		cv.spread(conviction.ToFact(ev))
		if ev.Status > quarantine.Reported {
			lasting = append(lasting, ev)
		}
	}
	cv.keep(lasting...)
	return true
}

func (cv *convictions) log(ev quarantine.Evidence, source string) {
	cv.mutex.Lock()
	crashes, decision := cv.table.ConfirmedCrashes(ev.Fingerprint), cv.table.Decide(cv.clock.Now(), ev.Fingerprint)
	cv.mutex.Unlock()
	cv.metrics.Tagged(map[string]string{"standing": ev.Status.String(), "source": source}).Counter("crashes_under_requests").Inc(1)
	cv.logger.Info("crash under a request", "fingerprint", ev.Fingerprint.String(), "crash", ev.Crash.String(), "standing", ev.Status.String(),
		"source", source, "crashes", crashes, "refused", decision == quarantine.Refuse, "held", decision == quarantine.Hold)
}
