//go:build review

package lab

import (
	"context"
	"fmt"
	"net/http"
	"slices"
	"sync"
	"testing"
	"time"
)

const (
	crashPath = "/quote/deadly"
	crashBody = "a prompt that crashes each engine that begins to run it"
)

// TestCrashAfterClientLeft sends a request that crashes the engines that begin to run it. With the disruption, its
// clients leave before the engine begins. Two of the engines, as the page allows, go on with a request whose channel was
// closed.
func TestCrashAfterClientLeft(t *testing.T) {
	fl := newFleet(t)
	var mutex sync.Mutex
	var crashes, arrivals []time.Time
	const engineCount = 6
	for ix := range engineCount {
		keepsRunning := ix < 2
		fl.addEngine(fmt.Sprintf("i-llm-%d", ix+1), modelService, fmt.Sprintf("norte-%c", 'a'+ix%3), func(en *engine, writer http.ResponseWriter, request *http.Request, _ []byte) {
			const firstEvent = 80 * time.Millisecond
			if request.URL.Path != crashPath {
				streamEvents(en, writer, request, firstEvent)
				return
			}
			attempt := request.Header.Get("X-Attempt-Id")
			mutex.Lock()
			arrivals = append(arrivals, time.Now())
			mutex.Unlock()
			fl.note("%s reaches %s", attempt, en.id)
			left := request.Context().Done()
			if keepsRunning {
				left = nil
			}
			select {
			case <-time.After(firstEvent):
			case <-left:
				fl.note("%s drops %s, whose channel was closed", en.id, attempt)
				return
			}
			mutex.Lock()
			crashes = append(crashes, time.Now())
			mutex.Unlock()
			fl.note("%s begins to run %s and crashes", en.id, attempt)
			en.crash(2 * time.Second)
		})
	}
	fl.publish(standardRoutes())
	fl.startHosts(3)
	time.Sleep(contact)
	const duration = 45 * time.Second
	end := time.Now().Add(duration)
	var wait sync.WaitGroup
	statuses := map[int]int{}
	for number := range 6 {
		wait.Go(func() {
			for sent := 0; time.Now().Before(end); sent++ {
				attempt := fmt.Sprintf("q%d-%d", number, sent)
				ctx, cancel := context.WithTimeout(context.Background(), 10*time.Second)
				got := fl.send(ctx, fl.hosts[(number+sent)%len(fl.hosts)], http.MethodPost, attempt, "/quote/"+attempt, "4960,1600", 10*time.Second, []byte("prompt "+attempt))
				cancel()
				mutex.Lock()
				statuses[got.status]++
				mutex.Unlock()
				fl.note("client %d gets %d to %s, error %v", number, got.status, attempt, got.err)
				time.Sleep(200 * time.Millisecond)
			}
		})
	}
	wait.Go(func() {
		for sent := 0; time.Now().Before(end); sent++ {
			attempt := fmt.Sprintf("deadly-%d", sent)
			hs := fl.hosts[sent%len(fl.hosts)]
			stay := 10 * time.Second
			if fl.trouble {
				// Half the response-time goal of 300 ms is the longest time after which such a client leaves.
				stay = 40 * time.Millisecond
			}
			ctx, cancel := context.WithTimeout(context.Background(), stay)
			got := fl.send(ctx, hs, http.MethodPost, attempt, crashPath, "4960,1600", 10*time.Second, []byte(crashBody))
			cancel()
			fl.note("the client of %s at %s leaves or gets an answer: status %d, error %v", attempt, hs.name, got.status, got.err)
			time.Sleep(500 * time.Millisecond)
		}
	})
	wait.Wait()
	time.Sleep(200 * time.Millisecond)
	mutex.Lock()
	defer mutex.Unlock()
	if statuses[http.StatusOK] < 100 {
		fl.finish(exitNotRun, "too few requests were served: %v", statuses)
	}
	const crashLimit, allowed = 3, 3
	if len(crashes) < crashLimit {
		fl.finish(exitHeld, "held: %d crashes, %d arrivals; other answers by status: %v", len(crashes), len(arrivals), statuses)
	}
	from := crashes[crashLimit-1].Add(contact)
	late := len(slices.DeleteFunc(slices.Clone(arrivals), func(at time.Time) bool { return !at.After(from) }))
	lateCrashes := len(slices.DeleteFunc(slices.Clone(crashes), func(at time.Time) bool { return !at.After(from) }))
	if late > allowed {
		fl.finish(exitBroken, "BUDGET: the request reached engines %d times later than %s after its third crash, and crashed %d of them; %d crashes in all; other answers by status: %v",
			late, contact, lateCrashes, len(crashes), statuses)
	}
	fl.finish(exitHeld, "held: %d crashes, %d arrivals, %d of them later than %s after the third crash; other answers by status: %v", len(crashes), len(arrivals), late, contact, statuses)
}
