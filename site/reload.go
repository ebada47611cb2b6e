package site

import (
	"github.com/hibiscuslever/hibiscuslever/settings"
)

// Reload takes new settings. What is bound at the start, such as addresses, stays until the next one.
func (ht *Host) Reload(st settings.Settings) {
	for _, address := range st.Peers.Seeds {
		ht.gossip.AddSeed(address)
	}
	restart := st.Host != ht.settings.Host || st.Platform != ht.settings.Platform
	ht.logger.Info("settings reloaded", "seeds", st.Peers.Seeds, "needs_restart", restart)
}
