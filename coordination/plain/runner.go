package plain

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
	"github.com/hibiscuslever/hibiscuslever/timer"
)

const (
	// claimTimeout bounds the wait for a claim.
	claimTimeout = 3 * time.Second
	// recordTimeout bounds the wait for a result to be recorded before the caller is answered.
	recordTimeout = time.Second
	// abandonTimeout bounds the work to give a key back.
	abandonTimeout = 10 * time.Second
	// maxRecordedBody bounds the body of a recorded result.
	maxRecordedBody = 64 << 10
	comeBack        = 2 * time.Second
)

// recorded is a result as the log keeps it.
type recorded struct {
	Status      int
	ContentType string `json:",omitempty"`
	Body        []byte `json:",omitempty"`
	// TooLarge says that the body was not kept.
	TooLarge bool `json:",omitempty"`
}

// Runner runs calls to plain services.
type Runner struct {
	clock   timer.Service
	servers Servers
	sender  Sender
	claims  Claims
	metrics tally.Scope
	tracer  trace.Tracer

	mutex   sync.Mutex
	retries *retry.Policy
	random  *rand.Rand
	cleanup sync.WaitGroup
}

// NewRunner returns a runner. The seed determines the choice among servers.
func NewRunner(clock timer.Service, servers Servers, sender Sender, claims Claims, retries *retry.Policy, metrics tally.Scope, tracer trace.Tracer, seed uint64) *Runner {
	return &Runner{
		clock:   clock,
		servers: servers,
		sender:  sender,
		claims:  claims,
		retries: retries,
		metrics: metrics,
		tracer:  tracer,
		random:  rand.New(rand.NewPCG(seed, seed)),
	}
}

// Wait blocks until the work after ended calls is done.
func (rn *Runner) Wait() {
	rn.cleanup.Wait()
}

// Run runs a call and returns the server's answer, or why there is none. It returns by the call's deadline.
func (rn *Runner) Run(ctx context.Context, call Call) (Response, outcome.Outcome) {
	ctx, cancel := context.WithDeadline(ctx, call.Deadline)
	defer cancel()
	if call.IdempotencyKey == "" {
		return rn.send(ctx, call)
	}
	return rn.runOnce(ctx, call)
}

// runOnce claims the call's key and runs the call only if the claim wins.
func (rn *Runner) runOnce(ctx context.Context, call Call) (Response, outcome.Outcome) {
	call.AtMostOnce = true
	claimant := claim.Claimant(call.ID)
	answer := rn.claim(ctx, call, claim.Entry{Kind: claim.Claimed, Key: call.claimKey(), Claimant: claimant})
	switch answer.Verdict {
	case claim.Won:
		return rn.runClaimed(ctx, call, claimant)
	case claim.Done:
		rn.metrics.Counter("claims_repeated").Inc(1)
		return replay(answer.Result)
	case claim.Lost:
		rn.metrics.Counter("claims_lost").Inc(1)
		return Response{}, outcome.Fail(outcome.ResultUnknown, "a request with this idempotency key runs or may have run; its result is not known").WithRetryAfter(comeBack)
	default:
		rn.metrics.Counter("claims_unavailable").Inc(1)
		rn.recordLater(ctx, claim.Entry{Kind: claim.Abandoned, Key: call.claimKey(), Claimant: claimant})
		return Response{}, outcome.Refuse(outcome.LogUnavailable, "the platform's log can't be asked whether the request ran before").WithRetryAfter(comeBack)
	}
}

// claim asks the log within a part of the call's time, so that a call that is refused is refused soon.
func (rn *Runner) claim(ctx context.Context, call Call, en claim.Entry) claim.Answer {
	ctx, span := rn.tracer.Start(ctx, "claim")
	defer span.End()
	wait := min(claimTimeout, call.Deadline.Sub(rn.clock.Now())/2)
	ctx, cancel := context.WithTimeout(ctx, wait)
	defer cancel()
	return rn.claims.Claim(ctx, en)
}

// runClaimed runs a call whose claim won and records its result.
func (rn *Runner) runClaimed(ctx context.Context, call Call, claimant claim.Claimant) (Response, outcome.Outcome) {
	answer, oc := rn.send(ctx, call)
	entry := claim.Entry{Kind: claim.Completed, Key: call.claimKey(), Claimant: claimant}
	switch oc.Kind {
	case outcome.Refused:
		entry.Kind = claim.Abandoned
		rn.recordLater(ctx, entry)
	case outcome.Finished:
		entry.Result = encodeResult(answer)
		rn.record(ctx, entry)
	case outcome.Failed:
	}
	return answer, oc
}

// record appends a result and waits a little for it; a slow log does not hold the answer up.
func (rn *Runner) record(ctx context.Context, en claim.Entry) {
	done := rn.recordLater(ctx, en)
	passed, sub := timer.Wait(rn.clock, recordTimeout)
	defer sub.Stop()
	select {
	case <-done:
	case <-passed:
		rn.metrics.Counter("results_recorded_late").Inc(1)
	case <-ctx.Done():
	}
}

