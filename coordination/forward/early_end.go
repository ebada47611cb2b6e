package forward

import (
	"context"
	"slices"
	"time"

	"github.com/go-faster/errors"

	"github.com/hibiscuslever/hibiscuslever/state/id"
	"github.com/hibiscuslever/hibiscuslever/state/serverlist"
)

// earlyEndLookDelay is how long after an attempt that ended early its server is looked at. An engine that goes on with the
// request after its client has left begins to run it in that time, and is not back yet if that crashes it.
const earlyEndLookDelay = time.Second

// suspectAfterEarlyEnd keeps an attempt under suspicion that ended because its client left or its time was over, before its
// server responded. The suspicion ends when the server is found alive later, without a restart in between. Attempts at
// servers that are leaving, and those that end because the local host does, are not suspected.
func (jb *job) suspectAfterEarlyEnd(ctx context.Context, server serverlist.Server, startedAt time.Time) {
	rn := jb.runner
	if errors.Is(context.Cause(ctx), errHostLeaving) || rn.isLeaving(server.ID) {
		return
	}
	server = serverDuringAttempt(server, startedAt, rn.fleet.Servers(server.Service))
	rn.queueUnresolved(unresolvedAttempt{subjects: jb.crashSubjects(), server: server, startedAt: startedAt, lostAt: rn.clock.Now(), endedEarly: true})
	rn.scheduleLook(server)
}

// suspectAfterSilence keeps what the silence of a server said about a crash only until the server is found alive, because the
// request has left it and can't show that it goes on.
func (rn *Runner) suspectAfterSilence(request *Request, server serverlist.Server) {
	rn.mutex.Lock()
	suspected := false
	for ix := range rn.unresolved {
		attempt := &rn.unresolved[ix]
		if attempt.request == request && attempt.server.ID == server.ID {
			attempt.leftSilent, suspected = true, true
		}
	}
	rn.mutex.Unlock()
	if suspected {
		rn.scheduleLook(server)
	}
}

// isLeaving reports whether a server is known to be leaving or gone.
func (rn *Runner) isLeaving(server id.BackendServer) bool {
	return rn.fleet.ListedAsLeaving(server) || rn.fleet.AnnouncedLeaving(server)
}

// scheduleLook has a server looked at after earlyEndLookDelay, unless that is scheduled already. However many attempts end
// early, a server is probed once in that time at most.
func (rn *Runner) scheduleLook(server serverlist.Server) {
	rn.mutex.Lock()
	defer rn.mutex.Unlock()
	if rn.scheduledLooks[server.ID] {
		return
	}
	rn.scheduledLooks[server.ID] = true
	rn.clock.After(earlyEndLookDelay, func() { rn.background.Go(func() { rn.lookAfterEarlyEnds(server) }) })
}

// lookAfterEarlyEnds probes a server at which attempts ended early. If nothing listens at its address it has crashed under
// them. If it accepts connections, those that ended earlyEndLookDelay ago are cleared, unless the list of servers shows that
// it restarted before the probe.
func (rn *Runner) lookAfterEarlyEnds(server serverlist.Server) {
	probedAt := rn.clock.Now()
	rn.mutex.Lock()
	delete(rn.scheduledLooks, server.ID)
	suspected := slices.ContainsFunc(rn.unresolved, func(attempt unresolvedAttempt) bool { return attempt.suspects(server.ID, probedAt) })
	leftSilent := slices.ContainsFunc(rn.unresolved, func(attempt unresolvedAttempt) bool {
		return attempt.leftSilent && attempt.suspects(server.ID, probedAt)
	})
	rn.mutex.Unlock()
	if !suspected || rn.isLeaving(server.ID) {
		return
	}
	probeResult := rn.probeConnection(context.Background(), server)
	// The system of a silent server may still accept connections.
	answers := leftSilent && probeResult.Alive() && !rn.askedForBackoff(server.ID) && rn.answersProbe(context.Background(), server)
	var crashed []unresolvedAttempt
	remaining := false
	rn.mutex.Lock()
	rn.unresolved = slices.DeleteFunc(rn.unresolved, func(attempt unresolvedAttempt) bool {
		if !attempt.suspects(server.ID, probedAt) || probeResult != ConnectionRefused {
			return false
		}
		crashed = append(crashed, attempt)
		return true
	})
	for ix := range rn.unresolved {
		attempt := &rn.unresolved[ix]
		if probeResult.Alive() && (answers || !attempt.leftSilent) && attempt.suspects(server.ID, probedAt) && probedAt.Sub(attempt.lostAt) >= earlyEndLookDelay {
			attempt.aliveAt = probedAt
		}
		remaining = remaining || attempt.suspects(server.ID, rn.clock.Now())
	}
	rn.mutex.Unlock()
	rn.confirmCrashes(crashed, "probe")
	if remaining {
		rn.scheduleLook(server)
	}
}

// suspects reports whether the attempt ended early at a server, or left it while it was silent, and the server has not been found
// alive since.
func (ua *unresolvedAttempt) suspects(server id.BackendServer, now time.Time) bool {
	return (ua.endedEarly || ua.leftSilent) && ua.server.ID == server && ua.aliveAt.IsZero() && now.Sub(ua.lostAt) <= unresolvedTTL
}

// crashedUnder reports whether the list shows that the server of the attempt crashed. An attempt that ended early, or left a silent
// server, does not count if its server was found alive between it and the restart. A server that is no longer listed may have
// left, unless it was silent; the probe decides on that.
func (rn *Runner) crashedUnder(attempt unresolvedAttempt, listed []serverlist.Server) bool {
	if !rn.goneOrRestarted(attempt.server, listed) {
		return false
	}
	if !attempt.endedEarly && !attempt.leftSilent {
		return true
	}
	restarted := slices.IndexFunc(listed, func(server serverlist.Server) bool { return server.ID == attempt.server.ID })
	if restarted < 0 {
		return attempt.leftSilent && attempt.aliveAt.IsZero()
	}
	return attempt.aliveAt.IsZero() || attempt.aliveAt.UnixMilli() >= listed[restarted].StartedAtMillis
}
