// Package placement plans which engines load which models. It compares the demand for models with the models that
// engines report and returns the orders that remove the difference. It reads no clock and does no I/O.
package placement

import (
	"math"
	"slices"
	"strings"

	"github.com/hibiscuslever/hibiscuslever/state/id"
)

// Engine is the state of an engine as it reports it.
type Engine struct {
	Name         id.Engine
	Address      string
	LoadedModels []id.Model
	// ModelSlots is the number of models that fit in the engine's memory.
	ModelSlots int
	// Leaving engines don't count as replicas and get no model to load.
	Leaving bool
	// LoadingModel is a model that the engine was ordered to load and does not report yet; empty if there is none.
	LoadingModel id.Model
}

// Demand is the weight of a model. A model's share of all slots is its weight divided by the sum of all weights.
type Demand struct {
	Model  id.Model
	Weight float64
}

// OrderKind says whether an order loads or unloads a model.
type OrderKind int

// Kinds of orders.
const (
	LoadModel OrderKind = iota + 1
	UnloadModel
)

// Order changes the models of one engine.
type Order struct {
	Kind    OrderKind
	Engine  id.Engine
	Address string
	Model   id.Model
}

// Config holds the limits of the plan.
type Config struct {
	// MinReplicas is the least number of engines that serve each wanted model, if there are that many engines.
	MinReplicas int
	// MaxConcurrentLoads bounds the loads in progress on all engines, because the weight store's bandwidth is limited.
	MaxConcurrentLoads int
}

// DefaultConfig returns the limits that hosts use.
func DefaultConfig() Config {
	return Config{MinReplicas: 2, MaxConcurrentLoads: 2}
}

// TargetReplicas returns the number of engines that are to serve each model: the model's share of all slots by weight,
// at least MinReplicas and at most the number of engines. Leaving engines don't count. Without any weight the result is
// empty.
func TargetReplicas(config Config, demand []Demand, engines []Engine) map[id.Model]int {
	usableEngines, totalSlots := 0, 0
	for _, en := range engines {
		if !en.Leaving {
			usableEngines++
			totalSlots += en.ModelSlots
		}
	}
	var totalWeight float64
	for _, dm := range demand {
		totalWeight += dm.Weight
	}
	replicas := map[id.Model]int{}
	if totalWeight == 0 {
		return replicas
	}
	for _, dm := range demand {
		replicasByWeight := int(math.Floor(dm.Weight / totalWeight * float64(totalSlots)))
		replicas[dm.Model] = min(usableEngines, max(config.MinReplicas, replicasByWeight))
	}
	return replicas
}

// Plan returns the orders that bring the engines closer to the demand. It makes no more changes than needed: loaded
// models stay where they are unless there is no demand for them or another model needs their slot. Without any demand
// it returns no orders.
func Plan(config Config, demand []Demand, engines []Engine) []Order {
	pl := newPlanner(config, demand, engines)
	for _, dm := range pl.demand {
		pl.unloadSurplus(dm.Model)
	}
	pl.unloadUnwanted()
	for _, dm := range pl.demand {
		pl.loadMissing(dm.Model)
	}
	return pl.orders
}

// planner holds the state of one call of Plan. It changes its copies of the engines as if the orders took effect at
// once.
type planner struct {
	config          Config
	demand          []Demand
	targetReplicas  map[id.Model]int
	engines         []*Engine
	loadsInProgress int
	orders          []Order
}

// newPlanner copies its input and sorts it, the models by falling weight and the engines by name, so that equal input
// gives equal orders.
func newPlanner(config Config, demand []Demand, engines []Engine) *planner {
	pl := &planner{config: config, demand: slices.Clone(demand), targetReplicas: TargetReplicas(config, demand, engines)}
	slices.SortFunc(pl.demand, func(left, right Demand) int {
		if left.Weight != right.Weight {
			return int(math.Copysign(1, right.Weight-left.Weight))
		}
		return strings.Compare(string(left.Model), string(right.Model))
	})
	for _, en := range engines {
		en.LoadedModels = slices.Clone(en.LoadedModels)
		pl.engines = append(pl.engines, &en)
		if en.LoadingModel != "" {
			pl.loadsInProgress++
		}
	}
	slices.SortFunc(pl.engines, func(left, right *Engine) int { return strings.Compare(string(left.Name), string(right.Name)) })
	return pl
}

