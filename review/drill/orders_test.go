//go:build review

package drill

import (
	"fmt"
	"slices"
	"strings"
	"sync"
	"time"

	standin "github.com/hibiscuslever/hibiscuslever/standin/site"
)

// publish writes a desired state with the routes and services of the cases. The figures are those of granizo-porto.
func (dp *deployment) publish(change func(desired map[string]any)) bool {
	desired := standin.ExampleDesiredState(hostName, apiKey)
	route := func(name, prefix, kind, service string, attempts, timeout int) map[string]any {
		return map[string]any{
			"Name": name, "Host": hostName, "PathPrefix": prefix, "Kind": kind, "TimeoutMs": timeout, "TargetLatencyMs": 300, "Priority": 2,
			"Service": service, "MaxAttempts": attempts, "Sticky": kind == "streaming", "Resumable": kind == "streaming", "TargetGapMs": 250,
		}
	}
	desired["Routes"] = []any{
		route("quote-chat", "/chat/", "streaming", "assistant-llm", 2, 10_000),
		route("order-confirm", "/order/", "non_idempotent", "orders-app", 1, 1500),
		route("stock-lookup", "/stock/", "idempotent", "orders-app", 2, 1500),
	}
	for _, service := range desired["Services"].([]any) {
		described := service.(map[string]any)
		described["Name"] = map[any]any{"books": "orders-app", "models": "assistant-llm"}[described["Name"]]
		described["MaxConnections"] = 388
	}
	desired["Limits"].(map[string]any)["IdleTimeoutMs"] = 60_000
	if change != nil {
		change(desired)
	}
	if err := dp.store.PublishDesiredState(desired); err != nil {
		dp.note("desired state: %v", err)
		return false
	}
	return true
}

// zoneOf returns the zone of the host or engine with a number.
func zoneOf(number int) string { return "norte-" + string(rune('a'+number%3)) }

// sendOrders sends ordinary orders to the hosts in turn until the returned function is called, which records how they ended.
func (dp *deployment) sendOrders(interval time.Duration) func() {
	ending, ended := make(chan struct{}), make(chan struct{})
	statuses := map[string]int{}
	var mutex sync.Mutex
	go func() {
		defer close(ended)
		var sends sync.WaitGroup
		defer sends.Wait()
		for number := 0; ; number++ {
			select {
			case <-ending:
				return
			case <-time.After(interval):
			}
			host := dp.daemons[number%len(dp.daemons)]
			sends.Go(func() {
				rq := request{method: "POST", path: "/order/x", id: fmt.Sprintf("order-%d", number), body: fmt.Sprintf(`{"order":%d}`, number), deadline: 3 * time.Second}
				got := host.send(rq)
				outcome := fmt.Sprint(got.status)
				if got.err != nil {
					outcome = "no answer"
				}
				mutex.Lock()
				statuses[outcome]++
				mutex.Unlock()
			})
		}
	}()
	return sync.OnceFunc(func() {
		close(ending)
		<-ended
		dp.note("how ordinary orders ended: %v", statuses)
	})
}

// judgeCrashes checks the rule on requests that crash engines: not more than some retries reach engines later than ContactMs
// after the third crash.
func (dp *deployment) judgeCrashes(allowedRetries int) int {
	crashes := dp.crashTimes()
	slices.SortFunc(crashes, time.Time.Compare)
	const limit = 3
	dp.note("%d crashes", len(crashes))
	if len(crashes) < limit {
		dp.note("fewer than %d crashes", limit)
		return couldNot
	}
	late := map[string]bool{}
	for _, ex := range dp.executions() {
		if strings.Contains(ex.body, deadlyMark) && ex.at.Sub(crashes[limit-1]) > contactTime {
			late[ex.attempt] = true
			dp.note("request %s reached engine %s %d ms after crash %d", ex.attempt, ex.engine, ex.at.Sub(crashes[limit-1]).Milliseconds(), limit)
		}
	}
	dp.note("%d retries reached engines later than %s after crash %d, allowed %d", len(late), contactTime, limit, allowedRetries)
	if len(late) > allowedRetries {
		return broken
	}
	return held
}
