package site_test

import (
	"context"
	"fmt"
	"net/http"
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	standin "github.com/hibiscuslever/hibiscuslever/standin/site"
)

// TestCrashEndsResponseWithoutLength checks that the part of a response that a server sends before it crashes is never a
// whole response to a client, if the response has neither length nor chunks, on the host's own links to servers and through a
// peer. Requests that may be repeated and streams that may be resumed get a whole response of another server.
func TestCrashEndsResponseWithoutLength(t *testing.T) {
	for _, relayed := range []bool{false, true} {
		t.Run(fmt.Sprintf("relayed %v", relayed), func(t *testing.T) {
			t.Parallel()
			env := newTestEnv(t)
			env.linkedHosts = true
			const serversPerService = 3
			var servers []*standin.Server
			for number := range serversPerService {
				servers = append(servers, env.addServer(fmt.Sprint("book-", number), "books"), env.addServer(fmt.Sprint("engine-", number), "models"))
			}
			env.publishTable()
			first := env.startHost("host-1", true)
			second := env.startHost("host-2", true, first.settings.Host.PeerAddress)
			for _, kind := range unframedKinds {
				env.eventually(func() bool {
					return kind.isWhole(kind.send(first, "warm-"+kind.name), "warm-"+kind.name) && kind.isWhole(kind.send(second, "warm2-"+kind.name), "warm2-"+kind.name)
				})
			}
			// As long as a new dispatcher spreads requests, each engine may get them just when it is not the one that is to crash.
			time.Sleep(afterTakeover)
			if relayed {
				first.links.SetMode(standin.LinkRefused, servers...)
			}
			for _, server := range servers {
				server.SetFault(standin.OmitsLengths)
			}
			for _, kind := range unframedKinds {
				for round := range 4 {
					attempt := fmt.Sprint(kind.name, "-sound-", round)
					got := kind.send(first, attempt)
					assert.Assert(t, kind.isWhole(got, attempt), "%s: %+v", attempt, got)
				}
			}
			for _, kind := range unframedKinds {
				crashed, repeated := 0, 0
				for _, server := range servers {
					if server.Service != kind.service {
						continue
					}
					server.SetFault(standin.CrashesWithoutLength)
					crashesBefore := len(server.CrashTimes())
					for number := 0; number < 20 && len(server.CrashTimes()) == crashesBefore; number++ {
						attempt := fmt.Sprint(kind.name, "-crash-", server.ID, "-", number)
						got := kind.send(first, attempt)
						whole := kind.isWhole(got, attempt)
						assert.Assert(t, whole || got.err != nil || got.status != http.StatusOK, "%s: status 200 with the whole body %q", attempt, got.body)
						if len(server.CrashTimes()) > crashesBefore && whole {
							repeated++
						}
					}
					crashed += len(server.CrashTimes()) - crashesBefore
					server.SetFault(standin.OmitsLengths)
					env.eventually(func() bool { return env.getStatus("http://"+server.Address()+"/-/report") == http.StatusOK })
				}
				assert.Assert(t, crashed > 0)
				assert.Equal(t, repeated, crashed*kind.repeats, "%s", kind.name)
			}
		})
	}
}

// unframedKind is a kind of requests to servers whose responses have no length. All requests differ in content, so that none
// is suspected of the crashes under another one.
type unframedKind struct {
	name, service string
	// repeats is 1 if a request is repeated or resumed after a crash, else 0.
	repeats int
	send    func(host *testHost, attempt string) response
}

var unframedKinds = []unframedKind{
	{"stream", "models", 1, func(host *testHost, attempt string) response {
		return host.sendRequest(context.Background(), http.MethodPost, "/chat/"+attempt, attempt, "the prompt", "X-Model", "m", "X-Token-Count", "4000,255")
	}},
	{"idempotent", "books", 1, func(host *testHost, attempt string) response { return host.get("/read/"+attempt, attempt) }},
	{"non-idempotent", "books", 0, func(host *testHost, attempt string) response {
		return host.sendRequest(context.Background(), http.MethodPost, "/order/"+attempt, attempt, "order")
	}},
}

// isWhole reports whether a client got the whole response to a request.
func (uk unframedKind) isWhole(got response, attempt string) bool {
	switch {
	case got.err != nil || got.status != http.StatusOK:
		return false
	case uk.service == "models":
		return got.body == eventStream(5)
	default:
		return strings.HasPrefix(got.body, "answer of book-") && strings.HasSuffix(got.body, " to "+attempt)
	}
}
