//go:build review

package drill

import (
	"fmt"
	"strings"
	"sync"
	"time"
)

func init() { cases["6"] = playCutAnswer }

// playCutAnswer sends orders whose answers have no length and end with their channel. With trouble, engines crash in turn:
// their channels end, they are dark for a while, and then start again. No requester may get a part of an answer as a whole one.
func playCutAnswer(dp *deployment, trouble bool) int {
	const (
		hosts, engines = 6, 6
		timeout        = 2 * time.Second
		work           = 400 * time.Millisecond
		downtime       = 800 * time.Millisecond
		period         = 2500 * time.Millisecond
		duration       = 45 * time.Second
		interval       = 20 * time.Millisecond
	)
	for ix := range engines {
		dp.addEngine("orders-app", zoneOf(ix), 12, work, downtime).unframed = true
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
	if trouble {
		go func() {
			for number := 0; ; number++ {
				time.Sleep(period)
				dp.engines[number%engines].crash("a fault")
			}
		}()
	}
	var mutex sync.Mutex
	statuses, cut := map[string]int{}, 0
	var sends sync.WaitGroup
	began := time.Now()
	for number := 0; time.Since(began) < duration; number++ {
		host := dp.daemons[number%hosts]
		sends.Go(func() {
			rq := request{method: "POST", path: "/order/x", id: fmt.Sprintf("order-%d", number), body: fmt.Sprintf(`{"order":%d}`, number), deadline: 4 * time.Second}
			got := host.send(rq)
			mutex.Lock()
			defer mutex.Unlock()
			whole := unframedAnswer(rq.id)
			switch {
			case got.err != nil:
				statuses["broken off or no answer"]++
			case got.status != 200:
				statuses[fmt.Sprint(got.status)]++
			case got.body == whole:
				statuses["200, whole"]++
			default:
				cut++
				dp.note("request %s gets 200 after %d ms with seal %q and %d of %d bytes as a whole answer (a prefix: %t)", rq.id, got.took.Milliseconds(), got.seal, len(got.body), len(whole), strings.HasPrefix(whole, got.body))
			}
		})
		time.Sleep(interval)
	}
	sends.Wait()
	dp.note("%d crashes; how orders ended: %v; %d got a part as a whole answer", len(dp.crashTimes()), statuses, cut)
	if cut > 0 {
		return broken
	}
	return held
}
