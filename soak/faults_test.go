package soak

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"strings"
	"syscall"
	"time"

	standin "github.com/hibiscuslever/hibiscuslever/standin/site"
)

// scheduledFault is one fault: it begins at a time after the start and is undone after another.
type scheduledFault struct {
	startAfter, duration time.Duration
	description     string
	inject, revert func()
}

// faultMix says which faults are drawn, and how many series of them a second.
type faultMix struct {
	seriesPerSecond int
	faultGenerators    []func(wd *testbed, random *rand.Rand) scheduledFault
	// sendCrashingRequests has requests come again and again that crash each server that runs them.
	sendCrashingRequests bool
}

// faultMixes are the mixes by the names that testdata/seeds.txt uses. What a seed draws depends on each of them.
var faultMixes = map[string]faultMix{
	"Sparse": {seriesPerSecond: 1, faultGenerators: []func(wd *testbed, random *rand.Rand) scheduledFault{
		terminateHost, killHost, suspendHost, killAllHosts, disruptLink, disruptLink, failStore, failServer, replaceServer, crashServerAndReuseAddress, publishDesiredStates, reloadSettings,
	}},
	// Dense has servers, which can fail in many ways, fail more often.
	"Dense": {seriesPerSecond: 2, faultGenerators: []func(wd *testbed, random *rand.Rand) scheduledFault{
		terminateHost, killHost, suspendHost, killAllHosts, disruptLink, disruptLink, failStore, failServer, failServer, failServer, replaceServer,
		crashServerAndReuseAddress, publishDesiredStates, reloadSettings,
	}},
	// Words adds servers that say something of themselves, send bytes without end, or stand still.
	"Words": {seriesPerSecond: 2, faultGenerators: []func(wd *testbed, random *rand.Rand) scheduledFault{
		terminateHost, killHost, suspendHost, killAllHosts, disruptLink, disruptLink, failStore, failServer, announceOrStallServer, announceOrStallServer, announceOrStallServer, replaceServer,
		crashServerAndReuseAddress, publishDesiredStates, reloadSettings,
	}},
	// Crashing adds servers that crash by themselves, and requests that crash each server that runs them.
	"Crashing": {seriesPerSecond: 2, sendCrashingRequests: true, faultGenerators: []func(wd *testbed, random *rand.Rand) scheduledFault{
		terminateHost, killHost, suspendHost, killAllHosts, disruptLink, failStore, failServer, crashAndRestartServer, crashAndRestartServer, crashAndRestartServer, replaceServer, reloadSettings,
	}},
}

// drawFaults draws the faults of a soak from its seed. They come in series and overlap.
func (wd *testbed) drawFaults(mx faultMix, random *rand.Rand, length time.Duration) []scheduledFault {
	var steps []scheduledFault
	between := func(least, most time.Duration) time.Duration {
		return least + time.Duration(random.Int64N(int64(most-least)))
	}
	for range 2 + mx.seriesPerSecond*int(length/time.Second) {
		draw := mx.faultGenerators[random.IntN(len(mx.faultGenerators))]
		at := between(length/10, length*8/10)
		for range 1 + max(0, random.IntN(5)-2) {
			st := draw(wd, random)
			st.startAfter, st.duration = at, between(100*time.Millisecond, 2500*time.Millisecond)
			if st.revert == nil {
				st.revert = func() {}
			}
			steps = append(steps, st)
			if at += between(50*time.Millisecond, 1500*time.Millisecond); at >= length {
				break
			}
		}
	}
	slices.SortStableFunc(steps, func(left, right scheduledFault) int { return int(left.startAfter - right.startAfter) })
	return steps
}

// injectFaults carries a plan out and undoes all of it.
func (wd *testbed) injectFaults(steps []scheduledFault, length time.Duration) {
	began := time.Now()
	type due struct {
		at time.Duration
		do func()
	}
	var dues []due
	for _, st := range steps {
		dues = append(dues, due{st.startAfter, st.inject}, due{min(st.startAfter+st.duration, length), st.revert})
	}
	slices.SortStableFunc(dues, func(left, right due) int { return int(left.at - right.at) })
	for _, du := range dues {
		time.Sleep(du.at - time.Since(began))
		du.do()
	}
}

func describeFaults(steps []scheduledFault) string {
	var sb strings.Builder
	for _, st := range steps {
		fmt.Fprintf(&sb, "%6.2f s for %4.2f s: %s\n", st.startAfter.Seconds(), st.duration.Seconds(), st.description)
	}
	return sb.String()
}

func randomHost(wd *testbed, random *rand.Rand) *host { return wd.hosts[random.IntN(len(wd.hosts))] }

func randomRestartDelay(random *rand.Rand) time.Duration {
	return time.Duration(10+random.IntN(800)) * time.Millisecond
}

func terminateHost(wd *testbed, random *rand.Rand) scheduledFault {
	hs, pause := randomHost(wd, random), randomRestartDelay(random)
	return scheduledFault{description: "SIGTERM to " + hs.name, inject: func() { hs.signal(syscall.SIGTERM, pause) }}
}

func killHost(wd *testbed, random *rand.Rand) scheduledFault {
	hs, pause := randomHost(wd, random), randomRestartDelay(random)
	return scheduledFault{description: "SIGKILL to " + hs.name, inject: func() { hs.signal(syscall.SIGKILL, pause) }}
}

func killAllHosts(wd *testbed, random *rand.Rand) scheduledFault {
	pause := randomRestartDelay(random)
	return scheduledFault{description: "SIGKILL to all hosts", inject: func() {
		for _, hs := range wd.hosts {
			hs.signal(syscall.SIGKILL, pause)
		}
	}}
}

