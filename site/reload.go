package site

import (
	"github.com/hibiscuslever/hibiscuslever/settings"
)

// Reload applies reloaded settings. Only new seeds take effect; all other settings, such as addresses, take effect when
// the process is started again. The log line says whether the settings of the host itself or of the platform differ
// from those in force, so that a restart is needed.
func (ht *Host) Reload(reloaded settings.Settings) {
	for _, address := range reloaded.Peers.Seeds {
		ht.gossip.AddSeed(address)
	}
	needsRestart := reloaded.Host != ht.settings.Host || reloaded.Platform != ht.settings.Platform
	ht.logger.Info("settings reloaded", "seeds", reloaded.Peers.Seeds, "needs_restart", needsRestart)
}
