package experiment_test

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/hibiscuslever/hibiscuslever/experiment"
)

// newService returns one of the users' plain services: three servers with six slots each and 60 ms of work per request
// can do 300 requests per second at most. The rate is in requests per second.
func newService(rate float64) experiment.PlainService {
	return experiment.PlainService{
		Hosts: 18, Servers: 3, Slots: 6, QueueLimit: 4, MeanWorkTime: 60 * time.Millisecond, Rate: rate, ArrivalPeriod: 30 * time.Second,
		Target: 300 * time.Millisecond, Timeout: 1500 * time.Millisecond,
	}
}

// meanShares returns the mean share of requests that are on time, and of those that are sent to the faulty server.
func meanShares(service experiment.PlainService) (onTimeShare, faultyServerShare float64) {
	const runs = 5
	for seed := range uint64(runs) {
		rs := experiment.RunPlainService(service, seed)
		onTimeShare += float64(rs.OnTime) / float64(rs.Requests) / runs
		faultyServerShare += rs.FaultyServerShare / runs
	}
	return onTimeShare, faultyServerShare
}

// TestQueueingOnServersIsNoWorseThanOnHosts checks that at least as many requests are on time if hosts send them to
// servers that seem full as if hosts hold them back meanwhile, at loads below and above the capacity of the servers.
func TestQueueingOnServersIsNoWorseThanOnHosts(t *testing.T) {
	for _, rate := range []float64{6, 150, 240, 300, 400} {
		queuedOnServers, queuedOnHosts := newService(rate), newService(rate)
		queuedOnHosts.QueueOnHosts = true
		serversOnTime, _ := meanShares(queuedOnServers)
		hostsOnTime, _ := meanShares(queuedOnHosts)
		t.Logf("%3.0f requests per second: on time %.3f queued on servers, %.3f queued on hosts", rate, serversOnTime, hostsOnTime)
		assert.Assert(t, serversOnTime >= hostsOnTime, "%.0f requests per second: on time %.3f queued on servers, %.3f queued on hosts", rate, serversOnTime, hostsOnTime)
	}
}

// TestFaultyServerGetsFewerRequests checks that balancers send a faulty server less than an even third of the requests.
func TestFaultyServerGetsFewerRequests(t *testing.T) {
	for name, fault := range map[string]experiment.ServerFault{"failing": experiment.Failing, "hanging": experiment.Hanging, "slow": experiment.Slow} {
		for _, rate := range []float64{6, 60} {
			service := newService(rate)
			service.Fault = fault
			onTime, faulty := meanShares(service)
			t.Logf("%s server, %2.0f requests per second: %.3f on time, %.3f sent to the faulty server", name, rate, onTime, faulty)
			assert.Assert(t, faulty < 1.0/3, "%s server: %.3f of the requests", name, faulty)
		}
	}
}
