package forward

import (
	"context"
	"slices"
	"strconv"
	"time"

	"github.com/go-faster/errors"

	"github.com/hibiscuslever/hibiscuslever/coordination/broker"
	"github.com/hibiscuslever/hibiscuslever/state/id"
	"github.com/hibiscuslever/hibiscuslever/state/outcome"
	"github.com/hibiscuslever/hibiscuslever/state/quarantine"
	"github.com/hibiscuslever/hibiscuslever/state/serverlist"
)

// Quarantine tracks the request contents and the parts of prompts under which servers crashed.
type Quarantine interface {
	// Judge returns whether a request with this content may run now, perhaps only alone or isolated.
	Judge(content quarantine.Content) quarantine.Verdict
	// EvidenceAbout returns what counts against the parts of a prompt.
	EvidenceAbout(parts []id.PromptPart) []quarantine.Evidence
	// CrashConfirmedAt returns when this host first learned that a crash was confirmed, and false if it has not.
	CrashConfirmedAt(crash quarantine.CrashID) (time.Time, bool)
	// LearnLocalEvidence records evidence that this host found about a crash of a server of the service.
	LearnLocalEvidence(service id.Service, evidence ...quarantine.Evidence)
	// RequestCompleted records that a request with this content ran to its end at a service.
	RequestCompleted(service id.Service, content quarantine.Content)
}

// ProbeResult says how a server responded to a probe. Opening a connection occupies none of its request slots.
type ProbeResult int

// Values of ProbeResult. ConnectionRefused and Unresponsive say something about the server, and not about this host's
// link to it: another host that reaches some other server at that moment found the same, or there is no other host.
const (
	// Reachable means that the server responded to this host.
	Reachable ProbeResult = iota + 1
	// ConnectionRefused means that nothing listens at the server's address.
	ConnectionRefused
	// Unresponsive means that there was no response in time.
	Unresponsive
	// ReachableThroughPeer means that the server did not respond to this host, but did respond to another one.
	ReachableThroughPeer
	// Undetermined means that the server did not respond to this host, and that no other host could tell why.
	Undetermined
)

// Alive reports whether the server responded to any host.
func (pr ProbeResult) Alive() bool { return pr == Reachable || pr == ReachableThroughPeer }

// saysServerFailed reports whether the server did not respond for a reason that is not this host's link to it.
func (pr ProbeResult) saysServerFailed() bool { return pr == ConnectionRefused || pr == Unresponsive }

// String returns the name of the result in logs and metrics.
func (pr ProbeResult) String() string {
	switch pr {
	case Reachable:
		return "answers"
	case ConnectionRefused:
		return "refuses"
	case Unresponsive:
		return "silent"
	case ReachableThroughPeer:
		return "answers_peer"
	case Undetermined:
		return "undetermined"
	default:
		return "unknown"
	}
}

// crashSubject is what a crash of a server under an attempt may count against: the content of the request or a part of
// its prompt.
type crashSubject struct {
	fingerprint id.Fingerprint
	// confirmed is the status that a confirmed crash has for the subject.
	confirmed quarantine.CrashStatus
}

// crashSubjects returns the content of the request and the parts of its prompt. If the current attempt runs isolated
// because of some of the parts, the others are not the cause of a crash.
func (jb *job) crashSubjects() []crashSubject {
	subjects := []crashSubject{{jb.result.Fingerprint, quarantine.Confirmed}}
	parts, status := jb.request.PromptParts, quarantine.Confirmed
	if isolated := jb.isolation(); len(isolated) > 0 {
		parts, status = isolated, quarantine.ConfirmedIsolated
	}
	for _, part := range parts {
		subjects = append(subjects, crashSubject{part.Fingerprint(), status})
	}
	return subjects
}

