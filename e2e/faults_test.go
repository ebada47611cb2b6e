package e2e

import (
	"context"
	"fmt"
	"net/http"
	"strings"
	"sync"
	"syscall"
	"testing"
	"time"

	"github.com/google/uuid"
	"gotest.tools/v3/assert"
	"gotest.tools/v3/assert/cmp"

	operatorprotocol "github.com/hibiscuslever/hibiscuslever/protocol/operator"
	"github.com/hibiscuslever/hibiscuslever/protocol/platform"
	"github.com/hibiscuslever/hibiscuslever/standin/engine"
	"github.com/hibiscuslever/hibiscuslever/standin/fault"
	"github.com/hibiscuslever/hibiscuslever/state/id"
	"github.com/hibiscuslever/hibiscuslever/state/lists"
	"github.com/hibiscuslever/hibiscuslever/transport/operator"
)

// waitUntilNoMemoryHeld waits until no attempt holds memory of any engine.
func (fl *fleet) waitUntilNoMemoryHeld() {
	fl.t.Helper()
	fl.eventually("no engine holds memory", func() bool {
		for _, en := range fl.engines {
			if len(fl.heldAttempts(en)) > 0 {
				return false
			}
		}
		return true
	})
}

// TestEngineFrozenMidStream freezes the engine that sends a stream. The stream must continue on another engine, and the
// frozen engine must release its memory when it runs again.
func TestEngineFrozenMidStream(t *testing.T) {
	fl := startFleet(t, fleetConfig{hosts: 3, engines: 3})
	done := make(chan error, 1)
	go func() { done <- streamAndVerify(fl.hosts[0].address, "acme", "a question with a long answer 7", 500) }()
	frozen := fl.engineHoldingMemory()
	fl.signal(frozen, syscall.SIGSTOP)
	assert.NilError(t, <-done)
	fl.signal(frozen, syscall.SIGCONT)
	fl.waitUntilNoMemoryHeld()
}

// TestEveryEngineFrozen freezes all engines. A request must be refused with a Retry-After, and no memory may stay
// reserved when the engines run again.
func TestEveryEngineFrozen(t *testing.T) {
	fl := startFleet(t, fleetConfig{hosts: 3, engines: 2, plan: strings.Replace(defaultPlan, "30s", "3s", 1)})
	assert.NilError(t, streamAndVerify(fl.hosts[0].address, "acme", "before", 500))
	for _, en := range fl.engines {
		fl.signal(en, syscall.SIGSTOP)
	}
	rs := fl.send(http.MethodPost, fl.hosts[0].address, "/v1/chat/completions", "acme", chatRequestBody("frozen", 500, false), nil)
	assert.NilError(t, rs.err)
	assert.Assert(t, rs.status == http.StatusServiceUnavailable || rs.status == http.StatusGatewayTimeout, rs.body)
	assert.Assert(t, rs.header.Get("Retry-After") != "", rs.body)
	for _, en := range fl.engines {
		fl.signal(en, syscall.SIGCONT)
	}
	fl.waitUntilNoMemoryHeld()
}

// TestMemoryReleasedAfterCallersLeaveAndHostIsKilled has all callers disconnect in the middle of their requests, kills
// one of the hosts, and loses responses of an engine to requests that cancel an attempt. All memory must be released
// nevertheless, and long prompts must be served again.
func TestMemoryReleasedAfterCallersLeaveAndHostIsKilled(t *testing.T) {
	fl := startFleet(t, fleetConfig{hosts: 3, engines: 4})
	ctx, cancel := context.WithCancel(context.Background())
	for ix := range 6 {
		promptTokens := []int{500, 60_000, 900_000}[ix%3]
		go func() {
			rq, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+fl.hosts[ix%3].address+"/v1/chat/completions",
				strings.NewReader(string(chatRequestBody(fmt.Sprintf("abandoned %d", ix), promptTokens, true))))
			if err != nil {
				return
			}
			rq.Header.Set("Authorization", "Bearer key-acme")
			if rs, err := http.DefaultClient.Do(rq); err == nil {
				<-ctx.Done()
				_ = rs.Body.Close()
			}
		}()
	}
	fl.engineHoldingMemory()
	fl.setFault(fl.engines[0], fault.Fault{DropAnswers: 3, Match: http.MethodDelete})
	fl.kill(fl.hosts[1])
	cancel()
	fl.waitUntilNoMemoryHeld()
	assert.NilError(t, streamAndVerify(fl.hosts[0].address, "acme", "afterwards", 60_000))
}

