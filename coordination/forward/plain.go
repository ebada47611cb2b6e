package forward

import (
	"bytes"
	"context"
	"io"
	"net/http"
	"slices"
	"time"

	"github.com/go-faster/errors"
	"go.opentelemetry.io/otel/attribute"
	"go.opentelemetry.io/otel/trace"

	"github.com/hibiscuslever/hibiscuslever/coordination/balance"
	"github.com/hibiscuslever/hibiscuslever/coordination/requestlimit"
	"github.com/hibiscuslever/hibiscuslever/coordination/retry"
	"github.com/hibiscuslever/hibiscuslever/state/id"
	"github.com/hibiscuslever/hibiscuslever/state/outcome"
	"github.com/hibiscuslever/hibiscuslever/state/route"
	"github.com/hibiscuslever/hibiscuslever/state/serverlist"
	"github.com/hibiscuslever/hibiscuslever/timer"
)

// bufferedResponse is a response that was read in full and has not been forwarded yet.
type bufferedResponse struct {
	status int
	header http.Header
	body   []byte
	// notRun says that the server did not run the request.
	notRun bool
}

// runOnServers forwards a request to servers of a plain service, which it chooses itself without a grant. It retries on
// other servers as far as the route and the retry budget allow. If no attempt succeeds, it forwards the last error
// response, if there is one.
func (jb *job) runOnServers(ctx context.Context) {
	rn := jb.runner
	var tried []id.BackendServer
	var lastErrorResponse *bufferedResponse
	unsentAttempts := 0
	for {
		if jb.nextSecond == nil && jb.rejectQuarantined() {
			jb.result.Cause = "quarantined: servers crashed while running this content"
			return
		}
		if lastErrorResponse == nil && jb.rejectUnreachable() {
			return
		}
		errorResponse, retryCause, description, ok := jb.nextAttempt(ctx, &tried, lastErrorResponse)
		lastErrorResponse = betterResponse(lastErrorResponse, jb.countFailedSeconds(&tried))
		if !ok {
			break
		}
		if retryCause == 0 {
			return
		}
		lastErrorResponse = betterResponse(lastErrorResponse, errorResponse)
		if retryCause == retry.StaleConnection && !jb.newConnection {
			jb.newConnection = true
			// The stale connection says nothing about the server, so the server may be tried once more.
			tried = tried[:len(tried)-1]
		}
		jb.result.Cause = description
		if ctx.Err() != nil {
			// The second attempt ends with the request, and its server may have run it.
			jb.mayHaveRun = jb.mayHaveRun || jb.nextSecond != nil
			break
		}
		if jb.nextSecond != nil {
			continue
		}
		if retryCause == retry.NotSent {
			// Attempts that reached no server use up neither the limit of the route nor the retry budget.
			const maxUnsentAttempts = 3
			if unsentAttempts++; unsentAttempts < maxUnsentAttempts {
				continue
			}
			break
		}
		if jb.sentCount >= max(1, jb.request.Route.MaxAttempts) || !jb.takeRetry(ctx, retryCause) {
			break
		}
	}
	switch {
	// A response that says that the request was not run is withheld if another attempt may have run the request.
	case lastErrorResponse != nil && !(lastErrorResponse.notRun && jb.mayHaveRun):
		jb.writeBuffered(*lastErrorResponse)
	case ctx.Err() != nil:
		jb.setOutcomeOnContextEnd(ctx)
	case jb.refusesFirstSending():
		jb.setOutcomeOnShutdown()
	case jb.result.Attempts == 0 && jb.limitReached:
		jb.result.Outcome = outcome.Refuse(outcome.Overloaded, "the request limits of the service's servers are reached").WithRetryAfter(rn.addJitter(max(jb.backoffWait, minLimitRetryAfter)))
	case jb.result.Attempts == 0 && jb.backoffWait > 0:
		jb.result.Outcome = outcome.Refuse(outcome.Overloaded, "all servers of the service want to be left alone or are out of reach").WithRetryAfter(rn.addJitter(jb.backoffWait))
	case jb.result.Attempts == 0:
		jb.result.Outcome = outcome.Refuse(outcome.NoCapacity, "no server of the service takes requests").WithRetryAfter(time.Second)
	default:
		jb.setOutcomeOnFailure(jb.result.Cause)
	}
}

