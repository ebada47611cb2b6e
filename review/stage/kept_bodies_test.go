//go:build review

package stage

import (
	"bytes"
	"fmt"
	"math/rand/v2"
	"sync"
	"sync/atomic"
	"time"
)

// keptBodies sends bodies within MaxBodyBytes, few at a time, while one server of three loses a part of its answers in spells of
// four seconds. The platform kills a process that exceeds MemoryMb; the case only looks at that.
func keptBodies(st *stage) string {
	const (
		// lostShare and lossTime are x and for_s of answer_lost (how reset) in the site file, where it strikes up to 0.6 of the servers.
		lostShare  = 0.4
		lossTime   = 4 * time.Second
		pauseTime  = time.Second
		bodyBytes  = 4_000_000
		requesters = 3
		runTime    = 90 * time.Second
		// sendPause keeps the traffic below the link of a machine, 700 Mbit/s.
		sendPause = 100 * time.Millisecond
	)
	var loses atomic.Bool
	st.store.publish(4000)
	var servers []*server
	for ix := range 3 {
		losesAnswer := func() bool { return false }
		if ix == 0 && st.trouble {
			losesAnswer = func() bool { return loses.Load() && rand.Float64() < lostShare }
		}
		sv := st.startServer(fmt.Sprintf("i-%d", ix+1), "bookings-app", fmt.Sprintf("accra-%c", 'a'+ix), losesAnswer)
		defer sv.close()
		servers = append(servers, sv)
	}
	st.startDaemons(kspumpLever, 3)
	target := st.daemons[0]
	body := bytes.Repeat([]byte("b"), bodyBytes)
	stop := make(chan struct{})
	var requests sync.WaitGroup
	var sent, served atomic.Int64
	for requester := range requesters {
		requests.Go(func() {
			for number := 0; ; number++ {
				select {
				case <-stop:
					return
				case <-time.After(sendPause):
				}
				attempt := fmt.Sprintf("a%d-%d", requester, number)
				sent.Add(1)
				got := send(target.front, "POST", "/confirm/book", attempt, 4*time.Second, body)
				if got.status == 200 {
					served.Add(1)
				} else {
					st.record("%s got %d %v %q", attempt, got.status, got.err, got.body)
				}
			}
		})
	}
	startedAt := time.Now()
	peak, broken := 0, ""
	for tick := 0; time.Since(startedAt) < runTime && broken == ""; tick++ {
		spell := time.Since(startedAt) % (lossTime + pauseTime)
		loses.Store(spell < lossTime)
		kb := target.residentKb()
		peak = max(peak, kb)
		if tick%10 == 0 {
			st.record("%s takes %d kB; %d requests sent, %d served, %d answers lost", target.name, kb, sent.Load(), served.Load(), servers[0].lost.Load())
		}
		switch {
		case target.hasExited():
			broken = target.name + " ended by itself"
		case kb > kspumpLever.memoryMb<<10:
			broken = fmt.Sprintf("%s takes %d kB of %d MB after %d requests, of which %d lost their answers", target.name, kb, kspumpLever.memoryMb, sent.Load(), servers[0].lost.Load())
		}
		time.Sleep(100 * time.Millisecond)
	}
	close(stop)
	if broken != "" {
		return broken
	}
	requests.Wait()
	st.record("peak %d kB, %d requests sent, %d served, %d answers lost", peak, sent.Load(), served.Load(), servers[0].lost.Load())
	if served.Load() == 0 {
		panic(couldNotRun("no request was served"))
	}
	return ""
}