// TestPlannedStopInterruptsNoRequest stops two of three hosts, one after the other, while callers that follow the
// advertised addresses send requests. Neither these requests nor a long request at the stopping host may fail.
func TestPlannedStopInterruptsNoRequest(t *testing.T) {
	fl := startFleet(t, fleetConfig{hosts: 3, engines: 4, engineFlags: []string{"--speed", "2"}})
	stop := make(chan struct{})
	var group sync.WaitGroup
	var mutex sync.Mutex
	var failures []error
	requestCount := 0
	for worker := range 4 {
		group.Go(func() {
			for ix := 0; ; ix++ {
				select {
				case <-stop:
					return
				default:
				}
				err := fl.streamFromAdvertisedHost(worker, ix)
				mutex.Lock()
				requestCount++
				if err != nil {
					failures = append(failures, err)
				}
				mutex.Unlock()
			}
		})
	}
	for ix, host := range fl.hosts[:2] {
		// This prompt takes longer than callers may cache the addresses, so the host still has to serve it after it has
		// stopped accepting new requests.
		longRequest := make(chan callResult, 1)
		body := chatRequestBody(fmt.Sprintf("across the stop %d", ix), 900_000, false)
		go func() {
			longRequest <- fl.send(http.MethodPost, host.address, "/v1/chat/completions", "zenith", body, nil)
		}()
		fl.eventually("the long request has begun", func() bool { return fl.anyAttemptHolds(200_000) })
		fl.signal(host, syscall.SIGTERM)
		<-host.exited
		assert.Equal(t, host.cmd.ProcessState.ExitCode(), 0)
		rs := <-longRequest
		assert.NilError(t, rs.err)
		assert.Equal(t, rs.status, http.StatusOK, rs.body)
		assert.Assert(t, cmp.Contains(rs.body, engine.NaturalAnswerText(body)))
	}
	close(stop)
	group.Wait()
	assert.Assert(t, cmp.Len(failures, 0))
	assert.Assert(t, requestCount > 0)
}

// anyAttemptHolds reports whether some attempt holds at least this much memory of an engine.
func (fl *fleet) anyAttemptHolds(tokens id.Tokens) bool {
	for _, en := range fl.engines {
		for _, held := range fl.heldAttempts(en) {
			if held.Tokens >= tokens {
				return true
			}
		}
	}
	return false
}

// streamFromAdvertisedHost asks the last host for the addresses that callers may use and sends a request to one of them
// at once, within the time for which the addresses are valid.
func (fl *fleet) streamFromAdvertisedHost(worker, number int) error {
	addresses := fl.callerAddresses(fl.hosts[2])
	promptTokens := []int{400, 3000, 40_000}[number%3]
	return streamAndVerify(addresses[(worker+number)%len(addresses)], "acme", fmt.Sprintf("worker %d request %d", worker, number), promptTokens)
}

// TestSameIdempotencyKeyAtSeveralHostsAtOnce sends a booking with one idempotency key to all hosts at once, while the
// platform loses responses to claims of the key. The booking must run at most once, and a later repeat must return its
// result.
func TestSameIdempotencyKeyAtSeveralHostsAtOnce(t *testing.T) {
	fl := startFleet(t, fleetConfig{hosts: 3, servers: 2})
	fl.setFault(fl.platform, fault.Fault{DropAnswers: 2, Match: "POST /log/Claims"})
	header := map[string]string{"Idempotency-Key": uuid.Must(uuid.NewV7()).String()}
	results := make([]callResult, 6)
	var group sync.WaitGroup
	for ix := range results {
		group.Go(func() {
			results[ix] = fl.send(http.MethodPost, fl.hosts[ix%3].address, "/v1/services/"+bookingService+"/pumps", "acme", []byte("pump"), header)
		})
	}
	group.Wait()
	ran := fl.requestsRunByServers()
	assert.Assert(t, len(ran) <= 1, "ran %v", ran)
	succeeded := 0
	for _, rs := range results {
		assert.NilError(t, rs.err)
		switch rs.header.Get("Request-Outcome") {
		case "not_run", "may_have_run":
		default:
			assert.Equal(t, rs.status, http.StatusOK, rs.body)
			succeeded++
		}
	}
	assert.Assert(t, succeeded == 0 || len(ran) == 1)
	repeated := fl.send(http.MethodPost, fl.hosts[1].address, "/v1/services/"+bookingService+"/pumps", "acme", []byte("pump"), header)
	assert.Equal(t, repeated.status, http.StatusOK, repeated.body)
	assert.Assert(t, cmp.Len(fl.requestsRunByServers(), 1))
}

