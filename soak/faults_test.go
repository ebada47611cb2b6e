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

// scheduledFault is one fault of a run.
type scheduledFault struct {
	// startAfter is the time from the start of injectFaults to the fault, duration the time from there until it is
	// reverted.
	startAfter, duration time.Duration
	// fixedDuration replaces the duration that is drawn for each fault, unless it is zero.
	fixedDuration  time.Duration
	description    string
	inject, revert func()
	// planned says that the fault is planned work, which must not cost a request.
	planned bool
}

// faultMix determines which faults are drawn and how often.
type faultMix struct {
	// seriesPerSecond is the number of series of faults for each second of a run, in addition to two for the whole run.
	// All faults of a series are of one kind.
	seriesPerSecond int
	// moreSeries is the number of series for the whole run in addition to those.
	moreSeries int
	// faultGenerators draw one fault each. They are drawn with equal probability, so that a kind that is listed several
	// times comes more often.
	faultGenerators []func(tb *testbed, random *rand.Rand) scheduledFault
	// sendCrashingRequests has a client repeatedly send requests that crash each server that runs them.
	sendCrashingRequests bool
	// cutsHosts says that faults may cut hosts off from servers.
	cutsHosts bool
	// evacuatesZones says that faults may evacuate zones, and that this is checked after the faults too.
	evacuatesZones bool
	// clientsPerHost is the number of clients that stay with each host whatever happens.
	clientsPerHost int
	// plannedOnly says that all faults are planned work.
	plannedOnly bool
	// movesServices says that desired states may move the added routes to another service.
	movesServices bool
	// grace is how long the hosts may take to stop; zero for shutdownTimeout.
	grace time.Duration
	// coldPerSecond is the number of requests a second that a cold server takes; zero if the services have no cold servers.
	coldPerSecond float64
	// longestAnswers are the longest times that servers work on the requests of clients, by service. Services that are
	// not listed take the same time for all.
	longestAnswers map[string]time.Duration
}

