package conviction

import (
	"github.com/hibiscuslever/hibiscuslever/coordination/membership"
	"github.com/hibiscuslever/hibiscuslever/state/id"
	"github.com/hibiscuslever/hibiscuslever/state/quarantine"
)

// ToFact returns evidence as hosts pass it on.
func ToFact(ev quarantine.Evidence) membership.Fact {
	return membership.Fact{Kind: membership.CrashFact, Key: uint64(ev.Fingerprint), Detail: uint64(ev.Crash), Value: int64(ev.Status)}
}

// FromFact reads evidence that another host passed on.
func FromFact(fact membership.Fact) quarantine.Evidence {
	return quarantine.Evidence{Fingerprint: id.Fingerprint(fact.Key), Crash: quarantine.CrashID(fact.Detail), Status: quarantine.CrashStatus(fact.Value)}
}
