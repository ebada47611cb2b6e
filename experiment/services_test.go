package experiment_test

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/hibiscuslever/hibiscuslever/experiment"
)

// service is one of the users' plain services: three servers with six slots, work of 60 ms, 300 requests a second at most.
func service(rate float64) experiment.PlainService {
	return experiment.PlainService{
		Hosts: 18, Servers: 3, Slots: 6, QueueLimit: 4, MeanWorkTime: 60 * time.Millisecond, Rate: rate, ArrivalPeriod: 30 * time.Second,
		Target: 300 * time.Millisecond, Timeout: 1500 * time.Millisecond,
	}
}

func onTime(sc experiment.PlainService) (part, troubled float64) {
	const runs = 5
	for seed := range uint64(runs) {
		rs := experiment.RunPlainService(sc, seed)
		part += float64(rs.OnTime) / float64(rs.Requests) / runs
		troubled += rs.FaultyServerShare / runs
	}
	return part, troubled
}

// TestQueueingOnServersIsNoWorseThanOnHosts holds that requests that are sent on do no worse than those that are kept back while all servers
// seem full, at loads below and beyond what the servers can do.
func TestQueueingOnServersIsNoWorseThanOnHosts(t *testing.T) {
	for _, rate := range []float64{6, 150, 240, 300, 400} {
		sent, held := service(rate), service(rate)
		held.QueueOnHosts = true
		first, _ := onTime(sent)
		second, _ := onTime(held)
		t.Logf("%3.0f a second: sent on %.3f on time, kept back %.3f", rate, first, second)
		assert.Assert(t, first >= second, "%.0f a second: %.3f, %.3f", rate, first, second)
	}
}

// TestFaultyServerGetsFewerRequests holds that a server in trouble gets less than its third of the requests.
func TestFaultyServerGetsFewerRequests(t *testing.T) {
	for name, trouble := range map[string]experiment.ServerFault{"failing": experiment.Failing, "hanging": experiment.Hanging, "slow": experiment.Slow} {
		for _, rate := range []float64{6, 60} {
			sc := service(rate)
			sc.Fault = trouble
			part, troubled := onTime(sc)
			t.Logf("%s, %2.0f a second: %.3f on time, %.3f sent to the server in trouble", name, rate, part, troubled)
			assert.Assert(t, troubled < 1.0/3, "%s: %.3f", name, troubled)
		}
	}
}