// faultMixes contains the mixes under the names that testdata/seeds.txt uses. The faults that a seed draws depend on
// the length and order of a mix's list: any change to it makes the seeds in that file draw other faults.
var faultMixes = map[string]faultMix{
	"Sparse": {seriesPerSecond: 1, faultGenerators: []func(tb *testbed, random *rand.Rand) scheduledFault{
		terminateHost, killHost, suspendHost, killAllHosts, disruptLink, disruptLink, failStore, failServer, replaceServer,
		crashServerAndReuseAddress, publishDesiredStates, reloadSettings,
	}},
	// Dense has more faults, and more of them are faults of servers, which can fail in many ways.
	"Dense": {seriesPerSecond: 2, faultGenerators: []func(tb *testbed, random *rand.Rand) scheduledFault{
		terminateHost, killHost, suspendHost, killAllHosts, disruptLink, disruptLink, failStore,
		failServer, failServer, failServer, replaceServer,
		crashServerAndReuseAddress, publishDesiredStates, reloadSettings,
	}},
	// Words has servers that announce that they are leaving, ask for backoff, send bytes without end, or stall.
	"Words": {seriesPerSecond: 2, faultGenerators: []func(tb *testbed, random *rand.Rand) scheduledFault{
		terminateHost, killHost, suspendHost, killAllHosts, disruptLink, disruptLink, failStore, failServer,
		announceOrStallServer, announceOrStallServer, announceOrStallServer, replaceServer,
		crashServerAndReuseAddress, publishDesiredStates, reloadSettings,
	}},
	// Crashing has servers that crash on their own, and requests that crash each server that runs them.
	"Crashing": {seriesPerSecond: 2, sendCrashingRequests: true, faultGenerators: []func(tb *testbed, random *rand.Rand) scheduledFault{
		terminateHost, killHost, suspendHost, killAllHosts, disruptLink, failStore, failServer,
		crashAndRestartServer, crashAndRestartServer, crashAndRestartServer, replaceServer, reloadSettings,
	}},
	// Restores has a store that comes back from older copies while servers and desired states change.
	"Restores": {seriesPerSecond: 2, faultGenerators: []func(tb *testbed, random *rand.Rand) scheduledFault{
		terminateHost, killHost, suspendHost, killAllHosts, disruptLink, failStore, restoreStore, restoreStore, restoreStore,
		failServer, crashAndRestartServer, replaceServer, replaceServer, publishDesiredStates, publishDesiredStates, reloadSettings,
	}},
	// Limits has servers that name a limit of requests per second.
	"Limits": {seriesPerSecond: 1, faultGenerators: []func(tb *testbed, random *rand.Rand) scheduledFault{
		terminateHost, killHost, suspendHost, disruptLink, failStore, limitServer, limitServer, limitServer, limitServer,
		announceOrStallServer, replaceServer, publishDesiredStates, reloadSettings,
	}},
	// Cold has servers of a whole availability zone that become cold at once, while hosts come and go.
	"Cold": {seriesPerSecond: 1, coldPerSecond: 2, clientsPerHost: 4, faultGenerators: []func(tb *testbed, random *rand.Rand) scheduledFault{
		coldZone, coldZone, coldZone, coldZone, terminateHost, killHost, killHost, suspendHost, killAllHosts, crashAndRestartServer, replaceServer,
		publishDesiredStates, reloadSettings,
	}},
	// Partitions has hosts that are cut off from all servers, but not from clients, one another and the store.
	// There are few other faults, because hosts are compared while nothing else disturbs them.
	"Partitions": {moreSeries: 4, cutsHosts: true, clientsPerHost: 4, faultGenerators: []func(tb *testbed, random *rand.Rand) scheduledFault{
		cutOffHosts, cutOffHosts, cutOffHosts, cutOffHosts, cutOffHosts, cutOffHosts, cutOffHosts, cutOffHosts, terminateHost, killHost,
		suspendHost, disruptLink, failStore, failServer, replaceServer, publishDesiredStates, reloadSettings,
	}},
	// Evacuations has zones that the operator evacuates, for some seconds each, beside faults of hosts and of the store.
	"Evacuations": {moreSeries: 3, evacuatesZones: true, faultGenerators: []func(tb *testbed, random *rand.Rand) scheduledFault{
		evacuateZones, evacuateZones, evacuateZones, evacuateZones, evacuateZones, evacuateZones, terminateHost, killHost, killAllHosts,
		suspendHost, disruptLink, failStore, restoreStore, crashAndRestartServer, publishDesiredStates,
	}},
	// Planned has planned work alone, so that no request may be lost.
	"Planned": {
		seriesPerSecond: 1, clientsPerHost: 4, plannedOnly: true, grace: 5 * time.Second,
		longestAnswers: map[string]time.Duration{"books": 800 * time.Millisecond, "models": 6 * time.Second},
		faultGenerators: []func(tb *testbed, random *rand.Rand) scheduledFault{
			terminateHost, terminateHost, terminateHostRepeatedly, terminateHostRepeatedly, terminateHostAndItsSuccessor,
			publishDesiredStates, reloadSettings, reloadSettings,
		},
	},
	// PlannedSilent has planned work beside sound servers that fall silent for a time, and desired states that change more
	// than routes. No request may be lost.
	"PlannedSilent": {
		seriesPerSecond: 2, clientsPerHost: 12, plannedOnly: true, movesServices: true, grace: 5 * time.Second,
		longestAnswers: map[string]time.Duration{"books": 800 * time.Millisecond, "models": 6 * time.Second, movableService: 800 * time.Millisecond},
		faultGenerators: []func(tb *testbed, random *rand.Rand) scheduledFault{
			terminateHost, terminateHost, terminateHostRepeatedly, silenceServers, silenceServers, silenceServers, silenceServers, silenceServers,
			publishDesiredStates, changeDesiredState, changeDesiredState, reloadSettings,
		},
	},
}

