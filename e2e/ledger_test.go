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

// TestNotRunOutcomeMatchesEngineLedgers crowds small engines, drains one and cuts answers of another, and compares what callers were told
// with the engines' ledgers.
func TestNotRunOutcomeMatchesEngineLedgers(t *testing.T) {
	plan := strings.Replace(defaultPlan, "30s", "2s", 1)
	fl := startFleet(t, fleetConfig{hosts: 3, engines: 3, plan: plan, engineFlags: []string{"--memory", "40000", "--speed", "0.25"}})
	const requests = 150
	answers := make([]answer, requests)
	bodies := make([][]byte, requests)
	var group sync.WaitGroup
	for ix := range answers {
		length := []int{300, 3000, 12_000, 30_000, 90_000}[ix%5]
		bodies[ix] = chatBody(fmt.Sprintf("ledger %d", ix), length, false)
		group.Go(func() {
			answers[ix] = fl.send(http.MethodPost, fl.hosts[ix%3].address, "/v1/chat/completions", "acme", bodies[ix], nil)
		})
		switch ix {
		case requests / 3:
			fl.put(fl.engines[0], "/standin/drain?on=true", nil)
		case requests / 2:
			fl.fault(fl.engines[1], fault.Fault{DropAnswers: 5, Match: "POST /v1/attempts"})
		}
	}
	group.Wait()
	ran := fl.requestsRun()
	told := map[string]int{}
	for ix, rs := range answers {
		assert.NilError(t, rs.err)
		outcome := rs.header.Get("Request-Outcome")
		told[outcome]++
		switch {
		case rs.status == http.StatusOK:
			assert.Assert(t, strings.Contains(rs.body, engine.NaturalAnswerText(bodies[ix])), "request %d got another answer", ix)
		case outcome == "not_run":
			assert.Assert(t, !ran[id.Request(rs.header.Get("X-Request-Id"))], "request %d was told not run, but ran: %s", ix, rs.body)
		default:
			assert.Equal(t, outcome, "may_have_run", rs.body)
		}
	}
	assert.Assert(t, told[""] > 0, "some are served: %v", told)
	assert.Assert(t, told["not_run"] > 0, "some are refused: %v", told)
	assert.Assert(t, told["may_have_run"] > 0, "some are interrupted: %v", told)
	fl.waitIdle()
}

// requestsRun returns the requests of which any engine started an attempt.
func (fl *fleet) requestsRun() map[id.Request]bool {
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
