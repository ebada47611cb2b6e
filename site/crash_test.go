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
	// mark is held by requests that crash servers.
	mark = "POISON"
	// contactTime is the users' bound on the time in which hosts agree, convictingCrashes the crashes after which it begins, and
	// lateRetries their bound on what is sent after it.
	contactTime       = 3 * time.Second
	convictingCrashes = 3
	lateRetries       = 3
)

// crashing starts servers that requests with the mark crash, and some hosts.
func (wd *world) crashing(crash standin.Crash, count int) []*host {
	crash.Marker = mark
	crash.OnRestarted = wd.store.ListServer
	for number := range 5 {
		wd.server(fmt.Sprint("book-", number), "books").CrashOnMarkedRequests(crash)
		wd.server(fmt.Sprint("engine-", number), "models").CrashOnMarkedRequests(crash)
	}
	wd.publish()
	hosts := []*host{wd.host("host-1", true)}
	var seeds []string
	if !wd.cutOff {
		seeds = []string{hosts[0].settings.Host.PeerAddress}
	}
	for number := 2; number <= count; number++ {
		hosts = append(hosts, wd.host(fmt.Sprint("host-", number), true, seeds...))
	}
	return hosts
}

// crashes returns when servers crashed, the first crash first.
func (wd *world) crashes() []time.Time {
	var times []time.Time
	for _, sv := range wd.servers {
		times = append(times, sv.CrashTimes()...)
	}
	slices.SortFunc(times, time.Time.Compare)
	return times
}

// sinceConvicting returns the time since the crash that convicts; zero before.
func (wd *world) sinceConvicting() time.Duration {
	times := wd.crashes()
	if len(times) < convictingCrashes {
		return 0
	}
	return time.Since(times[convictingCrashes-1])
}

func never() bool { return false }

// lateRuns returns the number of marked requests that servers were sent longer than the bound after the crash that convicts.
func (wd *world) lateRuns() int {
	times := wd.crashes()
	if len(times) < convictingCrashes {
		return 0
	}
	late := 0
	for _, sv := range wd.servers {
		for _, run := range sv.ExecutedRequests() {
			if strings.Contains(run.Body+run.Target, mark) && run.StartedAt.Sub(times[convictingCrashes-1]) > contactTime {
				late++
			}
		}
	}
	return late
}

// callers of marked requests, by the way to the servers that they crash.
var callers = []struct {
	name string
	call func(hs *host, attempt string) answer
}{
	{"a plain request that may be repeated", func(hs *host, attempt string) answer { return hs.get("/read/"+mark, attempt) }},
	{"a plain request that may not be repeated", func(hs *host, attempt string) answer {
		return hs.call(context.Background(), http.MethodPost, "/order/x", attempt, mark)
	}},
	{"a stream", func(hs *host, attempt string) answer {
		return hs.call(context.Background(), http.MethodPost, "/chat/x", attempt, mark, "X-Token-Count", "2000,255")
	}},
}

// repeat sends a request to the hosts in turn for a time, and as long as it is to go on, but not without end.
func repeat(hosts []*host, name string, span time.Duration, goOn func() bool, call func(*host, string) answer) answer {
	var got answer
	for began, number := time.Now(), 0; time.Since(began) < span || goOn() && time.Since(began) < 2*patience; number++ {
		got = call(hosts[number%len(hosts)], fmt.Sprint(name, "-", number))
		time.Sleep(40 * time.Millisecond)
	}
	return got
}

// TestRequestThatCrashesServersIsRefused has a request come again and again, at any host, that crashes each server that
// begins to run it. No host sends it on once the hosts had time to agree.
func TestRequestThatCrashesServersIsRefused(t *testing.T) {
	t.Parallel()
	for _, down := range []struct {
		name  string
		crash standin.Crash
	}{
		{"back after a time", standin.Crash{Downtime: 400 * time.Millisecond}},
		{"back at once", standin.Crash{Downtime: time.Millisecond}},
		{"dark", standin.Crash{Downtime: 2 * time.Second, HangsWhileDown: true}},
	} {
		for _, cl := range callers {
			t.Run(cl.name+", "+down.name, func(t *testing.T) {
				t.Parallel()
				wd := newWorld(t)
				hosts := wd.crashing(down.crash, 3)
				got := repeat(hosts, "a", contactTime, func() bool { return wd.sinceConvicting() < 2*contactTime }, cl.call)
				assert.NilError(t, got.err)
				assert.Equal(t, got.status, http.StatusServiceUnavailable)
				assert.Assert(t, wd.lateRuns() <= lateRetries, "%d late retries, %d crashes", wd.lateRuns(), len(wd.crashes()))
				for number, hs := range hosts {
					wd.eventually(func() bool { return hs.get("/read/x", fmt.Sprint("read-", number)).status == http.StatusOK })
					wd.eventually(func() bool { return hs.chat(fmt.Sprint("chat-", number), 1000).status == http.StatusOK })
				}
			})
		}
	}
}

