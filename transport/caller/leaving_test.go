package caller_test

import (
	"context"
	"crypto/sha256"
	"io"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"github.com/uber-go/tally/v4"
	"gotest.tools/v3/assert"

	"github.com/hibiscuslever/hibiscuslever/coordination/modelcall"
	"github.com/hibiscuslever/hibiscuslever/coordination/quota"
	"github.com/hibiscuslever/hibiscuslever/coordination/servicecall"
	"github.com/hibiscuslever/hibiscuslever/state/id"
	"github.com/hibiscuslever/hibiscuslever/state/lists"
	"github.com/hibiscuslever/hibiscuslever/state/outcome"
	"github.com/hibiscuslever/hibiscuslever/timer"
	"github.com/hibiscuslever/hibiscuslever/transport/caller"
)

const apiKey = "key"

// onePlan has one organisation, which may call the model m and the service books.
type onePlan struct{ lists *lists.Lists }

func newOnePlan(t *testing.T) onePlan {
	replica := lists.NewReplica()
	replica.SetLogStart(0)
	for offset, list := range lists.Names() {
		text := "[Plan crew]\nModels = m\nServices = books\nRequestsPerSecond = 100\nTokensPerMinute = 1000000\nConcurrency = 50\nLongestPrompt = 1000\nDeadline = 1m\n"
		if list == lists.Organisations {
			sum := sha256.Sum256([]byte(apiKey))
			text = "[Organisation acme]\nPlan = crew\nKeySHA256 = " + string(id.Hex(sum[:])) + "\n"
		}
		sections, err := lists.ParseSections(list, []byte(text))
		assert.NilError(t, err)
		record, err := lists.EncodeRecord(lists.Record{Edit: &lists.Edit{List: list, Base: id.NoOffset, Token: string(list), Put: sections}})
		assert.NilError(t, err)
		replica.ApplyRecord(id.Offset(offset), record)
	}
	return onePlan{replica.Lists()}
}

func (op onePlan) Lists() (*lists.Lists, bool) { return op.lists, true }
func (onePlan) NotReadyReason() string         { return "" }

// endless runs requests that end only with their context, as the runners end them.
type endless struct{ started atomic.Int64 }

func (en *endless) run(ctx context.Context) outcome.Outcome {
	en.started.Add(1)
	<-ctx.Done()
	if context.Cause(ctx) == context.Canceled { //nolint:errorlint // the cause is the caller's own cancellation
		return outcome.Fail(outcome.CallerGone, "the caller has gone")
	}
	return outcome.Fail(outcome.DeadlineExceeded, "the answer was not complete in the request's time")
}

type endlessModels struct{ *endless }

func (em endlessModels) Run(ctx context.Context, _ modelcall.Call, _ modelcall.Sink) (modelcall.Summary, outcome.Outcome) {
	return modelcall.Summary{}, em.run(ctx)
}

type endlessServices struct{ *endless }

func (es endlessServices) Run(ctx context.Context, _ servicecall.Call) (servicecall.Response, outcome.Outcome) {
	return servicecall.Response{}, es.run(ctx)
}

type noLimits struct{}

func (noLimits) Spend(context.Context, quota.SpendRequest) outcome.Outcome { return outcome.Done() }
func (noLimits) Release(id.Request)                                        {}

type oneService struct{}

func (oneService) Shards() []id.Shard         { return []id.Shard{"shard"} }
func (oneService) HasService(id.Service) bool { return true }
func (oneService) CallerAddresses() []string  { return nil }

// leavingEnv is a server whose requests end only with their context.
type leavingEnv struct {
	requests *endless
	server   *caller.Server
	http     *httptest.Server
}

func newLeavingEnv(t *testing.T) *leavingEnv {
	requests := &endless{}
	server := caller.NewServer(caller.Config{Host: "host", MaxBodyBytes: 1000}, caller.Dependencies{
		Lists: newOnePlan(t), Models: endlessModels{requests}, Services: endlessServices{requests}, Limits: noLimits{}, Fleet: oneService{}, Addresses: oneService{},
	}, timer.NewSystem(), tally.NoopScope)
	env := &leavingEnv{requests: requests, server: server, http: httptest.NewServer(server.Handler())}
	t.Cleanup(env.http.Close)
	return env
}

// send sends a request and returns the status and the outcome that the response names.
func (env *leavingEnv) send(ctx context.Context, path string, body io.Reader) (int, string, error) {
	httpRequest, err := http.NewRequestWithContext(ctx, http.MethodPost, env.http.URL+path, body)
	if err != nil {
		return 0, "", err
	}
	httpRequest.Header.Set("Authorization", "Bearer "+apiKey)
	httpResponse, err := http.DefaultTransport.RoundTrip(httpRequest)
	if err != nil {
		return 0, "", err
	}
	defer func() { _ = httpResponse.Body.Close() }()
	_, err = io.Copy(io.Discard, httpResponse.Body)
	return httpResponse.StatusCode, httpResponse.Header.Get("Request-Outcome"), err
}

func (env *leavingEnv) awaitInFlight(count int64) {
	for env.server.InFlight() < count {
		time.Sleep(time.Millisecond)
	}
}

var paths = map[string]string{"completion": "/v1/completions", "service": "/v1/services/books/x"}

const requestBody = `{"model":"m","prompt":"p"}`

// TestAbortAnswersRequestsInFlight aborts requests that a stopping host can't finish. Their callers get an answer that
// says that the request may have run, not a closed connection.
func TestAbortAnswersRequestsInFlight(t *testing.T) {
	for name, path := range paths {
		t.Run(name, func(t *testing.T) {
			ctx, cancel := context.WithTimeout(t.Context(), 10*time.Second)
			defer cancel()
			env := newLeavingEnv(t)
			go func() {
				for env.requests.started.Load() == 0 {
					time.Sleep(time.Millisecond)
				}
				env.server.Close()
				env.server.Abort()
			}()
			status, outcomeName, err := env.send(ctx, path, strings.NewReader(requestBody))
			assert.NilError(t, err)
			assert.Equal(t, status, http.StatusGatewayTimeout)
			assert.Equal(t, outcomeName, outcome.Failed.String())
		})
	}
}

// TestBodyThatArrivesAfterClose closes the server while the body of a request is still arriving. The request is refused
// when its body is complete.
func TestBodyThatArrivesAfterClose(t *testing.T) {
	for name, path := range paths {
		t.Run(name, func(t *testing.T) {
			ctx, cancel := context.WithTimeout(t.Context(), 10*time.Second)
			defer cancel()
			env := newLeavingEnv(t)
			reader, writer := io.Pipe()
			go func() {
				_, _ = io.WriteString(writer, requestBody[:5])
				env.awaitInFlight(1)
				// The head is checked before the body is read.
				time.Sleep(50 * time.Millisecond)
				env.server.Close()
				_, _ = io.WriteString(writer, requestBody[5:])
				_ = writer.Close()
			}()
			status, outcomeName, err := env.send(ctx, path, reader)
			assert.NilError(t, err)
			assert.Equal(t, status, http.StatusServiceUnavailable)
			assert.Equal(t, outcomeName, outcome.Refused.String())
			assert.Equal(t, env.requests.started.Load(), int64(0))
		})
	}
}
