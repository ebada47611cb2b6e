package site_test

import (
	"context"
	"fmt"
	"net/http"
	"slices"
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	standin "github.com/hibiscuslever/hibiscuslever/standin/site"
)

const (
	// crashMark is in the body or the target of requests that crash servers.
	crashMark = "POISON"
	// agreementTime is the users' limit for the time that hosts may take to agree on a quarantine. It starts at the crash
	// that reaches crashLimit. After it, at most maxLateRetries more requests may be sent to servers.
	agreementTime  = 3 * time.Second
	crashLimit     = 3
	maxLateRetries = 3
)

// startWithCrashingServers starts servers that crash when they run a request with crashMark, and a number of hosts.
func (env *testEnv) startWithCrashingServers(crash standin.Crash, hostCount int) []*testHost {
	crash.Marker = crashMark
	crash.OnRestarted = env.store.ListServer
	for number := range 5 {
		env.addServer(fmt.Sprint("book-", number), "books").CrashOnMarkedRequests(crash)
		env.addServer(fmt.Sprint("engine-", number), "models").CrashOnMarkedRequests(crash)
	}
	env.publishTable()
	hosts := []*testHost{env.startHost("host-1", true)}
	var seeds []string
	if !env.unreachablePeers {
		seeds = []string{hosts[0].settings.Host.PeerAddress}
	}
	for number := 2; number <= hostCount; number++ {
		hosts = append(hosts, env.startHost(fmt.Sprint("host-", number), true, seeds...))
	}
	return hosts
}

// crashTimes returns the times of all crashes of servers in ascending order.
func (env *testEnv) crashTimes() []time.Time {
	var times []time.Time
	for _, server := range env.servers {
		times = append(times, server.CrashTimes()...)
	}
	slices.SortFunc(times, time.Time.Compare)
	return times
}

// timeSinceCrash returns the time since the crash with the given number, from 1, or zero if there were fewer crashes.
func (env *testEnv) timeSinceCrash(number int) time.Duration {
	times := env.crashTimes()
	if len(times) < number {
		return 0
	}
	return time.Since(times[number-1])
}

// timeSinceCrashLimit returns the time since the crash that reached crashLimit, or zero if there were fewer crashes.
func (env *testEnv) timeSinceCrashLimit() time.Duration { return env.timeSinceCrash(crashLimit) }

// never is a shouldContinue function for sendRepeatedly that does not extend the duration.
func never() bool { return false }

// lateRuns returns the number of requests with crashMark that servers began to run more than agreementTime after the
// crash that reached crashLimit.
func (env *testEnv) lateRuns() int {
	return env.runsAfterCrash(crashLimit, func(run standin.ExecutedRequest) bool { return strings.Contains(run.Body+run.Target, crashMark) })
}

// runsAfterCrash returns the number of matching requests that servers began to run more than agreementTime after the
// crash with the given number, from 1.
func (env *testEnv) runsAfterCrash(number int, matches func(standin.ExecutedRequest) bool) int {
	times := env.crashTimes()
	if len(times) < number {
		return 0
	}
	late := 0
	for _, server := range env.servers {
		for _, run := range server.ExecutedRequests() {
			if matches(run) && run.StartedAt.Sub(times[number-1]) > agreementTime {
				late++
			}
		}
	}
	return late
}

// crashingRequests are the kinds of requests with crashMark. Each kind takes a different path to the servers that it
// crashes.
var crashingRequests = []struct {
	name string
	send func(host *testHost, attemptID string) response
}{
	{"idempotent request", func(host *testHost, attemptID string) response { return host.get("/read/"+crashMark, attemptID) }},
	{"non-idempotent request", func(host *testHost, attemptID string) response {
		return host.sendRequest(context.Background(), http.MethodPost, "/order/x", attemptID, crashMark)
	}},
	{"stream", func(host *testHost, attemptID string) response {
		return host.sendRequest(context.Background(), http.MethodPost, "/chat/x", attemptID, crashMark, "X-Token-Count", "2000,255")
	}},
}

