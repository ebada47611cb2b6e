package forward

import (
	"context"
	"net/http"
	"time"

	"github.com/go-faster/errors"

	"github.com/hibiscuslever/hibiscuslever/state/serverlist"
	"github.com/hibiscuslever/hibiscuslever/timer"
)

// errEndUnconfirmed is the cause of not taking the end of a connection for the end of the response on it.
var errEndUnconfirmed = errors.New("the connection ended before the end of the answer was certain")

const (
	// endConfirmationLimit bounds the time in which the end of a response is confirmed if no other attempt is possible.
	endConfirmationLimit = 2 * time.Second
	// endConfirmationPause is the pause between two probes for that.
	endConfirmationPause = 50 * time.Millisecond
)

// confirmEnd returns nil if the end of a response's body is the end of the response. A response that ends with its
// connection has the same end if its server crashes, because the system of a process that ends closes its connections. Such
// a response counts as complete only if the server accepts a connection after that and the list shows no newer start.
// Failures are not confirmed.
//
// A server that neither accepts nor refuses a connection is probed again, unless another attempt is possible.
func (jb *job) confirmEnd(ctx context.Context, server serverlist.Server, startedAt time.Time, response Response) error {
	if !response.EndsWithConnection || response.Status >= http.StatusMultipleChoices {
		return nil
	}
	rn := jb.runner
	endedAt := rn.clock.Now()
	result := rn.probeConnection(ctx, server)
	for !result.Alive() && result != ConnectionRefused && !jb.canRunAgain() &&
		rn.clock.Now().Sub(endedAt) < endConfirmationLimit && timer.Sleep(ctx, rn.clock, endConfirmationPause) {
		result = rn.probeConnection(ctx, server)
	}
	restarted := restartedSince(server, startedAt, rn.fleet.Servers(server.Service))
	if result.Alive() && !restarted {
		return nil
	}
	rn.logger.Info("end of the answer not confirmed", "request", jb.request.ID, "server", string(server.ID), "address", server.Address, "born", server.StartedAtMillis,
		"health", result.String(), "restarted", restarted, "took_ms", rn.clock.Now().Sub(endedAt).Milliseconds())
	return errEndUnconfirmed
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
