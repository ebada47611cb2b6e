package forward

import (
	"context"
	"strconv"
	"time"

	"github.com/go-faster/errors"

	"github.com/hibiscuslever/hibiscuslever/state/id"
	"github.com/hibiscuslever/hibiscuslever/state/outcome"
	"github.com/hibiscuslever/hibiscuslever/state/quarantine"
	"github.com/hibiscuslever/hibiscuslever/state/roster"
)

// Quarantine knows the contents that crash servers.
type Quarantine interface {
	// Decide says how a content may run now, and how long that holds if it may not.
	Decide(fp id.Fingerprint) (quarantine.Decision, time.Duration)
	// CrashLearnedAt returns when the own host learnt of a crash, if it did.
	CrashLearnedAt(crash quarantine.CrashID) (time.Time, bool)
	// ReportEvidence takes evidence of the own host, about a server of a service.
	ReportEvidence(service id.Service, ev quarantine.Evidence)
	// Finished notes that a content of a service has run to its end.
	Finished(service id.Service, fp id.Fingerprint)
}

// Health says how a server answers a question that needs none of its slots.
type Health int

// Healths.
const (
	// Reachable means that the server took the connection.
	Reachable Health = iota + 1
	// ConnectionRefused means that nothing listens at the server's address.
	ConnectionRefused
	// Unresponsive means that no answer came.
	Unresponsive
)

// String returns the health as logs name it.
func (he Health) String() string {
	switch he {
	case Reachable:
		return "answers"
	case ConnectionRefused:
		return "refuses"
	case Unresponsive:
		return "silent"
	default:
		return "unknown"
	}
}

// brokenAttempt is an attempt whose server broke off, of which it is not known whether it crashed.
type brokenAttempt struct {
	quarantine.Evidence
	server roster.Server
	// began is when the attempt began, since when it broke.
	began time.Time
	since time.Time
}

// brokenTTL is how long the list may take to tell of a crash: three heartbeats of a server, the grace after an outage of the
// store, and some time to read it.
const brokenTTL = 10 * time.Second

// suspected reports whether the content may have crashed servers, so that it is to run alone.
func (jb *job) suspected() bool {
	decision, _ := jb.runner.quarantine.Decide(jb.result.Fingerprint)
	return decision == quarantine.RunAlone || decision == quarantine.Wait
}

// crashOf returns the crash that an attempt saw which began at a time, by the start that the list gave the server then, and
// reports whether that start was known to have crashed before. If it was, the server has started anew and the list did not
// say so yet, or the attempt went to a server that was down.
func (rn *Runner) crashOf(sv roster.Server, began time.Time) (quarantine.CrashID, bool) {
	start := strconv.FormatInt(sv.StartedAtMillis, 10)
	crash := quarantine.NewCrashID(string(sv.ID), start)
	if at, crashed := rn.quarantine.CrashLearnedAt(crash); crashed && at.Before(began) {
		return quarantine.NewCrashID(string(sv.ID), start+"+"+strconv.FormatInt(began.UnixMilli(), 10)), true
	}
	return crash, false
}

// ranOn returns the start of a server on which an attempt ran that began at a time. The list told of it later than it
// was, if the newest start was before that time.
func ranOn(known roster.Server, began time.Time, listed []roster.Server) roster.Server {
	for _, sv := range listed {
		if sv.ID == known.ID && sv.StartedAtMillis > known.StartedAtMillis && sv.StartedAtMillis <= began.UnixMilli() {
			return sv
		}
	}
	return known
}

// barred reports whether the request may not be sent, or not sent again, because servers crashed under its content. It
// sets the outcome then.
func (jb *job) barred() bool {
	decision, wait := jb.runner.quarantine.Decide(jb.result.Fingerprint)
	oc, barred := quarantine.RefusalOutcome(decision, wait)
	if !barred {
		return false
	}
	if jb.unknown {
		oc = outcome.Fail(outcome.Quarantined, oc.Detail)
	}
	jb.result.Outcome = oc
	jb.runner.metrics.Counter("quarantine_barred").Inc(1)
	return true
}