// TestBackendServerResponseLost loses the responses of backend servers that have run a booking. The caller must learn
// that the booking may have run, and a repeat at another host must not run it again.
func TestBackendServerResponseLost(t *testing.T) {
	fl := startFleet(t, fleetConfig{hosts: 2, servers: 2})
	for _, sv := range fl.servers {
		fl.setFault(sv, fault.Fault{DropAnswers: 100, Match: http.MethodPost})
	}
	for _, org := range []string{"acme", "zenith"} {
		header := map[string]string{"Idempotency-Key": uuid.Must(uuid.NewV7()).String()}
		first := fl.send(http.MethodPost, fl.hosts[0].address, "/v1/services/"+bookingService+"/nets", org, nil, header)
		assert.Equal(t, first.header.Get("Request-Outcome"), "may_have_run", first.body)
		second := fl.send(http.MethodPost, fl.hosts[1].address, "/v1/services/"+bookingService+"/nets", org, nil, header)
		assert.Equal(t, second.status, http.StatusConflict, second.body)
		assert.Equal(t, second.header.Get("Request-Outcome"), "may_have_run", second.body)
	}
	assert.Assert(t, cmp.Len(fl.requestsRunByServers(), 2))
}

// TestHostKilledDuringBooking kills the host that has claimed a booking, while the servers are slow to answer. A repeat
// at another host must not run it again.
func TestHostKilledDuringBooking(t *testing.T) {
	fl := startFleet(t, fleetConfig{hosts: 3, servers: 2})
	for _, sv := range fl.servers {
		fl.setFault(sv, fault.Fault{Delay: 2 * time.Second, Match: http.MethodPost})
	}
	header := map[string]string{"Idempotency-Key": uuid.Must(uuid.NewV7()).String()}
	interrupted := make(chan callResult, 1)
	go func() {
		interrupted <- fl.send(http.MethodPost, fl.hosts[0].address, "/v1/services/"+bookingService+"/pumps", "acme", nil, header)
	}()
	fl.eventually("the claim is in the log", func() bool { return fl.claimRecordCount() > 0 })
	fl.kill(fl.hosts[0])
	assert.Assert(t, (<-interrupted).err != nil)
	repeated := fl.send(http.MethodPost, fl.hosts[1].address, "/v1/services/"+bookingService+"/pumps", "acme", nil, header)
	assert.Equal(t, repeated.status, http.StatusConflict, repeated.body)
	assert.Equal(t, repeated.header.Get("Request-Outcome"), "may_have_run")
	assert.Assert(t, len(fl.requestsRunByServers()) <= 1)
}

// claimRecordCount returns the number of records in the platform's log of claims.
func (fl *fleet) claimRecordCount() int {
	var records platform.ReadResponse
	fl.getJSON(fl.platform, platform.LogPath+string(platform.Claims)+"?from=0", &records)
	return len(records.Records)
}

