package caller

import (
	"fmt"
	"net/http"
	"net/textproto"
	"strings"
	"time"

	"github.com/google/uuid"
	"github.com/labstack/echo/v4"

	"github.com/hibiscuslever/hibiscuslever/coordination/quota"
	"github.com/hibiscuslever/hibiscuslever/coordination/servicecall"
	"github.com/hibiscuslever/hibiscuslever/state/id"
	"github.com/hibiscuslever/hibiscuslever/state/outcome"
)

const (
	// IdempotencyKeyHeader holds the idempotency key of a request that must not run twice.
	IdempotencyKeyHeader = "Idempotency-Key"
	// KeyIssuedAtHeader holds the time at which the key was issued. A version 7 UUID does not need it, because it
	// contains the time.
	KeyIssuedAtHeader = "Idempotency-Issued-At"

	// maxIdempotencyKeyLength is the largest length of an idempotency key in bytes.
	maxIdempotencyKeyLength = 255
	// maxKeyClockLead is how far the issue time of a key may be ahead of the host's clock.
	maxKeyClockLead = time.Minute
)

// handleService passes a request to a plain service. It applies the plan and the limits of the organisation first.
func (sv *Server) handleService(ec echo.Context) error {
	sv.inFlight.Add(1)
	defer sv.inFlight.Add(-1)
	organisation, plan, oc := sv.authorize(ec)
	if !oc.OK() {
		return sv.writeError(ec, oc)
	}
	name := id.Service(ec.Param("service"))
	if !plan.AllowsService(name) {
		if !sv.dependencies.Fleet.HasService(name) {
			return sv.writeError(ec, outcome.Refuse(outcome.NotFound, fmt.Sprintf("service %q does not exist", name)))
		}
		return sv.writeError(ec, outcome.Refuse(outcome.Forbidden, fmt.Sprintf("plan %q does not allow service %q", plan.Name, name)))
	}
	body, release, oc := sv.readBody(ec)
	if !oc.OK() {
		return sv.writeError(ec, oc)
	}
	defer release()
	key, oc := sv.readIdempotencyKey(ec.Request().Header)
	if !oc.OK() {
		return sv.writeError(ec, oc)
	}
	requestID := sv.nextRequestID()
	ec.Response().Header().Set("X-Request-Id", string(requestID))
	ec.Response().Header().Set("Entry-Host", string(sv.config.Host))
	ctx, detach := sv.withAbort(ec.Request().Context())
	defer detach()
	if oc := sv.dependencies.Limits.Spend(ctx, quota.SpendRequest{Organisation: organisation.Name, Request: requestID}); !oc.OK() {
		return sv.writeError(ec, oc)
	}
	defer sv.dependencies.Limits.Release(requestID)
	// The server may have been closed while the body arrived.
	if oc := sv.refuseAfterClose(); !oc.OK() {
		return sv.writeError(ec, oc)
	}
	response, oc := sv.dependencies.Services.Run(ctx, servicecall.Call{
		Request: servicecall.Request{
			Method: ec.Request().Method,
			Path:   servicePath(ec),
			Header: forwardableHeader(ec.Request().Header),
			Body:   body,
		},
		ID:             requestID,
		Organisation:   organisation.Name,
		Service:        name,
		Deadline:       sv.clock.Now().Add(plan.Deadline),
		Idempotent:     isIdempotent(ec.Request().Method),
		IdempotencyKey: key,
	})
	sv.metrics.Tagged(map[string]string{"outcome": oc.Kind.String()}).Counter("service_requests").Inc(1)
	sv.countConnectionEnd(ctx, oc)
	if !oc.OK() {
		return sv.writeError(ec, abortedOutcome(ctx, oc))
	}
	return writeServiceResponse(ec, response)
}

// servicePath returns the path and query of a request without the part that names the service.
func servicePath(ec echo.Context) string {
	path := "/" + ec.Param("*")
	if query := ec.Request().URL.RawQuery; query != "" {
		path += "?" + query
	}
	return path
}

// isIdempotent reports whether HTTP defines a method as idempotent.
func isIdempotent(method string) bool {
	switch method {
	case http.MethodGet, http.MethodHead, http.MethodOptions, http.MethodPut, http.MethodDelete:
		return true
	default:
		return false
	}
}

// readIdempotencyKey returns the idempotency key of a request, or "" if it has none. It refuses a key that is too long,
// and one whose issue time is missing, more than maxKeyClockLead in the future or older than KeyRetention.
func (sv *Server) readIdempotencyKey(header http.Header) (string, outcome.Outcome) {
	key := header.Get(IdempotencyKeyHeader)
	if key == "" {
		return "", outcome.Done()
	}
	if len(key) > maxIdempotencyKeyLength {
		return "", outcome.Refuse(outcome.BadRequest, fmt.Sprintf("%s is longer than %d characters", IdempotencyKeyHeader, maxIdempotencyKeyLength))
	}
	issuedAt, ok := keyIssueTime(key, header.Get(KeyIssuedAtHeader))
	if !ok {
		return "", outcome.Refuse(outcome.BadRequest, fmt.Sprintf("send %s as an RFC 3339 time, or a version 7 UUID as %s", KeyIssuedAtHeader, IdempotencyKeyHeader))
	}
	now := sv.clock.Now()
	if issuedAt.After(now.Add(maxKeyClockLead)) {
		return "", outcome.Refuse(outcome.BadRequest, fmt.Sprintf("%s was issued in the future", IdempotencyKeyHeader))
	}
	if now.Sub(issuedAt) > sv.config.KeyRetention {
		return "", outcome.Refuse(outcome.IdempotencyKeyTooOld, fmt.Sprintf("%s was issued more than %s ago; whether it ran is no longer known", IdempotencyKeyHeader, sv.config.KeyRetention))
	}
	return key, outcome.Done()
}

// keyIssueTime returns the time at which a key was issued: the one in the header field if it is set, and otherwise the
// one that a version 7 UUID contains. It returns false if there is no valid time.
func keyIssueTime(key, issuedAtHeader string) (time.Time, bool) {
	if issuedAtHeader != "" {
		issuedAt, err := time.Parse(time.RFC3339, issuedAtHeader)
		return issuedAt, err == nil
	}
	parsed, err := uuid.Parse(key)
	if err != nil || parsed.Version() != 7 {
		return time.Time{}, false
	}
	return time.Unix(parsed.Time().UnixTime()), true
}

// unforwardedHeaders are the header fields that are not forwarded: hop-by-hop fields, Content-Length, and
// Authorization, which holds the API key for this system.
var unforwardedHeaders = []string{
	"Connection", "Keep-Alive", "Proxy-Authenticate", "Proxy-Authorization", "Proxy-Connection",
	"Te", "Trailer", "Transfer-Encoding", "Upgrade", "Authorization", "Content-Length",
}

// forwardableHeader returns a copy of a header without unforwardedHeaders and the fields that Connection names.
func forwardableHeader(header http.Header) http.Header {
	filtered := header.Clone()
	for name := range strings.SplitSeq(header.Get("Connection"), ",") {
		filtered.Del(textproto.TrimString(name))
	}
	for _, name := range unforwardedHeaders {
		filtered.Del(name)
	}
	return filtered
}

// writeServiceResponse passes the response of a plain service to the caller.
func writeServiceResponse(ec echo.Context, response servicecall.Response) error {
	header := ec.Response().Header()
	for name, values := range forwardableHeader(response.Header) {
		header[name] = values
	}
	ec.Response().WriteHeader(response.Status)
	_, err := ec.Response().Write(response.Body)
	return err
}