// sendRepeatedly sends a request to the hosts in turn and returns the last response. It continues for the given
// duration, and after that while shouldContinue returns true, at most until twice the wait limit has passed.
func sendRepeatedly(hosts []*testHost, idPrefix string, duration time.Duration, shouldContinue func() bool, send func(*testHost, string) response) response {
	var last response
	for startedAt, number := time.Now(), 0; time.Since(startedAt) < duration || shouldContinue() && time.Since(startedAt) < 2*waitLimit; number++ {
		last = send(hosts[number%len(hosts)], fmt.Sprint(idPrefix, "-", number))
		time.Sleep(40 * time.Millisecond)
	}
	return last
}

// TestRequestThatCrashesServersIsRefused sends a request that crashes each server which begins to run it to all hosts
// again and again. Once the hosts had time to agree, no host may send it to a server, and other requests must still be
// served.
func TestRequestThatCrashesServersIsRefused(t *testing.T) {
	t.Parallel()
	for _, crashCase := range []struct {
		name  string
		crash standin.Crash
	}{
		{"server restarts after 400 ms", standin.Crash{Downtime: 400 * time.Millisecond}},
		{"server restarts at once", standin.Crash{Downtime: time.Millisecond}},
		{"server is unresponsive until it restarts", standin.Crash{Downtime: 2 * time.Second, HangsWhileDown: true}},
	} {
		for _, requestKind := range crashingRequests {
			t.Run(requestKind.name+", "+crashCase.name, func(t *testing.T) {
				t.Parallel()
				env := newTestEnv(t)
				hosts := env.startWithCrashingServers(crashCase.crash, 3)
				got := sendRepeatedly(hosts, "a", agreementTime, func() bool { return env.timeSinceCrashLimit() < 2*agreementTime }, requestKind.send)
				assert.NilError(t, got.err)
				assert.Equal(t, got.status, http.StatusServiceUnavailable)
				assert.Assert(t, env.lateRuns() <= maxLateRetries, "%d late retries, %d crashes", env.lateRuns(), len(env.crashTimes()))
				for number, host := range hosts {
					env.eventually(func() bool { return host.get("/read/x", fmt.Sprint("read-", number)).status == http.StatusOK })
					env.eventually(func() bool { return host.sendPrompt(fmt.Sprint("chat-", number), 1000).status == http.StatusOK })
				}
			})
		}
	}
}

// TestIsolatedHostsAgreeOnQuarantine checks that hosts which reach the store but not each other refuse a request after
// it has crashed servers at all of them together.
func TestIsolatedHostsAgreeOnQuarantine(t *testing.T) {
	t.Parallel()
	for _, requestKind := range crashingRequests {
		t.Run(requestKind.name, func(t *testing.T) {
			t.Parallel()
			env := newTestEnv(t)
			env.unreachablePeers = true
			hosts := env.startWithCrashingServers(standin.Crash{Downtime: 400 * time.Millisecond}, 6)
			for startedAt, number := time.Now(), 0; env.timeSinceCrashLimit() < 2*agreementTime && time.Since(startedAt) < 2*waitLimit; number++ {
				requestKind.send(hosts[number%len(hosts)], fmt.Sprint("a-", number))
				time.Sleep(300 * time.Millisecond)
			}
			assert.Assert(t, env.lateRuns() <= maxLateRetries, "%d late retries, %d crashes", env.lateRuns(), len(env.crashTimes()))
			assert.Equal(t, requestKind.send(hosts[0], "last").status, http.StatusServiceUnavailable)
		})
	}
}