// nextAttempt goes on with the second attempt that runs, or sends the request to a server that it chooses. The first three
// results are those of attemptPlain, and ok is false if nothing was sent.
func (jb *job) nextAttempt(ctx context.Context, tried *[]id.BackendServer, lastErrorResponse *bufferedResponse) (errorResponse *bufferedResponse, retryCause retry.Cause, description string, ok bool) {
	if second := jb.nextSecond; second != nil {
		jb.nextSecond = nil
		*tried = append(*tried, second.server.ID)
		errorResponse, retryCause, description = jb.joinSecond(second)
		return errorResponse, retryCause, description, true
	}
	server, wait, found := jb.chooseServer(ctx, *tried)
	if jb.refusesFirstSending() && (lastErrorResponse == nil || lastErrorResponse.notRun) {
		return nil, 0, "", false
	}
	if !found {
		jb.backoffWait = wait
		return nil, 0, "", false
	}
	jb.result.Server = server.ID
	jb.result.Attempts++
	*tried = append(*tried, server.ID)
	errorResponse, retryCause, description = jb.attemptPlain(ctx, server, *tried)
	jb.logAttempt(server, description)
	return errorResponse, retryCause, description, true
}

// betterResponse returns the response to forward if no attempt does better: the later one, unless it says that the request
// was not run and the earlier one does not. Either may be nil.
func betterResponse(earlier, later *bufferedResponse) *bufferedResponse {
	if later == nil || later.notRun && earlier != nil && !earlier.notRun {
		return earlier
	}
	return later
}

// logAttempt logs the end of an attempt.
func (jb *job) logAttempt(server serverlist.Server, description string) {
	jb.runner.logger.Info("attempt ended", "request", jb.request.ID, "fingerprint", jb.result.Fingerprint.String(), "server", string(server.ID), "address", server.Address,
		"number", jb.result.Attempts, "result", description, "remaining_ms", jb.remaining().Milliseconds())
}

// countFailedSeconds adds what the second attempts used that failed during the last attempt to what the request used, and
// returns the last response that one of them got, nil if none did.
func (jb *job) countFailedSeconds(tried *[]id.BackendServer) *bufferedResponse {
	var errorResponse *bufferedResponse
	for _, failed := range jb.failedSeconds {
		*tried = append(*tried, failed.server.ID)
		jb.result.Attempts++
		jb.result.PassedOn += failed.job.result.PassedOn
		jb.mayHaveRun = jb.mayHaveRun || failed.mayHaveRun()
		errorResponse = betterResponse(errorResponse, failed.errorResponse)
	}
	jb.sentCount += countSent(jb.failedSeconds)
	jb.failedSeconds = nil
	return errorResponse
}

// minLimitRetryAfter is the shortest time after which a client is asked to retry because request limits are reached.
const minLimitRetryAfter = 200 * time.Millisecond

// chooseServer returns the best server that is not among those tried and that may get the request now. An issuer of permits
// that can't be asked is not asked for each server, which would use up the request's time. If the request limits of all
// servers are reached, it waits for the first one that may get a request, up to half of the remaining time.
// If there is no server, it returns false and the time until one may get requests again, or zero if that is not known.
func (jb *job) chooseServer(ctx context.Context, tried []id.BackendServer) (serverlist.Server, time.Duration, bool) {
	rn := jb.runner
	excluded := tried
	var limited []serverlist.Server
	var permit requestlimit.Permit
	for {
		server, wait, ok := jb.bestServer(excluded)
		switch {
		case !ok && len(limited) == 0:
			return serverlist.Server{}, wait, false
		case !ok:
			return jb.waitForPermit(ctx, limited)
		}
		permitted := rn.limits.Rate(server) == 0
		if !permitted && !permit.NoIssuer {
			permit = rn.limits.Acquire(ctx, jb.request.Service, []serverlist.Server{server}, 0)
			permitted = permit.Granted()
		}
		if permitted {
			jb.recordSent(server)
			return server, 0, true
		}
		limited = append(limited, server)
		excluded = append(slices.Clone(excluded), server.ID)
	}
}

// bestServer returns the best server that is not excluded. If there is none, it returns false and the time until a
// server that asked for backoff may get requests again, as withoutBackoff returns it.
func (jb *job) bestServer(excluded []id.BackendServer) (serverlist.Server, time.Duration, bool) {
	rn := jb.runner
	servers := rn.fleet.Servers(jb.request.Service)
	rn.mutex.Lock()
	defer rn.mutex.Unlock()
	servers, wait := rn.withoutBackoff(servers)
	server, ok := rn.balancer.Choose(rn.clock.Now(), servers, excluded)
	return server, wait, ok
}

// recordSent records that the request is sent to a server.
func (jb *job) recordSent(server serverlist.Server) {
	rn := jb.runner
	rn.mutex.Lock()
	defer rn.mutex.Unlock()
	rn.backoffs.RecordSent(rn.clock.Now(), server.ID)
}