// confirmedEvidence returns the evidence that a confirmed crash gives against the subjects.
func confirmedEvidence(subjects []crashSubject, crash quarantine.CrashID) []quarantine.Evidence {
	var evidence []quarantine.Evidence
	for _, subject := range subjects {
		evidence = append(evidence, quarantine.Evidence{Fingerprint: subject.fingerprint, Crash: crash, Status: subject.confirmed})
	}
	return evidence
}

// content returns what identifies the request for the quarantine.
func (jb *job) content() quarantine.Content {
	return quarantine.Content{Fingerprint: jb.result.Fingerprint, PromptParts: jb.request.PromptParts}
}

// unresolvedAttempt is an attempt that lost its server without it being known whether the server crashed.
type unresolvedAttempt struct {
	request  *Request
	subjects []crashSubject
	server   serverlist.Server
	// startedAt is when the attempt started, lostAt when the connection was lost.
	startedAt time.Time
	lostAt    time.Time
	// endedEarly is set if the connection was not lost but given up, see suspectAfterEarlyEnd. The request is then nil, as its
	// body is not kept. aliveAt is when the server was first found alive after that; zero if it has not been.
	endedEarly bool
	// leftSilent is set if this host ended the attempt while the server was silent, see suspectAfterSilence.
	leftSilent bool
	aliveAt    time.Time
}

// unresolvedTTL is how long the server list may take to show a crash: three heartbeats of a server, the 2.5 s for which
// package serverlist keeps a server that was dropped in an outage of the store, and some time to read the list.
const unresolvedTTL = 10 * time.Second

// setIsolation sets in a request for a grant whether it must run alone on an engine, because its content may have
// crashed servers, and what this host knows of the parts of its prompt. Wait counts as RunAlone here: the dispatcher
// lets a request that is to run alone wait while another one with the same content runs alone.
func (jb *job) setIsolation(request *broker.GrantRequest) {
	verdict := jb.runner.quarantine.Judge(jb.content())
	request.RunAlone = verdict.Decision == quarantine.RunAlone || verdict.Decision == quarantine.Wait
	request.SuspectParts, request.Exclusive = verdict.SuspectParts, verdict.Exclusive
	request.Evidence = jb.runner.quarantine.EvidenceAbout(jb.request.PromptParts)
}

// identifyCrash returns the identity of the crash that an attempt saw if its server crashed: the server and its listed
// start time, so that several reports of one crash are deduplicated. The second result is true if a crash of the
// process with this start time was known before the attempt started, because the server has restarted and the list does
// not show it yet, or was down. The attempt's start is then part of the identity too, so that the new crash is not
// taken for the known one.
func (rn *Runner) identifyCrash(server serverlist.Server, startedAt time.Time) (quarantine.CrashID, bool) {
	incarnation := strconv.FormatInt(server.StartedAtMillis, 10)
	crash := quarantine.NewCrashID(string(server.ID), incarnation)
	if confirmedAt, alreadyCrashed := rn.quarantine.CrashConfirmedAt(crash); alreadyCrashed && confirmedAt.Before(startedAt) {
		return quarantine.NewCrashID(string(server.ID), incarnation+"+"+strconv.FormatInt(startedAt.UnixMilli(), 10)), true
	}
	return crash, false
}

// serverDuringAttempt returns the server in the incarnation that an attempt ran on. The list may show a restart only
// some time after it happened: if the listed start is newer than the known one but not after the start of the attempt,
// the attempt already ran on the listed incarnation.
func serverDuringAttempt(server serverlist.Server, startedAt time.Time, listed []serverlist.Server) serverlist.Server {
	for _, candidate := range listed {
		if candidate.ID == server.ID && candidate.StartedAtMillis > server.StartedAtMillis && candidate.StartedAtMillis <= startedAt.UnixMilli() {
			return candidate
		}
	}
	return server
}

