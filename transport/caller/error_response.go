package caller

import (
	"errors"
	"math"
	"net/http"
	"strconv"
	"time"

	"github.com/labstack/echo/v4"

	"github.com/hibiscuslever/hibiscuslever/protocol/openai"
	"github.com/hibiscuslever/hibiscuslever/state/outcome"
	"github.com/hibiscuslever/hibiscuslever/transport/requestbody"
)

// httpStatus returns the HTTP status for an outcome without a complete answer. For the reasons DeadlineExceeded,
// BackendLost, RetriesExhausted, ShuttingDown and CallerGone, 504 means that the request may have run and 503 that it did not.
func httpStatus(oc outcome.Outcome) int {
	switch oc.Reason {
	case outcome.BadRequest, outcome.IdempotencyKeyTooOld:
		return http.StatusBadRequest
	case outcome.Unauthorized:
		return http.StatusUnauthorized
	case outcome.Forbidden:
		return http.StatusForbidden
	case outcome.NotFound:
		return http.StatusNotFound
	case outcome.PromptTooLong, outcome.PromptExceedsFleet:
		return http.StatusRequestEntityTooLarge
	case outcome.BodyStalled:
		return http.StatusRequestTimeout
	case outcome.LimitReached:
		return http.StatusTooManyRequests
	case outcome.Quarantined:
		return http.StatusUnprocessableEntity
	case outcome.ResultUnknown:
		return http.StatusConflict
	case outcome.DeadlineExceeded, outcome.BackendLost, outcome.RetriesExhausted, outcome.ShuttingDown, outcome.CallerGone:
		if oc.Kind == outcome.Failed {
			return http.StatusGatewayTimeout
		}
		return http.StatusServiceUnavailable
	default:
		return http.StatusServiceUnavailable
	}
}

// errorType returns the OpenAI error type for an HTTP status.
func errorType(status int) string {
	switch status {
	case http.StatusUnauthorized:
		return "authentication_error"
	case http.StatusForbidden:
		return "permission_error"
	case http.StatusTooManyRequests:
		return "rate_limit_error"
	case http.StatusBadRequest, http.StatusNotFound, http.StatusRequestEntityTooLarge, http.StatusUnprocessableEntity, http.StatusConflict:
		return "invalid_request_error"
	default:
		return "server_error"
	}
}

// newErrorBody returns the body of the response to a request without a complete answer.
func newErrorBody(oc outcome.Outcome) openai.Error {
	return openai.Error{Error: openai.ErrorDetail{
		Message: oc.Detail,
		Type:    errorType(httpStatus(oc)),
		Code:    string(oc.Reason),
		Outcome: oc.Kind.String(),
	}}
}

// writeError responds to a request without a complete answer, and reads the rest of the request's body. A Failed outcome
// tells the caller not to retry, because the request may have run.
func (sv *Server) writeError(ec echo.Context, oc outcome.Outcome) error {
	sv.metrics.Tagged(map[string]string{"reason": string(oc.Reason), "outcome": oc.Kind.String()}).Counter("requests_without_answer").Inc(1)
	header := ec.Response().Header()
	header.Set("Request-Outcome", oc.Kind.String())
	if oc.RetryAfter > 0 {
		header.Set("Retry-After", strconv.Itoa(int(math.Ceil(oc.RetryAfter.Seconds()))))
		header.Set("Retry-After-Ms", strconv.FormatInt(oc.RetryAfter.Round(time.Millisecond).Milliseconds(), 10))
	}
	if oc.Kind == outcome.Failed {
		header.Set("X-Should-Retry", "false")
	}
	var err error
	discardTime := requestbody.DiscardTime
	if oc.Reason == outcome.BodyStalled {
		discardTime = requestbody.StalledDiscardTime
	}
	requestbody.Refuse(ec.Response(), ec.Request(), sv.clock, discardTime, func() { err = ec.JSON(httpStatus(oc), newErrorBody(oc)) })
	return err
}

// handleError responds to errors that echo reports, such as unknown paths. It does nothing if the response has started.
func (sv *Server) handleError(err error, ec echo.Context) {
	if ec.Response().Committed {
		return
	}
	var httpError *echo.HTTPError
	oc := outcome.Refuse(outcome.BadRequest, err.Error())
	if errors.As(err, &httpError) && (httpError.Code == http.StatusNotFound || httpError.Code == http.StatusMethodNotAllowed) {
		oc = outcome.Refuse(outcome.NotFound, ec.Request().Method+" "+ec.Request().URL.Path+" does not exist")
	}
	_ = sv.writeError(ec, oc)
}
