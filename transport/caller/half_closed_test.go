package caller_test

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"testing"
	"time"

	"github.com/uber-go/tally/v4"
	"gotest.tools/v3/assert"

	"github.com/hibiscuslever/hibiscuslever/coordination/modelcall"
	"github.com/hibiscuslever/hibiscuslever/coordination/quota"
	"github.com/hibiscuslever/hibiscuslever/state/id"
	"github.com/hibiscuslever/hibiscuslever/state/lists"
	"github.com/hibiscuslever/hibiscuslever/state/outcome"
	"github.com/hibiscuslever/hibiscuslever/testutil"
	"github.com/hibiscuslever/hibiscuslever/timer"
	"github.com/hibiscuslever/hibiscuslever/transport/caller"
)

func TestMain(m *testing.M) { testutil.Main(m) }

// fakeHost has one organisation, which may use the model m. An answer has some tokens and goes on until the caller has gone.
type fakeHost struct {
	lists  *lists.Lists
	tokens int
}

func (fh fakeHost) Lists() (*lists.Lists, bool)                            { return fh.lists, true }
func (fakeHost) NotReadyReason() string                                    { return "" }
func (fakeHost) Spend(context.Context, quota.SpendRequest) outcome.Outcome { return outcome.Done() }
func (fakeHost) Release(id.Request)                                        {}
func (fakeHost) Shards() []id.Shard                                        { return []id.Shard{"shard"} }
func (fakeHost) HasService(id.Service) bool                                { return false }

func (fh fakeHost) Run(ctx context.Context, _ modelcall.Call, sink modelcall.Sink) (modelcall.Summary, outcome.Outcome) {
	for index := range fh.tokens {
		if err := sink.Token(index, "token"); err != nil {
			break
		}
	}
	<-ctx.Done()
	return modelcall.Summary{}, outcome.Fail(outcome.CallerGone, "the caller has gone")
}

// TestHalfClosedCallerGetsNoWholeAnswer checks that a caller that closes its side of the connection, and so counts as gone,
// gets no answer that looks complete: neither an empty one nor a stream that ends.
func TestHalfClosedCallerGetsNoWholeAnswer(t *testing.T) {
	for _, tc := range []struct {
		name, body string
		tokens     int
	}{
		{"document", `{"model":"m","messages":[{"role":"user","content":"x"}]}`, 2},
		{"stream, no token", `{"model":"m","stream":true,"messages":[{"role":"user","content":"x"}]}`, 0},
		{"stream", `{"model":"m","stream":true,"messages":[{"role":"user","content":"x"}]}`, 2},
	} {
		t.Run(tc.name, func(t *testing.T) {
			host := fakeHost{newOnePlan(t).lists, tc.tokens}
			sv := caller.NewServer(caller.Config{Host: "host", MaxBodyBytes: 1000}, caller.Dependencies{Lists: host, Models: host, Limits: host, Fleet: host}, timer.NewSystem(), tally.NoopScope)
			server := httptest.NewServer(sv.Handler())
			defer server.Close()
			connection, err := net.Dial("tcp", server.Listener.Addr().String())
			assert.NilError(t, err)
			defer func() { _ = connection.Close() }()
			assert.NilError(t, connection.SetDeadline(time.Now().Add(10*time.Second)))
			_, err = fmt.Fprintf(connection, "POST /v1/chat/completions HTTP/1.1\r\nHost: h\r\nAuthorization: Bearer %s\r\nContent-Length: %d\r\n\r\n%s", apiKey, len(tc.body), tc.body)
			assert.NilError(t, err)
			assert.NilError(t, connection.(*net.TCPConn).CloseWrite())
			response, err := http.ReadResponse(bufio.NewReader(connection), nil)
			if err != nil {
				return
			}
			body, err := io.ReadAll(response.Body)
			assert.Assert(t, err != nil || response.StatusCode >= http.StatusBadRequest, "status %d with the whole body %q", response.StatusCode, body)
		})
	}
}
