//go:build review

package drill

import (
	"fmt"
	"sync"
	"time"

	standin "github.com/hibiscuslever/hibiscuslever/standin/site"
)

func init() { cases["9"] = playColdInOutage }

// playColdInOutage has an engine of a plain service come back cold, under the id that it had. With trouble, the store is
// down meanwhile. In no second the engine may get more than ColdPerS x ColdOverage + ColdSlack requests.
func playColdInOutage(dp *deployment, trouble bool) int {
	const (
		hosts, engines = 6, 3
		coldFor        = 3 * time.Second
		coldPerS       = 17.0
		bound          = coldPerS*1.5 + 5
		requestsPerS   = 300
		downtime       = 2 * time.Second
		outage         = 8 * time.Second
		crashAfter     = 4 * time.Second
	)
	for ix := range engines {
		en := dp.addEngine("orders-app", zoneOf(ix), 12, 30*time.Millisecond, downtime)
		en.mutex.Lock()
		en.coldFor, en.resets, en.keepsID = coldFor, true, true
		en.bornAt = en.bornAt.Add(-coldFor)
		en.mutex.Unlock()
	}
	for ix := range hosts {
		dp.addDaemon(zoneOf(ix))
	}
	if !dp.publish(func(desired map[string]any) {
		for _, service := range desired["Services"].([]any) {
			if described := service.(map[string]any); described["Name"] == "orders-app" {
				described["ColdS"], described["ColdPerS"] = coldFor.Seconds(), coldPerS
			}
		}
	}) || !dp.startDaemons() {
		return couldNot
	}
	time.Sleep(2 * contactTime)
	ending := make(chan struct{})
	var load sync.WaitGroup
	load.Go(func() { dp.sendLookups(time.Second/requestsPerS, ending) })
	time.Sleep(2 * time.Second)
	if trouble {
		dp.note("the store is down")
		dp.store.SetFault(standin.IgnoresCalls)
	}
	time.Sleep(crashAfter)
	returning := dp.engines[0]
	returning.crash("the return of its zone")
	time.Sleep(outage - crashAfter)
	dp.store.SetFault(standin.NoStoreFault)
	dp.note("the store is up")
	time.Sleep(coldFor)
	close(ending)
	load.Wait()
	returning.mutex.Lock()
	bornAt, id := returning.bornAt, returning.id
	returning.mutex.Unlock()
	return dp.judgeColdEngine(id, bornAt, coldFor, bound)
}

// sendLookups sends requests that may be repeated to the hosts in turn.
func (dp *deployment) sendLookups(interval time.Duration, ending chan struct{}) {
	var sends sync.WaitGroup
	var mutex sync.Mutex
	statuses := map[string]int{}
	ticker := time.NewTicker(interval)
	defer ticker.Stop()
	for number := 0; ; number++ {
		select {
		case <-ending:
			sends.Wait()
			dp.note("how lookups ended: %v", statuses)
			return
		case <-ticker.C:
		}
		host := dp.daemons[number%len(dp.daemons)]
		sends.Go(func() {
			got := host.send(request{method: "GET", path: fmt.Sprint("/stock/", number), id: fmt.Sprintf("lookup-%d", number), deadline: 3 * time.Second, keeps: true})
			mutex.Lock()
			statuses[fmt.Sprint(got.status)]++
			mutex.Unlock()
		})
	}
}