func (pl *planner) servesOrLoads(en *Engine, model id.Model) bool {
	return slices.Contains(en.LoadedModels, model) || en.LoadingModel == model
}

// countReplicas returns the number of engines that serve or load a model and are not leaving.
func (pl *planner) countReplicas(model id.Model) int {
	count := 0
	for _, en := range pl.engines {
		if !en.Leaving && pl.servesOrLoads(en, model) {
			count++
		}
	}
	return count
}

// usedSlots returns the number of models that the engine has loaded or is loading.
func (en *Engine) usedSlots() int {
	usedSlots := len(en.LoadedModels)
	if en.LoadingModel != "" && !slices.Contains(en.LoadedModels, en.LoadingModel) {
		usedSlots++
	}
	return usedSlots
}

// unloadSurplus unloads a model from engines without a free slot while more engines serve it than its target and
// replicas of other models lack a slot.
func (pl *planner) unloadSurplus(model id.Model) {
	missingSlots := pl.missingSlots()
	for _, en := range pl.engines {
		if missingSlots == 0 || pl.countReplicas(model) <= pl.targetReplicas[model] {
			return
		}
		if en.Leaving || en.usedSlots() < en.ModelSlots || !slices.Contains(en.LoadedModels, model) {
			continue
		}
		pl.unload(en, model)
		missingSlots--
	}
}

// missingSlots returns how many more slots the missing replicas of all models need than are free.
func (pl *planner) missingSlots() int {
	missingReplicas, freeSlots := 0, 0
	for _, dm := range pl.demand {
		missingReplicas += max(0, pl.targetReplicas[dm.Model]-pl.countReplicas(dm.Model))
	}
	for _, en := range pl.engines {
		if !en.Leaving {
			freeSlots += max(0, en.ModelSlots-en.usedSlots())
		}
	}
	return max(0, missingReplicas-freeSlots)
}

// unloadUnwanted unloads the models for which there is no demand. If there is no demand at all it unloads nothing,
// because the lists may not have been received yet.
func (pl *planner) unloadUnwanted() {
	for _, en := range pl.engines {
		for _, model := range slices.Clone(en.LoadedModels) {
			if _, wanted := pl.targetReplicas[model]; !wanted && len(pl.demand) > 0 {
				pl.unload(en, model)
			}
		}
	}
}

func (pl *planner) unload(en *Engine, model id.Model) {
	en.LoadedModels = slices.DeleteFunc(en.LoadedModels, func(other id.Model) bool { return other == model })
	pl.orders = append(pl.orders, Order{Kind: UnloadModel, Engine: en.Name, Address: en.Address, Model: model})
}

// loadMissing loads a model on the engines with the most free slots until it has its target of replicas, no engine has
// a free slot, or MaxConcurrentLoads is reached.
func (pl *planner) loadMissing(model id.Model) {
	for pl.countReplicas(model) < pl.targetReplicas[model] && pl.loadsInProgress < pl.config.MaxConcurrentLoads {
		en := pl.engineWithMostFreeSlots(model)
		if en == nil {
			return
		}
		en.LoadingModel = model
		pl.loadsInProgress++
		pl.orders = append(pl.orders, Order{Kind: LoadModel, Engine: en.Name, Address: en.Address, Model: model})
	}
}

// engineWithMostFreeSlots returns the engine that is to load a model, or nil if none can. Engines load one model at a
// time.
func (pl *planner) engineWithMostFreeSlots(model id.Model) *Engine {
	var best *Engine
	for _, en := range pl.engines {
		if en.Leaving || en.LoadingModel != "" || pl.servesOrLoads(en, model) || en.usedSlots() >= en.ModelSlots {
			continue
		}
		if best == nil || en.ModelSlots-en.usedSlots() > best.ModelSlots-best.usedSlots() {
			best = en
		}
	}
	return best
}