// drawFaults draws the faults to inject within the given total time and returns them by start time. It draws series of
// one to three faults of the same kind; series and their faults may overlap. Injecting a fault must draw no further
// random numbers, so that the faults depend on the seed alone.
func (tb *testbed) drawFaults(mx faultMix, random *rand.Rand, total time.Duration) []scheduledFault {
	var faults []scheduledFault
	randomDuration := func(lowest, highest time.Duration) time.Duration {
		return lowest + time.Duration(random.Int64N(int64(highest-lowest)))
	}
	for range (2 + mx.moreSeries + mx.seriesPerSecond*int(total/time.Second)) * max(zoneCount, len(tb.hosts)) / zoneCount {
		generate := mx.faultGenerators[random.IntN(len(mx.faultGenerators))]
		startAfter := randomDuration(total/10, total*8/10)
		for range 1 + max(0, random.IntN(5)-2) {
			ft := generate(tb, random)
			ft.startAfter, ft.duration = startAfter, randomDuration(100*time.Millisecond, 2500*time.Millisecond)
			if ft.fixedDuration > 0 {
				ft.duration = ft.fixedDuration
			}
			if ft.revert == nil {
				ft.revert = func() {}
			}
			faults = append(faults, ft)
			if startAfter += randomDuration(50*time.Millisecond, 1500*time.Millisecond); startAfter >= total {
				break
			}
		}
	}
	slices.SortStableFunc(faults, func(left, right scheduledFault) int { return int(left.startAfter - right.startAfter) })
	return faults
}

// injectFaults injects and reverts the faults at their times. It returns when the last action is done; faults that
// would last longer than the given total time are reverted at its end.
func (tb *testbed) injectFaults(faults []scheduledFault, total time.Duration) {
	startedAt := time.Now()
	type timedAction struct {
		at time.Duration
		do func()
	}
	var actions []timedAction
	for _, ft := range faults {
		if !ft.planned {
			ft.inject, ft.revert = tb.recordUnplanned(ft.inject, ft.revert)
		}
		actions = append(actions, timedAction{ft.startAfter, ft.inject}, timedAction{min(ft.startAfter+ft.duration, total), ft.revert})
	}
	slices.SortStableFunc(actions, func(left, right timedAction) int { return int(left.at - right.at) })
	for _, action := range actions {
		time.Sleep(action.at - time.Since(startedAt))
		action.do()
	}
}

// describeFaults returns one line for each fault, for the report of a failed run.
func describeFaults(faults []scheduledFault) string {
	var sb strings.Builder
	for _, ft := range faults {
		fmt.Fprintf(&sb, "%6.2f s for %4.2f s: %s\n", ft.startAfter.Seconds(), ft.duration.Seconds(), ft.description)
	}
	return sb.String()
}

func randomHost(tb *testbed, random *rand.Rand) *host { return tb.hosts[random.IntN(len(tb.hosts))] }

// randomRestartDelay draws the time between the end of a host's process and the next start, 10 to 809 ms.
func randomRestartDelay(random *rand.Rand) time.Duration {
	return time.Duration(10+random.IntN(800)) * time.Millisecond
}

// terminateHost has a host stop in an orderly way and restart.
func terminateHost(tb *testbed, random *rand.Rand) scheduledFault {
	hs, restartDelay := randomHost(tb, random), randomRestartDelay(random)
	return scheduledFault{planned: true, description: "SIGTERM to " + hs.name, inject: func() { hs.signal(syscall.SIGTERM, restartDelay) }}
}

// killHost ends a host without warning. It restarts later.
func killHost(tb *testbed, random *rand.Rand) scheduledFault {
	hs, restartDelay := randomHost(tb, random), randomRestartDelay(random)
	return scheduledFault{description: "SIGKILL to " + hs.name, inject: func() { hs.signal(syscall.SIGKILL, restartDelay) }}
}

