package site_test

import (
	"fmt"
	"net/http"
	"slices"
	"strconv"
	"sync"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	standin "github.com/hibiscuslever/hibiscuslever/standin/site"
	"github.com/hibiscuslever/hibiscuslever/testutil"
)

// namingAllowance is the time after a host first passed on a limit from which on its requests are counted.
const namingAllowance = 500 * time.Millisecond

// TestServerGetsMoreThanItsLimitFromAllHosts guards against hosts that ignore a server's limit, or that each keep to it
// by themselves.
func TestServerGetsMoreThanItsLimitFromAllHosts(t *testing.T) {
	const (
		ratePerSecond  = 2.0
		hostCount      = 6
		requestPeriod  = 50 * time.Millisecond
		demandDuration = testutil.LimitWindow + 2*time.Second
	)
	for _, testCase := range []struct {
		service string
		send    func(host *testHost, attemptID string) response
	}{
		{"models", func(host *testHost, attemptID string) response { return host.sendPrompt(attemptID, 1000) }},
		{"books", func(host *testHost, attemptID string) response { return host.get("/read/x", attemptID) }},
	} {
		t.Run(testCase.service, func(t *testing.T) {
			t.Parallel()
			env := newTestEnv(t)
			limited := env.addServer(testCase.service+"-1", testCase.service)
			env.addServer(testCase.service+"-2", testCase.service)
			env.publishTable()
			hosts := []*testHost{env.startHost("host-0", true)}
			for number := 1; number < hostCount; number++ {
				hosts = append(hosts, env.startHost(fmt.Sprint("host-", number), true, hosts[0].settings.Host.PeerAddress))
			}
			limited.SetRequestLimit(strconv.FormatFloat(ratePerSecond, 'f', -1, 64))
			var demand sync.WaitGroup
			end := time.Now().Add(demandDuration)
			for index, host := range hosts {
				demand.Go(func() {
					for number := 0; time.Now().Before(end); number++ {
						got := testCase.send(host, fmt.Sprintf("%s-%d-%d", testCase.service, index, number))
						assert.Check(t, got.status == http.StatusOK, "status %d, body %q, error %v", got.status, got.body, got.err)
						time.Sleep(requestPeriod)
					}
				})
			}
			demand.Wait()
			countFrom := end.Add(-demandDuration + namingAllowance)
			arrivals := slices.DeleteFunc(limited.Arrivals(), func(at time.Time) bool { return at.Before(countFrom) })
			most, allowed := testutil.MaxInWindow(arrivals, testutil.LimitWindow), testutil.MaxAllowedByLimit(ratePerSecond)
			assert.Check(t, most <= allowed, "%d requests in 4 s, allowed %d", most, allowed)
			limitedServerServesAgain(t, limited, hosts[0], testCase.send)
		})
	}
}

// limitedServerServesAgain ends a server's limit and checks that the server then gets more requests than the limit
// allowed.
func limitedServerServesAgain(t *testing.T, server *standin.Server, host *testHost, send func(host *testHost, attemptID string) response) {
	t.Helper()
	const moreThanLimited = 40
	server.SetRequestLimit("")
	before := len(server.Arrivals())
	for number, end := 0, time.Now().Add(waitLimit); len(server.Arrivals())-before < moreThanLimited; number++ {
		assert.Assert(t, time.Now().Before(end), "the server got %d requests after the end of its limit", len(server.Arrivals())-before)
		assert.Equal(t, send(host, fmt.Sprint("again-", number)).status, http.StatusOK)
	}
}