// rejectQuarantined reports whether the request must not be sent, or not be sent again, because servers crashed while
// running its content. In that case it sets the outcome.
func (jb *job) rejectQuarantined() bool {
	oc, rejected := jb.quarantineOutcome()
	if !rejected {
		return false
	}
	if jb.mayHaveRun {
		oc = outcome.Fail(outcome.Quarantined, oc.Detail)
	}
	jb.result.Outcome = oc
	jb.runner.metrics.Counter("quarantine_barred").Inc(1)
	return true
}

// quarantineOutcome returns the refusal of a request whose content is quarantined, and false if it may run.
func (jb *job) quarantineOutcome() (outcome.Outcome, bool) {
	verdict := jb.runner.quarantine.Judge(jb.content())
	return quarantine.RefusalOutcome(verdict.Decision, verdict.ExpiresIn)
}

// checkForCrash checks whether the server of a lost attempt crashed, adds the evidence, and returns whether nothing
// listens at the server's address. A crash is confirmed if nothing listens there, or if the server is no longer listed
// or has restarted. Otherwise the next versions of the server list decide; until then the crash is only reported, and
// only if the server is unresponsive while another server is reachable.
//
// It ignores servers that announced that they are leaving, because they end in any case, and a stale connection to a server
// that had crashed before, because that crash has been counted. Servers may also leave without announcing it: the list drops
// them while they run, and their addresses refuse connections when they have ended. A server that is unresponsive after the
// list has dropped it has crashed, because the list drops what is silent.
func (jb *job) checkForCrash(ctx context.Context, server serverlist.Server, startedAt time.Time, probeResult ProbeResult, cause error) bool {
	rn := jb.runner
	server = serverDuringAttempt(server, startedAt, rn.fleet.Servers(server.Service))
	crash, crashedBefore := rn.identifyCrash(server, startedAt)
	subjects := jb.crashSubjects()
	counted := ""
	switch {
	case crashedBefore && errors.Is(cause, ErrStaleConnection):
		counted = "no, the server had crashed before"
	case rn.fleet.ShownAsDraining(server) || rn.fleet.AnnouncedLeaving(server.ID):
		counted = "no, the server is leaving"
	case rn.fleet.ListedAsLeaving(server.ID) && probeResult != Unresponsive:
		counted = "no, the server ran on after it was dropped"
	case probeResult == ConnectionRefused || rn.goneOrRestarted(server, rn.fleet.Servers(server.Service)):
		counted = quarantine.Confirmed.String()
		rn.quarantine.LearnLocalEvidence(server.Service, confirmedEvidence(subjects, crash)...)
	default:
		counted = "not yet, the list will tell"
		rn.queueUnresolved(unresolvedAttempt{request: jb.request, subjects: subjects, server: server, startedAt: startedAt, lostAt: rn.clock.Now()})
		if probeResult == Unresponsive && rn.otherServerReachable(ctx, server) {
			counted = quarantine.Reported.String()
			rn.quarantine.LearnLocalEvidence(server.Service, quarantine.Evidence{Fingerprint: jb.result.Fingerprint, Crash: crash, Status: quarantine.Reported})
		}
	}
	rn.metrics.Tagged(map[string]string{"health": probeResult.String()}).Counter("attempts_broken").Inc(1)
	rn.logger.Info("backend server broke off", "request", jb.request.ID, "fingerprint", jb.result.Fingerprint.String(), "parts", jb.request.PromptPartNames(), "isolated", len(jb.isolation()) > 0, "server", string(server.ID),
		"address", server.Address, "born", server.StartedAtMillis, "crash", crash.String(), "health", probeResult.String(), "counted", counted, "cause", cause.Error(),
		"list_age_ms", rn.fleet.ListAge().Milliseconds())
	return probeResult == ConnectionRefused
}

// otherServerReachable reports whether a server of the service other than the unresponsive one accepts a connection, of this
// host or another one. If not, this host itself may be cut off from the network. It probes only the first server that takes requests.
func (rn *Runner) otherServerReachable(ctx context.Context, unresponsive serverlist.Server) bool {
	for _, server := range rn.fleet.Servers(unresponsive.Service) {
		if server.ID == unresponsive.ID || server.Draining || rn.askedForBackoff(server.ID) {
			continue
		}
		return rn.probeConnection(ctx, server).Alive()
	}
	return false
}

