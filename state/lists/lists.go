// Package lists defines the two lists that operators edit: the plans, and the organisations with their plans and API
// keys.
//
// Operators publish edits as records of the configuration stream in the platform's log. Every host applies the records
// in the same order to its Replica, so that all hosts accept the same edits and have the same lists.
package lists

import (
	"slices"
	"time"

	"github.com/hibiscuslever/hibiscuslever/state/id"
)

// Name is the name of one of the two lists.
type Name string

// The two lists.
const (
	// Plans names the list of plans, which say what organisations may use.
	Plans Name = "Plans"
	// Organisations names the list of organisations, each with its plan and its API keys.
	Organisations Name = "Organisations"
)

// Names returns the names of both lists in the order in which operators see them.
func Names() []Name {
	return []Name{Plans, Organisations}
}

// Plan says what the organisations that hold it may use, and how much of it. The limits apply to each organisation
// separately.
type Plan struct {
	Name id.Plan
	// Models lists the models that may be called; empty means none.
	Models []id.Model
	// Services lists the services that may be called; empty means none.
	Services []id.Service
	// RequestsPerSecond limits the rate of admitted requests; zero means no limit.
	RequestsPerSecond float64
	// TokensPerMinute limits the rate of prompt tokens; zero means no limit.
	TokensPerMinute id.Tokens
	// Concurrency limits the number of requests in flight; zero means no limit.
	Concurrency int
	// LongestPrompt is the length of the longest prompt that is admitted.
	LongestPrompt id.Tokens
	// Priority, from 0 to 9, compares model requests that wait in different length bands: the scheduler divides the
	// predicted prefill time of a request by 1 plus its priority and serves the lowest result first, but a priority
	// moves no long prompt ahead of the short ones. Within a band, the weights of the organisations decide.
	Priority int
	// Weight is the share of the engines that an organisation gets relative to other organisations while requests wait.
	Weight float64
	// Deadline is the longest time that a request may take.
	Deadline time.Duration
}

// AllowsModel reports whether organisations that hold the plan may call a model.
func (pl Plan) AllowsModel(model id.Model) bool {
	return slices.Contains(pl.Models, model)
}

// AllowsService reports whether organisations that hold the plan may call a service.
func (pl Plan) AllowsService(service id.Service) bool {
	return slices.Contains(pl.Services, service)
}

// Organisation is a customer with the plan that it holds and its API keys.
type Organisation struct {
	Name id.Organisation
	Plan id.Plan
	// KeySHA256 holds the SHA-256 sums of the API keys in lower-case hexadecimal digits. The keys themselves are not
	// stored.
	KeySHA256 []string
}

// Lists is the content of both lists at one revision. Its maps do not change after a Replica has returned it, so it is
// safe for concurrent reading.
type Lists struct {
	Plans         map[id.Plan]Plan
	Organisations map[id.Organisation]Organisation
	// Revision is the offset of the last accepted edit of either list, or of the last change of EvacuatedZones if that is
	// later, or NoOffset before the first one.
	Revision id.Offset
	// Revisions holds the offset of the last accepted edit of each list.
	Revisions map[Name]id.Offset
	// EvacuatedZones are the evacuated availability zones, in order.
	EvacuatedZones []id.AvailabilityZone

	// organisationsByKeySum holds the organisation that owns each API key, by the SHA-256 sum of the key in lower-case
	// hexadecimal digits.
	organisationsByKeySum map[string]id.Organisation
}

// Empty returns the lists as they are before the first edit.
func Empty() *Lists {
	return &Lists{
		Plans:                 map[id.Plan]Plan{},
		Organisations:         map[id.Organisation]Organisation{},
		Revision:              id.NoOffset,
		Revisions:             map[Name]id.Offset{Plans: id.NoOffset, Organisations: id.NoOffset},
		organisationsByKeySum: map[string]id.Organisation{},
	}
}

// OrganisationByKeySum returns the organisation that owns the key with the given SHA-256 sum in lower-case hexadecimal
// digits, and false if there is none.
func (ls *Lists) OrganisationByKeySum(keySum string) (Organisation, bool) {
	name, ok := ls.organisationsByKeySum[keySum]
	if !ok {
		return Organisation{}, false
	}
	return ls.Organisations[name], true
}

// Models returns the models that at least one plan allows, sorted and without duplicates.
func (ls *Lists) Models() []id.Model {
	var models []id.Model
	for _, pl := range ls.Plans {
		models = append(models, pl.Models...)
	}
	slices.Sort(models)
	return slices.Compact(models)
}
