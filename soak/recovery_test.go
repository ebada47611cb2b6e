package soak

import (
	"fmt"
	"net/http"
	"sync"
	"syscall"
	"time"

	standin "github.com/hibiscuslever/hibiscuslever/standin/site"
)

func (wd *testbed) allHostsReady() bool {
	for _, hs := range wd.hosts {
		if !hs.isReady() {
			return false
		}
	}
	return true
}

// checkAfterFaults checks what must hold once the faults are over.
func (wd *testbed) checkAfterFaults() {
	probe := newClient(wd, "probe", 1)
	defer probe.transport.CloseIdleConnections()
	took := wd.eventually("RECOVER", "each host serves each kind of request", func() bool { return wd.allHostsServe(probe) })
	wd.checkTimeLimit("RECOVER", "serving again", took, recoveryLimit)
	time.Sleep(convergenceTime)
	wd.convergedAt = time.Now()
	if wd.stopCrashingRequests != nil {
		// Servers that crash would break off what the checks below send.
		time.Sleep(convergenceTime)
		wd.stopCrashingRequests()
	}
	wd.checkNewRoute(probe)
	wd.checkListedDrain()
	wd.checkAnnouncedDrain(probe)
	wd.checkClientDisconnect(probe)
	wd.checkPlannedStop()
	took = wd.eventually("LEAK", "memory is given back", func() bool { return wd.reservationCount() == 0 })
	wd.checkTimeLimit("LEAK", "memory that was set aside", took, releaseLimit)
}

// checkTimeLimit notes a time beyond its bound, where times are checked.
func (wd *testbed) checkTimeLimit(rule, what string, took, bound time.Duration) {
	if *checkTimeLimits && took > bound {
		wd.reportViolation(rule, "%s took %s, want %s at most", what, took, bound)
	}
}

// allHostsServe reports whether each host is ready and answers each kind of request.
func (wd *testbed) allHostsServe(probe *client) bool {
	if !wd.allHostsReady() {
		return false
	}
	for _, hs := range wd.hosts {
		for _, kd := range []requestKind{readRequests, orderRequests, chatRequests} {
			if ex := probe.send(kd, hs, 0); ex.status != http.StatusOK || ex.err != nil {
				return false
			}
		}
	}
	return true
}

// checkNewRoute publishes a route and waits until each host serves it.
func (wd *testbed) checkNewRoute(probe *client) {
	wd.publishDesiredState(1)
	kd := requestKind{path: addedRoutePath(wd.addedRoutes - 1), service: "books", timeout: readRequests.timeout, routeIsNew: true}
	took := wd.eventually("CONFIG", "each host serves a new route", func() bool {
		for _, hs := range wd.hosts {
			if probe.send(kd, hs, 0).status != http.StatusOK {
				return false
			}
		}
		return true
	})
	wd.checkTimeLimit("CONFIG", "a new route", took, configLimit)
}

// checkListedDrain has a server of each service leave and looks for requests that reach it afterwards.
func (wd *testbed) checkListedDrain() {
	began := time.Now()
	var leaving []*server
	for _, service := range []string{"books", "models"} {
		for _, sv := range wd.activeServers() {
			if sv.Service == service && wd.markRetired(sv) {
				wd.addServer(service, nil)
				wd.store.Put("keyed.servers", sv.ID, sv.Entry("draining"))
				leaving = append(leaving, sv)
				break
			}
		}
	}
	time.Sleep(drainLimit + time.Second)
	for _, sv := range leaving {
		for _, run := range sv.Runs() {
			if *checkTimeLimits && run.Began.Sub(began) > drainLimit {
				wd.reportViolation("DRAIN", "%s ran %s %s after it began to leave", sv.ID, run.Attempt, run.Began.Sub(began))
			}
		}
		wd.store.Put("keyed.servers", sv.ID, nil)
		sv.Close()
	}
}

// checkAnnouncedDrain has a server of each service say that it is leaving, in its answers alone, and looks for requests that
// reach it long after one.
func (wd *testbed) checkAnnouncedDrain(probe *client) {
	for _, kd := range []requestKind{readRequests, chatRequests} {
		// Few prompts all go to the same engine, so that it has to be the one that serves now.
		var sv *server
		answered := probe.send(kd, wd.hosts[0], 0).serverID
		for _, each := range wd.activeServers() {
			if each.Service == kd.service && (sv == nil || each.ID == answered) {
				sv = each
			}
		}
		sv.Fail(standin.Leaves)
		before := len(sv.Runs())
		wd.eventually("DRAIN", "a server says that it is leaving", func() bool {
			probe.send(kd, wd.hosts[0], 0)
			return len(sv.Runs()) > before
		})
		said := time.Now()
		for time.Since(said) < drainLimit {
			probe.send(kd, wd.hosts[0], 0)
			probe.send(kd, wd.hosts[1], 0)
		}
		for _, run := range sv.Runs() {
			if *checkTimeLimits && run.Began.Sub(said) > drainLimit/2 {
				wd.reportViolation("DRAIN", "%s ran %s %s after it had said that it is leaving", sv.ID, run.Attempt, run.Began.Sub(said))
			}
		}
		sv.Fail(standin.Sound)
		sv.Restart()
		wd.store.List(sv.Server)
	}
}

// checkClientDisconnect has a client go away in the middle of a stream, and waits until the engine stops.
func (wd *testbed) checkClientDisconnect(probe *client) {
	ex := probe.send(chatRequests, wd.hosts[0], 100*time.Millisecond)
	if ex.err == nil {
		return
	}
	time.Sleep(cancelLimit)
	for _, sv := range wd.activeServers() {
		for _, run := range sv.Runs() {
			if *checkTimeLimits && run.Attempt == ex.id && !run.Ended && (run.Left.IsZero() || run.Left.Sub(ex.abandonedAt) > cancelLimit) {
				wd.reportViolation("GONE", "%s worked on after the client had gone: %s", sv.ID, ex)
			}
		}
	}
}

// checkPlannedStop stops a host while it has requests and checks that each gets its answer: streams that outlast the time in
// which the host takes new ones, and orders that come before and after the signal.
func (wd *testbed) checkPlannedStop() {
	hs := wd.hosts[len(wd.hosts)-1]
	const (
		at      = 4
		inTurn  = 10
		gap     = 400 * time.Millisecond
		running = 60 * time.Millisecond
	)
	for _, sv := range wd.activeServers() {
		sv.Slow(gap)
	}
	var group sync.WaitGroup
	answers := make(chan *exchange, at*(1+inTurn))
	for ix := range at {
		for _, kd := range []requestKind{chatRequests, orderRequests} {
			cl := newClient(wd, fmt.Sprint("last-", kd.service, ix), 1)
			group.Go(func() {
				defer cl.transport.CloseIdleConnections()
				answers <- cl.send(kd, hs, 0)
				for range inTurn - 1 {
					if kd.atMostOnce {
						answers <- cl.send(kd, hs, 0)
					}
				}
			})
		}
	}
	time.Sleep(running)
	hs.signal(syscall.SIGTERM, 0)
	group.Wait()
	close(answers)
	for ex := range answers {
		if ex.err != nil || ex.status != http.StatusOK {
			wd.reportViolation("LOST", "at a planned stop: %s", ex)
		}
	}
	wd.eventually("START", "the host that stopped is back", wd.allHostsReady)
}

// reservationCount returns the number of reservations that engines hold.
func (wd *testbed) reservationCount() int {
	held := 0
	for _, sv := range wd.activeServers() {
		held += sv.Tickets()
	}
	return held
}