// probeConnection opens a connection to a server, bounded by the probe timeout.
func (rn *Runner) probeConnection(ctx context.Context, server serverlist.Server) ProbeResult {
	ctx, cancel := context.WithTimeout(ctx, rn.config.ProbeTimeout)
	defer cancel()
	return rn.sender.ProbeConnection(ctx, server.Address)
}

// queueUnresolved queues a lost attempt until later versions of the server list show whether its server crashed. Beyond
// 10,000 attempts it drops the oldest one.
func (rn *Runner) queueUnresolved(attempt unresolvedAttempt) {
	const maxUnresolved = 10_000
	rn.mutex.Lock()
	defer rn.mutex.Unlock()
	if len(rn.unresolved) >= maxUnresolved {
		rn.unresolved = rn.unresolved[1:]
	}
	rn.unresolved = append(rn.unresolved, attempt)
}

// dropUnresolved drops the unresolved attempts of a request at a server that has shown that it runs the request.
func (rn *Runner) dropUnresolved(request *Request, server id.BackendServer) {
	rn.mutex.Lock()
	defer rn.mutex.Unlock()
	rn.unresolved = slices.DeleteFunc(rn.unresolved, func(attempt unresolvedAttempt) bool { return attempt.request == request && attempt.server.ID == server })
}

// goneOrRestarted reports whether a server is no longer listed, or is listed with another start time. It is meant for
// servers that did not announce that they are leaving. It returns false for a server whose start time is unknown.
func (rn *Runner) goneOrRestarted(knownServer serverlist.Server, listed []serverlist.Server) bool {
	if knownServer.StartedAtMillis == 0 {
		return false
	}
	for _, server := range listed {
		if server.ID == knownServer.ID {
			return server.StartedAtMillis != knownServer.StartedAtMillis
		}
	}
	return true
}

// resolveFromServerList decides on the unresolved attempts with a new version of the server list: a server that is gone
// or has restarted has crashed, unless the list has shown it as draining. Attempts that the list has not decided in time are
// dropped.
func (rn *Runner) resolveFromServerList(listed []serverlist.Server) {
	now := rn.clock.Now()
	var crashedAttempts []unresolvedAttempt
	rn.mutex.Lock()
	stillUnresolved := rn.unresolved[:0]
	for _, attempt := range rn.unresolved {
		attempt.server = serverDuringAttempt(attempt.server, attempt.startedAt, listed)
		switch {
		case now.Sub(attempt.lostAt) > unresolvedTTL:
		case rn.crashedUnder(attempt, listed):
			crashedAttempts = append(crashedAttempts, attempt)
		default:
			stillUnresolved = append(stillUnresolved, attempt)
		}
	}
	rn.unresolved = stillUnresolved
	rn.mutex.Unlock()
	rn.confirmCrashes(crashedAttempts, "list")
}

// confirmCrashes adds the evidence that the servers of attempts crashed, except for those that drained. The source is what
// shows it: "list" or "probe".
func (rn *Runner) confirmCrashes(attempts []unresolvedAttempt, source string) {
	now := rn.clock.Now()
	for _, attempt := range attempts {
		if rn.fleet.ShownAsDraining(attempt.server) {
			continue
		}
		crash, _ := rn.identifyCrash(attempt.server, attempt.startedAt)
		rn.quarantine.LearnLocalEvidence(attempt.server.Service, confirmedEvidence(attempt.subjects, crash)...)
		rn.logger.Info("backend server crashed", "fingerprint", attempt.subjects[0].fingerprint.String(), "server", string(attempt.server.ID), "crash", crash.String(),
			"source", source, "after_ms", now.Sub(attempt.lostAt).Milliseconds())
	}
}