// TestQuarantineSurvivesRestartOfAllHosts replaces all hosts by new ones, twice. The new hosts must refuse the request
// that crashed servers before they started.
func TestQuarantineSurvivesRestartOfAllHosts(t *testing.T) {
	t.Parallel()
	for _, requestKind := range crashingRequests {
		t.Run(requestKind.name, func(t *testing.T) {
			t.Parallel()
			env := newTestEnv(t)
			hosts := env.startWithCrashingServers(standin.Crash{Downtime: 200 * time.Millisecond}, 3)
			sendRepeatedly(hosts, "a", agreementTime, func() bool { return env.timeSinceCrashLimit() < agreementTime }, requestKind.send)
			for round := range 2 {
				for _, host := range hosts {
					host.stop()
					host.runEnded <- <-host.runEnded
				}
				hosts = []*testHost{env.startHost(fmt.Sprint("fresh-", round), true), env.startHost(fmt.Sprint("new-", round), true)}
				time.Sleep(agreementTime)
				sendRepeatedly(hosts, fmt.Sprint("b-", round), agreementTime, never, requestKind.send)
			}
			assert.Assert(t, env.lateRuns() <= maxLateRetries, "%d late retries, %d crashes", env.lateRuns(), len(env.crashTimes()))
		})
	}
}

// TestRestartOfAllHostsForgetsFirstCrash replaces all hosts after a request has crashed its first server. The new hosts must
// refuse the request after its third crash.
func TestRestartOfAllHostsForgetsFirstCrash(t *testing.T) {
	t.Parallel()
	for _, order := range []string{"at once", "one after another"} {
		for _, requestKind := range crashingRequests {
			t.Run(requestKind.name+", "+order, func(t *testing.T) {
				t.Parallel()
				env := newTestEnv(t)
				for _, route := range env.routes {
					route["MaxAttempts"] = 1
				}
				hosts := env.startWithCrashingServers(standin.Crash{Downtime: 200 * time.Millisecond}, 3)
				time.Sleep(agreementTime)
				crashOnce := func(host *testHost, number int) {
					requestKind.send(host, fmt.Sprint("a-", number))
					env.eventually(func() bool { return len(env.crashTimes()) == number })
					time.Sleep(agreementTime)
				}
				crashOnce(hosts[0], 1)
				hosts = env.replaceHosts(hosts, order == "at once")
				time.Sleep(agreementTime)
				for number := 2; number <= crashLimit; number++ {
					crashOnce(hosts[number%len(hosts)], number)
				}
				for number, host := range hosts {
					got := requestKind.send(host, fmt.Sprint("b-", number))
					assert.NilError(t, got.err)
					assert.Equal(t, got.status, http.StatusServiceUnavailable)
				}
				assert.Equal(t, len(env.crashTimes()), crashLimit)
			})
		}
	}
}

// replaceHosts stops hosts and starts as many others, all at once or one after another.
func (env *testEnv) replaceHosts(hosts []*testHost, atOnce bool) []*testHost {
	var started []*testHost
	stop := func(host *testHost) {
		host.stop()
		host.runEnded <- <-host.runEnded
	}
	start := func(seeds ...string) {
		started = append(started, env.startHost(fmt.Sprint("next-", len(started)), true, seeds...))
	}
	if atOnce {
		for _, host := range hosts {
			stop(host)
		}
		start()
		for range hosts[1:] {
			start(started[0].settings.Host.PeerAddress)
		}
		return started
	}
	for number, host := range hosts {
		start(hosts[min(number+1, len(hosts)-1)].settings.Host.PeerAddress)
		stop(host)
		time.Sleep(agreementTime / 3)
	}
	return started
}

