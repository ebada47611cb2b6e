package placement_test

import (
	"fmt"
	"testing"

	"github.com/hibiscuslever/hibiscuslever/coordination/placement"
	"github.com/hibiscuslever/hibiscuslever/state/id"
)

// BenchmarkPlan measures a plan for engines that already serve the demand.
func BenchmarkPlan(b *testing.B) {
	for _, size := range []struct{ engines, models int }{{16, 1}, {160, 33}, {2200, 33}} {
		b.Run(fmt.Sprintf("engines=%d/models=%d", size.engines, size.models), func(b *testing.B) {
			var engines []placement.Engine
			var demand []placement.Demand
			for number := range size.engines {
				engines = append(engines, placement.Engine{
					Name: id.Engine(fmt.Sprint("engine-", number)), ModelSlots: 2,
					LoadedModels: []id.Model{id.Model(fmt.Sprint("model-", number%size.models))},
				})
			}
			for number := range size.models {
				demand = append(demand, placement.Demand{Model: id.Model(fmt.Sprint("model-", number)), Weight: 1})
			}
			for range b.N {
				placement.Plan(placement.DefaultConfig(), demand, engines)
			}
		})
	}
}
