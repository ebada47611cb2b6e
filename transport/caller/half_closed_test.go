package caller_test

import (
	"bufio"
	"context"
	"crypto/sha256"
	"encoding/hex"
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

const apiKey = "key"

// fakeHost has one organisation, which may use the model m. An answer has some tokens and goes on until the caller has gone.
type fakeHost struct {
	lists  *lists.Lists
	tokens int
}

// newLists returns lists with one organisation, which holds apiKey.
func newLists(t *testing.T) *lists.Lists {
	keySum := sha256.Sum256([]byte(apiKey))
	plan := lists.Section{Name: "plan", Keys: []lists.Key{{Name: "Models", Value: "m"}, {Name: "LongestPrompt", Value: "1000"}}}
	organisation := lists.Section{Name: "org", Keys: []lists.Key{{Name: "Plan", Value: "plan"}, {Name: "KeySHA256", Value: hex.EncodeToString(keySum[:])}}}
	body, err := lists.EncodeRecord(lists.Record{Checkpoint: &lists.Checkpoint{UpTo: 4, Plans: []lists.Section{plan}, Organisations: []lists.Section{organisation}}})
	assert.NilError(t, err)
	replica := lists.NewReplica()
	replica.SetLogStart(5)
	replica.ApplyRecord(5, body)
	return replica.Lists()
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
			host := fakeHost{newLists(t), tc.tokens}
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
			assert.Assert(t, err != nil, "status %d with the whole body %q", response.StatusCode, body)
		})
	}
}
