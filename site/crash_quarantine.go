package site

import (
	"log/slog"
	"slices"
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
	// isolatedCrashLimit, partCrashLimit and soundCrashLimit are the limits of parts of prompts (quarantine.PartConfig).
	// The users limit the requests with a part from its fifth crash on; the first crash only makes a part suspect.
	isolatedCrashLimit = 2
	partCrashLimit     = 4
	soundCrashLimit    = 3
	// soundPartTTL is how long a completed answer protects the parts of its prompt.
	soundPartTTL = 10 * time.Minute
	// firstPartRetrial is the time after which a request with a refused part is tried again. Nothing else shows that a
	// change of the engines has made the part harmless.
	firstPartRetrial = 2 * time.Minute
	// minSharedCrashes is the number of crashes of a content from which on the evidence is sent to all hosts. With fewer
	// crashes only the dispatcher of the service gets the evidence and stores it, because most crashed servers leave a single
	// crash with each content that was running on them.
	minSharedCrashes = 2
	// maxFirstCrashes is the number of single crashes that a host stores in firstCrashPeriod: 150 kB. Beyond it so many
	// servers crash at once that a single crash says little of a content.
	maxFirstCrashes  = 1000
	firstCrashPeriod = 10 * time.Minute
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
		MinShared:           minSharedCrashes,
		FirstCrashes:        maxFirstCrashes,
		FirstCrashPeriod:    firstCrashPeriod,
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
	// storeFirstCrash adds evidence about a fingerprint with a single crash to the store, unless there is too much of it.
	storeFirstCrash func(quarantine.Evidence)
	// evidenceChanged is called after evidence was learned or cleared, except by LearnReportedEvidence.
	evidenceChanged func()

	// mutex guards table.
	mutex sync.Mutex
	table *quarantine.Table
}

// newCrashQuarantine returns a quarantine without evidence. The caller sets the other functions of the quarantine before
// its first use.
func newCrashQuarantine(clock timer.Clock, metrics tally.Scope, logger *slog.Logger, spreadFact func(membership.Fact)) *crashQuarantine {
	return &crashQuarantine{
		clock: clock, metrics: metrics, logger: logger, spreadFact: spreadFact,
		table: quarantine.New(quarantine.Config{CrashLimit: crashLimit, TTL: quarantineTTL, ReportTTL: reportTTL, Parts: quarantine.PartConfig{
			IsolatedCrashLimit: isolatedCrashLimit, CrashLimit: partCrashLimit, SoundTTL: soundPartTTL, SoundCrashLimit: soundCrashLimit, FirstRetrial: firstPartRetrial,
		}}),
	}
}

// Judge returns whether and how a request may run now.
func (cq *crashQuarantine) Judge(content quarantine.Content) quarantine.Verdict {
	cq.mutex.Lock()
	defer cq.mutex.Unlock()
	return cq.table.Judge(cq.clock.Now(), content)
}

// EvidenceAbout returns what counts against the parts of a prompt.
func (cq *crashQuarantine) EvidenceAbout(parts []id.PromptPart) []quarantine.Evidence {
	cq.mutex.Lock()
	defer cq.mutex.Unlock()
	var evidence []quarantine.Evidence
	for _, part := range parts {
		evidence = append(evidence, countingEvidence(cq.table.EvidenceFor(part.Fingerprint()))...)
	}
	return evidence
}

// countingEvidence returns the evidence that still counts against its fingerprint.
func countingEvidence(evidence []quarantine.Evidence) []quarantine.Evidence {
	return slices.DeleteFunc(evidence, func(ev quarantine.Evidence) bool { return ev.Status == quarantine.Cleared })
}

// CrashConfirmedAt returns when this host first learned that a crash was confirmed, and false if it has not.
func (cq *crashQuarantine) CrashConfirmedAt(crash quarantine.CrashID) (time.Time, bool) {
	cq.mutex.Lock()
	defer cq.mutex.Unlock()
	return cq.table.FirstConfirmedAt(crash)
}