// TestIsolatedHostsAgreeOnQuarantine has hosts that reach the store but not each other refuse a request that crashed servers at all of
// them together.
func TestIsolatedHostsAgreeOnQuarantine(t *testing.T) {
	t.Parallel()
	for _, cl := range callers {
		t.Run(cl.name, func(t *testing.T) {
			t.Parallel()
			wd := newWorld(t)
			wd.cutOff = true
			hosts := wd.crashing(standin.Crash{Downtime: 400 * time.Millisecond}, 6)
			for began, number := time.Now(), 0; wd.sinceConvicting() < 2*contactTime && time.Since(began) < 2*patience; number++ {
				cl.call(hosts[number%len(hosts)], fmt.Sprint("a-", number))
				time.Sleep(300 * time.Millisecond)
			}
			assert.Assert(t, wd.lateRuns() <= lateRetries, "%d late retries, %d crashes", wd.lateRuns(), len(wd.crashes()))
			assert.Equal(t, cl.call(hosts[0], "last").status, http.StatusServiceUnavailable)
		})
	}
}

// TestQuarantineSurvivesRestartOfAllHosts ends all hosts and starts others, twice: they refuse what crashed servers before.
func TestQuarantineSurvivesRestartOfAllHosts(t *testing.T) {
	t.Parallel()
	for _, cl := range callers {
		t.Run(cl.name, func(t *testing.T) {
			t.Parallel()
			wd := newWorld(t)
			hosts := wd.crashing(standin.Crash{Downtime: 200 * time.Millisecond}, 3)
			repeat(hosts, "a", contactTime, func() bool { return wd.sinceConvicting() < contactTime }, cl.call)
			for round := range 2 {
				for _, hs := range hosts {
					hs.stop()
					hs.ended <- <-hs.ended
				}
				hosts = []*host{wd.host(fmt.Sprint("fresh-", round), true), wd.host(fmt.Sprint("new-", round), true)}
				time.Sleep(contactTime)
				repeat(hosts, fmt.Sprint("b-", round), contactTime, never, cl.call)
			}
			assert.Assert(t, wd.lateRuns() <= lateRetries, "%d late retries, %d crashes", wd.lateRuns(), len(wd.crashes()))
		})
	}
}

// TestUnrelatedRequestsAreNotQuarantined serves a stream whose engines crash twice by themselves, and requests that ran beside one
// that crashes its server.
func TestUnrelatedRequestsAreNotQuarantined(t *testing.T) {
	t.Parallel()
	t.Run("two crashes", func(t *testing.T) {
		t.Parallel()
		wd := newWorld(t)
		hosts := wd.crashing(standin.Crash{Downtime: 300 * time.Millisecond}, 3)
		for _, sv := range wd.servers {
			sv.SetEventInterval(100 * time.Millisecond)
		}
		for round := range 2 {
			ended := make(chan answer, 1)
			go func() { ended <- hosts[round].chat(fmt.Sprint("a-", round), 1000) }()
			crashed := false
			wd.eventually(func() bool {
				for _, sv := range wd.servers {
					for _, run := range sv.ExecutedRequests() {
						if !crashed && run.Attempt == fmt.Sprint("a-", round) && !run.Completed {
							sv.Crash(standin.Crash{Downtime: 300 * time.Millisecond, OnRestarted: wd.store.ListServer})
							crashed = true
						}
					}
				}
				return crashed
			})
			<-ended
		}
		for number, hs := range hosts {
			got := hs.chat(fmt.Sprint("b-", number), 1000)
			assert.NilError(t, got.err)
			assert.Equal(t, got.status, http.StatusOK, got.body)
		}
	})
	for _, cl := range callers {
		t.Run("beside "+cl.name, func(t *testing.T) {
			t.Parallel()
			wd := newWorld(t)
			hosts := wd.crashing(standin.Crash{Downtime: 100 * time.Millisecond}, 3)
			for _, sv := range wd.servers {
				sv.WorkDuration = 30 * time.Millisecond
				sv.SetEventInterval(10 * time.Millisecond)
			}
			ended := make(chan struct{})
			go func() {
				defer close(ended)
				repeat(hosts, "a", contactTime, never, cl.call)
			}()
			// The same innocent contents come again and again beside the request that crashes servers.
			refused := 0
			for number, running := 0, true; running; number++ {
				hs := hosts[number%len(hosts)]
				for _, got := range []answer{hs.get("/read/x", fmt.Sprint("read-", number)), hs.chat(fmt.Sprint("chat-", number), 1000)} {
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
			assert.Equal(t, refused, 0, "innocent requests were refused")
			for number, hs := range hosts {
				wd.eventually(func() bool { return hs.get("/read/x", fmt.Sprint("last-read-", number)).status == http.StatusOK })
				assert.Equal(t, hs.chat(fmt.Sprint("last-chat-", number), 1000).status, http.StatusOK)
			}
		})
	}
}