// waitForPermit waits for the first of several servers that may get a request, and returns it. It returns false if that
// takes more than half of the remaining time, with the time until then, or if the server may no longer be used by then.
func (jb *job) waitForPermit(ctx context.Context, limited []serverlist.Server) (serverlist.Server, time.Duration, bool) {
	rn := jb.runner
	// maxWaitShare leaves the server as much time to answer as the request has waited.
	const maxWaitShare = 0.5
	jb.limitReached = true
	permit := rn.limits.Acquire(ctx, jb.request.Service, limited, time.Duration(maxWaitShare*float64(jb.remaining())))
	if !permit.Granted() {
		return serverlist.Server{}, permit.Wait, false
	}
	sleepCtx, detach := jb.withFirstSending(ctx)
	defer detach()
	if !timer.Sleep(sleepCtx, rn.clock, permit.Wait) {
		return serverlist.Server{}, 0, false
	}
	for _, server := range rn.fleet.Servers(jb.request.Service) {
		rn.mutex.Lock()
		usable := server.ID == permit.Server && server.TakesNewWork() && rn.backoffs.AllowsRequest(rn.clock.Now(), server)
		rn.mutex.Unlock()
		if usable {
			jb.recordSent(server)
			return server, 0, true
		}
	}
	return serverlist.Server{}, permit.Wait, false
}

// attemptPlain sends the request to one server, which is the last element of tried. It returns 0 as the cause if a
// response was forwarded, even if only in part. Otherwise it returns why the attempt failed, a description for logs,
// and, if the server sent one, a response to forward in case no later attempt does better.
func (jb *job) attemptPlain(ctx context.Context, server serverlist.Server, tried []id.BackendServer) (*bufferedResponse, retry.Cause, string) {
	rn := jb.runner
	startedAt := rn.clock.Now()
	rn.mutex.Lock()
	rn.balancer.BeginRequest(server)
	rn.mutex.Unlock()
	balanceResult := balance.Abandoned
	var load *balance.Load
	defer func() {
		rn.mutex.Lock()
		now := rn.clock.Now()
		rn.balancer.EndRequest(now, server, balanceResult, load, now.Sub(startedAt))
		rn.mutex.Unlock()
	}()
	ctx, span := rn.tracer.Start(ctx, "server.attempt", trace.WithAttributes(attribute.String("server", string(server.ID))))
	defer span.End()
	attemptCtx, cancel := context.WithCancelCause(ctx)
	defer cancel(nil)
	remaining := jb.remainingForServer()
	monitor := jb.watchSlowServer(ctx, tried, func() { cancel(errSlowServer) })
	defer func() { jb.nextSecond, jb.failedSeconds = monitor.end() }()
	mayBegin := func() bool { return jb.maySend() && !rn.fleet.Evacuated(server.ID) }
	response, err := rn.sender.Send(attemptCtx, Attempt{
		Request: jb.request, Server: server.ID, Address: server.Address, Remaining: remaining, ResumeAfter: jb.request.LastEventID,
		NewConnection: jb.newConnection, Urgency: -1, MayBegin: mayBegin,
	})
	if err != nil {
		if !monitor.hasLost() && ctx.Err() == nil {
			rn.limits.RecordLoss(server)
		}
		if errors.Is(err, ErrNotSent) {
			balanceResult = balance.Lost
			if errors.Is(err, ErrUndetermined) {
				rn.recordUnreachable(server)
			}
			return nil, retry.NotSent, err.Error()
		}
		if monitor.hasLost() {
			err = errSlowServer
		}
		jb.result.PassedOn++
		jb.sentCount++
		jb.mayHaveRun = true
		if ctx.Err() == nil {
			balanceResult = balance.Lost
		}
		retryCause := jb.classifyInterruption(ctx, server, startedAt, err)
		if retryCause != retry.Crashed && errors.Is(err, ErrStaleConnection) {
			retryCause = retry.StaleConnection
		}
		return nil, retryCause, err.Error()
	}
	response = watchEnd(rn.clock, response)
	defer func() { _ = response.Body.Close() }()
	jb.result.PassedOn++
	rn.applyServerState(server, startedAt, response)
	load = response.Load
	jb.sentCount++
	switch {
	case response.Misdirected:
		jb.sentCount--
		balanceResult = balance.Gone
		rn.fleet.RecordLeaving(server.ID)
		return nil, retry.BackendRefused, "another server has the address"
	case response.NotRun:
		balanceResult = balance.Rejected
		body, err := io.ReadAll(io.LimitReader(response.Body, rn.config.ResponseBufferBytes))
		if err != nil {
			return nil, retry.BackendRefused, "not run, answer broken off"
		}
		return &bufferedResponse{status: response.Status, header: response.Header, body: body, notRun: true}, retry.BackendRefused, "the server did not run the request"
	}
	return jb.handlePlainResponse(ctx, attemptCtx, server, startedAt, response, monitor, &balanceResult)
}