// TestEachHostFrozenInTurn freezes each host in turn, and with it any dispatcher that runs on it. The other hosts must
// continue to serve their callers.
func TestEachHostFrozenInTurn(t *testing.T) {
	fl := startFleet(t, fleetConfig{hosts: 3, engines: 3, engineFlags: []string{"--speed", "10"}})
	for ix, frozen := range fl.hosts {
		assert.NilError(t, streamAndVerify(fl.hosts[(ix+1)%3].address, "acme", fmt.Sprintf("before %d", ix), 500))
		fl.signal(frozen, syscall.SIGSTOP)
		for step, promptTokens := range []int{500, 20_000, 500} {
			assert.NilError(t, streamAndVerify(fl.hosts[(ix+1)%3].address, "acme", fmt.Sprintf("frozen %d %d", ix, step), promptTokens))
		}
		fl.signal(frozen, syscall.SIGCONT)
		fl.eventually("the host is alive again", func() bool { return len(fl.callerAddresses(fl.hosts[(ix+1)%3])) == 3 })
	}
	fl.waitUntilNoMemoryHeld()
}

// TestDrainingServersGetNoRequests drains an engine and a backend server. The platform's list does not show it for an
// hour, so that hosts learn of it from the servers' responses alone. All requests must succeed, and the draining engine
// must run none of them.
func TestDrainingServersGetNoRequests(t *testing.T) {
	fl := startFleet(t, fleetConfig{hosts: 3, engines: 3, servers: 2, engineFlags: []string{"--speed", "20"}, platformFlags: []string{"--list-lag", "1h"}})
	assert.NilError(t, streamAndVerify(fl.hosts[0].address, "acme", "before", 500))
	fl.put(fl.engines[0], "/standin/drain?on=true", nil)
	fl.put(fl.servers[0], "/standin/drain?on=true", nil)
	var ledgerBefore []engine.LedgerEntry
	fl.getJSON(fl.engines[0], "/standin/ledger", &ledgerBefore)
	for ix := range 12 {
		assert.NilError(t, streamAndVerify(fl.hosts[ix%3].address, "acme", fmt.Sprintf("after %d", ix), 500))
		rs := fl.send(http.MethodPost, fl.hosts[ix%3].address, "/v1/services/"+bookingService+"/x", "acme", nil, nil)
		assert.Equal(t, rs.status, http.StatusOK, rs.body)
	}
	var ledgerAfter []engine.LedgerEntry
	fl.getJSON(fl.engines[0], "/standin/ledger", &ledgerAfter)
	assert.Equal(t, len(ledgerAfter), len(ledgerBefore))
}

// TestConcurrentPublishing has operators publish different lists at all hosts, based on the same revision, while the
// platform loses the response to one append. Exactly one must be accepted, the others must be told which revision won,
// and that revision must come into force at all hosts.
func TestConcurrentPublishing(t *testing.T) {
	fl := startFleet(t, fleetConfig{hosts: 3})
	fl.setFault(fl.platform, fault.Fault{DropAnswers: 1, Match: "POST /log/Configuration"})
	clients := make([]*operator.Client, len(fl.hosts))
	for ix, host := range fl.hosts {
		clients[ix] = operator.NewClient("http://" + host.operatorAddress)
	}
	shown, err := clients[0].Show(context.Background(), lists.Organisations)
	assert.NilError(t, err)
	publications := make([]operatorprotocol.PublishResponse, len(clients))
	errs := make([]error, len(clients))
	var group sync.WaitGroup
	for ix, client := range clients {
		group.Go(func() {
			publications[ix], errs[ix] = client.Publish(context.Background(), lists.Organisations, operatorprotocol.PublishRequest{
				Base: shown.Revision, Text: organisationList("acme", "zenith", fmt.Sprintf("org-%d", ix)), Operator: fmt.Sprint(ix),
			})
		})
	}
	group.Wait()
	var winningRevision id.Offset
	accepted := 0
	for ix, publication := range publications {
		assert.NilError(t, errs[ix])
		if publication.Accepted {
			accepted++
			winningRevision = publication.Revision
		}
	}
	assert.Equal(t, accepted, 1)
	for _, publication := range publications {
		if !publication.Accepted {
			assert.Equal(t, publication.Winner, winningRevision, publication.Problem)
		}
	}
	for ix, client := range clients {
		fl.eventually("revision in force at host "+fl.hosts[ix].name, func() bool {
			shown, err := client.Show(context.Background(), lists.Organisations)
			return err == nil && shown.Revision == winningRevision
		})
	}
}

