package forward

import (
	"bytes"
	"context"
	"io"
	"net/http"
	"time"

	"github.com/go-faster/errors"
	"go.opentelemetry.io/otel/attribute"
	"go.opentelemetry.io/otel/trace"

	"github.com/hibiscuslever/hibiscuslever/coordination/balance"
	"github.com/hibiscuslever/hibiscuslever/coordination/retry"
	"github.com/hibiscuslever/hibiscuslever/state/id"
	"github.com/hibiscuslever/hibiscuslever/state/outcome"
	"github.com/hibiscuslever/hibiscuslever/state/roster"
	"github.com/hibiscuslever/hibiscuslever/state/route"
)

// kept is a whole answer that was read and may still be passed on.
type kept struct {
	status int
	header http.Header
	body   []byte
	// notRun says that the server did not run the request.
	notRun bool
}

// plain carries a request to a server of a plain service.
func (jb *job) plain(ctx context.Context) {
	rn := jb.runner
	var avoid []id.BackendServer
	var last *kept
	dials := 0
	for {
		if jb.barred() {
			jb.result.Cause = "servers crashed under the content"
			return
		}
		sv, wait, ok := jb.choose(avoid)
		if !ok {
			jb.wait = wait
			break
		}
		jb.result.Server = sv.ID
		jb.result.Attempts++
		avoid = append(avoid, sv.ID)
		answer, result, cause := jb.attemptPlain(ctx, sv, avoid)
		rn.logger.Info("attempt ended", "request", jb.request.ID, "fingerprint", jb.result.Fingerprint.String(), "server", string(sv.ID), "address", sv.Address,
			"number", jb.result.Attempts, "result", cause, "remaining_ms", jb.remaining().Milliseconds())
		if result == 0 {
			return
		}
		if answer != nil {
			last = answer
		}
		if result == retry.StaleConnection && !jb.fresh {
			jb.fresh = true
			avoid = avoid[:len(avoid)-1]
		}
		jb.result.Cause = cause
		if ctx.Err() != nil {
			break
		}
		if result == retry.NotSent {
			const maxDials = 3
			if dials++; dials < maxDials {
				continue
			}
			break
		}
		if jb.sent >= max(1, jb.request.Route.MaxAttempts) || !jb.again(ctx, result) {
			break
		}
	}
	switch {
	case last != nil && !(last.notRun && jb.unknown):
		jb.passOn(*last)
	case ctx.Err() != nil:
		jb.ended(ctx)
	case jb.result.Attempts == 0 && jb.wait > 0:
		jb.result.Outcome = outcome.Refuse(outcome.Overloaded, "all servers of the service want to be left alone").After(rn.apart(jb.wait))
	case jb.result.Attempts == 0:
		jb.result.Outcome = outcome.Refuse(outcome.NoCapacity, "no server of the service takes requests").After(time.Second)
	default:
		jb.giveUp(jb.result.Cause)
	}
}

// choose returns the server that is next, or the time until one that wants to be left alone may be it.
func (jb *job) choose(avoid []id.BackendServer) (roster.Server, time.Duration, bool) {
	rn := jb.runner
	servers := rn.fleet.Servers(jb.request.Service)
	rn.mutex.Lock()
	defer rn.mutex.Unlock()
	now := rn.clock.Now()
	servers, wait := rn.allowed(servers)
	sv, ok := rn.balancer.Choose(now, servers, avoid)
	if ok {
		rn.backoffs.RecordSent(now, sv.ID)
		wait = 0
	}
	return sv, wait, ok
}

// attemptPlain sends the request to one server, the last one of those that it is not to be sent to again. It returns 0
// when the answer was passed on, else why the attempt did not bring a proper answer, and the answer that may be passed on
// if there is no better one.
func (jb *job) attemptPlain(ctx context.Context, sv roster.Server, avoid []id.BackendServer) (*kept, retry.Cause, string) {
	rn := jb.runner
	began := rn.clock.Now()
	rn.mutex.Lock()
	rn.balancer.BeginRequest(sv)
	rn.mutex.Unlock()
	result := balance.Abandoned
	var load *balance.Load
	defer func() {
		rn.mutex.Lock()
		now := rn.clock.Now()
		rn.balancer.EndRequest(now, sv, result, load, now.Sub(began))
		rn.mutex.Unlock()
	}()
	ctx, span := rn.tracer.Start(ctx, "server.attempt", trace.WithAttributes(attribute.String("server", string(sv.ID))))
	defer span.End()
	call, cancel := context.WithCancel(ctx)
	defer cancel()
	remaining := jb.remaining()
	if jb.mayTryAnother(avoid) {
		call, cancel = context.WithTimeout(ctx, time.Duration(rn.config.AttemptTimeoutShare*float64(remaining)))
		defer cancel()
	}
	answer, err := rn.servers.Send(call, Attempt{Request: jb.request, Server: sv.ID, Address: sv.Address, Remaining: remaining, ResumeAfter: jb.request.LastEventID, NewConnection: jb.fresh, Urgency: -1})
	if err != nil {
		if errors.Is(err, ErrNotSent) {
			result = balance.Lost
			return nil, retry.NotSent, err.Error()
		}
		jb.sent++
		jb.unknown = true
		if ctx.Err() == nil {
			result = balance.Lost
		}
		cause := jb.interrupted(ctx, sv, began, err)
		if cause != retry.Crashed && errors.Is(err, ErrStaleConnection) {
			cause = retry.StaleConnection
		}
		return nil, cause, err.Error()
	}
	defer func() { _ = answer.Body.Close() }()
	rn.heed(sv, answer)
	load = answer.Load
	jb.sent++
	switch {
	case answer.Misdirected:
		jb.sent--
		result = balance.Gone
		rn.fleet.RecordLeaving(sv.ID)
		return nil, retry.BackendRefused, "another server has the address"
	case answer.NotRun:
		result = balance.Rejected
		body, err := io.ReadAll(io.LimitReader(answer.Body, rn.config.ResponseBufferBytes))
		if err != nil {
			return nil, retry.BackendRefused, "not run, answer broken off"
		}
		return &kept{status: answer.Status, header: answer.Header, body: body, notRun: true}, retry.BackendRefused, "the server did not run the request"
	}
	return jb.takePlain(ctx, sv, began, answer, &result)
}