// TestRestartOfAllHostsRevivesClearedCrash checks that a crash after which the content ran to its end does not count against
// it on the hosts that are started next.
func TestRestartOfAllHostsRevivesClearedCrash(t *testing.T) {
	t.Parallel()
	env := newTestEnv(t)
	for _, route := range env.routes {
		route["MaxAttempts"] = 1
	}
	hosts := env.startWithCrashingServers(standin.Crash{Downtime: 200 * time.Millisecond}, 3)
	for _, server := range env.servers {
		server.WorkDuration = 200 * time.Millisecond
	}
	time.Sleep(agreementTime)
	crashUnder := func(host *testHost, attemptID string) {
		ended := make(chan response, 1)
		go func() {
			ended <- host.sendRequest(context.Background(), http.MethodPost, "/order/x", attemptID, "innocent")
		}()
		crashed := false
		env.eventually(func() bool {
			for _, server := range env.servers {
				for _, run := range server.ExecutedRequests() {
					if !crashed && run.Attempt == attemptID && !run.Completed {
						server.Crash(standin.Crash{Downtime: 200 * time.Millisecond, OnRestarted: env.store.ListServer})
						crashed = true
					}
				}
			}
			return crashed
		})
		<-ended
		time.Sleep(agreementTime)
	}
	crashUnder(hosts[0], "a-1")
	completed := hosts[0].sendRequest(context.Background(), http.MethodPost, "/order/x", "a-2", "innocent")
	assert.Equal(t, completed.status, http.StatusOK, completed.body)
	time.Sleep(agreementTime)
	hosts = env.replaceHosts(hosts, true)
	time.Sleep(agreementTime)
	crashUnder(hosts[0], "b-1")
	crashUnder(hosts[1], "b-2")
	for number, host := range hosts {
		got := host.sendRequest(context.Background(), http.MethodPost, "/order/x", fmt.Sprint("c-", number), "innocent")
		assert.NilError(t, got.err)
		assert.Equal(t, got.status, http.StatusOK, got.body)
	}
}

// TestUnrelatedRequestsAreNotQuarantined checks that a request is not refused because its engines crashed twice for
// other reasons, and that requests are not refused because they ran on servers that another request crashed.
func TestUnrelatedRequestsAreNotQuarantined(t *testing.T) {
	t.Parallel()
	t.Run("two unrelated crashes", func(t *testing.T) {
		t.Parallel()
		env := newTestEnv(t)
		hosts := env.startWithCrashingServers(standin.Crash{Downtime: 300 * time.Millisecond}, 3)
		for _, server := range env.servers {
			server.SetEventInterval(100 * time.Millisecond)
		}
		for round := range 2 {
			ended := make(chan response, 1)
			go func() { ended <- hosts[round].sendPrompt(fmt.Sprint("a-", round), 1000) }()
			crashed := false
			env.eventually(func() bool {
				for _, server := range env.servers {
					for _, run := range server.ExecutedRequests() {
						if !crashed && run.Attempt == fmt.Sprint("a-", round) && !run.Completed {
							server.Crash(standin.Crash{Downtime: 300 * time.Millisecond, OnRestarted: env.store.ListServer})
							crashed = true
						}
					}
				}
				return crashed
			})
			<-ended
		}
		for number, host := range hosts {
			got := host.sendPrompt(fmt.Sprint("b-", number), 1000)
			assert.NilError(t, got.err)
			assert.Equal(t, got.status, http.StatusOK, got.body)
		}
	})
	for _, requestKind := range crashingRequests {
		t.Run("requests that run beside a crashing "+requestKind.name, func(t *testing.T) {
			t.Parallel()
			env := newTestEnv(t)
			hosts := env.startWithCrashingServers(standin.Crash{Downtime: 100 * time.Millisecond}, 3)
			for _, server := range env.servers {
				server.WorkDuration = 30 * time.Millisecond
				server.SetEventInterval(10 * time.Millisecond)
			}
			ended := make(chan struct{})
			go func() {
				defer close(ended)
				sendRepeatedly(hosts, "a", agreementTime, never, requestKind.send)
			}()
			// Requests with the same unrelated contents are repeated while the other request crashes servers.
			refused := 0
			for number, running := 0, true; running; number++ {
				host := hosts[number%len(hosts)]
				for _, got := range []response{host.get("/read/x", fmt.Sprint("read-", number)), host.sendPrompt(fmt.Sprint("chat-", number), 1000)} {
					if strings.Contains(got.body, "has crashed") {
						refused++
					}
				}
				select {
				case <-ended:
					running = false
				default:
				}
			}
			assert.Equal(t, refused, 0, "unrelated requests were refused")
			for number, host := range hosts {
				env.eventually(func() bool { return host.get("/read/x", fmt.Sprint("last-read-", number)).status == http.StatusOK })
				assert.Equal(t, host.sendPrompt(fmt.Sprint("last-chat-", number), 1000).status, http.StatusOK)
			}
		})
	}
}
