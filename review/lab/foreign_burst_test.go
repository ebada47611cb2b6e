//go:build review

package lab

import (
	"bytes"
	"context"
	"fmt"
	"net/http"
	"sync"
	"testing"
	"time"
)

// TestUnreadableEntries has another writer leave entries of bytes that can't be read, shortly before a server of the
// plain service reports that it is draining.
func TestUnreadableEntries(t *testing.T) {
	fl := newFleet(t)
	for ix, zone := range []string{"norte-a", "norte-b", "norte-c"} {
		fl.addEngine(fmt.Sprintf("i-order-%d", ix+1), plainService, zone, answerPlain)
	}
	fl.publish(standardRoutes())
	fl.startHosts(3)
	time.Sleep(contact)
	const (
		clients  = 12
		duration = 16 * time.Second
	)
	end := time.Now().Add(duration)
	var wait sync.WaitGroup
	var mutex sync.Mutex
	statuses := map[int]int{}
	sentAt := map[string]time.Time{}
	var unserved []string
	for number := range clients {
		wait.Go(func() {
			for sent := 0; time.Now().Before(end); sent++ {
				attempt := fmt.Sprintf("c%d-%d", number, sent)
				hs := fl.hosts[(number+sent)%len(fl.hosts)]
				mutex.Lock()
				sentAt[attempt] = time.Now()
				mutex.Unlock()
				ctx, cancel := context.WithTimeout(context.Background(), 3*time.Second)
				fl.note("client %d sends %s to %s", number, attempt, hs.name)
				got := fl.send(ctx, hs, http.MethodPost, attempt, "/order/confirm", "", 3*time.Second, []byte("order "+attempt))
				cancel()
				fl.note("client %d gets %d, seal %q, error %v", number, got.status, got.seal, got.err)
				mutex.Lock()
				statuses[got.status]++
				if got.status != http.StatusOK || got.err != nil {
					unserved = append(unserved, attempt)
				}
				mutex.Unlock()
				time.Sleep(40 * time.Millisecond)
			}
		})
	}
	time.Sleep(4 * time.Second)
	if fl.trouble {
		const entries, size = 40, 250_000
		garbage := bytes.Repeat([]byte{0xff, 0x00, '{', 'x'}, size/4)
		for number := range entries {
			fl.store.Put("keyed.servers", fmt.Sprintf("odd-%d", number), garbage)
		}
		fl.note("another writer leaves %d entries of %d bytes", entries, size)
	}
	leaving := fl.engines[0]
	ack := leaving.drain(1500 * time.Millisecond)
	fl.note("the store accepts that %s is draining", leaving.id)
	wait.Wait()
	late, last := 0, time.Duration(0)
	for _, arrival := range leaving.arrivals {
		if sentAt[arrival.attempt].After(ack.Add(drainTime)) && arrival.at.After(ack.Add(drainTime)) {
			late++
			last = arrival.at.Sub(ack)
		}
	}
	if statuses[http.StatusOK] < 100 {
		fl.finish(exitNotRun, "too few requests were served: %v", statuses)
	}
	if late > 0 {
		fl.finish(exitBroken, "DRAIN: %d requests reached %s later than %s after the store accepted that it is draining, the last one after %s; answers by status: %v, not served: %v",
			late, leaving.id, drainTime, last.Round(time.Millisecond), statuses, unserved)
	}
	fl.finish(exitHeld, "held; answers by status: %v, not served: %v", statuses, unserved)
}
