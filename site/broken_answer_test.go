package site_test

import (
	"fmt"
	"net/http"
	"strings"
	"testing"

	"gotest.tools/v3/assert"

	standin "github.com/hibiscuslever/hibiscuslever/standin/site"
)

// brokenHeads are heads that are no HTTP.
var brokenHeads = map[string]standin.BrokenHead{
	"status 000":                     {Status: "000 None", Fields: []string{"Transfer-Encoding: chunked"}},
	"status 000, body not announced": {Status: "000 None"},
	"status 000 before a sound head": {Status: "000 None\r\n\r\nHTTP/1.1 200 OK", Fields: []string{"Transfer-Encoding: chunked"}},
	"blank in a name":                {Status: "200 OK", Fields: []string{"Transfer-Encoding: chunked", "X Note: a"}},
	"blank before a colon":           {Status: "200 OK", Fields: []string{"Transfer-Encoding : chunked"}},
	"control byte in a name":         {Status: "200 OK", Fields: []string{"Transfer-Encoding: chunked", "X\x01Note: a"}},
	"control byte before a colon":    {Status: "200 OK", Fields: []string{"Transfer-Encoding\x0b: chunked"}},
	"null in a value":                {Status: "200 OK", Fields: []string{"Transfer-Encoding: chunked", "X-Note: a\x00b"}},
	"carriage return in a value":     {Status: "200 OK", Fields: []string{"Transfer-Encoding: chunked", "X-Note: a\rb: c"}},
	"status above those of HTTP":     {Status: "700 Own", Fields: []string{"Transfer-Encoding: chunked"}},
	"protocol not asked for":         {Status: "101 Switching Protocols", Fields: []string{"Upgrade: other", "Connection: upgrade"}},
}

// answerEnv is an environment with a host that reaches its servers itself or through a peer.
type answerEnv struct {
	*testEnv
	host *testHost
	// byService are the servers of each service.
	byService map[string][]*standin.Server
}

// newAnswerEnv starts two servers of each service and two hosts, of which the first one reaches no server itself if relayed
// is set.
func newAnswerEnv(t *testing.T, relayed bool) *answerEnv {
	env := newTestEnv(t)
	env.linkedHosts = true
	env.limits["MaxBodyBytes"] = 2 * longBodyBytes
	byService := map[string][]*standin.Server{}
	for number := range 2 {
		for name, service := range map[string]string{"book-": "books", "engine-": "models"} {
			byService[service] = append(byService[service], env.addServer(fmt.Sprint(name, number), service))
		}
	}
	env.publishTable()
	first := env.startHost("host-1", true)
	second := env.startHost("host-2", true, first.settings.Host.PeerAddress)
	warmUp := func(host *testHost, attempt string) {
		for _, kind := range unframedKinds {
			env.eventually(func() bool { return kind.isWhole(kind.send(host, attempt+kind.name), attempt+kind.name) })
		}
	}
	warmUp(first, "first-")
	warmUp(second, "second-")
	if relayed {
		for _, servers := range byService {
			first.links.SetMode(standin.LinkRefused, servers...)
		}
		// Requests on connections that were kept may still be lost.
		warmUp(first, "relayed-")
	}
	return &answerEnv{testEnv: env, host: first, byService: byService}
}

// TestBrokenHeadsReachClients has servers answer with heads that are no HTTP, on the host's own links and through a peer. No
// client may get such an answer: requests that may be repeated get the answer of a sound server, the others a 502 at once.
func TestBrokenHeadsReachClients(t *testing.T) {
	for _, relayed := range []bool{false, true} {
		t.Run(fmt.Sprintf("relayed %v", relayed), func(t *testing.T) {
			t.Parallel()
			env := newAnswerEnv(t, relayed)
			for name, head := range brokenHeads {
				for _, kind := range unframedKinds {
					faulty := env.byService[kind.service]
					if kind.repeats > 0 {
						faulty = faulty[:1]
					}
					for _, server := range faulty {
						server.SetBrokenHead(head)
					}
					for number := range 3 {
						attempt := fmt.Sprint(kind.name, "-", number, "-", strings.ReplaceAll(name, " ", "-"))
						got := kind.send(env.host, attempt)
						if kind.repeats > 0 {
							assert.Check(t, kind.isWhole(got, attempt), "%s: %+v", attempt, got)
						} else {
							assert.Check(t, got.err == nil && got.status == http.StatusBadGateway, "%s: %+v", attempt, got)
							assert.Check(t, countRuns(faulty, attempt) == 1, "%s ran %d times", attempt, countRuns(faulty, attempt))
						}
					}
					for _, server := range faulty {
						server.SetFault(standin.NoServerFault)
					}
				}
			}
		})
	}
}

// countRuns returns how often servers started to run an attempt.
func countRuns(servers []*standin.Server, attempt string) int {
	runs := 0
	for _, server := range servers {
		for _, executed := range server.ExecutedRequests() {
			if executed.Attempt == attempt {
				runs++
			}
		}
	}
	return runs
}