// LearnLocalEvidence records evidence that this host found. It sends new evidence to the dispatcher of the service, and
// to all hosts if several crashes count against its fingerprint.
func (cq *crashQuarantine) LearnLocalEvidence(service id.Service, evidence ...quarantine.Evidence) {
	for _, ev := range evidence {
		if cq.learn(ev, "own") {
			// The dispatcher must have the evidence before the end of the attempt, and gossip is slower than a report.
			cq.reportToDispatcher(service, ev)
			cq.shareRepeatedCrashes(ev.Fingerprint)
		}
	}
	cq.evidenceChanged()
}

// LearnReportedEvidence records evidence that a host, perhaps this one, sent to the dispatcher of the service on this host.
// If several crashes of the content are now recorded, it sends the evidence to all hosts. Otherwise it only stores it, so
// that it outlives the hosts that know of it.
func (cq *crashQuarantine) LearnReportedEvidence(evidence quarantine.Evidence) {
	if cq.learn(evidence, "host") {
		cq.shareRepeatedCrashes(evidence.Fingerprint)
	}
	if evidence.Status != quarantine.Reported && cq.markStored(evidence) {
		cq.storeFirstCrash(evidence)
	}
}

// markStored records that evidence is going to be stored, and reports whether it was not marked before.
func (cq *crashQuarantine) markStored(evidence quarantine.Evidence) bool {
	cq.mutex.Lock()
	defer cq.mutex.Unlock()
	return cq.table.MarkStored(evidence)
}

// LearnGossipedEvidence records evidence that is spread to all hosts by gossip.
func (cq *crashQuarantine) LearnGossipedEvidence(evidence quarantine.Evidence) {
	if cq.learn(evidence, "host") {
		cq.evidenceChanged()
	}
}

// LearnStoredEvidence records evidence that was read from the store. If several crashes of a content count, or did, it sends
// what is known of them to the other hosts, because usually only one host reads the store. The crashes may have been found
// by hosts of which none knows of more than one. What is cleared is sent too, for hosts that do not know that yet.
func (cq *crashQuarantine) LearnStoredEvidence(evidence ...quarantine.Evidence) {
	// shared says of each fingerprint with new evidence whether several crashes counted against it, before or now.
	shared := map[id.Fingerprint]bool{}
	for _, ev := range evidence {
		sharedBefore := cq.hasRepeatedCrashes(ev.Fingerprint)
		if cq.learn(ev, "store") {
			shared[ev.Fingerprint] = shared[ev.Fingerprint] || sharedBefore || cq.hasRepeatedCrashes(ev.Fingerprint)
		}
		cq.markStored(ev)
	}
	for fingerprint, isShared := range shared {
		if !isShared {
			continue
		}
		cq.mutex.Lock()
		known := cq.table.EvidenceFor(fingerprint)
		cq.mutex.Unlock()
		for _, ev := range known {
			cq.spreadFact(crashlog.ToFact(ev))
		}
	}
	if len(shared) > 0 {
		cq.evidenceChanged()
	}
}

// hasRepeatedCrashes reports whether at least minSharedCrashes crashes count against a fingerprint.
func (cq *crashQuarantine) hasRepeatedCrashes(fingerprint id.Fingerprint) bool {
	cq.mutex.Lock()
	defer cq.mutex.Unlock()
	return len(countingEvidence(cq.table.EvidenceFor(fingerprint))) >= minSharedCrashes
}

// RequestCompleted records that a request ran to its end, which clears the crashes of its content and of the parts of
// its prompt.
func (cq *crashQuarantine) RequestCompleted(service id.Service, content quarantine.Content) {
	cq.mutex.Lock()
	cleared := cq.table.RequestCompleted(cq.clock.Now(), content.Fingerprint)
	cq.mutex.Unlock()
	cq.shareCleared(service, cleared)
	cq.PartsCompleted(service, content.PromptParts)
}