// interrupted finds out whether the server of an attempt that brought no whole answer crashed, and returns why the attempt
// failed. The server of a request whose time is over is looked at afterwards; that of a client that has gone is not.
func (jb *job) interrupted(ctx context.Context, sv roster.Server, began time.Time, err error) retry.Cause {
	rn := jb.runner
	switch {
	case ctx.Err() == nil:
		if jb.examine(ctx, sv, began, rn.health(ctx, sv), err) {
			return retry.Crashed
		}
	case errors.Is(context.Cause(ctx), context.DeadlineExceeded):
		rn.group.Go(func() { jb.examine(context.Background(), sv, began, rn.health(context.Background(), sv), err) })
	}
	return retry.Interrupted
}

// mayTryAnother reports whether the request can be sent to another server when this one is slow. If not, the server has
// all the time that is left.
func (jb *job) mayTryAnother(avoid []id.BackendServer) bool {
	rn := jb.runner
	if !jb.request.Route.Repeatable() || jb.sent+1 >= jb.request.Route.MaxAttempts {
		return false
	}
	servers := rn.fleet.Servers(jb.request.Service)
	rn.mutex.Lock()
	defer rn.mutex.Unlock()
	servers, _ = rn.allowed(servers)
	return rn.balancer.HasEligible(servers, avoid) && rn.retries.Allows(retry.Failure{
		Service: jb.request.Service, Cause: retry.Interrupted, AttemptsMade: jb.sent + 1, Idempotent: true,
	})
}

// takePlain reads the answer and passes it on, unless it is worth another attempt. Streams are passed on as they come.
func (jb *job) takePlain(ctx context.Context, sv roster.Server, began time.Time, answer Response, result *balance.Result) (*kept, retry.Cause, string) {
	passOn := func(first []byte) (*kept, retry.Cause, string) {
		if err := jb.passThrough(answer, first); err != nil {
			jb.interrupted(ctx, sv, began, err)
		}
		return nil, 0, "passed through"
	}
	if jb.request.Route.Kind == route.Streaming && answer.Status < http.StatusInternalServerError {
		*result = balance.Answered
		return passOn(nil)
	}
	body, whole, err := readUpTo(answer.Body, jb.runner.config.ResponseBufferBytes)
	if err != nil {
		jb.unknown = true
		if ctx.Err() == nil {
			*result = balance.Lost
		}
		return nil, jb.interrupted(ctx, sv, began, err), "the answer broke off: " + err.Error()
	}
	*result = balance.Answered
	kp := kept{status: answer.Status, header: answer.Header, body: body}
	if answer.Status >= http.StatusInternalServerError {
		*result = balance.ErrorResponse
		if whole && jb.request.Route.Repeatable() && jb.sent < jb.request.Route.MaxAttempts {
			return &kp, retry.Interrupted, "the server failed"
		}
	}
	if whole {
		jb.passOn(kp)
		return nil, 0, "answered"
	}
	return passOn(body)
}

// readUpTo reads a body up to a limit and reports whether that was all of it.
func readUpTo(body io.Reader, limit int64) ([]byte, bool, error) {
	var bf bytes.Buffer
	count, err := io.CopyN(&bf, body, limit)
	if errors.Is(err, io.EOF) {
		return bf.Bytes(), true, nil
	}
	return bf.Bytes(), count < limit, err
}

// passOn sends a whole answer to the client.
func (jb *job) passOn(kp kept) {
	jb.result.HeadSent = true
	jb.result.Status = kp.status
	jb.result.TimeToFirstByte = jb.runner.clock.Now().Sub(jb.request.ArrivedAt)
	if err := jb.sink.WriteHead(kp.status, kp.header, int64(len(kp.body))); err != nil {
		jb.result.Cause = err.Error()
		return
	}
	if err := jb.sink.Write(kp.body); err != nil {
		jb.result.Cause = err.Error()
		return
	}
	jb.result.Complete = true
}

// passThrough sends a long answer to the client as it comes. It returns the error of an answer that broke off.
func (jb *job) passThrough(answer Response, first []byte) error {
	jb.result.HeadSent = true
	jb.result.Status = answer.Status
	if err := jb.sink.WriteHead(answer.Status, answer.Header, answer.Length); err != nil {
		jb.result.Cause = err.Error()
		return nil
	}
	jb.result.TimeToFirstByte = jb.runner.clock.Now().Sub(jb.request.ArrivedAt)
	if err := jb.sink.Write(first); err != nil {
		jb.result.Cause = err.Error()
		return nil
	}
	const partBytes = 32 << 10
	part := make([]byte, partBytes)
	for {
		count, err := answer.Body.Read(part)
		if count > 0 {
			if err := jb.sink.Write(part[:count]); err != nil {
				jb.result.Cause = err.Error()
				return nil
			}
		}
		if errors.Is(err, io.EOF) {
			jb.result.Complete = true
			return nil
		}
		if err != nil {
			jb.result.Cause = "the answer broke off: " + err.Error()
			return err
		}
	}
}
