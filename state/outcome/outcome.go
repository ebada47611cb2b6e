// Package outcome defines the final result of a request: whether it ran, why it did not finish, and after which time a
// retry may succeed.
package outcome

import "time"

// Kind says whether a request ran to its end, did not run, or may have run. From it, clients learn whether a request
// could run twice if they repeat it.
type Kind int

// Kinds of outcomes.
const (
	// Finished means that the complete answer was delivered.
	Finished Kind = iota + 1
	// Refused means that the request did not run.
	Refused
	// Failed means that the request ran or may have run, but its complete answer was not delivered.
	Failed
)

// String returns the name of the kind that clients receive.
func (kd Kind) String() string {
	switch kd {
	case Finished:
		return "finished"
	case Refused:
		return "not_run"
	case Failed:
		return "may_have_run"
	default:
		return "unknown"
	}
}

// Reason says why a request was refused or failed. Its value is sent to clients.
type Reason string

// Reasons for refusals and failures.
const (
	BadRequest   Reason = "bad_request"
	Unauthorized Reason = "invalid_api_key"
	Forbidden    Reason = "not_allowed_by_plan"
	NotFound     Reason = "not_found"
	// PromptTooLong means that the body or the prompt is longer than the host or the plan allows.
	PromptTooLong Reason = "prompt_too_long"
	// LimitReached means that a rate limit or the concurrency limit of the plan is reached.
	LimitReached Reason = "limit_reached"
	// BodyStalled means that the body of the request stopped arriving while its memory was needed for other requests.
	BodyStalled Reason = "body_stalled"
	// Overloaded means that the queue was full or that the request could not start in time.
	Overloaded Reason = "overloaded"
	// NoCapacity means that no engine or no dispatcher was available for the request.
	NoCapacity Reason = "no_capacity"
	// PromptExceedsFleet means that the engines could not hold the prompt even if they were idle.
	PromptExceedsFleet Reason = "prompt_exceeds_fleet"
	// Quarantined means that the request is suspected of crashing engines.
	Quarantined Reason = "crashes_engines"
	// NotReady means that the host does not yet have the state that it needs to serve requests.
	NotReady Reason = "not_ready"
	// LogUnavailable means that the platform's log could not be asked whether a request with the same idempotency key has
	// run.
	LogUnavailable Reason = "log_unavailable"
	// IdempotencyKeyTooOld means that the idempotency key was issued so long ago that it is no longer known whether its
	// request ran.
	IdempotencyKeyTooOld Reason = "idempotency_key_too_old"
	IdempotencyKeyInUse  Reason = "idempotency_key_in_use"
	// ResultUnknown means that a request with the same idempotency key ran or may have run, and its answer is not
	// available.
	ResultUnknown Reason = "result_unknown"
	// DeadlineExceeded means that the request could not start or complete by its deadline.
	DeadlineExceeded Reason = "deadline_exceeded"
	// BackendLost means that a backend server did not answer.
	BackendLost    Reason = "backend_lost"
	BackendRefused Reason = "backend_refused"
	// CallerGone means that the client closed the connection.
	CallerGone Reason = "caller_gone"
	// RetriesExhausted means that an attempt that may have run has failed and that no further one is made.
	RetriesExhausted  Reason = "retries_exhausted"
	ShuttingDown      Reason = "shutting_down"
	AnswerInterrupted Reason = "answer_interrupted"
)

// Outcome is the final result of a request.
type Outcome struct {
	Kind   Kind
	Reason Reason
	// Detail explains the outcome to the client in a sentence.
	Detail string
	// RetryAfter is the time after which a retry may succeed; zero if a retry does not help or no such time is known.
	RetryAfter time.Duration
}

// Done returns the outcome of a request whose complete answer was delivered.
func Done() Outcome {
	return Outcome{Kind: Finished}
}

// Refuse returns the outcome of a request that did not run.
func Refuse(reason Reason, detail string) Outcome {
	return Outcome{Kind: Refused, Reason: reason, Detail: detail}
}

// Fail returns the outcome of a request that ran or may have run.
func Fail(reason Reason, detail string) Outcome {
	return Outcome{Kind: Failed, Reason: reason, Detail: detail}
}

// WithRetryAfter returns a copy of the outcome that asks the client to retry after the given time.
func (oc Outcome) WithRetryAfter(wait time.Duration) Outcome {
	oc.RetryAfter = wait
	return oc
}

// OK reports whether the complete answer was delivered.
func (oc Outcome) OK() bool {
	return oc.Kind == Finished
}
