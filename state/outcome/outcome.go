// Package outcome defines the final results of requests as values.
package outcome

import "time"

// Kind says whether a request ran.
type Kind int

// Kinds of outcomes.
const (
	// Finished means that the whole answer was delivered.
	Finished Kind = iota + 1
	// Refused means that the request did not run.
	Refused
	// Failed means that the request ran or may have run without a whole answer.
	Failed
)

// String returns the name of the kind as callers see it.
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

// Reason is the typed cause of an outcome.
type Reason string

// Reasons of refusals and failures.
const (
	BadRequest        Reason = "bad_request"
	Unauthorized      Reason = "invalid_api_key"
	Forbidden         Reason = "not_allowed_by_plan"
	NotFound          Reason = "not_found"
	PromptTooLong     Reason = "prompt_too_long"
	LimitReached      Reason = "limit_reached"
	Overloaded        Reason = "overloaded"
	NoCapacity        Reason = "no_capacity"
	PromptExceedsFleet         Reason = "prompt_exceeds_fleet"
	Quarantined       Reason = "crashes_engines"
	NotReady          Reason = "not_ready"
	LogUnavailable    Reason = "log_unavailable"
	IdempotencyKeyTooOld         Reason = "idempotency_key_too_old"
	IdempotencyKeyInUse          Reason = "idempotency_key_in_use"
	ResultUnknown     Reason = "result_unknown"
	DeadlineExceeded  Reason = "deadline_exceeded"
	BackendLost       Reason = "backend_lost"
	BackendRefused    Reason = "backend_refused"
	CallerGone        Reason = "caller_gone"
	RetriesExhausted  Reason = "retries_exhausted"
	ShuttingDown      Reason = "shutting_down"
	AnswerInterrupted Reason = "answer_interrupted"
)

// Outcome is the final result of a request.
type Outcome struct {
	Kind   Kind
	Reason Reason
	// Detail is a sentence for the caller.
	Detail string
	// RetryAfter says when coming back helps; zero when it does not.
	RetryAfter time.Duration
}

// Done is the outcome of a request whose whole answer was delivered.
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

// WithRetryAfter returns a copy of the outcome that tells the caller when to come back.
func (oc Outcome) WithRetryAfter(wait time.Duration) Outcome {
	oc.RetryAfter = wait
	return oc
}

// OK reports whether the whole answer was delivered.
func (oc Outcome) OK() bool {
	return oc.Kind == Finished
}
