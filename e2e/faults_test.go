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

// waitIdle waits until no engine holds memory.
func (fl *fleet) waitIdle() {
	fl.t.Helper()
	fl.eventually("no engine holds memory", func() bool {
		for _, en := range fl.engines {
			if len(fl.held(en)) > 0 {
				return false
			}
		}
		return true
	})
}

func TestEngineFrozenMidStream(t *testing.T) {
	fl := startFleet(t, fleetConfig{hosts: 3, engines: 3})
	done := make(chan error, 1)
	go func() { done <- askStream(fl.hosts[0].address, "acme", "a question with a long answer 7", 500) }()
	frozen := fl.holder()
	fl.signal(frozen, syscall.SIGSTOP)
	assert.NilError(t, <-done)
	fl.signal(frozen, syscall.SIGCONT)
	fl.waitIdle()
}

func TestEveryEngineFrozen(t *testing.T) {
	fl := startFleet(t, fleetConfig{hosts: 3, engines: 2, plan: strings.Replace(defaultPlan, "30s", "3s", 1)})
	assert.NilError(t, askStream(fl.hosts[0].address, "acme", "before", 500))
	for _, en := range fl.engines {
		fl.signal(en, syscall.SIGSTOP)
	}
	rs := fl.send(http.MethodPost, fl.hosts[0].address, "/v1/chat/completions", "acme", chatBody("frozen", 500, false), nil)
	assert.NilError(t, rs.err)
	assert.Assert(t, rs.status == http.StatusServiceUnavailable || rs.status == http.StatusGatewayTimeout, rs.body)
	assert.Assert(t, rs.header.Get("Retry-After") != "", rs.body)
	for _, en := range fl.engines {
		fl.signal(en, syscall.SIGCONT)
	}
	fl.waitIdle()
}

