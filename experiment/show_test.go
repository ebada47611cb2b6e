package experiment_test

import (
	"fmt"
	"testing"
	"time"

	"github.com/hibiscuslever/hibiscuslever/coordination/batch"
	"github.com/hibiscuslever/hibiscuslever/experiment"
	"github.com/hibiscuslever/hibiscuslever/standin/passes"
	"github.com/hibiscuslever/hibiscuslever/state/id"
	"gotest.tools/v3/assert"
)

func TestProbe(t *testing.T) {
	pt, err := experiment.Read("testdata/waves.ini")
	assert.NilError(t, err)
	var lastR, lastP time.Duration
	experiment.Probe = func(at time.Duration, engines map[id.Engine]*passes.Engine, waiting int) {
		var r, p time.Duration
		run := ""
		for ix := range 16 {
			en := engines[id.Engine(fmt.Sprintf("engine-%03d", ix))]
			a, b := en.Busy()
			r += a
			p += b
			run += fmt.Sprintf("%d ", en.Running())
		}
		fmt.Printf("%v reading %.2f passing %.2f waiting %d  %s\n", at, (r - lastR).Seconds()/16, (p - lastP).Seconds()/16, waiting, run)
		lastR, lastP = r, p
	}
	experiment.Run(pt, batch.DefaultConfig(), 7)
	experiment.Probe = nil
}