// classifyInterruption returns the retry cause of an attempt that ended without a complete response, after checking
// whether its server crashed. If the request's deadline has passed or another server takes the request, the check runs in
// the background. If the client has disconnected, the attempt stays under suspicion.
func (jb *job) classifyInterruption(ctx context.Context, server serverlist.Server, startedAt time.Time, err error) retry.Cause {
	rn := jb.runner
	switch {
	case ctx.Err() == nil && !errors.Is(err, errSlowServer):
		if jb.checkForCrash(ctx, server, startedAt, rn.probeConnection(ctx, server), err) {
			return retry.Crashed
		}
	case ctx.Err() == nil, errors.Is(context.Cause(ctx), context.DeadlineExceeded):
		// The results of the request may change meanwhile.
		lost := &job{runner: rn, request: jb.request, result: Result{Fingerprint: jb.result.Fingerprint}}
		rn.background.Go(func() {
			lost.checkForCrash(context.Background(), server, startedAt, rn.probeConnection(context.Background(), server), err)
		})
	default:
		jb.suspectAfterEarlyEnd(ctx, server, startedAt)
	}
	return retry.Interrupted
}

// canTryAnotherServer reports whether the request could be sent to another server if the current one is slow. If not,
// the current server may use all of the remaining time.
func (jb *job) canTryAnotherServer(tried []id.BackendServer) bool {
	rn := jb.runner
	if !jb.request.Route.Repeatable() || jb.sentCount+1 >= jb.request.Route.MaxAttempts {
		return false
	}
	servers := rn.fleet.Servers(jb.request.Service)
	rn.mutex.Lock()
	defer rn.mutex.Unlock()
	servers, _ = rn.withoutBackoff(servers)
	return rn.balancer.HasEligible(servers, tried) && rn.retries.Allows(retry.Failure{
		Service: jb.request.Service, Cause: retry.Interrupted, AttemptsMade: jb.sentCount + 1, Idempotent: true,
	})
}

// handlePlainResponse reads a response and forwards it, unless it is a failure that justifies another attempt. Streams
// and responses larger than the buffer are forwarded as they arrive. The results are those of attemptPlain. attemptCtx ends when
// another server has an answer.
func (jb *job) handlePlainResponse(ctx, attemptCtx context.Context, server serverlist.Server, startedAt time.Time, response Response, monitor *slowServerMonitor, balanceResult *balance.Result) (*bufferedResponse, retry.Cause, string) {
	// copyRest forwards the rest of the response. Its description is "passed through" even if the response was cut off,
	// because a response that was forwarded in part is not retried.
	copyRest := func(prefix []byte) (*bufferedResponse, retry.Cause, string) {
		if !monitor.win() || !jb.second.takeOver(ctx) {
			jb.mayHaveRun = true
			return nil, retry.Interrupted, errSlowServer.Error()
		}
		if !jb.start.begin() {
			// The request was aborted, and the end of ctx ends the attempt.
			jb.mayHaveRun = true
			<-ctx.Done()
			return nil, retry.Interrupted, context.Cause(ctx).Error()
		}
		if err := jb.copyToClient(ctx, server, startedAt, response, prefix); err != nil {
			jb.classifyInterruption(ctx, server, startedAt, err)
		}
		return nil, 0, "passed through"
	}
	if jb.falselyPromisesNotRun(response.Status) {
		jb.mayHaveRun = true
		*balanceResult = balance.ErrorResponse
		return nil, retry.Interrupted, "the server failed with status " + http.StatusText(response.Status)
	}
	if jb.request.Route.Kind == route.Streaming && response.Status < http.StatusInternalServerError {
		*balanceResult = balance.Answered
		return copyRest(nil)
	}
	if response.Status < http.StatusInternalServerError {
		jb.limit.awaitAnswer()
	}
	body, complete, err := readUpTo(response.Body, jb.runner.config.ResponseBufferBytes)
	if err == nil && complete {
		err = jb.confirmEnd(attemptCtx, server, startedAt, response)
	}
	if err != nil {
		switch {
		case monitor.hasLost():
			err = errSlowServer
		case ctx.Err() == nil:
			jb.runner.limits.RecordLoss(server)
		}
		jb.mayHaveRun = true
		if ctx.Err() == nil {
			*balanceResult = balance.Lost
		}
		return nil, jb.classifyInterruption(ctx, server, startedAt, err), "the answer broke off: " + err.Error()
	}
	*balanceResult = balance.Answered
	buffered := bufferedResponse{status: response.Status, header: response.Header, body: body}
	if response.Status >= http.StatusInternalServerError {
		*balanceResult = balance.ErrorResponse
		jb.mayHaveRun = true
		switch {
		case complete && jb.request.Route.Repeatable() && (jb.second.isPending() || jb.sentCount < jb.request.Route.MaxAttempts):
			return &buffered, retry.Interrupted, "the server failed"
		case jb.second.isPending(), monitor.hasSecond():
			return nil, retry.Interrupted, "the server failed"
		}
	}
	if complete {
		if !monitor.win() || !jb.second.takeOver(ctx) {
			jb.mayHaveRun = true
			return nil, retry.Interrupted, errSlowServer.Error()
		}
		jb.writeBuffered(buffered)
		return nil, 0, "answered"
	}
	return copyRest(body)
}

