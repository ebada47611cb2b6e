//go:build review

package stage

import (
	"bytes"
	"fmt"
	"math/rand/v2"
	"sync"
	"time"
)

// reborn cuts an engine off from all machines while it gives streams that have no length. Behind the cut it crashes and starts
// again, as "node_cut" with "servers reborn" says. A stream must not look complete before its last piece.
func reborn(st *stage) string {
	const (
		rounds  = 8
		streams = 6
		engines = 6
		gap     = 300 * time.Millisecond
		// deadline is the time limit of the kind schedule-review.
		deadline = 10 * time.Second
	)
	st.store.publish(800)
	var all []*engine
	links := map[*engine]*link{}
	for ix := range engines {
		en := st.newEngine(fmt.Sprintf("e-%d", ix+1), fmt.Sprintf("accra-%c", 'a'+ix), gap)
		lk := newLink(en.address)
		defer lk.close()
		en.entry.Address = lk.address()
		links[en] = lk
		en.run()
		defer en.crash()
		all = append(all, en)
	}
	st.startDaemons(kspumpLever, 3)
	var mutex sync.Mutex
	served, unfinished, early := 0, 0, 0
	for round := range rounds {
		var group sync.WaitGroup
		attempts := make([]string, streams)
		for number := range streams {
			attempts[number] = fmt.Sprintf("r%d-%d", round, number)
			group.Go(func() {
				attempt, target := attempts[number], st.daemons[number%len(st.daemons)]
				st.record("%s is sent to %s", attempt, target.name)
				got := send(target.front, "POST", "/schedule/read", attempt, deadline, []byte("schedule of "+attempt), "X-Model", "m", "X-Token-Count", "45000,1000", "X-Prompt-Prefix", fmt.Sprintf("5c1e07a2:40,%08x:44960", rand.Uint32()))
				count := bytes.Count(got.body, []byte("data: piece"))
				st.record("%s got %d, seal %q, %d of %d pieces, ended by %v", attempt, got.status, got.seal, count, pieces, got.err)
				mutex.Lock()
				defer mutex.Unlock()
				switch {
				case got.status != 200 || got.err != nil:
					unfinished++
				case count == pieces:
					served++
				default:
					early++
				}
			})
		}
		if st.trouble {
			st.cutAndCrash(all, links, attempts[0])
		}
		group.Wait()
	}
	st.record("%d streams served whole, %d not finished, %d ended as complete before their last piece", served, unfinished, early)
	if served == 0 {
		panic(couldNotRun("no stream was served"))
	}
	if early > 0 {
		return fmt.Sprintf("%d of %d streams ended as complete before their last piece", early, rounds*streams)
	}
	return ""
}

// cutAndCrash cuts off the engine that runs an attempt. The engine crashes behind the cut and starts again.
func (st *stage) cutAndCrash(all []*engine, links map[*engine]*link, attempt string) {
	const (
		// downTime is how long the engine is down.
		downTime = 800 * time.Millisecond
		// endsAgain is when, after the crash, the system of the engine sends the end of its channels for the fourth time: at once
		// and 0.2, 0.6 and 1.4 s later. The cut is over then.
		endsAgain = 1400 * time.Millisecond
	)
	var victim *engine
	await("an engine runs "+attempt, func() bool {
		for _, en := range all {
			if en.hasRun(attempt) {
				victim = en
			}
		}
		return victim != nil
	})
	time.Sleep(time.Second)
	links[victim].cut()
	st.record("%s is cut off", victim.id)
	time.Sleep(time.Duration(rand.Int64N(int64(200 * time.Millisecond))))
	victim.crash()
	crashedAt := time.Now()
	time.Sleep(downTime)
	victim.takeNewID()
	victim.start(entryLag)
	time.Sleep(endsAgain - time.Since(crashedAt))
	links[victim].heal()
	st.record("%s is reached again", victim.id)
}