func TestMemoryReleasedAfterCallersLeaveAndHostIsKilled(t *testing.T) {
	fl := startFleet(t, fleetConfig{hosts: 3, engines: 4})
	ctx, cancel := context.WithCancel(context.Background())
	for ix := range 6 {
		length := []int{500, 60_000, 900_000}[ix%3]
		go func() {
			rq, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+fl.hosts[ix%3].address+"/v1/chat/completions",
				strings.NewReader(string(chatBody(fmt.Sprintf("abandoned %d", ix), length, true))))
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
	fl.holder()
	fl.fault(fl.engines[0], fault.Fault{DropAnswers: 3, Match: http.MethodDelete})
	fl.kill(fl.hosts[1])
	cancel()
	fl.waitIdle()
	assert.NilError(t, askStream(fl.hosts[0].address, "acme", "afterwards", 60_000))
}

func TestPlannedStopInterruptsNoRequest(t *testing.T) {
	fl := startFleet(t, fleetConfig{hosts: 3, engines: 4, engineFlags: []string{"--speed", "2"}})
	stop := make(chan struct{})
	var group sync.WaitGroup
	var mutex sync.Mutex
	var failures []error
	served := 0
	for worker := range 4 {
		group.Go(func() {
			for ix := 0; ; ix++ {
				select {
				case <-stop:
					return
				default:
				}
				err := fl.askCurrent(worker, ix)
				mutex.Lock()
				served++
				if err != nil {
					failures = append(failures, err)
				}
				mutex.Unlock()
			}
		})
	}
	for ix, host := range fl.hosts[:2] {
		// A prompt that takes longer than callers keep the addresses.
		long := make(chan answer, 1)
		body := chatBody(fmt.Sprintf("across the stop %d", ix), 900_000, false)
		go func() { long <- fl.send(http.MethodPost, host.address, "/v1/chat/completions", "zenith", body, nil) }()
		fl.eventually("the long request has begun", func() bool { return fl.holdsAtLeast(200_000) })
		fl.signal(host, syscall.SIGTERM)
		<-host.exited
		assert.Equal(t, host.cmd.ProcessState.ExitCode(), 0)
		rs := <-long
		assert.NilError(t, rs.err)
		assert.Equal(t, rs.status, http.StatusOK, rs.body)
		assert.Assert(t, cmp.Contains(rs.body, engine.NaturalAnswerText(body)))
	}
	close(stop)
	group.Wait()
	assert.Assert(t, cmp.Len(failures, 0))
	assert.Assert(t, served > 0)
}

// holdsAtLeast reports whether one attempt holds that much memory of an engine.
func (fl *fleet) holdsAtLeast(tokens id.Tokens) bool {
	for _, en := range fl.engines {
		for _, held := range fl.held(en) {
			if held.Tokens >= tokens {
				return true
			}
		}
	}
	return false
}

// askCurrent asks the last host for addresses, keeps the answer as long as it allows and uses it for one request.
func (fl *fleet) askCurrent(worker, ix int) error {
	addresses := fl.addresses(fl.hosts[2])
	length := []int{400, 3000, 40_000}[ix%3]
	return askStream(addresses[(worker+ix)%len(addresses)], "acme", fmt.Sprintf("worker %d request %d", worker, ix), length)
}

func TestSameIdempotencyKeyAtSeveralHostsAtOnce(t *testing.T) {
	fl := startFleet(t, fleetConfig{hosts: 3, servers: 2})
	fl.fault(fl.platform, fault.Fault{DropAnswers: 2, Match: "POST /log/Claims"})
	header := map[string]string{"Idempotency-Key": uuid.Must(uuid.NewV7()).String()}
	answers := make([]answer, 6)
	var group sync.WaitGroup
	for ix := range answers {
		group.Go(func() {
			answers[ix] = fl.send(http.MethodPost, fl.hosts[ix%3].address, "/v1/services/"+booking+"/pumps", "acme", []byte("pump"), header)
		})
	}
	group.Wait()
	ran := fl.ran()
	assert.Assert(t, len(ran) <= 1, "ran %v", ran)
	finished := 0
	for _, rs := range answers {
		assert.NilError(t, rs.err)
		switch rs.header.Get("Request-Outcome") {
		case "not_run", "may_have_run":
		default:
			assert.Equal(t, rs.status, http.StatusOK, rs.body)
			finished++
		}
	}
	assert.Assert(t, finished == 0 || len(ran) == 1)
	again := fl.send(http.MethodPost, fl.hosts[1].address, "/v1/services/"+booking+"/pumps", "acme", []byte("pump"), header)
	assert.Equal(t, again.status, http.StatusOK, again.body)
	assert.Assert(t, cmp.Len(fl.ran(), 1))
}

func TestBackendServerResponseLost(t *testing.T) {
	fl := startFleet(t, fleetConfig{hosts: 2, servers: 2})
	for _, sv := range fl.servers {
		fl.fault(sv, fault.Fault{DropAnswers: 100, Match: http.MethodPost})
	}
	for _, org := range []string{"acme", "zenith"} {
		header := map[string]string{"Idempotency-Key": uuid.Must(uuid.NewV7()).String()}
		first := fl.send(http.MethodPost, fl.hosts[0].address, "/v1/services/"+booking+"/nets", org, nil, header)
		assert.Equal(t, first.header.Get("Request-Outcome"), "may_have_run", first.body)
		second := fl.send(http.MethodPost, fl.hosts[1].address, "/v1/services/"+booking+"/nets", org, nil, header)
		assert.Equal(t, second.status, http.StatusConflict, second.body)
		assert.Equal(t, second.header.Get("Request-Outcome"), "may_have_run", second.body)
	}
	assert.Assert(t, cmp.Len(fl.ran(), 2))
}

// TestHostKilledDuringBooking kills the host that has sent a booking; a repeat at another host must not run it again.
func TestHostKilledDuringBooking(t *testing.T) {
	fl := startFleet(t, fleetConfig{hosts: 3, servers: 2})
	for _, sv := range fl.servers {
		fl.fault(sv, fault.Fault{Delay: 2 * time.Second, Match: http.MethodPost})
	}
	header := map[string]string{"Idempotency-Key": uuid.Must(uuid.NewV7()).String()}
	lost := make(chan answer, 1)
	go func() {
		lost <- fl.send(http.MethodPost, fl.hosts[0].address, "/v1/services/"+booking+"/pumps", "acme", nil, header)
	}()
	fl.eventually("the claim is in the log", func() bool { return fl.claims() > 0 })
	fl.kill(fl.hosts[0])
	assert.Assert(t, (<-lost).err != nil)
	again := fl.send(http.MethodPost, fl.hosts[1].address, "/v1/services/"+booking+"/pumps", "acme", nil, header)
	assert.Equal(t, again.status, http.StatusConflict, again.body)
	assert.Equal(t, again.header.Get("Request-Outcome"), "may_have_run")
	assert.Assert(t, len(fl.ran()) <= 1)
}

// claims returns the number of records in the stream of claims.
func (fl *fleet) claims() int {
	var records platform.ReadResponse
	fl.getJSON(fl.platform, platform.LogPath+string(platform.Claims)+"?from=0", &records)
	return len(records.Records)
}

// TestEachHostFrozenInTurn freezes each host in turn; callers of the others are served on.
func TestEachHostFrozenInTurn(t *testing.T) {
	fl := startFleet(t, fleetConfig{hosts: 3, engines: 3, engineFlags: []string{"--speed", "10"}})
	for ix, frozen := range fl.hosts {
		assert.NilError(t, askStream(fl.hosts[(ix+1)%3].address, "acme", fmt.Sprintf("before %d", ix), 500))
		fl.signal(frozen, syscall.SIGSTOP)
		for step, length := range []int{500, 20_000, 500} {
			assert.NilError(t, askStream(fl.hosts[(ix+1)%3].address, "acme", fmt.Sprintf("frozen %d %d", ix, step), length))
		}
		fl.signal(frozen, syscall.SIGCONT)
		fl.eventually("the host is alive again", func() bool { return len(fl.addresses(fl.hosts[(ix+1)%3])) == 3 })
	}
	fl.waitIdle()
}

func TestDrainingServersGetNoRequests(t *testing.T) {
	fl := startFleet(t, fleetConfig{hosts: 3, engines: 3, servers: 2, engineFlags: []string{"--speed", "20"}, platformFlags: []string{"--list-lag", "1h"}})
	assert.NilError(t, askStream(fl.hosts[0].address, "acme", "before", 500))
	fl.put(fl.engines[0], "/standin/drain?on=true", nil)
	fl.put(fl.servers[0], "/standin/drain?on=true", nil)
	var before []engine.LedgerEntry
	fl.getJSON(fl.engines[0], "/standin/ledger", &before)
	for ix := range 12 {
		assert.NilError(t, askStream(fl.hosts[ix%3].address, "acme", fmt.Sprintf("after %d", ix), 500))
		rs := fl.send(http.MethodPost, fl.hosts[ix%3].address, "/v1/services/"+booking+"/x", "acme", nil, nil)
		assert.Equal(t, rs.status, http.StatusOK, rs.body)
	}
	var after []engine.LedgerEntry
	fl.getJSON(fl.engines[0], "/standin/ledger", &after)
	assert.Equal(t, len(after), len(before))
}

func TestConcurrentPublishing(t *testing.T) {
	fl := startFleet(t, fleetConfig{hosts: 3})
	fl.fault(fl.platform, fault.Fault{DropAnswers: 1, Match: "POST /log/Configuration"})
	clients := make([]*operator.Client, len(fl.hosts))
	for ix, host := range fl.hosts {
		clients[ix] = operator.NewClient("http://" + host.operator)
	}
	shown, err := clients[0].Show(context.Background(), lists.Organisations)
	assert.NilError(t, err)
	answers := make([]operatorprotocol.PublishResponse, len(clients))
	errs := make([]error, len(clients))
	var group sync.WaitGroup
	for ix, client := range clients {
		group.Go(func() {
			answers[ix], errs[ix] = client.Publish(context.Background(), lists.Organisations, operatorprotocol.PublishRequest{
				Base: shown.Revision, Text: organisations("acme", "zenith", fmt.Sprintf("org-%d", ix)), Operator: fmt.Sprint(ix),
			})
		})
	}
	group.Wait()
	var winner id.Offset
	accepted := 0
	for ix, answer := range answers {
		assert.NilError(t, errs[ix])
		if answer.Accepted {
			accepted++
			winner = answer.Revision
		}
	}
	assert.Equal(t, accepted, 1)
	for _, answer := range answers {
		if !answer.Accepted {
			assert.Equal(t, answer.Winner, winner, answer.Problem)
		}
	}
	for ix, client := range clients {
		fl.eventually("revision in force at host "+fl.hosts[ix].name, func() bool {
			shown, err := client.Show(context.Background(), lists.Organisations)
			return err == nil && shown.Revision == winner
		})
	}
}

func TestHostStartsWhilePlatformIsDown(t *testing.T) {
	fl := startFleet(t, fleetConfig{hosts: 2, engines: 2, engineFlags: []string{"--speed", "20"}})
	published := fl.publish(lists.Organisations, organisations("acme", "zenith", "latest"))
	fl.eventually("revision in force", func() bool {
		shown, err := operator.NewClient("http://"+fl.hosts[1].operator).Show(context.Background(), lists.Organisations)
		return err == nil && shown.Revision == published.Revision
	})
	fl.kill(fl.platform)
	fresh := fl.startHost("accra-c-1", "")
	fl.waitReady(fresh)
	assert.NilError(t, askStream(fresh.address, "latest", "from a fresh host", 500))

	lone := fl.startLone("lone-1")
	status, err := operator.NewClient("http://" + lone.operator).Status(context.Background())
	assert.NilError(t, err)
	assert.Assert(t, status.NotReady != "")
	rs := fl.send(http.MethodPost, lone.address, "/v1/chat/completions", "acme", chatBody("x", 10, false), nil)
	assert.Equal(t, rs.status, http.StatusServiceUnavailable)
	assert.Assert(t, cmp.Contains(rs.body, "not_ready"))
}

// startLone starts a host that knows no other.
func (fl *fleet) startLone(name string) *process {
	seeds, hosts := fl.seeds, fl.hosts
	fl.seeds = nil
	lone := fl.startHost(name, "")
	fl.seeds, fl.hosts = seeds, hosts
	return lone
}

func TestRequestThatCrashesEngines(t *testing.T) {
	fl := startFleet(t, fleetConfig{hosts: 3, engines: 5, engineFlags: []string{"--crash-mark", "POISON", "--crash-after", "100ms"}})
	innocent := make(chan error, 8)
	for ix := range cap(innocent) {
		go func() {
			innocent <- askStream(fl.hosts[ix%3].address, "zenith", fmt.Sprintf("innocent %d with a long answer", ix), 2000)
		}()
	}
	fl.holder()
	body := chatBody("POISON", 500, false)
	for ix := range 6 {
		rs := fl.send(http.MethodPost, fl.hosts[ix%3].address, "/v1/chat/completions", "acme", body, nil)
		assert.NilError(t, rs.err)
		assert.Assert(t, rs.status >= http.StatusBadRequest, rs.body)
		if ix > 0 {
			assert.Assert(t, cmp.Contains(rs.body, "crashes_engines"))
		}
	}
	for range cap(innocent) {
		assert.NilError(t, <-innocent)
	}
	assert.Equal(t, fl.exited(fl.engines), 2)
	assert.NilError(t, askStream(fl.hosts[0].address, "acme", "harmless", 500))

	for _, host := range fl.hosts {
		fl.kill(host)
	}
	fl.hosts, fl.seeds = nil, nil
	fresh := fl.startHost("accra-a-2", "")
	fl.waitReady(fresh)
	fl.eventually("the conviction is read from the log", func() bool {
		rs := fl.send(http.MethodPost, fresh.address, "/v1/chat/completions", "acme", body, nil)
		return strings.Contains(rs.body, "crashes_engines")
	})
	assert.Equal(t, fl.exited(fl.engines), 2)
}

// exited returns the number of programs that have ended.
func (fl *fleet) exited(processes []*process) int {
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
