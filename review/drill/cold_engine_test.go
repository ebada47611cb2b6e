//go:build review

package drill

import (
	"fmt"
	"slices"
	"sync"
	"time"
)

func init() { cases["8"] = playColdEngine }

// playColdEngine adds an engine, which is cold, while some hosts are cut off from all others. In no second the engine may get
// more requests from all hosts together than ColdPerS x ColdOverage + ColdSlack.
func playColdEngine(dp *deployment, trouble bool) int {
	const (
		hosts, cutHosts = 6, 2
		coldFor         = 3 * time.Second
		coldPerS        = 17.0
		// bound is ColdPerS x ColdOverage + ColdSlack.
		bound = coldPerS*1.5 + 5
		// requestsPerS is how many requests each host that is cut off gets, and all others together.
		requestsPerS = 80
		cutFor       = 12 * time.Second
		addedAfter   = 11 * time.Second
		engines      = 4
		slots        = 12
		work         = 60 * time.Millisecond
	)
	for ix := range engines {
		dp.addEngine("assistant-llm", zoneOf(ix), slots, work, 0)
	}
	for ix := range hosts {
		dp.addDaemon(zoneOf(ix))
	}
	links, err := dp.linkPeers()
	if err != nil || !dp.publish(func(desired map[string]any) {
		for _, service := range desired["Services"].([]any) {
			if described := service.(map[string]any); described["Name"] == "assistant-llm" {
				described["ColdS"], described["ColdPerS"] = coldFor.Seconds(), coldPerS
				described["Engine"].(map[string]any)["Slots"] = 12
			}
		}
	}) || !dp.startDaemons() {
		return couldNot
	}
	time.Sleep(contactTime)
	cutOff := dp.daemons[hosts-cutHosts:]
	groups := [][]*daemon{dp.daemons[:hosts-cutHosts]}
	for _, dm := range cutOff {
		groups = append(groups, []*daemon{dm})
	}
	ending := make(chan struct{})
	var loads sync.WaitGroup
	for ix, group := range groups {
		loads.Go(func() { dp.sendPrompts(fmt.Sprint("prompt-", ix), group, time.Second/requestsPerS, ending) })
	}
	time.Sleep(2 * time.Second)
	cutAt := time.Now()
	if trouble {
		links.cutOff(cutOff...)
	}
	time.Sleep(addedAfter)
	added := dp.addColdEngine("assistant-llm", zoneOf(engines), slots, work, coldFor)
	time.Sleep(time.Until(cutAt.Add(cutFor)))
	if trouble {
		links.heal()
	}
	time.Sleep(coldFor)
	close(ending)
	loads.Wait()
	return dp.judgeColdEngine(added.id, added.bornAt, coldFor, bound)
}

// sendPrompts sends short prompts to some hosts in turn.
func (dp *deployment) sendPrompts(prefix string, hosts []*daemon, interval time.Duration, ending chan struct{}) {
	var sends sync.WaitGroup
	defer sends.Wait()
	ticker := time.NewTicker(interval)
	defer ticker.Stop()
	statuses := map[string]int{}
	var mutex sync.Mutex
	for number := 0; ; number++ {
		select {
		case <-ending:
			sends.Wait()
			dp.note("how requests %s to %d hosts ended: %v", prefix, len(hosts), statuses)
			return
		case <-ticker.C:
		}
		host := hosts[number%len(hosts)]
		sends.Go(func() {
			got := host.send(request{method: "POST", path: "/chat/x", id: fmt.Sprintf("%s-%d", prefix, number), body: fmt.Sprint(prefix, number), deadline: 10 * time.Second, keeps: true, header: map[string]string{
				"X-Model": "m", "X-Token-Count": "1000,80", "X-Prompt-Prefix": fmt.Sprintf("%x:1000", number+1<<20),
			}})
			mutex.Lock()
			statuses[fmt.Sprint(got.status)]++
			mutex.Unlock()
		})
	}
}

// judgeColdEngine checks the most requests that reached an engine in a second while it was cold.
func (dp *deployment) judgeColdEngine(id string, bornAt time.Time, coldFor time.Duration, bound float64) int {
	var arrivals []executed
	for _, ex := range dp.executions() {
		if ex.engine == id && !ex.at.Before(bornAt) && ex.at.Sub(bornAt) < coldFor {
			arrivals = append(arrivals, ex)
		}
	}
	slices.SortFunc(arrivals, func(left, right executed) int { return left.at.Compare(right.at) })
	most, first := 0, 0
	var mostAt time.Time
	for ix, ex := range arrivals {
		for ex.at.Sub(arrivals[first].at) >= time.Second {
			first++
		}
		if count := ix - first + 1; count > most {
			most, mostAt = count, arrivals[first].at
		}
	}
	for _, ex := range arrivals {
		dp.note("request %s reached the cold engine %s %d ms after its start", ex.attempt, id, ex.at.Sub(bornAt).Milliseconds())
	}
	dp.note("%d requests reached %s while it was cold, at most %d of them in a second (from %d ms after its start), allowed %.1f", len(arrivals), id, most, mostAt.Sub(bornAt).Milliseconds(), bound)
	if len(arrivals) == 0 {
		return couldNot
	}
	if float64(most) > bound {
		return broken
	}
	return held
}
