//go:build review

package drill

import (
	"fmt"
	"sync"
	"syscall"
	"time"
)

func init() { cases["10"] = playLostEvidence }

// playLostEvidence sends an order that crashes each engine that begins to run it. After the first crash, with trouble, all
// hosts are killed at the same moment and start again. The order crashes two more engines, and comes again later than
// ContactMs after the third crash from a requester that repeats it three times more, at once.
func playLostEvidence(dp *deployment, trouble bool) int {
	const (
		hosts, engines = 6, 6
		down           = time.Second
		repeats        = 3
		allowedRetries = 3
	)
	for ix := range engines {
		dp.addEngine("orders-app", zoneOf(ix), 6, 60*time.Millisecond, 4*time.Second).resets = true
	}
	for ix := range hosts {
		dp.addDaemon(zoneOf(ix))
	}
	if !dp.publish(nil) || !dp.startDaemons() {
		return couldNot
	}
	time.Sleep(contactTime)
	sent := 0
	send := func(count int) {
		var sends sync.WaitGroup
		for range count {
			sent++
			rq := request{method: "POST", path: "/order/x", id: fmt.Sprintf("deadly-%d", sent), body: `{"order":"` + deadlyMark + `"}`, deadline: 3 * time.Second}
			host := dp.daemons[sent%hosts]
			sends.Go(func() {
				dp.note("request %s sent to %s", rq.id, host.name)
				dp.note("request %s: %s", rq.id, host.send(rq))
			})
		}
		sends.Wait()
	}
	send(1)
	time.Sleep(2 * time.Second)
	if trouble {
		var kills sync.WaitGroup
		for _, dm := range dp.daemons {
			kills.Go(func() { dm.signal(syscall.SIGKILL) })
		}
		kills.Wait()
		time.Sleep(down)
		for _, dm := range dp.daemons {
			if !dm.start() {
				return couldNot
			}
		}
	}
	// The hosts are ready and in touch again, and all engines are back.
	if !dp.await("all hosts ready", startTime, dp.allReady) {
		return couldNot
	}
	time.Sleep(2 * contactTime)
	for range 2 {
		send(1)
		time.Sleep(6 * time.Second)
	}
	send(1 + repeats)
	time.Sleep(6 * time.Second)
	send(1 + repeats)
	time.Sleep(time.Second)
	return dp.judgeCrashes(allowedRetries)
}
