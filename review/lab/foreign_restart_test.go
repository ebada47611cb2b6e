//go:build review

package lab

import (
	"bytes"
	"context"
	"fmt"
	"net/http"
	"os"
	"strings"
	"sync"
	"syscall"
	"testing"
	"time"
)

// residentMegabytes returns the resident memory of a process, mapped files included.
func residentMegabytes(pid int) int {
	status, _ := os.ReadFile(fmt.Sprintf("/proc/%d/status", pid))
	for line := range strings.SplitSeq(string(status), "\n") {
		var kilobytes int
		if _, err := fmt.Sscanf(line, "VmRSS: %d kB", &kilobytes); err == nil {
			return kilobytes >> 10
		}
	}
	return 0
}

// TestRestartBesideUnreadableEntries has another writer leave entries of bytes that can't be read. Later all processes are
// killed and start again.
func TestRestartBesideUnreadableEntries(t *testing.T) {
	fl := newFleet(t)
	for ix, zone := range []string{"norte-a", "norte-b", "norte-c"} {
		fl.addEngine(fmt.Sprintf("i-order-%d", ix+1), plainService, zone, answerPlain)
	}
	fl.publish(standardRoutes())
	fl.startHosts(3)
	time.Sleep(contact)
	const (
		clients  = 12
		recovery = 12 * time.Second
		tail     = 10 * time.Second
	)
	var wait sync.WaitGroup
	var mutex sync.Mutex
	type result struct {
		at     time.Time
		served bool
	}
	var results []result
	stop := make(chan struct{})
	for number := range clients {
		wait.Go(func() {
			for sent := 0; ; sent++ {
				select {
				case <-stop:
					return
				default:
				}
				attempt := fmt.Sprintf("c%d-%d", number, sent)
				hs := fl.hosts[(number+sent)%len(fl.hosts)]
				at := time.Now()
				ctx, cancel := context.WithTimeout(context.Background(), 3*time.Second)
				fl.note("client %d sends %s to %s", number, attempt, hs.name)
				got := fl.send(ctx, hs, http.MethodGet, attempt, "/stock/item", "", 3*time.Second, nil)
				cancel()
				fl.note("client %d gets %d, seal %q, error %v", number, got.status, got.seal, got.err)
				mutex.Lock()
				results = append(results, result{at, got.status == http.StatusOK && got.err == nil})
				mutex.Unlock()
				time.Sleep(100 * time.Millisecond)
			}
		})
	}
	const entries, size = 240, 250_000
	garbage := bytes.Repeat([]byte{0xff, 0x00, '{', 'x'}, size/4)
	for number := range entries {
		if fl.trouble {
			fl.store.Put("keyed.servers", fmt.Sprintf("odd-%d", number), garbage)
		}
		time.Sleep(25 * time.Second / time.Duration(entries))
	}
	fl.note("another writer has left %d entries of %d bytes: %t", entries, size, fl.trouble)
	time.Sleep(5 * time.Second)
	for _, hs := range fl.hosts {
		fl.note("%s has %d MB resident", hs.name, residentMegabytes(hs.process.Process.Pid))
	}
	killedAt := time.Now()
	fl.note("all processes are killed")
	for _, hs := range fl.hosts {
		_ = hs.process.Process.Signal(syscall.SIGKILL)
	}
	for _, hs := range fl.hosts {
		<-hs.exited
	}
	time.Sleep(900 * time.Millisecond)
	for _, hs := range fl.hosts {
		hs.start()
	}
	backAt := time.Now()
	fl.note("all processes are started again")
	time.Sleep(recovery + tail)
	close(stop)
	wait.Wait()
	share := func(from, to time.Time) (served, all int) {
		for _, rs := range results {
			if rs.at.After(from) && rs.at.Before(to) {
				all++
				if rs.served {
					served++
				}
			}
		}
		return served, all
	}
	servedBefore, before := share(fl.started, killedAt.Add(-time.Second))
	servedAfter, after := share(backAt.Add(recovery), time.Now())
	if 4*servedBefore < before || after < 50 {
		fl.finish(exitNotRun, "%d of %d were served before", servedBefore, before)
	}
	if 4*servedAfter < after {
		fl.finish(exitBroken, "RECOVER: later than %s after the machines were back, %d of %d requests were served; before the fault, %d of %d", recovery, servedAfter, after, servedBefore, before)
	}
	fl.finish(exitHeld, "held: later than %s after the machines were back, %d of %d requests were served; before the fault, %d of %d", recovery, servedAfter, after, servedBefore, before)
}
