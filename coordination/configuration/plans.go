package configuration

import (
	"maps"
	"slices"

	"github.com/hibiscuslever/hibiscuslever/coordination/placement"
	"github.com/hibiscuslever/hibiscuslever/state/id"
	"github.com/hibiscuslever/hibiscuslever/state/lists"
)

// ModelDemand weighs models by the organisations that may use them.
func (fl *Follower) ModelDemand() []placement.Demand {
	current, ready := fl.Lists()
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

// PlanOf returns the plan of an organisation.
func (fl *Follower) PlanOf(org id.Organisation) (lists.Plan, bool) {
	current, _ := fl.Lists()
	holder, ok := current.Organisations[org]
	if !ok {
		return lists.Plan{}, false
	}
	plan, ok := current.Plans[holder.Plan]
	return plan, ok
}
