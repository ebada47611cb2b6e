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

// step is one fault: it begins at a time after the start and is undone after another.
type step struct {
	at, last time.Duration
	text     string
	do, undo func()
}

// mix says which faults are drawn, and how many series of them a second.
type mix struct {
	perSecond int
	faults    []func(wd *world, random *rand.Rand) step
	// marked has requests come again and again that crash each server that runs them.
	marked bool
}

// mixes are the mixes by the names that testdata/seeds.txt uses. What a seed draws depends on each of them.
var mixes = map[string]mix{
	"Sparse": {perSecond: 1, faults: []func(wd *world, random *rand.Rand) step{
		terminate, kill, pauseHost, killAll, harmLink, harmLink, harmStore, harmServer, replaceServer, crashServer, change, reload,
	}},
	// Dense has servers, which can fail in many ways, fail more often.
	"Dense": {perSecond: 2, faults: []func(wd *world, random *rand.Rand) step{
		terminate, kill, pauseHost, killAll, harmLink, harmLink, harmStore, harmServer, harmServer, harmServer, replaceServer,
		crashServer, change, reload,
	}},
	// Words adds servers that say something of themselves, send bytes without end, or stand still.
	"Words": {perSecond: 2, faults: []func(wd *world, random *rand.Rand) step{
		terminate, kill, pauseHost, killAll, harmLink, harmLink, harmStore, harmServer, wordServer, wordServer, wordServer, replaceServer,
		crashServer, change, reload,
	}},
	// Crashing adds servers that crash by themselves, and requests that crash each server that runs them.
	"Crashing": {perSecond: 2, marked: true, faults: []func(wd *world, random *rand.Rand) step{
		terminate, kill, pauseHost, killAll, harmLink, harmStore, harmServer, restartServer, restartServer, restartServer, replaceServer, reload,
	}},
}

// plan draws the faults of a soak from its seed. They come in series and overlap.
func (wd *world) plan(mx mix, random *rand.Rand, length time.Duration) []step {
	var steps []step
	between := func(least, most time.Duration) time.Duration {
		return least + time.Duration(random.Int64N(int64(most-least)))
	}
	for range 2 + mx.perSecond*int(length/time.Second) {
		draw := mx.faults[random.IntN(len(mx.faults))]
		at := between(length/10, length*8/10)
		for range 1 + max(0, random.IntN(5)-2) {
			st := draw(wd, random)
			st.at, st.last = at, between(100*time.Millisecond, 2500*time.Millisecond)
			if st.undo == nil {
				st.undo = func() {}
			}
			steps = append(steps, st)
			if at += between(50*time.Millisecond, 1500*time.Millisecond); at >= length {
				break
			}
		}
	}
	slices.SortStableFunc(steps, func(left, right step) int { return int(left.at - right.at) })
	return steps
}

// play carries a plan out and undoes all of it.
func (wd *world) play(steps []step, length time.Duration) {
	began := time.Now()
	type due struct {
		at time.Duration
		do func()
	}
	var dues []due
	for _, st := range steps {
		dues = append(dues, due{st.at, st.do}, due{min(st.at+st.last, length), st.undo})
	}
	slices.SortStableFunc(dues, func(left, right due) int { return int(left.at - right.at) })
	for _, du := range dues {
		time.Sleep(du.at - time.Since(began))
		du.do()
	}
}

func describe(steps []step) string {
	var sb strings.Builder
	for _, st := range steps {
		fmt.Fprintf(&sb, "%6.2f s for %4.2f s: %s\n", st.at.Seconds(), st.last.Seconds(), st.text)
	}
	return sb.String()
}

func anyHost(wd *world, random *rand.Rand) *host { return wd.hosts[random.IntN(len(wd.hosts))] }

func restartAfter(random *rand.Rand) time.Duration {
	return time.Duration(10+random.IntN(800)) * time.Millisecond
}

func terminate(wd *world, random *rand.Rand) step {
	hs, pause := anyHost(wd, random), restartAfter(random)
	return step{text: "SIGTERM to " + hs.name, do: func() { hs.signal(syscall.SIGTERM, pause) }}
}

func kill(wd *world, random *rand.Rand) step {
	hs, pause := anyHost(wd, random), restartAfter(random)
	return step{text: "SIGKILL to " + hs.name, do: func() { hs.signal(syscall.SIGKILL, pause) }}
}

func killAll(wd *world, random *rand.Rand) step {
	pause := restartAfter(random)
	return step{text: "SIGKILL to all hosts", do: func() {
		for _, hs := range wd.hosts {
			hs.signal(syscall.SIGKILL, pause)
		}
	}}
}

