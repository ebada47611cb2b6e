// Package soak runs entry hosts as separate processes under random faults and checks the users' rules while it does.
package soak

import (
	"context"
	"flag"
	"fmt"
	"math/rand/v2"
	"os"
	"path/filepath"
	"strings"
	"sync"
	"syscall"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/hibiscuslever/hibiscuslever/checks"
)

var (
	count   = flag.Int("soak.seeds", 0, "`NUMBER` of seeds to run instead of those in testdata/seeds.txt")
	first   = flag.Uint64("soak.from", 1, "`SEED` of the first of them")
	seconds = flag.Float64("soak.seconds", 8, "`SECONDS` of faults for each of them")
	mixName = flag.String("soak.mix", "Dense", "`NAME` of the mix of their faults, Sparse, Dense, Words or Crashing")
	timed   = flag.Bool("soak.timed", false, "check bounds of time as well, on a machine that is otherwise idle")
	logs    = flag.String("soak.logs", "", "`FOLDER` for the logs of seeds that failed")
)

// binaries is the folder that the daemon is built into.
var binaries string

func TestMain(m *testing.M) {
	flag.Parse()
	os.Exit(checks.WithBuiltPrograms(func(dir string) int {
		binaries = dir
		return m.Run()
	}, "../cmd/hibiscusleverd"))
}

// TestSoak runs each seed: faults, then calm, then the checks.
func TestSoak(t *testing.T) {
	for _, ru := range runs(t) {
		t.Run(fmt.Sprint(ru.seed), func(t *testing.T) {
			t.Parallel()
			soak(t, ru)
		})
	}
}

// run is a seed, how long its faults last, and their mix; the faults depend on all of them.
type run struct {
	seed   uint64
	length time.Duration
	mix    string
}

// runs returns the runs of the flags, else those of testdata/seeds.txt.
func runs(t *testing.T) []run {
	var all []run
	if *count > 0 {
		for ix := range *count {
			all = append(all, run{*first + uint64(ix), time.Duration(*seconds * float64(time.Second)), *mixName})
		}
		return all
	}
	text, err := os.ReadFile("testdata/seeds.txt")
	assert.NilError(t, err)
	for line := range strings.Lines(string(text)) {
		if strings.HasPrefix(line, "#") {
			continue
		}
		var ru run
		var length float64
		_, err := fmt.Sscan(line, &ru.seed, &length, &ru.mix)
		assert.NilError(t, err, "line %q", line)
		ru.length = time.Duration(length * float64(time.Second))
		all = append(all, ru)
	}
	return all
}

func soak(t *testing.T, ru run) {
	mx, ok := mixes[ru.mix]
	assert.Assert(t, ok, "mix %q does not exist", ru.mix)
	wd := newWorld(t)
	defer wd.close()
	wd.eventually("START", "all hosts are ready", wd.allReady)
	ctx, stop := context.WithCancel(t.Context())
	var group sync.WaitGroup
	for ix := range clients {
		cl := newClient(wd, fmt.Sprintf("c%d", ix+1), ru.seed)
		group.Go(func() { cl.run(ctx) })
	}
	if mx.marked {
		cl := newClient(wd, "marked", ru.seed)
		marked, end := context.WithCancel(ctx)
		ended := make(chan struct{})
		wd.endMarked = func() {
			end()
			<-ended
		}
		group.Go(func() {
			defer close(ended)
			cl.runMarked(marked)
		})
	}
	steps := wd.plan(mx, rand.New(rand.NewPCG(ru.seed, ru.seed)), ru.length)
	wd.play(steps, ru.length)
	wd.calm()
	stop()
	group.Wait()
	for _, hs := range wd.hosts {
		hs.finish(syscall.SIGTERM)
	}
	wd.check()
	t.Log(wd.summary())
	if len(wd.findings) == 0 {
		return
	}
	t.Errorf("seed %d:\n%s\nfaults:\n%s", ru.seed, strings.Join(wd.findings, "\n"), describe(steps))
	if *logs != "" {
		for name, text := range wd.logs {
			assert.NilError(t, os.WriteFile(filepath.Join(*logs, fmt.Sprintf("%d-%s.log", ru.seed, name)), text, 0o600))
		}
	}
}
