// Package caller implements the HTTP interface for callers, which follows the OpenAI API.
package caller

import (
	"context"
	"crypto/sha256"
	"net/http"
	"strings"
	"sync/atomic"
	"time"

	"github.com/go-faster/errors"
	"github.com/labstack/echo/v4"
	"github.com/uber-go/tally/v4"

	"github.com/hibiscuslever/hibiscuslever/coordination/modelcall"
	"github.com/hibiscuslever/hibiscuslever/coordination/quota"
	"github.com/hibiscuslever/hibiscuslever/coordination/servicecall"
	"github.com/hibiscuslever/hibiscuslever/protocol/openai"
	"github.com/hibiscuslever/hibiscuslever/state/id"
	"github.com/hibiscuslever/hibiscuslever/state/lists"
	"github.com/hibiscuslever/hibiscuslever/state/outcome"
	"github.com/hibiscuslever/hibiscuslever/tasks"
	"github.com/hibiscuslever/hibiscuslever/timer"
	"github.com/hibiscuslever/hibiscuslever/transport/bodymemory"
)

// Lists provides the lists of plans and organisations.
type Lists interface {
	// Lists returns the current lists, and false while the host can't know their newest revisions.
	Lists() (*lists.Lists, bool)
	// NotReadyReason returns why the lists must not be used.
	NotReadyReason() string
}

// Models runs model requests.
type Models interface {
	// Run runs a call and passes the tokens of the answer to the sink. It returns after the answer has ended.
	Run(ctx context.Context, call modelcall.Call, sink modelcall.Sink) (modelcall.Summary, outcome.Outcome)
}

// Services runs requests to plain services.
type Services interface {
	// Run runs a call on a backend server of its service and returns the response.
	Run(ctx context.Context, call servicecall.Call) (servicecall.Response, outcome.Outcome)
}

// Limits enforces the limits of plans.
type Limits interface {
	// Spend asks for permission to run a request. It returns a refusal if a limit is reached.
	Spend(ctx context.Context, request quota.SpendRequest) outcome.Outcome
	// Release releases the concurrency that a request occupies, once the request has ended.
	Release(requestID id.Request)
}

// Fleet provides the shards and plain services of the fleet.
type Fleet interface {
	// Shards returns the names of all shards.
	Shards() []id.Shard
	// HasService reports whether a plain service exists.
	HasService(service id.Service) bool
}

// Addresses provides the addresses that callers may connect to.
type Addresses interface {
	// CallerAddresses returns the addresses of live entry hosts.
	CallerAddresses() []string
}

// Config sets the identity and the limits of a server.
type Config struct {
	Host        id.Host
	Incarnation id.Incarnation
	// MaxBodyBytes limits the body of a request.
	MaxBodyBytes int64
	// BodyMemory limits the memory for the bodies of requests; nil for no limit.
	BodyMemory *bodymemory.Memory
	// KeepAddresses is how long callers may use the list of addresses before they ask for it again.
	KeepAddresses time.Duration
	// KeyRetention is the age above which idempotency keys are refused, because it is no longer known whether a request
	// with the key has run.
	KeyRetention time.Duration
}

// Dependencies are the components of the host that a server uses.
type Dependencies struct {
	Lists     Lists
	Models    Models
	Services  Services
	Limits    Limits
	Fleet     Fleet
	Addresses Addresses
}

// Server handles the requests of callers. It is safe for concurrent use.
type Server struct {
	config       Config
	dependencies Dependencies
	clock        timer.Clock
	metrics      tally.Scope
	echo         *echo.Echo
	// lastRequestNumber is part of the ID of the newest request.
	lastRequestNumber atomic.Uint64
	inFlight          atomic.Int64
	shuttingDown      atomic.Bool
	// abortContext ends when all requests are to end.
	abortContext context.Context
	abort        context.CancelFunc
}

// NewServer returns a server for a host.
func NewServer(config Config, dependencies Dependencies, clock timer.Clock, metrics tally.Scope) *Server {
	sv := &Server{config: config, dependencies: dependencies, clock: clock, metrics: metrics, echo: echo.New()}
	sv.abortContext, sv.abort = context.WithCancel(context.Background())
	sv.echo.HideBanner = true
	sv.echo.HTTPErrorHandler = sv.handleError
	sv.echo.GET("/v1/addresses", sv.handleAddresses)
	sv.echo.GET("/v1/models", sv.handleModels)
	sv.echo.POST("/v1/chat/completions", func(ec echo.Context) error { return sv.handleCompletion(ec, true) })
	sv.echo.POST("/v1/completions", func(ec echo.Context) error { return sv.handleCompletion(ec, false) })
	sv.echo.Any("/v1/services/:service", sv.handleService)
	sv.echo.Any("/v1/services/:service/*", sv.handleService)
	return sv
}

