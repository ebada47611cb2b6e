package servicecall

import (
	"context"
	"encoding/json"
	"math/rand/v2"
	"net/http"
	"sync"
	"time"

	"github.com/uber-go/tally/v4"
	"go.opentelemetry.io/otel/trace"

	"github.com/hibiscuslever/hibiscuslever/coordination/claim"
	"github.com/hibiscuslever/hibiscuslever/coordination/fleet"
	"github.com/hibiscuslever/hibiscuslever/coordination/retry"
	"github.com/hibiscuslever/hibiscuslever/state/id"
	"github.com/hibiscuslever/hibiscuslever/state/outcome"
	"github.com/hibiscuslever/hibiscuslever/tasks"
	"github.com/hibiscuslever/hibiscuslever/timer"
)

const (
	// claimTimeout bounds the wait for the log to decide a claim.
	claimTimeout = 3 * time.Second
	// maxRecordWait bounds how long a response to the client is delayed while it is recorded in the log.
	maxRecordWait = time.Second
	// backgroundAppendTimeout bounds an append that continues after the call has ended, such as one that releases a
	// key.
	backgroundAppendTimeout = 10 * time.Second
	// maxRecordedBodyBytes is the largest response body that is recorded in the log.
	maxRecordedBodyBytes = 64 << 10
	// retryAfter is the delay after which a client may retry a call that failed or was refused.
	retryAfter = 2 * time.Second
)

// recordedResponse is the JSON form in which the log stores a response.
type recordedResponse struct {
	Status      int
	ContentType string `json:",omitempty"`
	Body        []byte `json:",omitempty"`
	// TooLarge reports that the body was longer than maxRecordedBodyBytes and was not stored.
	TooLarge bool `json:",omitempty"`
}

// Runner runs calls to plain services. It is safe for concurrent use.
type Runner struct {
	clock      timer.Clock
	serverList ServerList
	sender     Sender
	claimLog   ClaimLog
	metrics    tally.Scope
	tracer     trace.Tracer

	// mutex guards retries and random.
	mutex   sync.Mutex
	retries *retry.Policy
	random  *rand.Rand
	// backgroundAppends counts the appends that go on after their calls have ended.
	backgroundAppends tasks.WaitGroup
}

// NewRunner returns a runner. The seed determines its random choice among servers.
func NewRunner(clock timer.Clock, serverList ServerList, sender Sender, claimLog ClaimLog, retries *retry.Policy, metrics tally.Scope, tracer trace.Tracer, seed uint64) *Runner {
	return &Runner{
		clock:      clock,
		serverList: serverList,
		sender:     sender,
		claimLog:   claimLog,
		retries:    retries,
		metrics:    metrics,
		tracer:     tracer,
		random:     rand.New(rand.NewPCG(seed, seed)),
	}
}

// Wait blocks until the appends that outlast their calls have ended.
func (rn *Runner) Wait() {
	rn.backgroundAppends.Wait()
}

// Run runs a call and returns the server's response and an outcome, which says why if there is no response. It returns
// by the call's deadline.
func (rn *Runner) Run(ctx context.Context, call Call) (Response, outcome.Outcome) {
	ctx, cancel := context.WithDeadline(ctx, call.Deadline)
	defer cancel()
	if call.IdempotencyKey == "" {
		return rn.sendWithRetries(ctx, call)
	}
	return rn.runAtMostOnce(ctx, call)
}

// runAtMostOnce claims the call's idempotency key and runs the call only if the claim wins. If a call with the same key
// has completed, it returns the recorded response. If the log can't be reached, it releases the key in the background,
// because the claim may still be stored.
func (rn *Runner) runAtMostOnce(ctx context.Context, call Call) (Response, outcome.Outcome) {
	call.AtMostOnce = true
	claimant := claim.Claimant(call.ID)
	claimAnswer := rn.appendClaim(ctx, call, claim.Entry{Kind: claim.Claimed, Key: call.claimKey(), Claimant: claimant})
	switch claimAnswer.Verdict {
	case claim.Won:
		return rn.runClaimed(ctx, call, claimant)
	case claim.Done:
		rn.metrics.Counter("claims_repeated").Inc(1)
		return decodeRecordedResponse(claimAnswer.Result)
	case claim.Lost:
		rn.metrics.Counter("claims_lost").Inc(1)
		return Response{}, outcome.Fail(outcome.ResultUnknown, "a request with this idempotency key runs or may have run; its result is not known").WithRetryAfter(retryAfter)
	default:
		rn.metrics.Counter("claims_unavailable").Inc(1)
		rn.appendInBackground(ctx, claim.Entry{Kind: claim.Abandoned, Key: call.claimKey(), Claimant: claimant})
		return Response{}, outcome.Refuse(outcome.LogUnavailable, "the platform's log can't be asked whether the request ran before").WithRetryAfter(retryAfter)
	}
}

