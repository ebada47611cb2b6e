package site_test

import (
	"fmt"
	"net/http"
	"strconv"
	"sync"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	standin "github.com/hibiscuslever/hibiscuslever/standin/site"
)

const (
	// limitWindow is the time over which the users count a limited server's requests.
	limitWindow = 4 * time.Second
	// namingAllowance is the time after a host first passed on a limit from which on its requests are counted.
	namingAllowance = 500 * time.Millisecond
)

// maxArrivals returns the most arrivals in any window of the given length that begins at or after start.
func maxArrivals(arrivals []time.Time, start time.Time, window time.Duration) int {
	most := 0
	for first, begin := range arrivals {
		if begin.Before(start) {
			continue
		}
		count := 0
		for _, arrival := range arrivals[first:] {
			if arrival.Sub(begin) < window {
				count++
			}
		}
		most = max(most, count)
	}
	return most
}

// maxAllowedArrivals returns how many requests a server with a limit may get in limitWindow.
func maxAllowedArrivals(ratePerSecond float64) int {
	const shareAllowed, slack = 1.5, 5
	return int(shareAllowed*ratePerSecond*limitWindow.Seconds()) + slack
}

// TestServerGetsMoreThanItsLimitFromAllHosts guards against hosts that ignore a server's limit, or that each keep to it
// by themselves.
func TestServerGetsMoreThanItsLimitFromAllHosts(t *testing.T) {
	const (
		ratePerSecond  = 2.0
		hostCount      = 6
		requestPeriod  = 50 * time.Millisecond
		demandDuration = limitWindow + 2*time.Second
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
			start := end.Add(-demandDuration + namingAllowance)
			most := maxArrivals(limited.Arrivals(), start, limitWindow)
			assert.Check(t, most <= maxAllowedArrivals(ratePerSecond), "%d requests in 4 s, allowed %d", most, maxAllowedArrivals(ratePerSecond))
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