// killAllHosts ends all hosts at once without warning. They restart after the same delay.
func killAllHosts(tb *testbed, random *rand.Rand) scheduledFault {
	restartDelay := randomRestartDelay(random)
	return scheduledFault{description: "SIGKILL to all hosts", inject: func() {
		for _, hs := range tb.hosts {
			hs.signal(syscall.SIGKILL, restartDelay)
		}
	}}
}

// suspendHost has a host freeze: its connections stay open, but it does nothing until it is continued.
func suspendHost(tb *testbed, random *rand.Rand) scheduledFault {
	hs := randomHost(tb, random)
	return scheduledFault{
		description: "SIGSTOP to " + hs.name,
		inject:      func() { hs.signal(syscall.SIGSTOP, 0) },
		revert:      func() { hs.signal(syscall.SIGCONT, 0) },
	}
}

// reloadSettings has a host read its settings again.
func reloadSettings(tb *testbed, random *rand.Rand) scheduledFault {
	hs := randomHost(tb, random)
	return scheduledFault{planned: true, description: "SIGHUP to " + hs.name, inject: func() { hs.signal(syscall.SIGHUP, 0) }}
}

// disruptLink has the link of a host or a server delay, reset or hold back its connections.
func disruptLink(tb *testbed, random *rand.Rand) scheduledFault {
	ln := tb.links[random.IntN(len(tb.links))]
	mode, delay := linkMode(1+random.IntN(int(linkModeCount)-1)), time.Duration(20+random.IntN(280))*time.Millisecond
	return scheduledFault{
		description: fmt.Sprintf("link of %s %s", ln.name, mode),
		inject:      func() { tb.recordDisruption(ln.name); ln.setMode(mode, delay) },
		revert:      func() { tb.recordDisruption(ln.name); ln.setMode(forwarding, 0) },
	}
}

// cutOffHosts cuts one host, or all but one, off from all servers for 4 to 8 s, so that the hosts have time to find
// another way.
func cutOffHosts(tb *testbed, random *rand.Rand) scheduledFault {
	mode := standin.LinkMode(1 + random.IntN(int(standin.LinkLiving)))
	duration := 4*time.Second + time.Duration(random.Int64N(int64(4*time.Second)))
	cutHosts := slices.Clone(tb.hosts)
	random.Shuffle(len(cutHosts), func(left, right int) { cutHosts[left], cutHosts[right] = cutHosts[right], cutHosts[left] })
	cutHosts = cutHosts[:1+random.IntN(len(cutHosts)-1)]
	var names []string
	for _, hs := range cutHosts {
		names = append(names, hs.name)
	}
	ft := scheduledFault{fixedDuration: duration, description: fmt.Sprintf("links from %s to servers are %s", strings.Join(names, " and "), mode)}
	cuts := make([]int, len(cutHosts))
	ft.inject = func() {
		for ix, hs := range cutHosts {
			cuts[ix] = hs.cutServerLinks(mode)
		}
	}
	ft.revert = func() {
		for ix, hs := range cutHosts {
			hs.endCut(cuts[ix])
		}
	}
	return ft
}

// failStore has the store refuse calls, leave calls unanswered, or report that the offset of each read has expired.
func failStore(tb *testbed, random *rand.Rand) scheduledFault {
	fault := []standin.StoreFault{standin.RejectsCalls, standin.IgnoresCalls, standin.OffsetsExpired}[random.IntN(3)]
	return scheduledFault{
		description: fmt.Sprint("the store fails with fault ", fault),
		inject:      func() { tb.store.SetFault(fault) },
		revert:      func() { tb.store.SetFault(standin.NoStoreFault) },
	}
}

