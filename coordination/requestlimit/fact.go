package requestlimit

import (
	"math"

	"github.com/hibiscuslever/hibiscuslever/coordination/membership"
	"github.com/hibiscuslever/hibiscuslever/state/id"
	"github.com/hibiscuslever/hibiscuslever/state/serverlimit"
)

// versionShift is the number of low bits of a fact's value, which hold the rate. The bits above hold the version.
const versionShift = 32

// ToFact returns a statement as a fact that hosts spread by gossip. Facts with a higher value win, so the value orders
// statements as the table does: by version, and then the lower rate first.
func ToFact(statement serverlimit.Statement) membership.Fact {
	var rateBits uint32
	if statement.Rate > 0 {
		rateBits = math.MaxUint32 - uint32(math.Round(float64(statement.Rate)*serverlimit.RatePrecision))
	}
	return membership.Fact{
		Kind: membership.RequestLimitFact, Key: uint64(statement.Server), Detail: uint64(statement.StartedAtMillis),
		Value: int64(statement.Version)<<versionShift | int64(rateBits),
	}
}

// FromFact returns the statement in a fact of kind RequestLimitFact, or false if the fact holds none.
func FromFact(fact membership.Fact) (serverlimit.Statement, bool) {
	if fact.Kind != membership.RequestLimitFact || fact.Value < 0 {
		return serverlimit.Statement{}, false
	}
	statement := serverlimit.Statement{
		Server: id.ServerHash(fact.Key), StartedAtMillis: int64(fact.Detail), Version: uint32(fact.Value >> versionShift),
	}
	if rateBits := uint32(fact.Value); rateBits > 0 {
		statement.Rate = serverlimit.ClampRate(float64(math.MaxUint32-rateBits) / serverlimit.RatePrecision)
	}
	return statement, true
}
