package hibiscuslever

import (
	"context"
	"slices"

	"github.com/hibiscuslever/hibiscuslever/coordination/conviction"
	"github.com/hibiscuslever/hibiscuslever/coordination/fleet"
	"github.com/hibiscuslever/hibiscuslever/coordination/membership"
	"github.com/hibiscuslever/hibiscuslever/state/id"
	"github.com/hibiscuslever/hibiscuslever/state/quarantine"
)

func (ht *Host) memberChanged(member membership.Member) {
	ht.logger.Info("member changed", "member", member.Host, "status", member.Status.String())
}

func (ht *Host) factLearned(fact membership.Fact) {
	if fact.Kind == membership.CrashFact {
		ht.shardServer.AddCrashEvidence(conviction.FromFact(fact))
	}
}

// behind fetches the configuration from a host that has a higher revision.
func (ht *Host) behind(host id.Host) {
	go func() {
		if err := ht.configuration.SyncFrom(context.Background(), host); err != nil {
			ht.gossip.RetryNewerRevision()
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

// evidenceFound passes on what was found out about a content; once there are two crashes the log keeps them.
func (ht *Host) evidenceFound(ev quarantine.Evidence, all []quarantine.Evidence) {
	ht.gossip.SpreadFact(conviction.ToFact(ev))
	if len(all) > 1 {
		ht.convictions.AddEvidence(all...)
	}
	ht.logger.Warn("crash of an engine under a request", "fingerprint", ev.Fingerprint.String(), "standing", ev.Status.String(), "known", len(all))
}

// placementCandidates are the first few hosts in hash order, so that few hosts read the stream of leases.
type placementCandidates struct {
	host *Host
}

func (pc placementCandidates) MayClaimLease() bool {
	const candidates = 3
	ordered := id.RendezvousOrder("Placement", pc.host.gossip.LiveHosts())
	return slices.Contains(ordered[:min(candidates, len(ordered))], pc.host.self.Host)
}

// hostCopies are the lists of hosts that other entry hosts know.
type hostCopies struct {
	host *Host
}

func (hc hostCopies) OtherHosts() []id.Host { return hc.host.gossip.OtherHosts() }

func (hc hostCopies) FetchListing(ctx context.Context, host id.Host) (fleet.Listing, error) {
	return hc.host.peers.FetchListing(ctx, host)
}
