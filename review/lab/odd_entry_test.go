//go:build review

package lab

import (
	"context"
	"encoding/json"
	"fmt"
	"net/http"
	"sync"
	"testing"
	"time"
)

// TestOddEntry has another writer leave entries of which fields are missing. They name no engine to use.
func TestOddEntry(t *testing.T) {
	fl := newFleet(t)
	for ix, zone := range []string{"norte-a", "norte-b", "norte-c"} {
		fl.addEngine(fmt.Sprintf("i-order-%d", ix+1), plainService, zone, answerPlain)
		fl.addEngine(fmt.Sprintf("i-llm-%d", ix+1), modelService, zone, func(en *engine, writer http.ResponseWriter, request *http.Request, body []byte) {
			if request.Header.Get("X-Token-Count") == "" {
				answerPlain(en, writer, request, body)
				return
			}
			streamEvents(en, writer, request, 60*time.Millisecond)
		})
	}
	fl.publish(standardRoutes())
	fl.startHosts(3)
	time.Sleep(contact)
	const (
		clients  = 12
		duration = 20 * time.Second
	)
	end := time.Now().Add(duration)
	var wait sync.WaitGroup
	var mutex sync.Mutex
	statuses := map[int]int{}
	for number := range clients {
		wait.Go(func() {
			for sent := 0; time.Now().Before(end); sent++ {
				attempt := fmt.Sprintf("c%d-%d", number, sent)
				hs := fl.hosts[(number+sent)%len(fl.hosts)]
				path := "/order/confirm"
				ctx, cancel := context.WithTimeout(context.Background(), 3*time.Second)
				fl.note("client %d sends %s %s to %s", number, attempt, path, hs.name)
				got := fl.send(ctx, hs, http.MethodPost, attempt, path, "", 3*time.Second, []byte("order "+attempt))
				cancel()
				fl.note("client %d gets %d, seal %q, error %v", number, got.status, got.seal, got.err)
				mutex.Lock()
				statuses[got.status]++
				mutex.Unlock()
				time.Sleep(150 * time.Millisecond)
			}
		})
	}
	if fl.trouble {
		victim := fl.engines[1]
		for range 3 {
			time.Sleep(4 * time.Second)
			// Version and ColdRemainingMs are missing.
			entry, _ := json.Marshal(map[string]any{
				"Service": plainService, "Address": victim.address, "Zone": victim.zone, "Slots": 16, "State": "ready", "Sequence": 1,
			})
			fl.store.Put("keyed.servers", victim.id, entry)
			fl.note("another writer leaves %s under servers/%s", entry, victim.id)
		}
	}
	wait.Wait()
	misrouted := 0
	for _, en := range fl.engines {
		for _, rn := range en.runs {
			if en.service == modelService && rn.path == "/order/confirm" {
				misrouted++
			}
		}
	}
	if statuses[http.StatusOK] < 100 {
		fl.finish(exitNotRun, "too few requests were served: %v", statuses)
	}
	if misrouted > 0 {
		fl.finish(exitBroken, "ROUTE: %d requests for %s were run by an engine of %s; answers by status: %v", misrouted, plainService, modelService, statuses)
	}
	fl.finish(exitHeld, "held; answers by status: %v", statuses)
}