// Handler returns the HTTP handler of all endpoints.
func (sv *Server) Handler() http.Handler {
	return sv.echo
}

// InFlight returns the number of requests that are being handled.
func (sv *Server) InFlight() int64 {
	return sv.inFlight.Load()
}

// Close makes the server refuse new requests, except those for the list of addresses. Requests in flight continue.
func (sv *Server) Close() {
	sv.shuttingDown.Store(true)
}

// Abort ends all requests in flight. Their callers get the outcome.
func (sv *Server) Abort() {
	sv.abort()
}

// errAborted is the cancellation cause of requests that the host can't finish before it stops.
var errAborted = errors.New("the host is shutting down")

// withAbort returns a copy of ctx that also ends when the server aborts its requests, then with errAborted as its cause.
// The caller must call the returned function to free resources.
func (sv *Server) withAbort(ctx context.Context) (context.Context, context.CancelFunc) {
	ctx, cancel := context.WithCancelCause(ctx)
	detach := context.AfterFunc(sv.abortContext, tasks.Guarded(func() { cancel(errAborted) }))
	return ctx, func() {
		detach()
		cancel(nil)
	}
}

// abortedOutcome returns the outcome of a request whose context may have been ended by Abort.
func abortedOutcome(ctx context.Context, oc outcome.Outcome) outcome.Outcome {
	if !oc.OK() && errors.Is(context.Cause(ctx), errAborted) {
		oc.Reason, oc.Detail = outcome.ShuttingDown, "the host stops before the answer is complete"
	}
	return oc
}

// refuseAfterClose returns a refusal if the server is closed.
func (sv *Server) refuseAfterClose() outcome.Outcome {
	if sv.shuttingDown.Load() {
		return outcome.Refuse(outcome.ShuttingDown, "the host is shutting down; ask for addresses again").WithRetryAfter(time.Second)
	}
	return outcome.Done()
}

// nextRequestID returns a new request ID. It is unique in the fleet, because it includes the host and its incarnation.
func (sv *Server) nextRequestID() id.Request {
	return id.NewRequest(sv.config.Host, sv.config.Incarnation, sv.lastRequestNumber.Add(1))
}

// handleAddresses responds with the addresses of live entry hosts. It needs no key.
func (sv *Server) handleAddresses(ec echo.Context) error {
	addresses := sv.dependencies.Addresses.CallerAddresses()
	if len(addresses) == 0 {
		return sv.writeError(ec, outcome.Refuse(outcome.NotReady, "no host takes requests").WithRetryAfter(time.Second))
	}
	return ec.JSON(http.StatusOK, openai.Addresses{
		Addresses:   addresses,
		KeepSeconds: int(sv.config.KeepAddresses / time.Second),
	})
}

// handleModels responds with the models that the caller's plan allows.
func (sv *Server) handleModels(ec echo.Context) error {
	_, plan, oc := sv.authorize(ec)
	if !oc.OK() {
		return sv.writeError(ec, oc)
	}
	response := openai.Models{Object: "list", Data: []openai.Model{}}
	for _, model := range plan.Models {
		response.Data = append(response.Data, openai.Model{ID: model, Object: "model", OwnedBy: "hibiscuslever"})
	}
	return ec.JSON(http.StatusOK, response)
}

// authorize returns the organisation that the API key of a request belongs to, and the organisation's plan. It refuses
// the request if the key is missing or unknown or the plan does not exist, or if the host is not ready or is shutting
// down.
func (sv *Server) authorize(ec echo.Context) (lists.Organisation, lists.Plan, outcome.Outcome) {
	var organisation lists.Organisation
	var plan lists.Plan
	currentLists, ready := sv.dependencies.Lists.Lists()
	if !ready {
		return organisation, plan, outcome.Refuse(outcome.NotReady, sv.dependencies.Lists.NotReadyReason()).WithRetryAfter(time.Second)
	}
	if oc := sv.refuseAfterClose(); !oc.OK() {
		return organisation, plan, oc
	}
	key, ok := strings.CutPrefix(ec.Request().Header.Get("Authorization"), "Bearer ")
	if !ok || key == "" {
		return organisation, plan, outcome.Refuse(outcome.Unauthorized, "the request has no key; send it as Authorization: Bearer KEY")
	}
	keyHash := sha256.Sum256([]byte(key))
	organisation, ok = currentLists.OrganisationByKeySum(id.Hex(keyHash[:]))
	if !ok {
		return organisation, plan, outcome.Refuse(outcome.Unauthorized, "the key belongs to no organisation")
	}
	plan, ok = currentLists.Plans[organisation.Plan]
	if !ok {
		return organisation, plan, outcome.Refuse(outcome.Forbidden, "the organisation's plan does not exist")
	}
	return organisation, plan, outcome.Done()
}
