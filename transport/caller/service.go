package caller

import (
	"fmt"
	"net/http"
	"net/textproto"
	"strings"
	"time"

	"github.com/google/uuid"
	"github.com/labstack/echo/v4"

	"github.com/hibiscuslever/hibiscuslever/coordination/plain"
	"github.com/hibiscuslever/hibiscuslever/coordination/quota"
	"github.com/hibiscuslever/hibiscuslever/state/id"
	"github.com/hibiscuslever/hibiscuslever/state/outcome"
)

const (
	// IdempotencyKeyHeader carries the idempotency key of a request that may not be repeated.
	IdempotencyKeyHeader = "Idempotency-Key"
	// KeyIssuedAtHeader carries the time when the key was issued, unless the key is a version 7 UUID, which contains it.
	KeyIssuedAtHeader = "Idempotency-Issued-At"

	maxKeyLength = 255
	// maxClockLead is how far a key's time may lie ahead of the host's clock.
	maxClockLead = time.Minute
)

// service passes a request to a plain service.
func (sv *Server) service(ec echo.Context) error {
	sv.inFlight.Add(1)
	defer sv.inFlight.Add(-1)
	org, plan, oc := sv.authorize(ec)
	if !oc.OK() {
		return sv.refuse(ec, oc)
	}
	name := id.Service(ec.Param("service"))
	if !plan.AllowsService(name) {
		if !sv.parts.Fleet.HasService(name) {
			return sv.refuse(ec, outcome.Refuse(outcome.NotFound, fmt.Sprintf("service %q does not exist", name)))
		}
		return sv.refuse(ec, outcome.Refuse(outcome.Forbidden, fmt.Sprintf("plan %q does not allow service %q", plan.Name, name)))
	}
	body, oc := sv.readBody(ec)
	if !oc.OK() {
		return sv.refuse(ec, oc)
	}
	key, oc := sv.keyOf(ec.Request().Header)
	if !oc.OK() {
		return sv.refuse(ec, oc)
	}
	request := sv.nextRequest()
	ec.Response().Header().Set("X-Request-Id", string(request))
	ec.Response().Header().Set("Entry-Host", string(sv.config.Host))
	ctx := ec.Request().Context()
	if oc := sv.parts.Limits.Spend(ctx, quota.SpendRequest{Organisation: org.Name, Request: request}); !oc.OK() {
		return sv.refuse(ec, oc)
	}
	defer sv.parts.Limits.Release(request)
	answer, oc := sv.parts.Services.Run(ctx, plain.Call{
		Request: plain.Request{
			Method: ec.Request().Method,
			Path:   servicePath(ec),
			Header: forwarded(ec.Request().Header),
			Body:   body,
		},
		ID:             request,
		Organisation:   org.Name,
		Service:        name,
		Deadline:       sv.clock.Now().Add(plan.Deadline),
		Idempotent:     isIdempotent(ec.Request().Method),
		IdempotencyKey: key,
	})
	sv.metrics.Tagged(map[string]string{"outcome": oc.Kind.String()}).Counter("service_requests").Inc(1)
	if !oc.OK() {
		return sv.refuse(ec, oc)
	}
	return passOn(ec, answer)
}

func servicePath(ec echo.Context) string {
	path := "/" + ec.Param("*")
	if query := ec.Request().URL.RawQuery; query != "" {
		path += "?" + query
	}
	return path
}

func isIdempotent(method string) bool {
	switch method {
	case http.MethodGet, http.MethodHead, http.MethodOptions, http.MethodPut, http.MethodDelete:
		return true
	default:
		return false
	}
}

// keyOf returns the idempotency key, or refuses one whose time of issue is missing or out of bounds.
func (sv *Server) keyOf(header http.Header) (string, outcome.Outcome) {
	key := header.Get(IdempotencyKeyHeader)
	if key == "" {
		return "", outcome.Done()
	}
	if len(key) > maxKeyLength {
		return "", outcome.Refuse(outcome.BadRequest, fmt.Sprintf("%s is longer than %d characters", IdempotencyKeyHeader, maxKeyLength))
	}
	issued, ok := issuedAt(key, header.Get(KeyIssuedAtHeader))
	if !ok {
		return "", outcome.Refuse(outcome.BadRequest, fmt.Sprintf("send %s as an RFC 3339 time, or a version 7 UUID as %s", KeyIssuedAtHeader, IdempotencyKeyHeader))
	}
	now := sv.clock.Now()
	if issued.After(now.Add(maxClockLead)) {
		return "", outcome.Refuse(outcome.BadRequest, fmt.Sprintf("%s was issued in the future", IdempotencyKeyHeader))
	}
	if now.Sub(issued) > sv.config.KeyRetention {
		return "", outcome.Refuse(outcome.IdempotencyKeyTooOld, fmt.Sprintf("%s was issued more than %s ago; whether it ran is no longer known", IdempotencyKeyHeader, sv.config.KeyRetention))
	}
	return key, outcome.Done()
}

func issuedAt(key, stated string) (time.Time, bool) {
	if stated != "" {
		issued, err := time.Parse(time.RFC3339, stated)
		return issued, err == nil
	}
	parsed, err := uuid.Parse(key)
	if err != nil || parsed.Version() != 7 {
		return time.Time{}, false
	}
	return time.Unix(parsed.Time().UnixTime()), true
}

// hopHeaders concern one connection, or the system's own key, and are not passed on.
var hopHeaders = []string{
	"Connection", "Keep-Alive", "Proxy-Authenticate", "Proxy-Authorization", "Proxy-Connection",
	"Te", "Trailer", "Transfer-Encoding", "Upgrade", "Authorization", "Content-Length",
}

func forwarded(header http.Header) http.Header {
	out := header.Clone()
	for value := range strings.SplitSeq(header.Get("Connection"), ",") {
		out.Del(textproto.TrimString(value))
	}
	for _, name := range hopHeaders {
		out.Del(name)
	}
	return out
}

func passOn(ec echo.Context, answer plain.Response) error {
	header := ec.Response().Header()
	for name, values := range forwarded(answer.Header) {
		header[name] = values
	}
	ec.Response().WriteHeader(answer.Status)
	_, err := ec.Response().Write(answer.Body)
	return err
}
