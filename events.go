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
		ht.shardServer.LearnEvidence(conviction.FromFact(fact))
	}
}

// newerRevisionAnnounced fetches the configuration from a host that has a higher revision.
func (ht *Host) newerRevisionAnnounced(host id.Host) {
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

func (ht *Host) hostListUpdated(addresses []string) {
	for _, address := range addresses {
		ht.gossip.AddSeed(address)
	}
}

// crashEvidenceFound passes on what was found out about a content; once there are two crashes the log keeps them.
func (ht *Host) crashEvidenceFound(newEvidence quarantine.Evidence, allEvidence []quarantine.Evidence) {
	ht.gossip.SpreadFact(conviction.ToFact(newEvidence))
	if len(allEvidence) > 1 {
		ht.quarantineSyncer.Add(allEvidence...)
	}
	ht.logger.Warn("crash of an engine under a request", "fingerprint", newEvidence.Fingerprint.String(), "standing", newEvidence.Status.String(), "known", len(allEvidence))
}

// placementCandidates are the first few hosts in hash order, so that few hosts read the stream of leases.
type placementCandidates struct {
	host *Host
}

func (pc placementCandidates) IsCandidate() bool {
	const maxCandidates = 3
	hostsInHashOrder := id.Rendezvous("Placement", pc.host.gossip.LiveHosts())
	return slices.Contains(hostsInHashOrder[:min(maxCandidates, len(hostsInHashOrder))], pc.host.localMember.Host)
}

// peerHostLists are the lists of hosts that other entry hosts know.
type peerHostLists struct {
	host *Host
}

func (hc peerHostLists) OtherHosts() []id.Host { return hc.host.gossip.OtherHosts() }

func (hc peerHostLists) Listing(ctx context.Context, host id.Host) (fleet.Listing, error) {
	return hc.host.peerClient.Listing(ctx, host)
}
