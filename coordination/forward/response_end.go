package forward

import (
	"context"
	"io"
	"net/http"
	"slices"
	"time"

	"github.com/go-faster/errors"

	"github.com/hibiscuslever/hibiscuslever/state/serverlist"
	"github.com/hibiscuslever/hibiscuslever/timer"
)

// errEndUnconfirmed is the cause of not taking the end of a connection for the end of the response on it.
var errEndUnconfirmed = errors.New("the connection ended before the end of the answer was certain")

const (
	// endConfirmationLimit bounds the time in which a silent server is probed if no other attempt is possible.
	endConfirmationLimit = 2 * time.Second
	// endConfirmationPause is the pause between two probes for that, and between two looks at the list.
	endConfirmationPause = 50 * time.Millisecond
	// promptProbeLimit is the time after the end of a response in which a server that answers a probe can't have been down
	// and started again.
	promptProbeLimit = 250 * time.Millisecond
	// listSettleTime is how much later than a connection the list has to be up to date to show the start of the server that
	// accepted it. It covers a read, which counts as of its end, the way to other hosts, and the time in which a server that
	// has started lists itself.
	listSettleTime = time.Second
	// listConfirmationLimit bounds the wait for such a list. After listSettleTime it leaves time for another host to take over
	// reading the list.
	listConfirmationLimit = 2500 * time.Millisecond
)

// endWatch is the body of a response that ends with its connection. It bounds how long ago the connection ended.
type endWatch struct {
	io.ReadCloser
	clock timer.Clock
	// openAt is when the connection was last known not to have ended.
	openAt time.Time
}

// watchEnd returns a response whose head has just arrived, with a body that is an endWatch if it ends with its connection.
func watchEnd(clock timer.Clock, response Response) Response {
	if response.EndsWithConnection {
		response.Body = &endWatch{ReadCloser: response.Body, clock: clock, openAt: clock.Now()}
	}
	return response
}

// Read reads the body. A read that has to wait shows that the connection had not ended before: a host that is slow to read,
// because its client is, finds an end that has been there for some time without waiting.
func (ew *endWatch) Read(buffer []byte) (int, error) {
	const minWait = time.Millisecond
	startedAt := ew.clock.Now()
	count, err := ew.ReadCloser.Read(buffer)
	if now := ew.clock.Now(); now.Sub(startedAt) >= minWait {
		ew.openAt = now
	}
	return count, err
}

// confirmEnd returns nil if the end of a response's body is the end of the response. A response that ends with its
// connection has the same end if its server crashes, because the system of a process that ends closes its connections. Such
// a response counts as complete only if its server still runs after that, as the same start. A server proves it that accepts
// a connection at once, and then answers on it or ends it and accepts another one, unless the list shows a newer start. One
// that was silent may have started again meanwhile, and so may one whose end was found late; only a list that is newer than a
// connection after that proves that it has not. Failures are not confirmed.
//
// A server that neither accepts nor refuses a connection is probed again, unless another attempt is possible.
func (jb *job) confirmEnd(ctx context.Context, server serverlist.Server, startedAt time.Time, response Response) error {
	if !response.EndsWithConnection || response.Status >= http.StatusMultipleChoices {
		return nil
	}
	rn := jb.runner
	endedAt := rn.clock.Now()
	earliestEnd := endedAt
	if watched, ok := response.Body.(*endWatch); ok {
		earliestEnd = watched.openAt
	}
	result := rn.probeConnection(ctx, server)
	prompt := false
	if result.Alive() {
		// A connection may be accepted just before the server falls silent. A server that asked for backoff is asked nothing.
		asked := !rn.askedForBackoff(server.ID)
		if !asked || !rn.answersProbe(ctx, server) {
			result = rn.probeConnection(ctx, server)
		}
		prompt = asked && result.Alive() && rn.clock.Now().Sub(earliestEnd) <= promptProbeLimit
	}
	for !result.Alive() && result != ConnectionRefused && !jb.canRunAgain() &&
		rn.clock.Now().Sub(endedAt) < endConfirmationLimit && timer.Sleep(ctx, rn.clock, endConfirmationPause) {
		result = rn.probeConnection(ctx, server)
	}
	restarted := restartedSince(server, startedAt, rn.fleet.Servers(server.Service))
	if prompt && !restarted || result.Alive() && !prompt && rn.awaitSameStart(ctx, server, startedAt) {
		return nil
	}
	rn.logger.Info("end of the answer not confirmed", "request", jb.request.ID, "server", string(server.ID), "address", server.Address, "born", server.StartedAtMillis,
		"health", result.String(), "prompt", prompt, "restarted", restarted, "took_ms", rn.clock.Now().Sub(endedAt).Milliseconds(), "list_age_ms", rn.fleet.ListAge().Milliseconds())
	return errEndUnconfirmed
}

// answersProbe reports whether a server answers an HTTP request, bounded by the probe timeout.
func (rn *Runner) answersProbe(ctx context.Context, server serverlist.Server) bool {
	ctx, cancel := context.WithTimeout(ctx, rn.config.ProbeTimeout)
	defer cancel()
	return rn.sender.ProbeHTTP(ctx, server.Address).Alive()
}

// awaitSameStart waits for a list that is newer than the present moment, at which a server has accepted a connection, and
// reports whether the list shows the server as the start that an attempt ran on. It returns false if there is no such list in
// time, or if the list gets so old meanwhile that the store may be down: a server that starts then lists itself only some
// time later.
func (rn *Runner) awaitSameStart(ctx context.Context, server serverlist.Server, startedAt time.Time) bool {
	acceptedAt := rn.clock.Now()
	for {
		now, age := rn.clock.Now(), rn.fleet.ListAge()
		if age > maxListAgeForReports || now.Sub(acceptedAt) > listConfirmationLimit {
			return false
		}
		// The servers are taken after the pause, because they may change just after the age of the list does.
		if !timer.Sleep(ctx, rn.clock, endConfirmationPause) {
			return false
		}
		listed := rn.fleet.Servers(server.Service)
		if restartedSince(server, startedAt, listed) {
			return false
		}
		if now.Add(-age).Sub(acceptedAt) >= listSettleTime {
			return sameStartListed(server, startedAt, listed)
		}
	}
}

// sameStartListed reports whether the list shows the server of an attempt as the start that the attempt ran on.
func sameStartListed(server serverlist.Server, startedAt time.Time, listed []serverlist.Server) bool {
	server = serverDuringAttempt(server, startedAt, listed)
	return slices.ContainsFunc(listed, func(candidate serverlist.Server) bool {
		return candidate.ID == server.ID && candidate.Address == server.Address && candidate.StartedAtMillis == server.StartedAtMillis
	})
}

// canRunAgain reports whether the request may be sent to another server, or its stream resumed there, if the current attempt
// fails now.
func (jb *job) canRunAgain() bool {
	resumable := !jb.result.HeadSent || jb.request.Route.HasPrompt
	return resumable && jb.sentCount < jb.request.Route.MaxAttempts && jb.retryAllowed(jb.sentCount)
}

// restartedSince reports whether the list shows that the server of an attempt has started again since, under its own id or
// another one. A server that is no longer listed may still run.
func restartedSince(server serverlist.Server, startedAt time.Time, listed []serverlist.Server) bool {
	server = serverDuringAttempt(server, startedAt, listed)
	for _, candidate := range listed {
		if (candidate.ID == server.ID || candidate.Address == server.Address) && candidate.StartedAtMillis > server.StartedAtMillis && server.StartedAtMillis > 0 {
			return true
		}
	}
	return false
}
