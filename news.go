package hibiscuslever

import (
	"context"

	"github.com/hibiscuslever/hibiscuslever/coordination/membership"
	"github.com/hibiscuslever/hibiscuslever/state/id"
)

func (ht *Host) memberChanged(member membership.Member) {
	ht.logger.Info("member changed", "member", member.Host, "status", member.Status.String())
}

func (ht *Host) factLearned(fact membership.Fact) {
	if fact.Kind == membership.Crashes {
		ht.shardServer.Learn(id.Fingerprint(fact.Key), int(fact.Value))
	}
}

// behind fetches the configuration from a host that has a higher revision.
func (ht *Host) behind(host id.Host) {
	go func() {
		if err := ht.configuration.Fetch(context.Background(), host); err != nil {
			ht.gossip.RetryBehind()
		}
	}()
}

func (ht *Host) configurationChanged(revision id.Offset) {
	ht.gossip.SetRevision(revision)
	ht.logger.Info("configuration changed", "revision", int64(revision))
}

func (ht *Host) hostsListed(addresses []string) {
	for _, address := range addresses {
		ht.gossip.AddSeed(address)
	}
}

func (ht *Host) crashCounted(fp id.Fingerprint, crashes int) {
	ht.gossip.Spread(membership.Fact{Kind: membership.Crashes, Key: uint64(fp), Value: int64(crashes)})
	go ht.convictions.Add(context.Background(), fp, crashes)
	ht.logger.Warn("request crashed an engine", "fingerprint", fp.String(), "crashes", crashes)
}
