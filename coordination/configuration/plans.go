package configuration

import (
	"maps"
	"slices"

	"github.com/hibiscuslever/hibiscuslever/coordination/placement"
	"github.com/hibiscuslever/hibiscuslever/state/id"
	"github.com/hibiscuslever/hibiscuslever/state/lists"
)

// ModelDemand returns the demand for each model in the order of model names. The demand is the sum of the plan weights
// of all organisations that may use the model. It returns nil if the lists are not ready.
func (fw *Follower) ModelDemand() []placement.Demand {
	current, ready := fw.Lists()
	if !ready {
		return nil
	}
	weights := map[id.Model]float64{}
	for _, org := range current.Organisations {
		plan := current.Plans[org.Plan]
		for _, model := range plan.Models {
			weights[model] += plan.Weight
		}
	}
	var demands []placement.Demand
	for _, model := range slices.Sorted(maps.Keys(weights)) {
		demands = append(demands, placement.Demand{Model: model, Weight: weights[model]})
	}
	return demands
}

// PlanOf returns the plan of an organisation, and false if the organisation or its plan is not known. Unlike
// ModelDemand, it also answers while the lists are not ready, when newer revisions may exist.
func (fw *Follower) PlanOf(org id.Organisation) (lists.Plan, bool) {
	current, _ := fw.Lists()
	organisation, ok := current.Organisations[org]
	if !ok {
		return lists.Plan{}, false
	}
	plan, ok := current.Plans[organisation.Plan]
	return plan, ok
}