// falselyPromisesNotRun reports whether the status of a response that does not say that the request was not run would
// tell the client so, and the request must not run twice.
func (jb *job) falselyPromisesNotRun(status int) bool {
	switch status {
	case http.StatusRequestTimeout, http.StatusMisdirectedRequest, http.StatusTooManyRequests, http.StatusServiceUnavailable:
		return !jb.request.Route.Repeatable()
	default:
		return false
	}
}

// readUpTo reads a body up to a limit and reports whether the body ended before the limit. The result is meaningless if
// err is not nil.
func readUpTo(body io.Reader, limit int64) ([]byte, bool, error) {
	var buffer bytes.Buffer
	count, err := io.CopyN(&buffer, body, limit)
	if errors.Is(err, io.EOF) {
		return buffer.Bytes(), true, nil
	}
	return buffer.Bytes(), count < limit, err
}

// writeBuffered sends a complete response to the client.
func (jb *job) writeBuffered(response bufferedResponse) {
	jb.result.HeadSent = true
	jb.result.Status = response.status
	jb.result.TimeToFirstByte = jb.runner.clock.Now().Sub(jb.request.ArrivedAt)
	if err := jb.sink.WriteHead(response.status, response.header, int64(len(response.body))); err != nil {
		jb.result.Cause = err.Error()
		return
	}
	if err := jb.sink.Write(response.body); err != nil {
		jb.result.Cause = err.Error()
		return
	}
	jb.result.Complete = true
}

// copyToClient sends the head of a response, the prefix of its body that was already read, and the rest as it arrives. Of
// a stream of events, it sends nothing from the first line on that can't be part of an event. It returns an error only if
// reading from the server fails or the end is not confirmed; a failure to write to the client is recorded as the result's
// cause.
func (jb *job) copyToClient(ctx context.Context, server serverlist.Server, startedAt time.Time, response Response, prefix []byte) error {
	jb.result.HeadSent = true
	jb.result.Status = response.Status
	if err := jb.sink.WriteHead(response.Status, response.Header, response.Length); err != nil {
		jb.result.Cause = err.Error()
		return nil
	}
	jb.result.TimeToFirstByte = jb.runner.clock.Now().Sub(jb.request.ArrivedAt)
	const chunkBytes = 32 << 10
	body := io.MultiReader(bytes.NewReader(prefix), response.Body)
	chunk := make([]byte, chunkBytes)
	isEventStream := hasEventStream(response.Header)
	var boundary eventBoundary
	var filter eventLineFilter
	empty := true
	for {
		chunkLength, err := body.Read(chunk)
		content := chunk[:chunkLength]
		if isEventStream {
			boundary.advance(content)
			empty = empty && chunkLength == 0
			if errors.Is(err, io.EOF) && (boundary.insideEvent || empty && response.EndsWithConnection) {
				err = io.ErrUnexpectedEOF
			}
			var filterErr error
			content, filterErr = filter.next(content)
			if filterErr != nil {
				err = filterErr
			} else if err != nil {
				content = append(content, filter.undecided...)
			}
		}
		if len(content) > 0 {
			if err := jb.sink.Write(content); err != nil {
				jb.result.Cause = err.Error()
				return nil
			}
		}
		if errors.Is(err, io.EOF) {
			err = jb.confirmEnd(ctx, server, startedAt, response)
			if err == nil {
				jb.result.Complete = true
				return nil
			}
		}
		if err != nil {
			jb.result.Cause = "the answer broke off: " + err.Error()
			return err
		}
	}
}
