package site

import (
	"github.com/hibiscuslever/hibiscuslever/coordination/membership"
	"github.com/hibiscuslever/hibiscuslever/state/id"
	"github.com/hibiscuslever/hibiscuslever/state/quarantine"
)

// convictions counts crashes of engines by the content of requests, on all hosts together.
type convictions struct {
	host *Host
}

// Convicted reports whether a request has crashed too many engines to be run again, and whether it is suspected.
func (cv convictions) Convicted(fp id.Fingerprint) (convicted, suspected bool) {
	cv.host.mutex.Lock()
	defer cv.host.mutex.Unlock()
	decision := cv.host.quarantine.Decide(cv.host.clock.Now(), fp)
	return decision == quarantine.Refuse, decision == quarantine.RunAlone || decision == quarantine.Wait
}

// Crashed counts a crash and tells the other hosts.
func (cv convictions) Crashed(fp id.Fingerprint) {
	cv.host.mutex.Lock()
	crashes := cv.host.quarantine.Crashed(cv.host.clock.Now(), fp)
	cv.host.mutex.Unlock()
	cv.host.gossip.Spread(membership.Fact{Kind: membership.Crashes, Key: uint64(fp), Value: int64(crashes)})
	cv.host.logger.Warn("request ran on an engine that crashed", "fingerprint", fp.String(), "crashes", crashes, "convicted", quarantine.IsConvicted(crashes))
}
