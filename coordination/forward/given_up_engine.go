package forward

import (
	"slices"
	"time"

	"github.com/hibiscuslever/hibiscuslever/coordination/batch"
	"github.com/hibiscuslever/hibiscuslever/coordination/broker"
	"github.com/hibiscuslever/hibiscuslever/state/id"
)

// engineUse is what a request remembers of the engines to which it was sent. The route limits the engines, not the attempts:
// an engine that has ended does not count, and one that was given up for another may get the request again.
type engineUse struct {
	// ended counts the engines that ended while they ran the request, after the client had received a part of the response.
	ended int
	// givenUp holds the engines whose attempts were ended for another one and did not fail by themselves.
	givenUp []id.Engine
	// allowed holds the engines that may still get the request once the limit is reached; empty before that.
	allowed []id.Engine
}

// add adds what an attempt beside this one remembers, which started with the given number of ended engines.
func (eu *engineUse) add(other engineUse, endedBefore int) {
	eu.ended += other.ended - endedBefore
	eu.givenUp = append(eu.givenUp, other.givenUp...)
}

// limit returns on how many engines a request may run by a limit that does not count engines that have ended. It allows for one
// of them only, because it may be the request that ends them.
func (eu *engineUse) limit(maxEngines int) int { return max(1, maxEngines) + min(1, eu.ended) }

// restrict leaves only the engines that were given up, without the one that failed last. It reports whether one is left.
func (eu *engineUse) restrict(failed id.Engine) bool {
	if len(eu.allowed) == 0 {
		eu.allowed = slices.Compact(slices.Sorted(slices.Values(eu.givenUp)))
		eu.givenUp = nil
	}
	eu.allowed = slices.DeleteFunc(eu.allowed, func(engine id.Engine) bool { return engine == failed })
	return len(eu.allowed) > 0
}

// mayUse reports whether the first engine of a grant may get the request.
func (eu *engineUse) mayUse(grant batch.Grant) bool {
	return len(eu.allowed) == 0 || len(grant.Parts) > 0 && slices.Contains(eu.allowed, grant.Parts[0].Engine)
}

// restrictGrantRequest makes a request to the dispatcher ask for the engines that may get the request, once the limit is
// reached. It does so with backoffs, because these also hold if no other engine is left.
func (st *engineJob) restrictGrantRequest(request *broker.GrantRequest) {
	allowed := st.engineUse.allowed
	if len(allowed) == 0 {
		return
	}
	request.AvoidedEngines = slices.DeleteFunc(slices.Clone(request.AvoidedEngines), func(engine id.Engine) bool { return slices.Contains(allowed, engine) })
	for _, server := range st.runner.fleet.Servers(st.request.Service) {
		if engine := id.Engine(server.ID); !slices.Contains(allowed, engine) {
			if request.BackoffUntil == nil {
				request.BackoffUntil = map[id.Engine]time.Time{}
			}
			request.BackoffUntil[engine] = st.limit.deadline()
		}
	}
}
