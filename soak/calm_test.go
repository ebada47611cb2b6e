package soak

import (
	"fmt"
	"net/http"
	"sync"
	"syscall"
	"time"

	standin "github.com/hibiscuslever/hibiscuslever/standin/site"
)

func (wd *world) allReady() bool {
	for _, hs := range wd.hosts {
		if !hs.isReady() {
			return false
		}
	}
	return true
}

// calm checks what must hold once the faults are over.
func (wd *world) calm() {
	probe := newClient(wd, "probe", 1)
	defer probe.http.CloseIdleConnections()
	took := wd.eventually("RECOVER", "each host serves each kind of request", func() bool { return wd.serves(probe) })
	wd.within("RECOVER", "serving again", took, recoveryTime)
	time.Sleep(contactTime)
	wd.calmAt = time.Now()
	if wd.endMarked != nil {
		// Servers that crash would break off what the checks below send.
		time.Sleep(contactTime)
		wd.endMarked()
	}
	wd.newRoute(probe)
	wd.leavingServer()
	wd.leavingByWord(probe)
	wd.leavingClient(probe)
	wd.leavingHost()
	took = wd.eventually("LEAK", "memory is given back", func() bool { return wd.tickets() == 0 })
	wd.within("LEAK", "memory that was set aside", took, freeTime)
}

// within notes a time beyond its bound, where times are checked.
func (wd *world) within(rule, what string, took, bound time.Duration) {
	if *timed && took > bound {
		wd.broken(rule, "%s took %s, want %s at most", what, took, bound)
	}
}

// serves reports whether each host is ready and answers each kind of request.
func (wd *world) serves(probe *client) bool {
	if !wd.allReady() {
		return false
	}
	for _, hs := range wd.hosts {
		for _, kd := range []kind{read, order, chat} {
			if ex := probe.send(kd, hs, 0); ex.status != http.StatusOK || ex.err != nil {
				return false
			}
		}
	}
	return true
}

// newRoute publishes a route and waits until each host serves it.
func (wd *world) newRoute(probe *client) {
	wd.publish(1)
	kd := kind{path: morePath(wd.added - 1), service: "books", timeout: read.timeout, fresh: true}
	took := wd.eventually("CONFIG", "each host serves a new route", func() bool {
		for _, hs := range wd.hosts {
			if probe.send(kd, hs, 0).status != http.StatusOK {
				return false
			}
		}
		return true
	})
	wd.within("CONFIG", "a new route", took, configTime)
}

// leavingServer has a server of each service leave and looks for requests that reach it afterwards.
func (wd *world) leavingServer() {
	began := time.Now()
	var leaving []*server
	for _, service := range []string{"books", "models"} {
		for _, sv := range wd.serving() {
			if sv.Service == service && wd.take(sv) {
				wd.addServer(service, nil)
				wd.store.Put("keyed.servers", sv.ID, sv.ListEntry("draining"))
				leaving = append(leaving, sv)
				break
			}
		}
	}
	time.Sleep(drainTime + time.Second)
	for _, sv := range leaving {
		for _, run := range sv.ExecutedRequests() {
			if *timed && run.StartedAt.Sub(began) > drainTime {
				wd.broken("DRAIN", "%s ran %s %s after it began to leave", sv.ID, run.Attempt, run.StartedAt.Sub(began))
			}
		}
		wd.store.Put("keyed.servers", sv.ID, nil)
		sv.Close()
	}
}

// leavingByWord has a server of each service say that it is leaving, in its answers alone, and looks for requests that
// reach it long after one.
func (wd *world) leavingByWord(probe *client) {
	for _, kd := range []kind{read, chat} {
		// Few prompts all go to the same engine, so that it has to be the one that serves now.
		var sv *server
		answered := probe.send(kd, wd.hosts[0], 0).server
		for _, each := range wd.serving() {
			if each.Service == kd.service && (sv == nil || each.ID == answered) {
				sv = each
			}
		}
		sv.SetFault(standin.AnnouncesLeaving)
		before := len(sv.ExecutedRequests())
		wd.eventually("DRAIN", "a server says that it is leaving", func() bool {
			probe.send(kd, wd.hosts[0], 0)
			return len(sv.ExecutedRequests()) > before
		})
		said := time.Now()
		for time.Since(said) < drainTime {
			probe.send(kd, wd.hosts[0], 0)
			probe.send(kd, wd.hosts[1], 0)
		}
		for _, run := range sv.ExecutedRequests() {
			if *timed && run.StartedAt.Sub(said) > drainTime/2 {
				wd.broken("DRAIN", "%s ran %s %s after it had said that it is leaving", sv.ID, run.Attempt, run.StartedAt.Sub(said))
			}
		}
		sv.SetFault(standin.NoServerFault)
		sv.SimulateRestart()
		wd.store.ListServer(sv.Server)
	}
}

// leavingClient has a client go away in the middle of a stream, and waits until the engine stops.
func (wd *world) leavingClient(probe *client) {
	ex := probe.send(chat, wd.hosts[0], 100*time.Millisecond)
	if ex.err == nil {
		return
	}
	time.Sleep(leaveTime)
	for _, sv := range wd.serving() {
		for _, run := range sv.ExecutedRequests() {
			if *timed && run.Attempt == ex.id && !run.Completed && (run.DisconnectedAt.IsZero() || run.DisconnectedAt.Sub(ex.left) > leaveTime) {
				wd.broken("GONE", "%s worked on after the client had gone: %s", sv.ID, ex)
			}
		}
	}
}

// leavingHost stops a host while it has requests and checks that each gets its answer: streams that outlast the time in
// which the host takes new ones, and orders that come before and after the signal.
func (wd *world) leavingHost() {
	hs := wd.hosts[len(wd.hosts)-1]
	const (
		at      = 4
		inTurn  = 10
		gap     = 400 * time.Millisecond
		running = 60 * time.Millisecond
	)
	for _, sv := range wd.serving() {
		sv.SetEventInterval(gap)
	}
	var group sync.WaitGroup
	answers := make(chan *exchange, at*(1+inTurn))
	for ix := range at {
		for _, kd := range []kind{chat, order} {
			cl := newClient(wd, fmt.Sprint("last-", kd.service, ix), 1)
			group.Go(func() {
				defer cl.http.CloseIdleConnections()
				answers <- cl.send(kd, hs, 0)
				for range inTurn - 1 {
					if kd.once {
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
			wd.broken("LOST", "at a planned stop: %s", ex)
		}
	}
	wd.eventually("START", "the host that stopped is back", wd.allReady)
}

// tickets returns the number of reservations that engines hold.
func (wd *world) tickets() int {
	held := 0
	for _, sv := range wd.serving() {
		held += sv.OpenReservations()
	}
	return held
}
