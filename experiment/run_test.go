package experiment_test

import (
	"fmt"
	"testing"
	"time"

	"github.com/hibiscuslever/hibiscuslever/coordination/batch"
	"github.com/hibiscuslever/hibiscuslever/experiment"
	"gotest.tools/v3/assert"
)

func TestShow(t *testing.T) {
	pt, err := experiment.Read("testdata/waves.ini")
	assert.NilError(t, err)
	started := time.Now()
	var worth, worst float64
	kinds := make([]float64, 3)
	for seed := range uint64(10) {
		rs := experiment.Run(pt, batch.DefaultConfig(), seed)
		worth += rs.Worth / 10
		worst += rs.Worst / 10
		for ix, oc := range rs.Kinds {
			kinds[ix] += oc.Worth / 10
			fmt.Printf("%d %s asked %d on time %d late %d (pause %d) refused %d left %d worth %.3f p50 %v p95 %v\n", seed, pt.Kinds[ix].Name, oc.Asked, oc.OnTime, oc.Late, oc.Broken, oc.Refused, oc.Left, oc.Worth,
				oc.First[len(oc.First)/2], oc.First[len(oc.First)*95/100])
		}
	}
	fmt.Printf("worth %.3f worst %.3f kinds %.3f in %v\n", worth, worst, kinds, time.Since(started))
}
