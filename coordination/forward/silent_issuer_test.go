package forward_test

import (
	"context"
	"fmt"
	"log/slog"
	"testing"
	"testing/synctest"
	"time"

	"github.com/uber-go/tally/v4"
	"gotest.tools/v3/assert"

	"github.com/hibiscuslever/hibiscuslever/coordination/forward"
	"github.com/hibiscuslever/hibiscuslever/coordination/membership"
	"github.com/hibiscuslever/hibiscuslever/coordination/requestlimit"
	"github.com/hibiscuslever/hibiscuslever/state/id"
	"github.com/hibiscuslever/hibiscuslever/state/outcome"
	"github.com/hibiscuslever/hibiscuslever/state/route"
	"github.com/hibiscuslever/hibiscuslever/state/serverlimit"
	"github.com/hibiscuslever/hibiscuslever/state/serverlist"
	"github.com/hibiscuslever/hibiscuslever/timer"
)

// silentIssuer is a host that issues the permits and answers nothing.
type silentIssuer struct{}

func (silentIssuer) Dispatchers(id.Service) []id.Host { return []id.Host{"issuer"} }
func (silentIssuer) LeadsService(id.Service) bool     { return false }
func (silentIssuer) RequestPermit(ctx context.Context, _ id.Host, _ requestlimit.PermitRequest) (requestlimit.Permit, error) {
	<-ctx.Done()
	return requestlimit.Permit{}, ctx.Err()
}

// limitedExceptLast limits all servers but one.
type limitedExceptLast struct {
	*requestlimit.Client
	unlimited id.BackendServer
}

func (le limitedExceptLast) Rate(server serverlist.Server) serverlimit.Rate {
	if server.ID == le.unlimited {
		return 0
	}
	return 1
}

// TestSilentIssuerDoesNotUseUpTime guards against requests that get no answer in time because the issuer of permits is asked
// for one server after another and answers nothing.
func TestSilentIssuerDoesNotUseUpTime(t *testing.T) {
	const servers, deadlineAfter, longest = 12, time.Second, 500 * time.Millisecond
	for _, unlimitedServer := range []id.BackendServer{"", "s7"} {
		synctest.Test(t, func(t *testing.T) {
			clock, logger := timer.NewSystem(), slog.New(slog.DiscardHandler)
			tracker := requestlimit.NewTracker(clock, tally.NoopScope, logger, func(membership.Fact) {}, func() {})
			limits := limitedExceptLast{requestlimit.NewClient(tracker, "host", silentIssuer{}), unlimitedServer}
			var listed []serverlist.Server
			for number := range servers {
				name := fmt.Sprint("s", number)
				listed = append(listed, serverlist.Server{ID: id.BackendServer(name), Service: "service", Address: name + ":80"})
			}
			rn := newRunner(forward.Dependencies{Sender: &fakeServers{}, Fleet: fakeFleet{listed: listed}, Limits: limits})
			now := time.Now()
			result := rn.Run(t.Context(), &forward.Request{ID: "request", Service: "service", ArrivedAt: now, Deadline: now.Add(deadlineAfter), Route: route.Route{Kind: route.Idempotent, MaxAttempts: 2}}, &fakeClient{})
			assert.Assert(t, time.Since(now) <= longest, "%s", time.Since(now))
			assert.Equal(t, result.Complete, unlimitedServer != "", "%+v", result)
			if unlimitedServer == "" {
				assert.Equal(t, result.Outcome.Kind, outcome.Refused)
				assert.Assert(t, result.Outcome.RetryAfter > 0)
			}
		})
	}
}
