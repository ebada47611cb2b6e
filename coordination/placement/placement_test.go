package placement_test

import (
	"fmt"
	"slices"
	"testing"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	"github.com/hibiscuslever/hibiscuslever/checks"
	"github.com/hibiscuslever/hibiscuslever/coordination/placement"
	"github.com/hibiscuslever/hibiscuslever/state/id"
)

func TestMain(m *testing.M) { checks.Main(m) }

// carryOut applies orders to engines as if they took effect at once.
func carryOut(engines []placement.Engine, orders []placement.Order) {
	for _, order := range orders {
		for ix := range engines {
			en := &engines[ix]
			if en.Name != order.Engine {
				continue
			}
			en.LoadedModels = slices.DeleteFunc(en.LoadedModels, func(model id.Model) bool { return model == order.Model })
			if order.Kind == placement.Load {
				en.LoadedModels = append(en.LoadedModels, order.Model)
			}
		}
	}
}

// TestPlanConverges applies plans until none is left and checks that every wanted model is served within memory.
func TestPlanConverges(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		var engines []placement.Engine
		var slots int
		for number := range rapid.IntRange(2, 12).Draw(rt, "engines") {
			en := placement.Engine{Name: id.Engine(fmt.Sprint("engine-", number)), ModelSlots: rapid.IntRange(1, 4).Draw(rt, "slots")}
			for range rapid.IntRange(0, en.ModelSlots).Draw(rt, "loaded") {
				model := id.Model(fmt.Sprint("model-", rapid.IntRange(0, 6).Draw(rt, "model")))
				if !slices.Contains(en.LoadedModels, model) {
					en.LoadedModels = append(en.LoadedModels, model)
				}
			}
			slots += en.ModelSlots
			engines = append(engines, en)
		}
		var demand []placement.Demand
		for model := range rapid.IntRange(1, max(1, slots/4)).Draw(rt, "wanted") {
			demand = append(demand, placement.Demand{
				Model: id.Model(fmt.Sprint("model-", model)), Weight: float64(rapid.IntRange(1, 5).Draw(rt, "weight")),
			})
		}
		config := placement.DefaultConfig()
		rounds := 0
		for orders := placement.Plan(config, demand, engines); len(orders) > 0; orders = placement.Plan(config, demand, engines) {
			loads := 0
			for _, order := range orders {
				if order.Kind == placement.Load {
					loads++
				}
			}
			if loads > config.MaxConcurrentLoads {
				rt.Fatalf("%d loads at once", loads)
			}
			carryOut(engines, orders)
			rounds++
			if rounds > 200 {
				rt.Fatalf("no end of orders: %+v", orders)
			}
		}
		for _, dm := range demand {
			served := 0
			for _, en := range engines {
				if slices.Contains(en.LoadedModels, dm.Model) {
					served++
				}
			}
			if served == 0 {
				rt.Fatalf("model %s is served by no engine: %+v", dm.Model, engines)
			}
		}
		for _, en := range engines {
			if len(en.LoadedModels) > en.ModelSlots {
				rt.Fatalf("engine %s holds %d models in %d slots", en.Name, len(en.LoadedModels), en.ModelSlots)
			}
		}
	})
}

func TestPlanIsEmptyWithoutDifference(t *testing.T) {
	engines := []placement.Engine{
		{Name: "one", LoadedModels: []id.Model{"a", "b"}, ModelSlots: 2},
		{Name: "two", LoadedModels: []id.Model{"b", "a"}, ModelSlots: 2},
	}
	demand := []placement.Demand{{Model: "a", Weight: 9}, {Model: "b", Weight: 1}}
	assert.Equal(t, len(placement.Plan(placement.DefaultConfig(), demand, engines)), 0)
	assert.Equal(t, len(placement.Plan(placement.DefaultConfig(), nil, engines)), 0, "without lists nothing is unloaded")
}