// restoreStore has the store refuse calls and come back from a copy of up to five seconds of age. The platform's operator
// and the servers then write again what they wrote last.
func restoreStore(tb *testbed, random *rand.Rand) scheduledFault {
	copyAge := time.Duration(random.Int64N(int64(5 * time.Second)))
	return scheduledFault{
		description: fmt.Sprint("the store comes back from a copy of ", copyAge),
		inject:      func() { tb.store.SetFault(standin.RejectsCalls) },
		revert: func() {
			tb.mutex.Lock()
			tb.store.Restore(time.Now().Add(-copyAge))
			for _, sv := range tb.servers {
				if sv.draining {
					tb.store.Put("keyed.servers", sv.ID, sv.ListEntry("draining"))
				} else if !sv.retired {
					tb.store.ListServer(sv.Server)
				}
			}
			if tb.mix.evacuatesZones {
				for ix := range zoneCount {
					tb.writeEvacuation(fmt.Sprintf("zone-%c", 'a'+ix))
				}
			}
			tb.mutex.Unlock()
			tb.publishDesiredState(0)
			tb.store.SetFault(standin.NoStoreFault)
			// The store drops servers that send no heartbeats.
			time.AfterFunc(lapseTime, func() {
				tb.mutex.Lock()
				defer tb.mutex.Unlock()
				for _, sv := range tb.servers {
					if sv.retired && !sv.draining {
						tb.store.Put("keyed.servers", sv.ID, nil)
					}
				}
			})
		},
	}
}

// lapseTime is the time after which the platform's store drops a server that sends no heartbeats.
const lapseTime = 3600 * time.Millisecond

// failServer has one of the active servers fail with one of the faults up to ForeignResponseOnReuse. The server is
// chosen when the fault is injected, because earlier faults may add or retire servers.
func failServer(tb *testbed, random *rand.Rand) scheduledFault {
	fault := standin.ServerFault(1 + random.IntN(int(standin.ForeignResponseOnReuse)))
	randomIndex := random.Int()
	var sv *server
	return scheduledFault{
		description: fmt.Sprint("a server fails with fault ", fault),
		inject: func() {
			active := tb.activeServers()
			sv = active[randomIndex%len(active)]
			sv.SetFault(fault)
		},
		revert: func() { sv.SetFault(standin.NoServerFault) },
	}
}

// announceOrStallServer has one of the active servers announce that it is leaving, ask for backoff, send bytes without
// end, or stall. A server that announced that it is leaving comes back as a new incarnation when the fault is reverted.
func announceOrStallServer(tb *testbed, random *rand.Rand) scheduledFault {
	fault := []standin.ServerFault{standin.AnnouncesLeaving, standin.AsksForBackoff, standin.SendsEndlessGarbage, standin.StallsStreams}[random.IntN(4)]
	randomIndex := random.Int()
	var sv *server
	return scheduledFault{
		description: fmt.Sprint("a server fails with fault ", fault),
		inject: func() {
			active := tb.activeServers()
			sv = active[randomIndex%len(active)]
			sv.SetFault(fault)
		},
		revert: func() {
			sv.SetFault(standin.NoServerFault)
			tb.mutex.Lock()
			defer tb.mutex.Unlock()
			if fault == standin.AnnouncesLeaving && !sv.retired {
				sv.SimulateRestart()
				tb.store.ListServer(sv.Server)
			}
		},
	}
}

// limitServer has one of the active servers name a limit until the end of the run, unless another server of its service
// does.
func limitServer(tb *testbed, random *rand.Rand) scheduledFault {
	ratePerSecond := []float64{0.5, 2, 10}[random.IntN(3)]
	randomIndex := random.Int()
	return scheduledFault{description: fmt.Sprint("a server names a limit of ", ratePerSecond, " requests per second"), inject: func() {
		active := tb.activeServers()
		sv := active[randomIndex%len(active)]
		if !slices.ContainsFunc(active, func(other *server) bool { return other.Service == sv.Service && other.ratePerSecond > 0 }) {
			sv.ratePerSecond = ratePerSecond
			sv.SetRequestLimit(fmt.Sprint(ratePerSecond))
		}
	}}
}

