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
)

// statusOf returns the HTTP status of an outcome that is not a whole answer.
func statusOf(oc outcome.Outcome) int {
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
	case outcome.LimitReached:
		return http.StatusTooManyRequests
	case outcome.Quarantined:
		return http.StatusUnprocessableEntity
	case outcome.ResultUnknown:
		return http.StatusConflict
	case outcome.DeadlineExceeded, outcome.BackendLost, outcome.RetriesExhausted:
		if oc.Kind == outcome.Failed {
			return http.StatusGatewayTimeout
		}
		return http.StatusServiceUnavailable
	default:
		return http.StatusServiceUnavailable
	}
}

// typeOf returns the OpenAI type of an error with a status.
func typeOf(status int) string {
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

func errorBody(oc outcome.Outcome) openai.Error {
	return openai.Error{Error: openai.ErrorDetail{
		Message: oc.Detail,
		Type:    typeOf(statusOf(oc)),
		Code:    string(oc.Reason),
		Outcome: oc.Kind.String(),
	}}
}

// refuse answers a request that has no whole answer.
func (sv *Server) refuse(ec echo.Context, oc outcome.Outcome) error {
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
	return ec.JSON(statusOf(oc), errorBody(oc))
}

// handleError answers what echo refuses itself.
func (sv *Server) handleError(err error, ec echo.Context) {
	if ec.Response().Committed {
		return
	}
	var he *echo.HTTPError
	oc := outcome.Refuse(outcome.BadRequest, err.Error())
	if errors.As(err, &he) && (he.Code == http.StatusNotFound || he.Code == http.StatusMethodNotAllowed) {
		oc = outcome.Refuse(outcome.NotFound, ec.Request().Method+" "+ec.Request().URL.Path+" does not exist")
	}
	_ = sv.refuse(ec, oc)
}
