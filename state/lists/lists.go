// Package lists defines the two lists that operators edit and folds the
// configuration stream of the platform's log into them.
package lists

import (
	"slices"
	"time"

	"github.com/hibiscuslever/hibiscuslever/state/id"
)

// Name selects one of the two lists.
type Name string

// The two lists.
const (
	// Plans lists what each plan may use.
	Plans Name = "Plans"
	// Organisations lists the plan that each organisation holds.
	Organisations Name = "Organisations"
)

// Names returns both lists in the order in which they are shown.
func Names() []Name {
	return []Name{Plans, Organisations}
}

// Plan is what the holders of a plan may use.
type Plan struct {
	Name id.Plan
	// Models may be called; empty means none.
	Models []id.Model
	// Services may be called; empty means none.
	Services []id.Service
	// RequestsPerSecond limits admitted requests; zero means no limit.
	RequestsPerSecond float64
	// TokensPerMinute limits prompt tokens; zero means no limit.
	TokensPerMinute id.Tokens
	// Concurrency limits requests in flight; zero means no limit.
	Concurrency int
	// LongestPrompt is the longest prompt admitted.
	LongestPrompt id.Tokens
	// Priority orders plans; higher values go first among requests of one length band.
	Priority int
	// Weight is the share of a crowded fleet relative to other organisations.
	Weight float64
	// Deadline is the longest time a request may take.
	Deadline time.Duration
}

// AllowsModel reports whether holders of the plan may call model.
func (pl Plan) AllowsModel(model id.Model) bool {
	return slices.Contains(pl.Models, model)
}

// AllowsService reports whether holders of the plan may call service.
func (pl Plan) AllowsService(service id.Service) bool {
	return slices.Contains(pl.Services, service)
}

// Organisation is a customer and the plan that it holds.
type Organisation struct {
	Name id.Organisation
	Plan id.Plan
	// KeySHA256 holds the SHA-256 sums of the organisation's keys in hexadecimal digits.
	KeySHA256 []string
}

// Lists is the content of both lists at one revision.
// Its maps are never changed after it has been returned by a Fold.
type Lists struct {
	Plans         map[id.Plan]Plan
	Organisations map[id.Organisation]Organisation
	// Revision is the offset of the last accepted edit.
	Revision id.Offset
	// Revisions holds the offset of the last accepted edit of each list.
	Revisions map[Name]id.Offset

	byKey map[string]id.Organisation
}

// Empty returns the lists before the first edit.
func Empty() *Lists {
	return &Lists{
		Plans:         map[id.Plan]Plan{},
		Organisations: map[id.Organisation]Organisation{},
		Revision:      id.NoOffset,
		Revisions:     map[Name]id.Offset{Plans: id.NoOffset, Organisations: id.NoOffset},
		byKey:         map[string]id.Organisation{},
	}
}

// OrganisationByKeySum returns the organisation that owns the key with the given SHA-256 sum in hexadecimal digits.
func (ls *Lists) OrganisationByKeySum(sum string) (Organisation, bool) {
	name, ok := ls.byKey[sum]
	if !ok {
		return Organisation{}, false
	}
	return ls.Organisations[name], true
}

// Models returns every model that some plan may use, in order.
func (ls *Lists) Models() []id.Model {
	var models []id.Model
	for _, pl := range ls.Plans {
		models = append(models, pl.Models...)
	}
	slices.Sort(models)
	return slices.Compact(models)
}
