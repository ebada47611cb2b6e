//go:build review

package stage

import (
	"bytes"
	"fmt"
	"math/rand/v2"
	"sync"
	"syscall"
	"time"
)

// entryLag is lag_ms under discovery in the site file: how long after its start an engine writes its entry.
const entryLag = 800 * time.Millisecond

// frozenEntry freezes a daemon while it passes streams on that have no length. In the freeze the engine crashes, and it is back
// under its Id before the daemon wakes. The stream must not look complete before its last piece.
func frozenEntry(st *stage) string {
	const (
		// freezeTime and downTime are for_s of node_freeze and of srv_crash in the site file.
		freezeTime = 4 * time.Second
		downTime   = 3 * time.Second
		rounds     = 8
		streams    = 3
		engines    = 3
		gap        = 300 * time.Millisecond
		// deadline is the time limit of the kind schedule-review.
		deadline = 10 * time.Second
	)
	st.store.publish(800)
	var all []*engine
	for ix := range engines {
		en := st.startEngine(fmt.Sprintf("e-%d", ix+1), fmt.Sprintf("accra-%c", 'a'+ix), gap)
		defer en.crash()
		all = append(all, en)
	}
	st.startDaemons(kspumpLever, 3)
	target := st.daemons[0]
	broken, served := "", 0
	for round := 0; round < rounds && broken == ""; round++ {
		var group sync.WaitGroup
		var mutex sync.Mutex
		attempts := make([]string, streams)
		for number := range streams {
			attempts[number] = fmt.Sprintf("r%d-%d", round, number)
			group.Go(func() {
				attempt := attempts[number]
				st.record("%s is sent to %s", attempt, target.name)
				got := send(target.front, "POST", "/schedule/read", attempt, deadline, []byte("schedule of "+attempt), "X-Model", "m", "X-Token-Count", "45000,1000", "X-Prompt-Prefix", fmt.Sprintf("5c1e07a2:40,%08x:44960", rand.Uint32()))
				count := bytes.Count(got.body, []byte("data: piece"))
				st.record("%s got %d, seal %q, %d of %d pieces, ended by %v", attempt, got.status, got.seal, count, pieces, got.err)
				mutex.Lock()
				defer mutex.Unlock()
				switch {
				case got.status == 200 && got.err == nil && count == pieces:
					served++
				case got.status == 200 && got.err == nil:
					broken = fmt.Sprintf("%s ended as complete after %d of %d pieces", attempt, count, pieces)
				}
			})
		}
		if st.trouble {
			st.freezeAndCrash(target, all, attempts, freezeTime, downTime)
		}
		group.Wait()
	}
	st.record("%d streams were served whole", served)
	if broken == "" && served == 0 {
		panic(couldNotRun("no stream was served"))
	}
	return broken
}

// freezeAndCrash freezes a daemon and has the engine of the first attempt crash meanwhile.
func (st *stage) freezeAndCrash(target *daemon, all []*engine, attempts []string, freezeTime, downTime time.Duration) {
	var victim *engine
	await("an engine runs "+attempts[0], func() bool {
		for _, en := range all {
			if en.hasRun(attempts[0]) {
				victim = en
			}
		}
		return victim != nil
	})
	time.Sleep(time.Second)
	target.signal(syscall.SIGSTOP)
	frozenAt := time.Now()
	st.record("%s is frozen", target.name)
	// The crash and the return are both in the freeze.
	time.Sleep(100*time.Millisecond + time.Duration(rand.Int64N(int64(freezeTime-downTime-200*time.Millisecond))))
	victim.crash()
	time.Sleep(downTime)
	victim.start(entryLag)
	time.Sleep(freezeTime - time.Since(frozenAt))
	target.signal(syscall.SIGCONT)
	st.record("%s wakes", target.name)
}
