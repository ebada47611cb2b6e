package crashlog

import (
	"github.com/hibiscuslever/hibiscuslever/coordination/membership"
	"github.com/hibiscuslever/hibiscuslever/state/id"
	"github.com/hibiscuslever/hibiscuslever/state/quarantine"
)

// ToFact returns evidence as a fact that hosts spread by gossip.
func ToFact(ev quarantine.Evidence) membership.Fact {
	return membership.Fact{Kind: membership.CrashFact, Key: uint64(ev.Fingerprint), Detail: uint64(ev.Crash), Value: int64(ev.Status)}
}

// FromFact returns the evidence in a fact of kind CrashFact. It does not check the status, which may be unknown.
func FromFact(fact membership.Fact) quarantine.Evidence {
	return quarantine.Evidence{Fingerprint: id.Fingerprint(fact.Key), Crash: quarantine.CrashID(fact.Detail), Status: quarantine.CrashStatus(fact.Value)}
}
