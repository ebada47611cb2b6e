package e2e

import (
	"fmt"
	"net/http"
	"os/exec"
	"path/filepath"
	"slices"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/hibiscuslever/hibiscuslever/standin/engine"
	"github.com/hibiscuslever/hibiscuslever/standin/service"
	"github.com/hibiscuslever/hibiscuslever/state/id"
	"github.com/hibiscuslever/hibiscuslever/testutil"
	"github.com/hibiscuslever/hibiscuslever/transport/operator"
)

// evacuate runs the operators' command at a host and returns its output.
func (fl *fleet) evacuate(host *process, args ...string) string {
	fl.t.Helper()
	output, err := exec.Command(filepath.Join(binariesDir, "hibiscuslever"), append([]string{"evacuate", "--host", "http://" + host.operatorAddress}, args...)...).CombinedOutput()
	assert.NilError(fl.t, err, "%s", output)
	return string(output)
}

// dispatcherDelay is how long after its host a dispatcher may learn of an evacuation: some ticks, and polls of engines that
// began before.
const dispatcherDelay = time.Second

// waitForEvacuatedZones waits until all hosts show exactly the given zones as evacuated, and for dispatcherDelay after that.
func (fl *fleet) waitForEvacuatedZones(zones ...id.AvailabilityZone) {
	fl.t.Helper()
	fl.eventually(fmt.Sprint("all hosts show as evacuated ", zones), func() bool {
		for _, host := range fl.hosts {
			status, err := operator.NewClient("http://" + host.operatorAddress).Status(fl.t.Context())
			if err != nil || !slices.Equal(status.EvacuatedZones, zones) {
				return false
			}
		}
		return true
	})
	time.Sleep(dispatcherDelay)
}

// TestEvacuatedZoneGetsNoRequests evacuates a zone by the operators' command. Its engine and its server must get nothing
// new, also from a host that starts later and after one was killed; the others serve. When all zones are evacuated,
// requests are refused as not run with a time to return. When the evacuation ends, the zone is used again.
func TestEvacuatedZoneGetsNoRequests(t *testing.T) {
	fl := startFleet(t, fleetConfig{hosts: 3, engines: 1, servers: 1, engineFlags: []string{"--speed", "20"}})
	eastEngine := fl.startEngine("engine-east", "--speed", "20", "--zone", "east")
	eastServer := fl.startProgram("server-east", "standin", "service", "--name", "server-east", "--address", testutil.FreeAddress(t), "--platform", fl.url(fl.platform), "--service", bookingService, "--zone", "east")
	fl.waitForHTTP(eastServer.address + "/standin/ledger")
	var counter atomic.Int64
	send := func(host *process) int {
		chat := fl.send(http.MethodPost, host.address, "/v1/chat/completions", "acme", chatRequestBody(fmt.Sprint("request ", counter.Add(1)), 500, false), nil)
		plain := fl.send(http.MethodPost, host.address, "/v1/services/"+bookingService+"/x", "acme", nil, nil)
		assert.Check(t, chat.status == plain.status, "%d %s, %d %s", chat.status, chat.body, plain.status, plain.body)
		assert.Check(t, chat.status == http.StatusOK || chat.header.Get("Retry-After") != "" && plain.header.Get("Retry-After") != "")
		return chat.status
	}
	// sendAtOnce sends more requests at once than one engine takes, so that all engines that may be used are.
	sendAtOnce := func(hosts ...*process) []int {
		const requestsPerHost = 5
		var group sync.WaitGroup
		statuses := make([]int, requestsPerHost*len(hosts))
		for ix := range statuses {
			group.Go(func() { statuses[ix] = send(hosts[ix%len(hosts)]) })
		}
		group.Wait()
		slices.Sort(statuses)
		return slices.Compact(statuses)
	}
	runsInEast := func() (int, int) {
		var engineLedger []engine.LedgerEntry
		var serverLedger []service.LedgerEntry
		fl.getJSON(eastEngine, "/standin/ledger", &engineLedger)
		fl.getJSON(eastServer, "/standin/ledger", &serverLedger)
		return len(engineLedger), len(serverLedger)
	}
	usesEast := func() {
		t.Helper()
		enginesBefore, serversBefore := runsInEast()
		fl.eventually("the zone is used", func() bool {
			sendAtOnce(fl.hosts...)
			engines, servers := runsInEast()
			return engines > enginesBefore && servers > serversBefore
		})
	}
	usesEast()
	assert.Assert(t, strings.Contains(fl.evacuate(fl.hosts[0], "east"), "[east]"))
	fl.waitForEvacuatedZones("east")
	enginesBefore, serversBefore := runsInEast()
	assert.DeepEqual(t, sendAtOnce(fl.hosts...), []int{http.StatusOK})
	fl.kill(fl.hosts[0])
	fl.hosts = fl.hosts[1:]
	late := fl.startHost("accra-d-1", "")
	fl.waitUntilReady(late)
	fl.waitForEvacuatedZones("east")
	assert.DeepEqual(t, sendAtOnce(late), []int{http.StatusOK})
	engines, servers := runsInEast()
	assert.Equal(t, engines, enginesBefore)
	assert.Equal(t, servers, serversBefore)
	fl.evacuate(fl.hosts[0], "zone-a")
	fl.waitForEvacuatedZones("east", "zone-a")
	fl.eventually("all requests are refused", func() bool { return send(late) == http.StatusServiceUnavailable })
	fl.evacuate(fl.hosts[1], "--end", "east")
	fl.waitForEvacuatedZones("zone-a")
	usesEast()
}