// coldSeconds is how long servers are cold after their start.
const coldSeconds = 3.0

// coldZone has all active servers of an availability zone become cold. They say so in the list and in their answers.
func coldZone(tb *testbed, random *rand.Rand) scheduledFault {
	zone := fmt.Sprintf("zone-%c", 'a'+random.IntN(zoneCount))
	duration := time.Duration(1500+random.IntN(3000)) * time.Millisecond
	return scheduledFault{description: fmt.Sprint("the servers of ", zone, " become cold for ", duration), inject: func() {
		for _, sv := range tb.activeServers() {
			if sv.Zone == zone {
				sv.SetCold(duration, true)
				tb.listCold(sv, duration)
			}
		}
	}}
}

// replaceServer starts a new server and then takes an old one out of service as the platform does it: the list shows it
// as draining before it ends.
func replaceServer(tb *testbed, random *rand.Rand) scheduledFault {
	randomIndex := random.Int()
	return scheduledFault{description: "a server is replaced", inject: func() {
		active := tb.activeServers()
		sv := active[randomIndex%len(active)]
		if tb.markRetired(sv) {
			tb.addServer(sv.Service, nil)
			go tb.drainAndClose(sv)
		}
	}}
}

// drainAndClose lists a server as draining. After the time within which hosts must stop sending to it, and one second
// more, it removes the server from the list and ends it.
func (tb *testbed) drainAndClose(sv *server) {
	tb.list(sv, "draining")
	time.Sleep(drainLimit + time.Second)
	tb.list(sv, "")
	sv.Close()
}

// crashAndRestartServer has a server crash and restart at the same address after 50 to 1549 ms. One in three crashed
// servers is unresponsive until then; the others refuse connections.
func crashAndRestartServer(tb *testbed, random *rand.Rand) scheduledFault {
	randomIndex := random.Int()
	crash := standin.Crash{Downtime: time.Duration(50+random.IntN(1500)) * time.Millisecond, HangsWhileDown: random.IntN(3) == 0}
	return scheduledFault{description: fmt.Sprint("a server crashes and restarts after ", crash.Downtime, ", unresponsive until then: ", crash.HangsWhileDown), inject: func() {
		active := tb.activeServers()
		tb.crashAndRestart(active[randomIndex%len(active)], crash)
	}}
}

// crashServerAndReuseAddress ends a server without warning. A new server of the same service replaces it, but its
// address is taken over by a server of the other service, while the list still shows the ended server there for a
// second. A host that does not notice would get answers of the wrong service.
func crashServerAndReuseAddress(tb *testbed, random *rand.Rand) scheduledFault {
	randomIndex := random.Int()
	return scheduledFault{description: "a server crashes and its address is reused", inject: func() {
		active := tb.activeServers()
		sv := active[randomIndex%len(active)]
		if !tb.markRetired(sv) {
			return
		}
		tb.mutex.Lock()
		tb.crashedServers[sv.ID] = true
		tb.mutex.Unlock()
		sv.Close()
		tb.addServer(map[string]string{"books": "models", "models": "books"}[sv.Service], sv.link)
		tb.addServer(sv.Service, nil)
		go func() {
			time.Sleep(time.Second)
			tb.store.Put("keyed.servers", sv.ID, nil)
		}()
	}}
}

// publishDesiredStates publishes one new desired state or five in quick succession. Each adds a route.
func publishDesiredStates(tb *testbed, random *rand.Rand) scheduledFault {
	stateCount := 1 + 4*random.IntN(2)
	return scheduledFault{planned: true, description: fmt.Sprint("new desired states: ", stateCount), inject: func() {
		for range stateCount {
			tb.publishDesiredState(1)
		}
	}}
}
