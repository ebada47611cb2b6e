// Package soak runs entry hosts as separate processes under random faults and checks that they follow the rules of the
// users' platform. The store, the servers and the network links between the processes are simulated by the test, so
// that it can make them fail. The faults of a run are drawn from a seed, so that a run that failed can be repeated with
// the same faults.
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

	"github.com/hibiscuslever/hibiscuslever/testutil"
)

var (
	seedCount       = flag.Int("soak.seeds", 0, "`NUMBER` of consecutive seeds to run instead of the runs in testdata/seeds.txt")
	firstSeed       = flag.Uint64("soak.from", 1, "first `SEED` to run with -soak.seeds")
	faultSeconds    = flag.Float64("soak.seconds", 8, "`SECONDS` of faults for each seed of -soak.seeds")
	mixName         = flag.String("soak.mix", "Dense", "`NAME` of the fault mix for the seeds of -soak.seeds: Sparse, Dense, Words, Crashing, Restores, Limits, Cold, Partitions, Evacuations, Planned or PlannedSilent")
	checkTimeLimits = flag.Bool("soak.timed", false, "also check time limits; needs a machine that is otherwise idle")
	hostCount       = flag.Int("soak.hosts", 3, "`NUMBER` of hosts of each run")
	daemonPath      = flag.String("soak.daemon", "", "`FILE` of the daemon to test instead of the one built from the source; the mix Partitions ignores it")
	otherDaemonPath = flag.String("soak.other", "", "`FILE` of a daemon of another build that every second start runs; the mix Partitions ignores it")
	logFolder       = flag.String("soak.logs", "", "existing `FOLDER` to write the host logs of failed seeds to")
)

// binariesDir is the folder that TestMain builds the daemon into.
var binariesDir string

func TestMain(m *testing.M) {
	if path := os.Getenv(cuttableHostVariable); path != "" {
		os.Exit(runCuttableHost(path))
	}
	flag.Parse()
	os.Exit(testutil.WithBuiltPrograms(func(dir string) int {
		binariesDir = dir
		return m.Run()
	}, "../cmd/hibiscusleverd"))
}

// TestSoak runs every selected run in parallel. Each run injects faults while clients send requests, then checks that
// the hosts recover, and finally compares what the clients received with what the servers ran.
func TestSoak(t *testing.T) {
	for _, ru := range selectRuns(t) {
		t.Run(fmt.Sprint(ru.seed), func(t *testing.T) {
			t.Parallel()
			runSoak(t, ru)
		})
	}
}

// soakRun describes one run. Its faults depend on all of the fields and on the number of hosts. Once the hosts are ready, the faults are injected
// and reverted within faultDuration; the checks follow.
type soakRun struct {
	seed          uint64
	faultDuration time.Duration
	mix           string
}

// selectRuns returns the runs that the flags ask for, or those of testdata/seeds.txt if -soak.seeds is not set.
func selectRuns(t *testing.T) []soakRun {
	var selected []soakRun
	if *seedCount > 0 {
		for ix := range *seedCount {
			selected = append(selected, soakRun{*firstSeed + uint64(ix), time.Duration(*faultSeconds * float64(time.Second)), *mixName})
		}
		return selected
	}
	text, err := os.ReadFile("testdata/seeds.txt")
	assert.NilError(t, err)
	for line := range strings.Lines(string(text)) {
		if strings.HasPrefix(line, "#") {
			continue
		}
		var ru soakRun
		var seconds float64
		_, err := fmt.Sscan(line, &ru.seed, &seconds, &ru.mix)
		assert.NilError(t, err, "line %q", line)
		ru.faultDuration = time.Duration(seconds * float64(time.Second))
		selected = append(selected, ru)
	}
	return selected
}

// runSoak carries out one run. If a rule was violated, it fails the test with the violations and the faults, and writes
// the logs of the hosts to the folder of -soak.logs, if that is set.
func runSoak(t *testing.T, ru soakRun) {
	mx, ok := faultMixes[ru.mix]
	assert.Assert(t, ok, "mix %q does not exist", ru.mix)
	tb := newTestbed(t, mx)
	defer tb.close()
	tb.eventually("START", "all hosts are ready", tb.allHostsReady)
	ctx, stopClients := context.WithCancel(t.Context())
	var group sync.WaitGroup
	for ix := range clientCount {
		cl := newClient(tb, fmt.Sprintf("c%d", ix+1), ru.seed)
		group.Go(func() { cl.run(ctx) })
	}
	for ix := range mx.clientsPerHost * *hostCount {
		cl := newClient(tb, fmt.Sprintf("h%d", ix+1), ru.seed)
		cl.onlyHost = tb.hosts[ix%*hostCount]
		group.Go(func() { cl.run(ctx) })
	}
	if mx.sendCrashingRequests {
		cl := newClient(tb, "marked", ru.seed)
		crashingCtx, cancelCrashing := context.WithCancel(ctx)
		crashingDone := make(chan struct{})
		tb.stopCrashingRequests = func() {
			cancelCrashing()
			<-crashingDone
		}
		group.Go(func() {
			defer close(crashingDone)
			cl.runCrashing(crashingCtx)
		})
	}
	faults := tb.drawFaults(mx, rand.New(rand.NewPCG(ru.seed, ru.seed)), ru.faultDuration)
	tb.injectFaults(faults, ru.faultDuration)
	tb.checkAfterFaults()
	stopClients()
	group.Wait()
	for _, hs := range tb.hosts {
		hs.stopForGood(syscall.SIGTERM)
	}
	tb.checkExchanges()
	t.Log(tb.summary())
	if len(tb.violations) == 0 {
		return
	}
	t.Errorf("seed %d:\n%s\nfaults:\n%s", ru.seed, strings.Join(tb.violations, "\n"), describeFaults(faults))
	if *logFolder != "" {
		for name, text := range tb.hostLogs {
			assert.NilError(t, os.WriteFile(filepath.Join(*logFolder, fmt.Sprintf("%d-%s.log", ru.seed, name)), text, 0o600))
		}
	}
}