// examine finds out whether a server crashed that brought no whole answer to an attempt, and reports whether that is certain.
// Servers that are leaving end anyway.
func (jb *job) examine(ctx context.Context, sv roster.Server, began time.Time, health Health, why error) bool {
	rn := jb.runner
	sv = ranOn(sv, began, rn.fleet.Servers(sv.Service))
	crash, before := rn.crashOf(sv, began)
	ev := quarantine.Evidence{Fingerprint: jb.result.Fingerprint, Crash: crash, Status: quarantine.Confirmed}
	counted := ""
	switch {
	case before && errors.Is(why, ErrStaleConnection):
		counted = "no, the server had crashed before"
	case rn.fleet.ListedAsLeaving(sv.ID) || rn.fleet.AnnouncedLeaving(sv.ID):
		counted = "no, the server is leaving"
	case health == ConnectionRefused || rn.replaced(sv, rn.fleet.Servers(sv.Service)):
		counted = ev.Status.String()
		rn.quarantine.ReportEvidence(sv.Service, ev)
	default:
		counted = "not yet, the list will tell"
		rn.watchList(brokenAttempt{Evidence: ev, server: sv, began: began, since: rn.clock.Now()})
		if health == Unresponsive && rn.reachesOthers(ctx, sv) {
			ev.Status = quarantine.Reported
			counted = ev.Status.String()
			rn.quarantine.ReportEvidence(sv.Service, ev)
		}
	}
	rn.metrics.Tagged(map[string]string{"health": health.String()}).Counter("attempts_broken").Inc(1)
	rn.logger.Info("backend server broke off", "request", jb.request.ID, "fingerprint", ev.Fingerprint.String(), "server", string(sv.ID),
		"address", sv.Address, "born", sv.StartedAtMillis, "crash", ev.Crash.String(), "health", health.String(), "counted", counted, "cause", why.Error(),
		"list_age_ms", rn.fleet.ListAge().Milliseconds())
	return health == ConnectionRefused
}

// reachesOthers reports whether a server of the service answers other than one that is silent: if none does, the own
// host may be the one that is cut off.
func (rn *Runner) reachesOthers(ctx context.Context, silent roster.Server) bool {
	for _, sv := range rn.fleet.Servers(silent.Service) {
		if sv.ID == silent.ID || sv.Draining || rn.wantsNothing(sv.ID) {
			continue
		}
		return rn.health(ctx, sv) == Reachable
	}
	return false
}

// health asks whether a server is there.
func (rn *Runner) health(ctx context.Context, sv roster.Server) Health {
	ctx, cancel := context.WithTimeout(ctx, rn.config.ProbeTimeout)
	defer cancel()
	return rn.servers.Probe(ctx, sv.Address)
}

// watchList has the list of servers tell whether a server crashed.
func (rn *Runner) watchList(ba brokenAttempt) {
	const most = 10_000
	rn.mutex.Lock()
	defer rn.mutex.Unlock()
	if len(rn.broken) >= most {
		rn.broken = rn.broken[1:]
	}
	rn.broken = append(rn.broken, ba)
}

// replaced reports whether a server that was listed, and did not say that it leaves, is listed no more, or with another
// start.
func (rn *Runner) replaced(old roster.Server, listed []roster.Server) bool {
	if old.StartedAtMillis == 0 {
		return false
	}
	for _, sv := range listed {
		if sv.ID == old.ID {
			return sv.StartedAtMillis != old.StartedAtMillis
		}
	}
	return true
}

// listTells takes what a new list says of servers that broke off: one that is gone, or that was started anew, crashed.
func (rn *Runner) listTells(listed []roster.Server) {
	now := rn.clock.Now()
	var crashed []brokenAttempt
	rn.mutex.Lock()
	kept := rn.broken[:0]
	for _, ba := range rn.broken {
		ba.server = ranOn(ba.server, ba.began, listed)
		switch {
		case now.Sub(ba.since) > brokenTTL:
		case rn.replaced(ba.server, listed):
			crashed = append(crashed, ba)
		default:
			kept = append(kept, ba)
		}
	}
	rn.broken = kept
	rn.mutex.Unlock()
	for _, ba := range crashed {
		ba.Crash, _ = rn.crashOf(ba.server, ba.began)
		rn.quarantine.ReportEvidence(ba.server.Service, ba.Evidence)
		rn.logger.Info("backend server crashed", "fingerprint", ba.Fingerprint.String(), "server", string(ba.server.ID), "crash", ba.Crash.String(),
			"source", "list", "after_ms", now.Sub(ba.since).Milliseconds())
	}
}
