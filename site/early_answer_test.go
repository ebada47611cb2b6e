package site_test

import (
	"context"
	"fmt"
	"net/http"
	"strings"
	"testing"

	"gotest.tools/v3/assert"

	standin "github.com/hibiscuslever/hibiscuslever/standin/site"
)

// longBodyBytes is more than the buffers of a connection hold.
const longBodyBytes = 8 << 20

// longKinds are kinds of requests with bodies that are still being written when an early answer arrives.
var longKinds = []unframedKind{
	{"stream", "models", 1, func(host *testHost, attempt string) response {
		return sendLongBody(host, "/chat/", attempt, "X-Model", "m", "X-Token-Count", "4000,255")
	}},
	{"idempotent", "books", 1, func(host *testHost, attempt string) response { return sendLongBody(host, "/read/", attempt) }},
	{"non-idempotent", "books", 0, func(host *testHost, attempt string) response { return sendLongBody(host, "/order/", attempt) }},
}

func sendLongBody(host *testHost, prefix, attempt string, headerFields ...string) response {
	body := attempt + strings.Repeat("x", longBodyBytes)
	return host.sendRequest(context.Background(), http.MethodPost, prefix+attempt, attempt, body, headerFields...)
}

// TestResetEarlyAnswerLooksComplete has servers answer long requests at once, without a length, and reset the connection in
// the middle of the answer while the request is still being written. The part of an answer may never look complete.
// Early answers that are whole must still arrive, with a length and with the end of the server's side of the connection.
func TestResetEarlyAnswerLooksComplete(t *testing.T) {
	const rounds = 4
	for _, relayed := range []bool{false, true} {
		t.Run(fmt.Sprintf("relayed %v", relayed), func(t *testing.T) {
			t.Parallel()
			env := newAnswerEnv(t, relayed)
			setFault := func(fault standin.ServerFault) {
				for _, servers := range env.byService {
					for _, server := range servers {
						server.SetFault(fault)
					}
				}
			}
			for _, kind := range longKinds {
				for round := range rounds {
					setFault(standin.ResetsEarlyAnswers)
					attempt := fmt.Sprint(kind.name, "-reset-", round)
					got := kind.send(env.host, attempt)
					assert.Check(t, got.err != nil || got.status != http.StatusOK || kind.isWhole(got, attempt), "%s: status 200 with the whole body %q", attempt, got.body)
					if kind.repeats == 0 {
						assert.Check(t, countRuns(env.byService[kind.service], attempt) == 1, "%s ran %d times", attempt, countRuns(env.byService[kind.service], attempt))
					}
					for _, fault := range []standin.ServerFault{standin.SendsEarlyAnswers, standin.HalfClosesEarlyAnswers} {
						setFault(fault)
						attempt := fmt.Sprint(kind.name, "-sound-", fault, "-", round)
						got := kind.send(env.host, attempt)
						assert.Check(t, kind.isWhole(got, attempt), "%s: %+v", attempt, got)
					}
				}
			}
		})
	}
}