// appendClaim appends a claim and waits for the decision for at most half of the call's remaining time, so that a call
// that can't be claimed is refused early.
func (rn *Runner) appendClaim(ctx context.Context, call Call, entry claim.Entry) claim.Answer {
	ctx, span := rn.tracer.Start(ctx, "claim")
	defer span.End()
	timeout := min(claimTimeout, call.Deadline.Sub(rn.clock.Now())/2)
	ctx, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()
	return rn.claimLog.Append(ctx, entry)
}

// runClaimed runs a call whose claim won. It records the response, or releases the key if no server ran the call. If
// the call may have run, the claim stays, so that no later call with the same key runs.
func (rn *Runner) runClaimed(ctx context.Context, call Call, claimant claim.Claimant) (Response, outcome.Outcome) {
	response, callOutcome := rn.sendWithRetries(ctx, call)
	entry := claim.Entry{Kind: claim.Completed, Key: call.claimKey(), Claimant: claimant}
	switch callOutcome.Kind {
	case outcome.Refused:
		entry.Kind = claim.Abandoned
		rn.appendInBackground(ctx, entry)
	case outcome.Finished:
		entry.Result = encodeResponse(response)
		rn.recordResult(ctx, entry)
	case outcome.Failed:
	}
	return response, callOutcome
}

// recordResult appends an entry with a response and waits at most maxRecordWait until it is stored, so that a slow log
// delays the response to the client only slightly. The append continues in the background after that.
func (rn *Runner) recordResult(ctx context.Context, entry claim.Entry) {
	done := rn.appendInBackground(ctx, entry)
	timedOut, timerSubscription := timer.Wait(rn.clock, maxRecordWait)
	defer timerSubscription.Stop()
	select {
	case <-done:
	case <-timedOut:
		rn.metrics.Counter("results_recorded_late").Inc(1)
	case <-ctx.Done():
	}
}

// appendInBackground appends an entry and continues after ctx has been cancelled. The returned channel is closed when
// the append has succeeded or failed.
func (rn *Runner) appendInBackground(ctx context.Context, entry claim.Entry) <-chan struct{} {
	done := make(chan struct{})
	rn.backgroundAppends.Go(func() {
		defer close(done)
		ctx, cancel := context.WithTimeout(context.WithoutCancel(ctx), backgroundAppendTimeout)
		defer cancel()
		if rn.claimLog.Append(ctx, entry).Verdict == claim.Unavailable {
			rn.metrics.Counter("results_not_recorded").Inc(1)
		}
	})
	return done
}

// encodeResponse returns the form of a response that is stored in the log. It leaves out a body that is too large, and
// all headers except Content-Type. If encoding fails, it returns an empty record, which decodeRecordedResponse rejects.
func encodeResponse(response Response) []byte {
	recorded := recordedResponse{Status: response.Status, ContentType: response.Header.Get("Content-Type"), Body: response.Body}
	if len(response.Body) > maxRecordedBodyBytes {
		recorded.Body = nil
		recorded.TooLarge = true
	}
	encoded, err := json.Marshal(recorded)
	if err != nil {
		return []byte("{}")
	}
	return encoded
}

// decodeRecordedResponse returns the response that was recorded for an earlier call with the same key, with a header
// that marks it as replayed. It fails if the record can't be decoded or the body was not stored.
func decodeRecordedResponse(encoded []byte) (Response, outcome.Outcome) {
	var recorded recordedResponse
	if json.Unmarshal(encoded, &recorded) != nil || recorded.TooLarge || recorded.Status == 0 {
		return Response{}, outcome.Fail(outcome.ResultUnknown, "a request with this idempotency key ran; its answer was not kept")
	}
	header := http.Header{"Idempotency-Replayed": {"true"}}
	if recorded.ContentType != "" {
		header.Set("Content-Type", recorded.ContentType)
	}
	return Response{Status: recorded.Status, Header: header, Body: recorded.Body}, outcome.Done()
}

