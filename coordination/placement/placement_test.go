package placement_test

import (
	"fmt"
	"slices"
	"testing"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	"github.com/hibiscuslever/hibiscuslever/coordination/placement"
	"github.com/hibiscuslever/hibiscuslever/state/id"
	"github.com/hibiscuslever/hibiscuslever/testutil"
)

func TestMain(m *testing.M) { testutil.Main(m) }

// applyOrders carries out the orders on the engines immediately.
func applyOrders(engines []placement.Engine, orders []placement.Order) {
	for _, order := range orders {
		for ix := range engines {
			en := &engines[ix]
			if en.Name != order.Engine {
				continue
			}
			en.LoadedModels = slices.DeleteFunc(en.LoadedModels, func(model id.Model) bool { return model == order.Model })
			if order.Kind == placement.LoadModel {
				en.LoadedModels = append(en.LoadedModels, order.Model)
			}
		}
	}
}

// TestPlanConverges applies the orders of one plan after another until a plan is empty. Every wanted model must be
// served then, no engine may hold more models than it has slots, and no plan may exceed MaxConcurrentLoads.
func TestPlanConverges(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		var engines []placement.Engine
		var totalSlots int
		for number := range rapid.IntRange(2, 12).Draw(rt, "engines") {
			en := placement.Engine{Name: id.Engine(fmt.Sprint("engine-", number)), ModelSlots: rapid.IntRange(1, 4).Draw(rt, "slots")}
			for range rapid.IntRange(0, en.ModelSlots).Draw(rt, "loaded") {
				model := id.Model(fmt.Sprint("model-", rapid.IntRange(0, 6).Draw(rt, "model")))
				if !slices.Contains(en.LoadedModels, model) {
					en.LoadedModels = append(en.LoadedModels, model)
				}
			}
			totalSlots += en.ModelSlots
			engines = append(engines, en)
		}
		var demand []placement.Demand
		for model := range rapid.IntRange(1, max(1, totalSlots/4)).Draw(rt, "wanted") {
			demand = append(demand, placement.Demand{
				Model: id.Model(fmt.Sprint("model-", model)), Weight: float64(rapid.IntRange(1, 5).Draw(rt, "weight")),
			})
		}
		config := placement.DefaultConfig()
		rounds := 0
		for orders := placement.Plan(config, demand, engines); len(orders) > 0; orders = placement.Plan(config, demand, engines) {
			concurrentLoads := 0
			for _, order := range orders {
				if order.Kind == placement.LoadModel {
					concurrentLoads++
				}
			}
			if concurrentLoads > config.MaxConcurrentLoads {
				rt.Fatalf("the plan has %d concurrent loads", concurrentLoads)
			}
			applyOrders(engines, orders)
			rounds++
			if rounds > 200 {
				rt.Fatalf("plans still contain orders after 200 rounds: %+v", orders)
			}
		}
		for _, dm := range demand {
			replicas := 0
			for _, en := range engines {
				if slices.Contains(en.LoadedModels, dm.Model) {
					replicas++
				}
			}
			if replicas == 0 {
				rt.Fatalf("no engine serves model %s: %+v", dm.Model, engines)
			}
		}
		for _, en := range engines {
			if len(en.LoadedModels) > en.ModelSlots {
				rt.Fatalf("engine %s holds %d models in %d slots", en.Name, len(en.LoadedModels), en.ModelSlots)
			}
		}
	})
}

// TestPlanIsEmptyWithoutDifference checks that engines that serve the demand get no orders, and that missing demand is
// not taken for an order to unload everything.
func TestPlanIsEmptyWithoutDifference(t *testing.T) {
	engines := []placement.Engine{
		{Name: "one", LoadedModels: []id.Model{"a", "b"}, ModelSlots: 2},
		{Name: "two", LoadedModels: []id.Model{"b", "a"}, ModelSlots: 2},
	}
	demand := []placement.Demand{{Model: "a", Weight: 9}, {Model: "b", Weight: 1}}
	assert.Equal(t, len(placement.Plan(placement.DefaultConfig(), demand, engines)), 0)
	assert.Equal(t, len(placement.Plan(placement.DefaultConfig(), nil, engines)), 0, "without demand nothing is unloaded")
}
