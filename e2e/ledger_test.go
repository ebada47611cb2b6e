package e2e

import (
	"fmt"
	"net/http"
	"strings"
	"sync"
	"testing"

	"gotest.tools/v3/assert"

	"github.com/hibiscuslever/hibiscuslever/standin/engine"
	"github.com/hibiscuslever/hibiscuslever/standin/fault"
	"github.com/hibiscuslever/hibiscuslever/state/id"
)

// TestNotRunOutcomeMatchesEngineLedgers overloads small engines, drains one and loses responses of another. No request
// that callers were told has not run may be in an engine's ledger.
func TestNotRunOutcomeMatchesEngineLedgers(t *testing.T) {
	plan := strings.Replace(defaultPlan, "30s", "2s", 1)
	fl := startFleet(t, fleetConfig{hosts: 3, engines: 3, plan: plan, engineFlags: []string{"--memory", "40000", "--speed", "0.25"}})
	const requestCount = 150
	results := make([]callResult, requestCount)
	bodies := make([][]byte, requestCount)
	var group sync.WaitGroup
	for ix := range results {
		promptTokens := []int{300, 3000, 12_000, 30_000, 90_000}[ix%5]
		bodies[ix] = chatRequestBody(fmt.Sprintf("ledger %d", ix), promptTokens, false)
		group.Go(func() {
			results[ix] = fl.send(http.MethodPost, fl.hosts[ix%3].address, "/v1/chat/completions", "acme", bodies[ix], nil)
		})
		switch ix {
		case requestCount / 3:
			fl.put(fl.engines[0], "/standin/drain?on=true", nil)
		case requestCount / 2:
			fl.setFault(fl.engines[1], fault.Fault{DropAnswers: 5, Match: "POST /v1/attempts"})
		}
	}
	group.Wait()
	ran := fl.requestsRunByEngines()
	outcomes := map[string]int{}
	for ix, rs := range results {
		assert.NilError(t, rs.err)
		outcome := rs.header.Get("Request-Outcome")
		outcomes[outcome]++
		switch {
		case rs.status == http.StatusOK:
			assert.Assert(t, strings.Contains(rs.body, engine.NaturalAnswerText(bodies[ix])), "request %d got another answer", ix)
		case outcome == "not_run":
			assert.Assert(t, !ran[id.Request(rs.header.Get("X-Request-Id"))], "request %d was reported as not run, but ran: %s", ix, rs.body)
		default:
			assert.Equal(t, outcome, "may_have_run", rs.body)
		}
	}
	assert.Assert(t, outcomes[""] > 0, "some are served: %v", outcomes)
	assert.Assert(t, outcomes["not_run"] > 0, "some are refused: %v", outcomes)
	assert.Assert(t, outcomes["may_have_run"] > 0, "some are interrupted: %v", outcomes)
	fl.waitUntilNoMemoryHeld()
}

// requestsRunByEngines returns the requests of which any engine has started an attempt, from the engines' ledgers.
func (fl *fleet) requestsRunByEngines() map[id.Request]bool {
	fl.t.Helper()
	ran := map[id.Request]bool{}
	for _, en := range fl.engines {
		var ledger []engine.LedgerEntry
		fl.getJSON(en, "/standin/ledger", &ledger)
		for _, entry := range ledger {
			ran[id.RequestOf(entry.Attempt)] = true
		}
	}
	return ran
}
