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
	seedCount   = flag.Int("soak.seeds", 0, "`NUMBER` of seeds to run instead of those in testdata/seeds.txt")
	firstSeed   = flag.Uint64("soak.from", 1, "`SEED` of the first of them")
	faultSeconds = flag.Float64("soak.seconds", 8, "`SECONDS` of faults for each of them")
	mixName = flag.String("soak.mix", "Dense", "`NAME` of the mix of their faults, Sparse, Dense, Words or Crashing")
	checkTimeLimits   = flag.Bool("soak.timed", false, "check bounds of time as well, on a machine that is otherwise idle")
	logFolder    = flag.String("soak.logs", "", "`FOLDER` for the logs of seeds that failed")
)

// binariesDir is the folder that the daemon is built into.
var binariesDir string

func TestMain(m *testing.M) {
	flag.Parse()
	os.Exit(checks.WithPrograms(func(dir string) int {
		binariesDir = dir
		return m.Run()
	}, "../cmd/hibiscusleverd"))
}

// TestSoak runs each seed: faults, then calm, then the checks.
func TestSoak(t *testing.T) {
	for _, ru := range selectRuns(t) {
		t.Run(fmt.Sprint(ru.seed), func(t *testing.T) {
			t.Parallel()
			runSoak(t, ru)
		})
	}
}

// soakRun is a seed, how long its faults last, and their mix; the faults depend on all of them.
type soakRun struct {
	seed   uint64
	faultDuration time.Duration
	mix    string
}

// selectRuns returns the runs of the flags, else those of testdata/seeds.txt.
func selectRuns(t *testing.T) []soakRun {
	var all []soakRun
	if *seedCount > 0 {
		for ix := range *seedCount {
			all = append(all, soakRun{*firstSeed + uint64(ix), time.Duration(*faultSeconds * float64(time.Second)), *mixName})
		}
		return all
	}
	text, err := os.ReadFile("testdata/seeds.txt")
	assert.NilError(t, err)
	for line := range strings.Lines(string(text)) {
		if strings.HasPrefix(line, "#") {
			continue
		}
		var ru soakRun
		var length float64
		_, err := fmt.Sscan(line, &ru.seed, &length, &ru.mix)
		assert.NilError(t, err, "line %q", line)
		ru.faultDuration = time.Duration(length * float64(time.Second))
		all = append(all, ru)
	}
	return all
}

func runSoak(t *testing.T, ru soakRun) {
	mx, ok := faultMixes[ru.mix]
	assert.Assert(t, ok, "mix %q does not exist", ru.mix)
	wd := newTestbed(t)
	defer wd.close()
	wd.eventually("START", "all hosts are ready", wd.allHostsReady)
	ctx, stop := context.WithCancel(t.Context())
	var group sync.WaitGroup
	for ix := range clientCount {
		cl := newClient(wd, fmt.Sprintf("c%d", ix+1), ru.seed)
		group.Go(func() { cl.run(ctx) })
	}
	if mx.sendCrashingRequests {
		cl := newClient(wd, "marked", ru.seed)
		marked, end := context.WithCancel(ctx)
		ended := make(chan struct{})
		wd.stopCrashingRequests = func() {
			end()
			<-ended
		}
		group.Go(func() {
			defer close(ended)
			cl.runCrashing(marked)
		})
	}
	steps := wd.drawFaults(mx, rand.New(rand.NewPCG(ru.seed, ru.seed)), ru.faultDuration)
	wd.injectFaults(steps, ru.faultDuration)
	wd.checkAfterFaults()
	stop()
	group.Wait()
	for _, hs := range wd.hosts {
		hs.stopForGood(syscall.SIGTERM)
	}
	wd.checkExchanges()
	t.Log(wd.summary())
	if len(wd.violations) == 0 {
		return
	}
	t.Errorf("seed %d:\n%s\nfaults:\n%s", ru.seed, strings.Join(wd.violations, "\n"), describeFaults(steps))
	if *logFolder != "" {
		for name, text := range wd.hostLogs {
			assert.NilError(t, os.WriteFile(filepath.Join(*logFolder, fmt.Sprintf("%d-%s.log", ru.seed, name)), text, 0o600))
		}
	}
}
