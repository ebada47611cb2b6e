package forward_test

import (
	"context"
	"io"
	"slices"
	"testing"
	"testing/iotest"
	"testing/synctest"
	"time"

	"gotest.tools/v3/assert"

	"github.com/hibiscuslever/hibiscuslever/coordination/forward"
	"github.com/hibiscuslever/hibiscuslever/coordination/requestlimit"
	"github.com/hibiscuslever/hibiscuslever/state/id"
	"github.com/hibiscuslever/hibiscuslever/state/outcome"
	"github.com/hibiscuslever/hibiscuslever/state/route"
	"github.com/hibiscuslever/hibiscuslever/state/serverlimit"
	"github.com/hibiscuslever/hibiscuslever/state/serverlist"
)

// scriptedLimits limits some servers and grants permits after a wait.
type scriptedLimits struct {
	unlimited
	limited []id.BackendServer
	// wait is the time until any of them may get a request.
	wait time.Duration
	// permits counts the granted permits.
	permits int
	// lost are the servers whose loss was recorded.
	lost []id.BackendServer
}

func (sl *scriptedLimits) RecordLoss(server serverlist.Server) { sl.lost = append(sl.lost, server.ID) }

func (sl *scriptedLimits) Rate(server serverlist.Server) serverlimit.Rate {
	if slices.Contains(sl.limited, server.ID) {
		return 1
	}
	return 0
}

func (sl *scriptedLimits) Acquire(_ context.Context, _ id.Service, servers []serverlist.Server, maxWait time.Duration) requestlimit.Permit {
	if sl.wait > maxWait {
		return requestlimit.Permit{Wait: sl.wait}
	}
	sl.permits++
	return requestlimit.Permit{Server: servers[0].ID, Wait: sl.wait}
}

// TestLimitedServerGetsOnlyPermittedRequests checks where requests to a plain service go, and when, while servers have
// request limits.
func TestLimitedServerGetsOnlyPermittedRequests(t *testing.T) {
	for name, tc := range map[string]struct {
		limited  []id.BackendServer
		wait     time.Duration
		draining bool
		// wantSent are the numbers of requests that the servers one and two get, of three.
		wantOne, wantTwo int
		wantRefused      bool
		wantRetryAfter   time.Duration
		wantDelay        time.Duration
	}{
		"a server at its limit gets nothing while another one has none": {limited: []id.BackendServer{"one"}, wait: time.Second, wantTwo: 3},
		"a server below its limit gets requests":                        {limited: []id.BackendServer{"one"}, draining: true, wantOne: 3},
		"requests wait for their turn":                                  {limited: []id.BackendServer{"one", "two"}, wait: time.Second, draining: true, wantOne: 3, wantDelay: 3 * time.Second},
		"requests whose turn comes too late are refused at once":        {limited: []id.BackendServer{"one", "two"}, wait: 2 * time.Second, wantRefused: true, wantRetryAfter: 2 * time.Second},
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				backends := &scriptedServers{}
				limits := &scriptedLimits{limited: tc.limited, wait: tc.wait}
				listed := []serverlist.Server{{ID: "one", Service: "service", Address: "one:80"}, {ID: "two", Service: "service", Address: "two:80", Draining: tc.draining}}
				rn := newRunner(forward.Dependencies{Sender: backends, Fleet: fakeFleet{listed: listed}, Limits: limits})
				began := time.Now()
				for number := range 3 {
					got := runRequest(t, rn, number, route.Route{Kind: route.Idempotent, MaxAttempts: 2})
					assert.Equal(t, got.Complete, !tc.wantRefused, "%+v", got)
					if tc.wantRefused {
						assert.Equal(t, got.Outcome.Kind, outcome.Refused)
						assert.Assert(t, got.Outcome.RetryAfter >= tc.wantRetryAfter, "%s", got.Outcome.RetryAfter)
					}
				}
				assert.Equal(t, time.Since(began), tc.wantDelay)
				assert.Equal(t, backends.count("one:80"), tc.wantOne)
				assert.Equal(t, backends.count("two:80"), tc.wantTwo)
				assert.Assert(t, limits.permits >= tc.wantOne)
			})
		})
	}
}

// failingServers fail requests with an error before or amid their answers. Other servers answer.
type failingServers struct {
	scriptedServers
	notSent, noAnswer, brokenOff string
}

func (fs *failingServers) Send(ctx context.Context, attempt forward.Attempt) (forward.Response, error) {
	switch attempt.Address {
	case fs.notSent:
		return forward.Response{}, forward.ErrNotSent
	case fs.noAnswer:
		return forward.Response{}, io.ErrUnexpectedEOF
	case fs.brokenOff:
		response, err := fs.scriptedServers.Send(ctx, attempt)
		response.Body = io.NopCloser(iotest.ErrReader(io.ErrUnexpectedEOF))
		return response, err
	default:
		return fs.scriptedServers.Send(ctx, attempt)
	}
}

// TestLossOfServerIsNotRecorded guards against hosts that send a server as much as before after its connections were refused,
// reset or broken off, although it may have started again.
func TestLossOfServerIsNotRecorded(t *testing.T) {
	for name, servers := range map[string]*failingServers{
		"refused": {notSent: "one:80"}, "reset": {noAnswer: "one:80"}, "broken off": {brokenOff: "one:80"}, "answered": {},
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				limits := &scriptedLimits{}
				listed := []serverlist.Server{{ID: "one", Service: "service", Address: "one:80"}}
				rn := newRunner(forward.Dependencies{Sender: servers, Fleet: fakeFleet{listed: listed}, Limits: limits})
				runRequest(t, rn, 0, route.Route{Kind: route.Idempotent, MaxAttempts: 2})
				assert.Equal(t, slices.Contains(limits.lost, "one"), name != "answered")
			})
		})
	}
}