func suspendHost(wd *testbed, random *rand.Rand) scheduledFault {
	hs := randomHost(wd, random)
	return scheduledFault{
		description: "SIGSTOP to " + hs.name,
		inject:   func() { hs.signal(syscall.SIGSTOP, 0) },
		revert: func() { hs.signal(syscall.SIGCONT, 0) },
	}
}

func reloadSettings(wd *testbed, random *rand.Rand) scheduledFault {
	hs := randomHost(wd, random)
	return scheduledFault{description: "SIGHUP to " + hs.name, inject: func() { hs.signal(syscall.SIGHUP, 0) }}
}

func disruptLink(wd *testbed, random *rand.Rand) scheduledFault {
	ln := wd.links[random.IntN(len(wd.links))]
	md, delay := linkMode(1+random.IntN(int(linkModeCount)-1)), time.Duration(20+random.IntN(280))*time.Millisecond
	return scheduledFault{
		description: fmt.Sprintf("link of %s %s", ln.name, md),
		inject:   func() { ln.setMode(md, delay) },
		revert: func() { ln.setMode(forwarding, 0) },
	}
}

func failStore(wd *testbed, random *rand.Rand) scheduledFault {
	fault := []standin.StoreFault{standin.Down, standin.Silent, standin.Expired}[random.IntN(3)]
	return scheduledFault{
		description: fmt.Sprint("the store fails, kind ", fault),
		inject:   func() { wd.store.Fail(fault) },
		revert: func() { wd.store.Fail(standin.NoFault) },
	}
}

func failServer(wd *testbed, random *rand.Rand) scheduledFault {
	fault := standin.ServerFault(1 + random.IntN(int(standin.Surplus)))
	pick := random.Int()
	var sv *server
	return scheduledFault{
		description: fmt.Sprint("a server fails, kind ", fault),
		inject: func() {
			serving := wd.activeServers()
			sv = serving[pick%len(serving)]
			sv.Fail(fault)
		},
		revert: func() { sv.Fail(standin.Sound) },
	}
}

// announceOrStallServer has a server say that it is leaving or wants to be left alone, send bytes without end, or stand still. One
// that said that it is leaving comes back as another one.
func announceOrStallServer(wd *testbed, random *rand.Rand) scheduledFault {
	fault := []standin.ServerFault{standin.Leaves, standin.Rests, standin.Endless, standin.Stalls}[random.IntN(4)]
	pick := random.Int()
	var sv *server
	return scheduledFault{
		description: fmt.Sprint("a server fails, kind ", fault),
		inject: func() {
			serving := wd.activeServers()
			sv = serving[pick%len(serving)]
			sv.Fail(fault)
		},
		revert: func() {
			sv.Fail(standin.Sound)
			wd.mutex.Lock()
			defer wd.mutex.Unlock()
			if fault == standin.Leaves && !sv.retired {
				sv.Restart()
				wd.store.List(sv.Server)
			}
		},
	}
}

// replaceServer has a server leave as the platform does it, after another one has come.
func replaceServer(wd *testbed, random *rand.Rand) scheduledFault {
	pick := random.Int()
	return scheduledFault{description: "a server is replaced", inject: func() {
		serving := wd.activeServers()
		sv := serving[pick%len(serving)]
		if wd.markRetired(sv) {
			wd.addServer(sv.Service, nil)
			go wd.drainAndClose(sv)
		}
	}}
}

func (wd *testbed) drainAndClose(sv *server) {
	wd.store.Put("keyed.servers", sv.ID, sv.Entry("draining"))
	time.Sleep(drainLimit + time.Second)
	wd.store.Put("keyed.servers", sv.ID, nil)
	sv.Close()
}

// crashAndRestartServer has a server crash and start anew at its address.
func crashAndRestartServer(wd *testbed, random *rand.Rand) scheduledFault {
	pick := random.Int()
	crash := standin.Crash{Down: time.Duration(50+random.IntN(1500)) * time.Millisecond, Dark: random.IntN(3) == 0}
	return scheduledFault{description: fmt.Sprint("a server crashes and is back in ", crash.Down, ", dark ", crash.Dark), inject: func() {
		serving := wd.activeServers()
		wd.crashAndRestart(serving[pick%len(serving)], crash)
	}}
}

// crashServerAndReuseAddress ends a server at once. One of the other service takes over its address while it is still listed.
func crashServerAndReuseAddress(wd *testbed, random *rand.Rand) scheduledFault {
	pick := random.Int()
	return scheduledFault{description: "a server crashes, its address is used again", inject: func() {
		serving := wd.activeServers()
		sv := serving[pick%len(serving)]
		if !wd.markRetired(sv) {
			return
		}
		wd.mutex.Lock()
		wd.crashedServers[sv.ID] = true
		wd.mutex.Unlock()
		sv.Close()
		wd.addServer(map[string]string{"books": "models", "models": "books"}[sv.Service], sv.link)
		wd.addServer(sv.Service, nil)
		go func() {
			time.Sleep(time.Second)
			wd.store.Put("keyed.servers", sv.ID, nil)
		}()
	}}
}

func publishDesiredStates(wd *testbed, random *rand.Rand) scheduledFault {
	count := 1 + 4*random.IntN(2)
	return scheduledFault{description: fmt.Sprint("new desired states: ", count), inject: func() {
		for range count {
			wd.publishDesiredState(1)
		}
	}}
}