// recordLater appends an entry whether or not the caller waits.
func (rn *Runner) recordLater(ctx context.Context, en claim.Entry) <-chan struct{} {
	done := make(chan struct{})
	rn.cleanup.Go(func() {
		defer close(done)
		ctx, cancel := context.WithTimeout(context.WithoutCancel(ctx), abandonTimeout)
		defer cancel()
		if rn.claims.Claim(ctx, en).Verdict == claim.Unavailable {
			rn.metrics.Counter("results_not_recorded").Inc(1)
		}
	})
	return done
}

func encodeResult(answer Response) []byte {
	result := recorded{Status: answer.Status, ContentType: answer.Header.Get("Content-Type"), Body: answer.Body}
	if len(answer.Body) > maxRecordedBody {
		result.Body = nil
		result.TooLarge = true
	}
	body, err := json.Marshal(result)
	if err != nil {
		return []byte("{}")
	}
	return body
}

// replay returns the answer that was recorded for an earlier request with the same key.
func replay(body []byte) (Response, outcome.Outcome) {
	var result recorded
	if json.Unmarshal(body, &result) != nil || result.TooLarge || result.Status == 0 {
		return Response{}, outcome.Fail(outcome.ResultUnknown, "a request with this idempotency key ran; its answer was not kept")
	}
	header := http.Header{"Idempotency-Replayed": {"true"}}
	if result.ContentType != "" {
		header.Set("Content-Type", result.ContentType)
	}
	return Response{Status: result.Status, Header: header, Body: result.Body}, outcome.Done()
}

// send sends a call to one server after another while that is allowed.
func (rn *Runner) send(ctx context.Context, call Call) (Response, outcome.Outcome) {
	rn.mutex.Lock()
	rn.retries.RecordFirstAttempt(call.Service)
	rn.mutex.Unlock()
	tried := map[id.BackendServer]bool{}
	sent := false
	for attempts := 1; ; attempts++ {
		server, ok := rn.choose(call.Service, tried)
		if !ok {
			return Response{}, giveUp(sent, outcome.NoCapacity, "no server of the service takes requests")
		}
		tried[server.Name] = true
		// A holder that was paused finds its deadline passed here and does not send.
		if !rn.clock.Now().Before(call.Deadline) || ctx.Err() != nil {
			return Response{}, giveUp(sent, outcome.DeadlineExceeded, "the request's time has passed")
		}
		answer, result := rn.sendTo(ctx, server, call.Request)
		if result == Answered {
			return answer, outcome.Done()
		}
		sent = sent || result == MayHaveRun
		if !rn.again(ctx, call, result, attempts) {
			return Response{}, giveUp(sent, outcome.BackendLost, "the server did not answer")
		}
	}
}

func (rn *Runner) sendTo(ctx context.Context, server fleet.BackendServer, rq Request) (Response, SendResult) {
	ctx, span := rn.tracer.Start(ctx, "service.request")
	defer span.End()
	rq.Header = rq.Header.Clone()
	answer, result := rn.sender.Send(ctx, server.Address, rq)
	switch result {
	case NotSent:
		rn.servers.RecordEvidence(string(server.Name), fleet.Unreachable)
	case ServerRefused:
		rn.servers.RecordEvidence(string(server.Name), fleet.Draining)
	case Answered, MayHaveRun:
	}
	return answer, result
}

// again decides whether a call is sent to another server and waits for it.
func (rn *Runner) again(ctx context.Context, call Call, result SendResult, attempts int) bool {
	cause := retry.NotSent
	switch result {
	case ServerRefused:
		cause = retry.BackendRefused
	case MayHaveRun:
		cause = retry.Interrupted
	case Answered, NotSent:
	}
	rn.mutex.Lock()
	verdict := rn.retries.Decide(retry.Failure{
		Service:       call.Service,
		Cause:         cause,
		AttemptsMade:  attempts,
		Idempotent:    call.Idempotent && !call.AtMostOnce,
		UntilDeadline: call.Deadline.Sub(rn.clock.Now()),
	})
	rn.mutex.Unlock()
	if !verdict.Retry {
		return false
	}
	rn.metrics.Tagged(map[string]string{"cause": cause.String()}).Counter("retries").Inc(1)
	timer.Sleep(ctx, rn.clock, verdict.Backoff)
	return true
}

func giveUp(sent bool, reason outcome.Reason, detail string) outcome.Outcome {
	if sent {
		return outcome.Fail(reason, detail)
	}
	return outcome.Refuse(reason, detail).WithRetryAfter(comeBack)
}

// choose picks a random server that was not tried, or any if all were.
func (rn *Runner) choose(service id.Service, tried map[id.BackendServer]bool) (fleet.BackendServer, bool) {
	servers := rn.servers.Servers(service)
	var fresh []fleet.BackendServer
	for _, sv := range servers {
		if !tried[sv.Name] {
			fresh = append(fresh, sv)
		}
	}
	if len(fresh) == 0 {
		fresh = servers
	}
	if len(fresh) == 0 {
		return fleet.BackendServer{}, false
	}
	rn.mutex.Lock()
	defer rn.mutex.Unlock()
	return fresh[rn.random.IntN(len(fresh))], true
}