// PartsCompleted records that an engine of a service answered a prompt with the given parts without crashing, which
// clears the crashes of the parts. It reports whether there were any.
func (cq *crashQuarantine) PartsCompleted(service id.Service, parts []id.PromptPart) bool {
	anyCleared := false
	for _, part := range parts {
		cq.mutex.Lock()
		cleared := cq.table.PartsCompleted(cq.clock.Now(), []id.PromptPart{part})
		cq.mutex.Unlock()
		cq.shareCleared(service, cleared)
		anyCleared = anyCleared || len(cleared) > 0
	}
	return anyCleared
}

// shareCleared sends evidence about one fingerprint that was cleared on this host to all hosts if they know of the
// crashes, and otherwise to the dispatcher of the service.
func (cq *crashQuarantine) shareCleared(service id.Service, cleared []quarantine.Evidence) {
	if len(cleared) == 0 {
		return
	}
	for _, evidence := range cleared {
		cq.logEvidence(evidence, "own")
	}
	if len(cleared) >= minSharedCrashes {
		cq.share(cleared)
	} else {
		cq.reportToDispatcher(service, cleared[0])
	}
	cq.evidenceChanged()
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

// shareRepeatedCrashes sends all evidence that counts against a fingerprint to all hosts if it is about at least
// minSharedCrashes crashes.
func (cq *crashQuarantine) shareRepeatedCrashes(fingerprint id.Fingerprint) {
	cq.mutex.Lock()
	counting := countingEvidence(cq.table.EvidenceFor(fingerprint))
	cq.mutex.Unlock()
	if len(counting) >= minSharedCrashes {
		cq.share(counting)
	}
}

// share sends evidence to all hosts. Evidence about crashes that are confirmed or cleared is also stored.
func (cq *crashQuarantine) share(evidence []quarantine.Evidence) {
	var conclusive []quarantine.Evidence
	for _, ev := range evidence {
		cq.spreadFact(crashlog.ToFact(ev))
		if ev.Status != quarantine.Reported {
			conclusive = append(conclusive, ev)
			cq.markStored(ev)
		}
	}
	cq.storeEvidence(conclusive...)
}

// StoredEvidence returns the evidence that hosts write to the store: what this host knows, without reports.
func (cq *crashQuarantine) StoredEvidence() []quarantine.Evidence {
	cq.mutex.Lock()
	defer cq.mutex.Unlock()
	var stored []quarantine.Evidence
	for _, fingerprint := range cq.table.Fingerprints() {
		evidence := cq.table.EvidenceFor(fingerprint)
		stored = append(stored, slices.DeleteFunc(evidence, func(ev quarantine.Evidence) bool { return ev.Status == quarantine.Reported })...)
	}
	return stored
}

// logEvidence logs and counts new evidence, together with the decision that results from it for the content, or for
// requests with the part and no other.
func (cq *crashQuarantine) logEvidence(evidence quarantine.Evidence, source string) {
	content := quarantine.Content{Fingerprint: evidence.Fingerprint}
	subject := "content"
	if part, ok := evidence.Fingerprint.PromptPart(); ok {
		content = quarantine.Content{PromptParts: []id.PromptPart{part}}
		subject = "part"
	}
	cq.mutex.Lock()
	crashes, decision := cq.table.ConfirmedCrashes(evidence.Fingerprint), cq.table.Judge(cq.clock.Now(), content).Decision
	cq.mutex.Unlock()
	cq.metrics.Tagged(map[string]string{"standing": evidence.Status.String(), "source": source, "subject": subject}).Counter("crashes_under_requests").Inc(1)
	cq.logger.Info("crash under a request", "fingerprint", evidence.Fingerprint.String(), "subject", subject, "crash", evidence.Crash.String(), "standing", evidence.Status.String(),
		"source", source, "crashes", crashes, "refused", decision == quarantine.Refuse, "held", decision == quarantine.Hold)
}