func pauseHost(wd *world, random *rand.Rand) step {
	hs := anyHost(wd, random)
	return step{
		text: "SIGSTOP to " + hs.name,
		do:   func() { hs.signal(syscall.SIGSTOP, 0) },
		undo: func() { hs.signal(syscall.SIGCONT, 0) },
	}
}

func reload(wd *world, random *rand.Rand) step {
	hs := anyHost(wd, random)
	return step{text: "SIGHUP to " + hs.name, do: func() { hs.signal(syscall.SIGHUP, 0) }}
}

func harmLink(wd *world, random *rand.Rand) step {
	ln := wd.links[random.IntN(len(wd.links))]
	md, delay := mode(1+random.IntN(int(modes)-1)), time.Duration(20+random.IntN(280))*time.Millisecond
	return step{
		text: fmt.Sprintf("link of %s %s", ln.name, md),
		do:   func() { ln.set(md, delay) },
		undo: func() { ln.set(passing, 0) },
	}
}

func harmStore(wd *world, random *rand.Rand) step {
	fault := []standin.StoreFault{standin.RejectsCalls, standin.IgnoresCalls, standin.OffsetsExpired}[random.IntN(3)]
	return step{
		text: fmt.Sprint("the store fails, kind ", fault),
		do:   func() { wd.store.SetFault(fault) },
		undo: func() { wd.store.SetFault(standin.NoStoreFault) },
	}
}

func harmServer(wd *world, random *rand.Rand) step {
	fault := standin.ServerFault(1 + random.IntN(int(standin.ForeignResponseOnReuse)))
	pick := random.Int()
	var sv *server
	return step{
		text: fmt.Sprint("a server fails, kind ", fault),
		do: func() {
			serving := wd.serving()
			sv = serving[pick%len(serving)]
			sv.SetFault(fault)
		},
		undo: func() { sv.SetFault(standin.NoServerFault) },
	}
}

// wordServer has a server say that it is leaving or wants to be left alone, send bytes without end, or stand still. One
// that said that it is leaving comes back as another one.
func wordServer(wd *world, random *rand.Rand) step {
	fault := []standin.ServerFault{standin.AnnouncesLeaving, standin.AsksForBackoff, standin.SendsEndlessGarbage, standin.StallsStreams}[random.IntN(4)]
	pick := random.Int()
	var sv *server
	return step{
		text: fmt.Sprint("a server fails, kind ", fault),
		do: func() {
			serving := wd.serving()
			sv = serving[pick%len(serving)]
			sv.SetFault(fault)
		},
		undo: func() {
			sv.SetFault(standin.NoServerFault)
			wd.mutex.Lock()
			defer wd.mutex.Unlock()
			if fault == standin.AnnouncesLeaving && !sv.gone {
				sv.SimulateRestart()
				wd.store.ListServer(sv.Server)
			}
		},
	}
}

// replaceServer has a server leave as the platform does it, after another one has come.
func replaceServer(wd *world, random *rand.Rand) step {
	pick := random.Int()
	return step{text: "a server is replaced", do: func() {
		serving := wd.serving()
		sv := serving[pick%len(serving)]
		if wd.take(sv) {
			wd.addServer(sv.Service, nil)
			go wd.retire(sv)
		}
	}}
}

func (wd *world) retire(sv *server) {
	wd.store.Put("keyed.servers", sv.ID, sv.ListEntry("draining"))
	time.Sleep(drainTime + time.Second)
	wd.store.Put("keyed.servers", sv.ID, nil)
	sv.Close()
}

// restartServer has a server crash and start anew at its address.
func restartServer(wd *world, random *rand.Rand) step {
	pick := random.Int()
	crash := standin.Crash{Downtime: time.Duration(50+random.IntN(1500)) * time.Millisecond, HangsWhileDown: random.IntN(3) == 0}
	return step{text: fmt.Sprint("a server crashes and is back in ", crash.Downtime, ", dark ", crash.HangsWhileDown), do: func() {
		serving := wd.serving()
		wd.crash(serving[pick%len(serving)], crash)
	}}
}

// crashServer ends a server at once. One of the other service takes over its address while it is still listed.
func crashServer(wd *world, random *rand.Rand) step {
	pick := random.Int()
	return step{text: "a server crashes, its address is used again", do: func() {
		serving := wd.serving()
		sv := serving[pick%len(serving)]
		if !wd.take(sv) {
			return
		}
		wd.mutex.Lock()
		wd.crashed[sv.ID] = true
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

func change(wd *world, random *rand.Rand) step {
	count := 1 + 4*random.IntN(2)
	return step{text: fmt.Sprint("new desired states: ", count), do: func() {
		for range count {
			wd.publish(1)
		}
	}}
}