// sendWithRetries sends a call to servers of its service, one after another, until one answers, the retry policy
// forbids another attempt, or the deadline has passed. The outcome is a refusal only if no server can have run the
// call.
func (rn *Runner) sendWithRetries(ctx context.Context, call Call) (Response, outcome.Outcome) {
	rn.mutex.Lock()
	rn.retries.RecordFirstAttempt(call.Service)
	rn.mutex.Unlock()
	tried := map[id.BackendServer]bool{}
	mayHaveRun := false
	for attempt := 1; ; attempt++ {
		server, ok := rn.chooseServer(call.Service, tried)
		if !ok {
			return Response{}, unansweredOutcome(mayHaveRun, outcome.NoCapacity, "no server of the service takes requests")
		}
		tried[server.Name] = true
		// The process may have been paused since the claim won. Checking the deadline here keeps a call from being sent
		// after its client has received an error.
		if !rn.clock.Now().Before(call.Deadline) || ctx.Err() != nil {
			return Response{}, unansweredOutcome(mayHaveRun, outcome.DeadlineExceeded, "the request's time has passed")
		}
		response, result := rn.sendToServer(ctx, server, call.Request)
		if result == Answered {
			return response, outcome.Done()
		}
		mayHaveRun = mayHaveRun || result == MayHaveRun
		if !rn.waitForRetry(ctx, call, result, attempt) {
			return Response{}, unansweredOutcome(mayHaveRun, outcome.BackendLost, "the server did not answer")
		}
	}
}

// sendToServer sends a request to one server and records evidence if the server can't be reached or refused. A refusal
// counts as Draining, because a server refuses requests only while it is draining. The header is cloned, so that
// changes made by the sender don't reach the next attempt.
func (rn *Runner) sendToServer(ctx context.Context, server fleet.BackendServer, request Request) (Response, SendResult) {
	ctx, span := rn.tracer.Start(ctx, "service.request")
	defer span.End()
	request.Header = request.Header.Clone()
	response, result := rn.sender.Send(ctx, server.Address, request)
	switch result {
	case NotSent:
		rn.serverList.RecordObservation(string(server.Name), fleet.Unreachable)
	case ServerRefused:
		rn.serverList.RecordObservation(string(server.Name), fleet.Draining)
	case Answered, MayHaveRun:
	}
	return response, result
}

// waitForRetry reports whether the retry policy allows another attempt. If so, it first waits for the delay that the
// policy asks for.
func (rn *Runner) waitForRetry(ctx context.Context, call Call, result SendResult, attemptsMade int) bool {
	cause := retry.NotSent
	switch result {
	case ServerRefused:
		cause = retry.BackendRefused
	case MayHaveRun:
		cause = retry.Interrupted
	case Answered, NotSent:
	}
	rn.mutex.Lock()
	decision := rn.retries.Decide(retry.Failure{
		Service:       call.Service,
		Cause:         cause,
		AttemptsMade:  attemptsMade,
		Idempotent:    call.Idempotent && !call.AtMostOnce,
		UntilDeadline: call.Deadline.Sub(rn.clock.Now()),
	})
	rn.mutex.Unlock()
	if !decision.Retry {
		return false
	}
	rn.metrics.Tagged(map[string]string{"cause": cause.String()}).Counter("retries").Inc(1)
	timer.Sleep(ctx, rn.clock, decision.Backoff)
	return true
}

// unansweredOutcome returns the outcome of a call that no server answered: a failure if a server may have run it, or
// else a refusal, which says that a retry is safe.
func unansweredOutcome(mayHaveRun bool, reason outcome.Reason, detail string) outcome.Outcome {
	if mayHaveRun {
		return outcome.Fail(reason, detail)
	}
	return outcome.Refuse(reason, detail).WithRetryAfter(retryAfter)
}

// chooseServer returns a random server that has not been tried, or any server if all have been. It returns false if the
// service has no server.
func (rn *Runner) chooseServer(service id.Service, tried map[id.BackendServer]bool) (fleet.BackendServer, bool) {
	servers := rn.serverList.Servers(service)
	var candidates []fleet.BackendServer
	for _, server := range servers {
		if !tried[server.Name] {
			candidates = append(candidates, server)
		}
	}
	if len(candidates) == 0 {
		candidates = servers
	}
	if len(candidates) == 0 {
		return fleet.BackendServer{}, false
	}
	rn.mutex.Lock()
	defer rn.mutex.Unlock()
	return candidates[rn.random.IntN(len(candidates))], true
}
