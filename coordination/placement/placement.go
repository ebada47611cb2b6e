// Package placement plans which engines load which models.
// The planner is pure: it compares what is wanted with what engines report and returns the difference as orders.
package placement

import (
	"math"
	"slices"
	"strings"

	"github.com/hibiscuslever/hibiscuslever/state/id"
)

// Engine is an engine as it reports itself.
type Engine struct {
	Name    id.Engine
	Address string
	LoadedModels  []id.Model
	// ModelSlots is the number of models that fit in the engine's memory.
	ModelSlots   int
	Leaving bool
	// LoadingModel is a model that the engine was ordered to load and does not report yet.
	LoadingModel id.Model
}

// Demand is the weight of a model among the others.
type Demand struct {
	Model  id.Model
	Weight float64
}

// OrderKind says what an order changes.
type OrderKind int

// Kinds of orders.
const (
	Load OrderKind = iota + 1
	Unload
)

// Order is a change of one engine.
type Order struct {
	Kind    OrderKind
	Engine  id.Engine
	Address string
	Model   id.Model
}

// Config bounds the plan.
type Config struct {
	// MinReplicas is the number of engines that serve each wanted model, if there are so many.
	MinReplicas int
	// MaxConcurrentLoads bounds the loads under way, for the weight store's rate.
	MaxConcurrentLoads int
}

// DefaultConfig returns the bounds that hosts use.
func DefaultConfig() Config {
	return Config{MinReplicas: 2, MaxConcurrentLoads: 2}
}

// TargetReplicas returns the number of engines that are to serve each model: shares of all slots by weight, at least
// the minimum and at most one for each engine.
func TargetReplicas(config Config, demand []Demand, engines []Engine) map[id.Model]int {
	usable, slots := 0, 0
	for _, en := range engines {
		if !en.Leaving {
			usable++
			slots += en.ModelSlots
		}
	}
	var total float64
	for _, dm := range demand {
		total += dm.Weight
	}
	replicas := map[id.Model]int{}
	if total == 0 {
		return replicas
	}
	for _, dm := range demand {
		share := int(math.Floor(dm.Weight / total * float64(slots)))
		replicas[dm.Model] = min(usable, max(config.MinReplicas, share))
	}
	return replicas
}

// Plan returns the orders that bring the engines closer to what is wanted. It moves no more than needed:
// loaded models stay where they are unless they are not wanted or their slot is needed.
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

type planner struct {
	config   Config
	demand   []Demand
	replicas map[id.Model]int
	engines  []*Engine
	loading  int
	orders   []Order
}

func newPlanner(config Config, demand []Demand, engines []Engine) *planner {
	pl := &planner{config: config, demand: slices.Clone(demand), replicas: TargetReplicas(config, demand, engines)}
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
			pl.loading++
		}
	}
	slices.SortFunc(pl.engines, func(left, right *Engine) int { return strings.Compare(string(left.Name), string(right.Name)) })
	return pl
}

func (pl *planner) serves(en *Engine, model id.Model) bool {
	return slices.Contains(en.LoadedModels, model) || en.LoadingModel == model
}

// count returns the engines that serve or load a model and are not leaving.
func (pl *planner) count(model id.Model) int {
	count := 0
	for _, en := range pl.engines {
		if !en.Leaving && pl.serves(en, model) {
			count++
		}
	}
	return count
}

func (en *Engine) used() int {
	used := len(en.LoadedModels)
	if en.LoadingModel != "" && !slices.Contains(en.LoadedModels, en.LoadingModel) {
		used++
	}
	return used
}

// unloadSurplus frees slots of a model that more engines serve than wanted, but only where another model waits for a slot.
func (pl *planner) unloadSurplus(model id.Model) {
	missing := pl.missing()
	for _, en := range pl.engines {
		if missing == 0 || pl.count(model) <= pl.replicas[model] {
			return
		}
		if en.Leaving || en.used() < en.ModelSlots || !slices.Contains(en.LoadedModels, model) {
			continue
		}
		pl.unload(en, model)
		missing--
	}
}

// missing returns the number of replicas that have no free slot.
func (pl *planner) missing() int {
	wanted, free := 0, 0
	for _, dm := range pl.demand {
		wanted += max(0, pl.replicas[dm.Model]-pl.count(dm.Model))
	}
	for _, en := range pl.engines {
		if !en.Leaving {
			free += max(0, en.ModelSlots-en.used())
		}
	}
	return max(0, wanted-free)
}

// unloadUnwanted frees slots of models that no plan names.
func (pl *planner) unloadUnwanted() {
	for _, en := range pl.engines {
		for _, model := range slices.Clone(en.LoadedModels) {
			if _, wanted := pl.replicas[model]; !wanted && len(pl.demand) > 0 {
				pl.unload(en, model)
			}
		}
	}
}

func (pl *planner) unload(en *Engine, model id.Model) {
	en.LoadedModels = slices.DeleteFunc(en.LoadedModels, func(other id.Model) bool { return other == model })
	pl.orders = append(pl.orders, Order{Kind: Unload, Engine: en.Name, Address: en.Address, Model: model})
}

// loadMissing loads a model on the engines with the most free slots.
func (pl *planner) loadMissing(model id.Model) {
	for pl.count(model) < pl.replicas[model] && pl.loading < pl.config.MaxConcurrentLoads {
		en := pl.roomiest(model)
		if en == nil {
			return
		}
		en.LoadingModel = model
		pl.loading++
		pl.orders = append(pl.orders, Order{Kind: Load, Engine: en.Name, Address: en.Address, Model: model})
	}
}

func (pl *planner) roomiest(model id.Model) *Engine {
	var best *Engine
	for _, en := range pl.engines {
		if en.Leaving || en.LoadingModel != "" || pl.serves(en, model) || en.used() >= en.ModelSlots {
			continue
		}
		if best == nil || en.ModelSlots-en.used() > best.ModelSlots-best.used() {
			best = en
		}
	}
	return best
}
