//go:build review

package drill

import (
	"fmt"
	"sync"
	"time"
)

func init() { cases["7"] = playDroppedEntry }

// playDroppedEntry sends an order that crashes each engine that begins to run it, again and again. Its requester stays. With
// trouble, the engines fall silent when they crash, and their entries are removed before the order's TimeoutMs has passed;
// otherwise they reset their channels.
func playDroppedEntry(dp *deployment, trouble bool) int {
	const (
		hosts, engines = 6, 6
		timeout        = 4500 * time.Millisecond
		timeLimit      = 8 * time.Second
		period         = 2500 * time.Millisecond
		duration       = 45 * time.Second
		allowedRetries = 3
	)
	for ix := range engines {
		dp.addEngine("orders-app", zoneOf(ix), 6, 60*time.Millisecond, 5*time.Second).resets = !trouble
	}
	for ix := range hosts {
		dp.addDaemon(zoneOf(ix))
	}
	if !dp.publish(func(desired map[string]any) {
		for _, route := range desired["Routes"].([]any) {
			if described := route.(map[string]any); described["Kind"] != "streaming" {
				described["TimeoutMs"] = timeout.Milliseconds()
			}
		}
	}) || !dp.startDaemons() {
		return couldNot
	}
	time.Sleep(contactTime)
	stopOrders := dp.sendOrders(20 * time.Millisecond)
	defer stopOrders()
	time.Sleep(time.Second)
	var sends sync.WaitGroup
	began := time.Now()
	for number := 0; time.Since(began) < duration; number++ {
		rq := request{method: "POST", path: "/order/x", id: fmt.Sprintf("deadly-%d", number), body: `{"order":"` + deadlyMark + `"}`, deadline: timeLimit}
		host := dp.daemons[number%hosts]
		sends.Go(func() {
			dp.note("request %s sent to %s", rq.id, host.name)
			dp.note("request %s: %s", rq.id, host.send(rq))
		})
		time.Sleep(period)
	}
	sends.Wait()
	stopOrders()
	return dp.judgeCrashes(allowedRetries)
}
