// Package caller answers callers over HTTP in the usual OpenAI shape.
package caller

import (
	"context"
	"crypto/sha256"
	"net/http"
	"strings"
	"sync/atomic"
	"time"

	"github.com/labstack/echo/v4"
	"github.com/uber-go/tally/v4"

	"github.com/hibiscuslever/hibiscuslever/coordination/plain"
	"github.com/hibiscuslever/hibiscuslever/coordination/quota"
	"github.com/hibiscuslever/hibiscuslever/coordination/serve"
	"github.com/hibiscuslever/hibiscuslever/protocol/openai"
	"github.com/hibiscuslever/hibiscuslever/state/id"
	"github.com/hibiscuslever/hibiscuslever/state/lists"
	"github.com/hibiscuslever/hibiscuslever/state/outcome"
	"github.com/hibiscuslever/hibiscuslever/timer"
)

// Lists knows the two lists.
type Lists interface {
	// Lists returns the lists in force, and false while the host can't know the newest revision.
	Lists() (*lists.Lists, bool)
	// NotReadyReason returns why the lists are not to be used.
	NotReadyReason() string
}

// Models runs model requests.
type Models interface {
	// Run serves a call.
	Run(ctx context.Context, call serve.Call, sink serve.Sink) (serve.Summary, outcome.Outcome)
}

// Services runs requests to plain services.
type Services interface {
	// Run runs a call.
	Run(ctx context.Context, call plain.Call) (plain.Response, outcome.Outcome)
}

// Limits applies the limits of plans.
type Limits interface {
	// Spend asks for permission to run a request.
	Spend(ctx context.Context, sp quota.SpendRequest) outcome.Outcome
	// Release gives the concurrency of a request back.
	Release(rq id.Request)
}

// Fleet knows the back ends.
type Fleet interface {
	// Shards returns the names of all shards.
	Shards() []id.Shard
	// HasService reports whether a plain service exists.
	HasService(service id.Service) bool
}

// Addresses knows where callers may connect.
type Addresses interface {
	// CallerAddresses returns addresses of live hosts.
	CallerAddresses() []string
}

// Config sets the bounds of the server.
type Config struct {
	Host        id.Host
	Incarnation id.Incarnation
	// MaxBodyBytes bounds a request's body.
	MaxBodyBytes int64
	// KeepAddresses is how long callers keep the list of addresses.
	KeepAddresses time.Duration
	// KeyRetention is the age from which idempotency keys are refused.
	KeyRetention time.Duration
}

// Dependencies are what the server needs of the host.
type Dependencies struct {
	Lists     Lists
	Models    Models
	Services  Services
	Limits    Limits
	Fleet     Fleet
	Addresses Addresses
}

// Server answers callers.
type Server struct {
	config   Config
	parts    Dependencies
	clock    timer.Service
	metrics  tally.Scope
	echo     *echo.Echo
	sequence atomic.Uint64
	inFlight atomic.Int64
	closed   atomic.Bool
}

// NewServer returns a server.
func NewServer(config Config, parts Dependencies, clock timer.Service, metrics tally.Scope) *Server {
	sv := &Server{config: config, parts: parts, clock: clock, metrics: metrics, echo: echo.New()}
	sv.echo.HideBanner = true
	sv.echo.HTTPErrorHandler = sv.handleError
	sv.echo.GET("/v1/addresses", sv.addresses)
	sv.echo.GET("/v1/models", sv.models)
	sv.echo.POST("/v1/chat/completions", func(ec echo.Context) error { return sv.complete(ec, true) })
	sv.echo.POST("/v1/completions", func(ec echo.Context) error { return sv.complete(ec, false) })
	sv.echo.Any("/v1/services/:service", sv.service)
	sv.echo.Any("/v1/services/:service/*", sv.service)
	return sv
}

// Handler returns the HTTP interface.
func (sv *Server) Handler() http.Handler {
	return sv.echo
}

// InFlight returns the number of requests that run.
func (sv *Server) InFlight() int64 {
	return sv.inFlight.Load()
}

// Close makes the server refuse new requests.
func (sv *Server) Close() {
	sv.closed.Store(true)
}

func (sv *Server) nextRequest() id.Request {
	return id.NewRequest(sv.config.Host, sv.config.Incarnation, sv.sequence.Add(1))
}

func (sv *Server) addresses(ec echo.Context) error {
	addresses := sv.parts.Addresses.CallerAddresses()
	if len(addresses) == 0 {
		return sv.refuse(ec, outcome.Refuse(outcome.NotReady, "no host takes requests").WithRetryAfter(time.Second))
	}
	return ec.JSON(http.StatusOK, openai.Addresses{
		Addresses:   addresses,
		KeepSeconds: int(sv.config.KeepAddresses / time.Second),
	})
}

func (sv *Server) models(ec echo.Context) error {
	_, plan, oc := sv.authorize(ec)
	if !oc.OK() {
		return sv.refuse(ec, oc)
	}
	answer := openai.Models{Object: "list", Data: []openai.Model{}}
	for _, model := range plan.Models {
		answer.Data = append(answer.Data, openai.Model{ID: model, Object: "model", OwnedBy: "hibiscuslever"})
	}
	return ec.JSON(http.StatusOK, answer)
}

// authorize finds the organisation of the request's key and its plan.
func (sv *Server) authorize(ec echo.Context) (lists.Organisation, lists.Plan, outcome.Outcome) {
	var org lists.Organisation
	var plan lists.Plan
	current, ready := sv.parts.Lists.Lists()
	if !ready {
		return org, plan, outcome.Refuse(outcome.NotReady, sv.parts.Lists.NotReadyReason()).WithRetryAfter(time.Second)
	}
	if sv.closed.Load() {
		return org, plan, outcome.Refuse(outcome.ShuttingDown, "the host is shutting down; ask for addresses again").WithRetryAfter(time.Second)
	}
	key, ok := strings.CutPrefix(ec.Request().Header.Get("Authorization"), "Bearer ")
	if !ok || key == "" {
		return org, plan, outcome.Refuse(outcome.Unauthorized, "the request has no key; send it as Authorization: Bearer KEY")
	}
	sum := sha256.Sum256([]byte(key))
	org, ok = current.OrganisationByKeySum(id.Hex(sum[:]))
	if !ok {
		return org, plan, outcome.Refuse(outcome.Unauthorized, "the key belongs to no organisation")
	}
	plan, ok = current.Plans[org.Plan]
	if !ok {
		return org, plan, outcome.Refuse(outcome.Forbidden, "the organisation's plan does not exist")
	}
	return org, plan, outcome.Done()
}
