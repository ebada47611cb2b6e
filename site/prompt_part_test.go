package site_test

import (
	"context"
	"fmt"
	"net/http"
	"strings"
	"sync"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	standin "github.com/hibiscuslever/hibiscuslever/standin/site"
)

// partCrashLimit is the number of crashes from which on the users limit the requests with a part of a prompt that
// crashes engines: maxLateRetries more may reach engines later than agreementTime after the crash with this number.
const partCrashLimit = 5

// lateRunsOfPart returns the number of requests with crashMark in the parts of their prompts that servers began to run
// more than agreementTime after the crash that reached partCrashLimit.
func (env *testEnv) lateRunsOfPart() int {
	return env.runsAfterCrash(partCrashLimit, func(run standin.ExecutedRequest) bool { return strings.Contains(run.PromptParts, crashMark) })
}

// promptPartRequests are the kinds of requests that list the parts of a prompt.
var promptPartRequests = []struct {
	name string
	send func(host *testHost, attemptID, body, parts string) response
}{
	{"stream", func(host *testHost, attemptID, body, parts string) response {
		return host.sendRequest(context.Background(), http.MethodPost, "/chat/x", attemptID, body, "X-Token-Count", "2000,255", "X-Prompt-Prefix", parts)
	}},
	{"idempotent request", func(host *testHost, attemptID, _, parts string) response {
		return host.sendRequest(context.Background(), http.MethodGet, "/read/"+attemptID, attemptID, "", "X-Prompt-Prefix", parts)
	}},
	{"non-idempotent request", func(host *testHost, attemptID, body, parts string) response {
		return host.sendRequest(context.Background(), http.MethodPost, "/order/x", attemptID, body, "X-Prompt-Prefix", parts)
	}},
}

// TestPromptPartThatCrashesEngines sends requests that have nothing in common but one part of their prompts, which
// crashes each engine, to all hosts. Once the hosts had time to agree, no host may send such a request to an engine.
// Requests that share their first part with them must be served meanwhile.
func TestPromptPartThatCrashesEngines(t *testing.T) {
	t.Parallel()
	for _, crashCase := range []struct {
		name  string
		crash standin.Crash
	}{
		{"server restarts after 400 ms", standin.Crash{Downtime: 400 * time.Millisecond}},
		{"server restarts at once", standin.Crash{Downtime: time.Millisecond}},
	} {
		for _, requestKind := range promptPartRequests {
			t.Run(requestKind.name+", "+crashCase.name, func(t *testing.T) {
				t.Parallel()
				env := newTestEnv(t)
				hosts := env.startWithCrashingServers(crashCase.crash, 3)
				var others sync.WaitGroup
				stop := make(chan struct{})
				var served, sent [3]int
				for number, host := range hosts {
					others.Go(func() {
						for count := 0; ; count++ {
							select {
							case <-stop:
								return
							case <-time.After(30 * time.Millisecond):
							}
							attempt := fmt.Sprint("other-", number, "-", count)
							got := requestKind.send(host, attempt, attempt, fmt.Sprintf("first:40,%x:100", count))
							sent[number]++
							if got.status == http.StatusOK {
								served[number]++
							}
						}
					})
				}
				got := sendRepeatedly(hosts, "a", agreementTime, func() bool {
					return env.timeSinceCrash(partCrashLimit) < 2*agreementTime && len(env.crashTimes()) >= partCrashLimit
				}, func(host *testHost, attemptID string) response {
					return requestKind.send(host, attemptID, attemptID, "first:40,"+crashMark+":200,"+attemptID+":300")
				})
				close(stop)
				others.Wait()
				assert.NilError(t, got.err)
				assert.Equal(t, got.status, http.StatusServiceUnavailable)
				assert.Assert(t, env.lateRunsOfPart() <= maxLateRetries, "%d late runs, %d crashes", env.lateRunsOfPart(), len(env.crashTimes()))
				for number := range hosts {
					assert.Assert(t, served[number]*10 >= sent[number]*9, "host %d served %d of %d other requests", number, served[number], sent[number])
				}
			})
		}
	}
}