// TestHostStartsWhilePlatformIsDown starts hosts after the platform has been killed. A host that reaches other hosts
// must get the current lists from them and serve requests. A host without seeds cannot, and must refuse requests.
func TestHostStartsWhilePlatformIsDown(t *testing.T) {
	fl := startFleet(t, fleetConfig{hosts: 2, engines: 2, engineFlags: []string{"--speed", "20"}})
	published := fl.publish(lists.Organisations, organisationList("acme", "zenith", "latest"))
	fl.eventually("revision in force", func() bool {
		shown, err := operator.NewClient("http://"+fl.hosts[1].operatorAddress).Show(context.Background(), lists.Organisations)
		return err == nil && shown.Revision == published.Revision
	})
	fl.kill(fl.platform)
	newHost := fl.startHost("accra-c-1", "")
	fl.waitUntilReady(newHost)
	assert.NilError(t, streamAndVerify(newHost.address, "latest", "from a fresh host", 500))

	hostWithoutSeeds := fl.startHostWithoutSeeds("lone-1")
	status, err := operator.NewClient("http://" + hostWithoutSeeds.operatorAddress).Status(context.Background())
	assert.NilError(t, err)
	assert.Assert(t, status.NotReady != "")
	rs := fl.send(http.MethodPost, hostWithoutSeeds.address, "/v1/chat/completions", "acme", chatRequestBody("x", 10, false), nil)
	assert.Equal(t, rs.status, http.StatusServiceUnavailable)
	assert.Assert(t, cmp.Contains(rs.body, "not_ready"))
}

// startHostWithoutSeeds starts a host that knows no other host, and does not add it to the fleet.
func (fl *fleet) startHostWithoutSeeds(name string) *process {
	savedSeeds, savedHosts := fl.peerSeeds, fl.hosts
	fl.peerSeeds = nil
	host := fl.startHost(name, "")
	fl.peerSeeds, fl.hosts = savedSeeds, savedHosts
	return host
}

// TestRequestThatCrashesEngines sends a request that crashes each engine that runs it. It must be quarantined after two
// crashes, unrelated requests on the same engines must succeed, and a host that starts after all others were killed
// must read the quarantine decision from the platform's log.
func TestRequestThatCrashesEngines(t *testing.T) {
	fl := startFleet(t, fleetConfig{hosts: 3, engines: 5, engineFlags: []string{"--crash-mark", "POISON", "--crash-after", "100ms"}})
	unrelated := make(chan error, 8)
	for ix := range cap(unrelated) {
		go func() {
			unrelated <- streamAndVerify(fl.hosts[ix%3].address, "zenith", fmt.Sprintf("innocent %d with a long answer", ix), 2000)
		}()
	}
	fl.engineHoldingMemory()
	body := chatRequestBody("POISON", 500, false)
	for ix := range 6 {
		rs := fl.send(http.MethodPost, fl.hosts[ix%3].address, "/v1/chat/completions", "acme", body, nil)
		assert.NilError(t, rs.err)
		assert.Assert(t, rs.status >= http.StatusBadRequest, rs.body)
		if ix > 0 {
			assert.Assert(t, cmp.Contains(rs.body, "crashes_engines"))
		}
	}
	for range cap(unrelated) {
		assert.NilError(t, <-unrelated)
	}
	assert.Equal(t, fl.countExited(fl.engines), 2)
	assert.NilError(t, streamAndVerify(fl.hosts[0].address, "acme", "harmless", 500))

	for _, host := range fl.hosts {
		fl.kill(host)
	}
	fl.hosts, fl.peerSeeds = nil, nil
	newHost := fl.startHost("accra-a-2", "")
	fl.waitUntilReady(newHost)
	fl.eventually("the quarantine decision is read from the log", func() bool {
		rs := fl.send(http.MethodPost, newHost.address, "/v1/chat/completions", "acme", body, nil)
		return strings.Contains(rs.body, "crashes_engines")
	})
	assert.Equal(t, fl.countExited(fl.engines), 2)
}

// countExited returns how many of the programs have ended. It waits up to 10 ms for the end of each.
func (fl *fleet) countExited(processes []*process) int {
	ended := 0
	for _, pr := range processes {
		select {
		case <-pr.exited:
			ended++
		case <-time.After(10 * time.Millisecond):
		}
	}
	return ended
}
