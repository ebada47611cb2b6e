package hibiscuslever

import (
	"context"
	"slices"

	"github.com/hibiscuslever/hibiscuslever/coordination/crashlog"
	"github.com/hibiscuslever/hibiscuslever/coordination/fleet"
	"github.com/hibiscuslever/hibiscuslever/coordination/membership"
	"github.com/hibiscuslever/hibiscuslever/state/id"
	"github.com/hibiscuslever/hibiscuslever/state/lists"
	"github.com/hibiscuslever/hibiscuslever/state/quarantine"
	"github.com/hibiscuslever/hibiscuslever/tasks"
)

// onMemberChanged logs that the status or the description of a host has changed.
func (ht *Host) onMemberChanged(member membership.Member) {
	ht.logger.Info("member changed", "member", member.Host, "status", member.Status.String())
}

// onFactLearned records crash evidence that another host spread by gossip. It ignores other facts.
func (ht *Host) onFactLearned(fact membership.Fact) {
	if fact.Kind == membership.CrashFact {
		ht.shardServer.LearnReportedEvidence(crashlog.FromFact(fact))
	}
}

// onNewerRevision fetches the configuration from a host that announced a higher revision. The fetch runs in its own
// goroutine because gossip handlers must not block; if it fails, gossip reports the revision again.
func (ht *Host) onNewerRevision(host id.Host) {
	tasks.Go(func() {
		if err := ht.configuration.SyncFrom(context.Background(), host); err != nil {
			ht.gossip.RetryNewerRevision()
		}
	})
}

// onConfigurationChanged announces the new revision to the other hosts by gossip and puts the evacuated zones in force.
func (ht *Host) onConfigurationChanged(current *lists.Lists) {
	ht.gossip.SetRevision(current.Revision)
	ht.fleet.SetEvacuatedZones(current.EvacuatedZones)
	ht.metrics.Scope.Gauge("zones_evacuated").Update(float64(len(current.EvacuatedZones)))
	ht.logger.Info("configuration changed", "revision", int64(current.Revision), "evacuated_zones", current.EvacuatedZones)
}

// onHostListUpdated has gossip also try the hosts of the platform's list, so that a host joins without configured seeds.
func (ht *Host) onHostListUpdated(addresses []string) {
	for _, address := range addresses {
		ht.gossip.AddSeed(address)
	}
}

// onCrashEvidenceFound spreads new evidence that a request's content crashed an engine. From the second piece of evidence
// on, all of it is also stored in the log, where it outlives the hosts that saw the crashes. allEvidence includes
// newEvidence. The shard server holds its mutex during the call.
func (ht *Host) onCrashEvidenceFound(newEvidence quarantine.Evidence, allEvidence []quarantine.Evidence) {
	ht.gossip.SpreadFact(crashlog.ToFact(newEvidence))
	if len(allEvidence) > 1 {
		ht.quarantineSyncer.QueueEvidence(allEvidence...)
	}
	ht.logger.Warn("crash of an engine under a request", "fingerprint", newEvidence.Fingerprint.String(), "standing", newEvidence.Status.String(), "known", len(allEvidence))
}

// placementLeaseEligibility lets only the first few live hosts in hash order claim the placer's lease, so that few hosts
// read the stream of leases.
type placementLeaseEligibility struct {
	host *Host
}

func (le placementLeaseEligibility) MayClaimLease() bool {
	const maxEligibleHosts = 3
	hostsInHashOrder := id.RendezvousOrder("Placement", le.host.gossip.LiveHosts())
	return slices.Contains(hostsInHashOrder[:min(maxEligibleHosts, len(hostsInHashOrder))], le.host.localMember.Host)
}

// peerHostLists reads the platform's list of engines and backend servers from the copies of other entry hosts, for use
// while the platform is down.
type peerHostLists struct {
	host *Host
}

func (ph peerHostLists) OtherHosts() []id.Host { return ph.host.gossip.OtherHosts() }

func (ph peerHostLists) FetchListing(ctx context.Context, host id.Host) (fleet.Listing, error) {
	return ph.host.peerClient.FetchListing(ctx, host)
}
