package hibiscuslever

import (
	"context"
	"slices"

	"github.com/hibiscuslever/hibiscuslever/coordination/crashlog"
	"github.com/hibiscuslever/hibiscuslever/coordination/fleet"
	"github.com/hibiscuslever/hibiscuslever/coordination/membership"
	"github.com/hibiscuslever/hibiscuslever/state/id"
	"github.com/hibiscuslever/hibiscuslever/state/quarantine"
)

func (ht *Host) memberChanged(member membership.Member) {
	ht.logger.Info("member changed", "member", member.Host, "status", member.Status.String())
}

// factLearned records crash evidence that another host spread by gossip.
func (ht *Host) factLearned(fact membership.Fact) {
	if fact.Kind == membership.CrashFact {
		ht.shardServer.AddCrashEvidence(crashlog.FromFact(fact))
	}
}

// newerRevisionAnnounced fetches the configuration from a host that announced a higher revision. The fetch runs in its
// own goroutine because gossip handlers must not block; if it fails, gossip reports the revision again.
func (ht *Host) newerRevisionAnnounced(host id.Host) {
	go func() {
		if err := ht.configuration.SyncFrom(context.Background(), host); err != nil {
			ht.gossip.RetryNewerRevision()
		}
	}()
}

// configurationChanged announces the new revision to the other hosts by gossip.
func (ht *Host) configurationChanged(revision id.Offset) {
	ht.gossip.SetRevision(revision)
	ht.logger.Info("configuration changed", "revision", int64(revision))
}

// hostListUpdated has gossip also try the hosts of the platform's list, so that a host joins without configured seeds.
func (ht *Host) hostListUpdated(addresses []string) {
	for _, address := range addresses {
		ht.gossip.AddSeed(address)
	}
}

// crashEvidenceFound spreads new evidence that a request's content crashed an engine. From the second piece of evidence
// on, all of it is also stored in the log, where it outlives the hosts that saw the crashes. allEvidence includes
// newEvidence. The shard server holds its mutex during the call.
func (ht *Host) crashEvidenceFound(newEvidence quarantine.Evidence, allEvidence []quarantine.Evidence) {
	ht.gossip.SpreadFact(crashlog.ToFact(newEvidence))
	if len(allEvidence) > 1 {
		ht.quarantineSyncer.AddEvidence(allEvidence...)
	}
	ht.logger.Warn("crash of an engine under a request", "fingerprint", newEvidence.Fingerprint.String(), "standing", newEvidence.Status.String(), "known", len(allEvidence))
}

// placementCandidacy admits only the first few live hosts in hash order to the lease of the placer, so that few hosts
// read the stream of leases.
type placementCandidacy struct {
	host *Host
}

func (pc placementCandidacy) MayClaimLease() bool {
	const maxCandidates = 3
	hostsInHashOrder := id.RendezvousOrder("Placement", pc.host.gossip.LiveHosts())
	return slices.Contains(hostsInHashOrder[:min(maxCandidates, len(hostsInHashOrder))], pc.host.localMember.Host)
}

// peerHostLists reads the platform's host list from the copies of other entry hosts, for use while the platform is
// down.
type peerHostLists struct {
	host *Host
}

func (ph peerHostLists) OtherHosts() []id.Host { return ph.host.gossip.OtherHosts() }

func (ph peerHostLists) FetchListing(ctx context.Context, host id.Host) (fleet.Listing, error) {
	return ph.host.peerClient.FetchListing(ctx, host)
}
