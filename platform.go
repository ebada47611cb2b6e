package hibiscuslever

import (
	"context"
	"maps"
	"slices"

	"github.com/hibiscuslever/hibiscuslever/coordination/claim"
	"github.com/hibiscuslever/hibiscuslever/coordination/configuration"
	"github.com/hibiscuslever/hibiscuslever/coordination/fleet"
	"github.com/hibiscuslever/hibiscuslever/coordination/placement"
	"github.com/hibiscuslever/hibiscuslever/coordination/placer"
	protocol "github.com/hibiscuslever/hibiscuslever/protocol/platform"
	"github.com/hibiscuslever/hibiscuslever/state/id"
	"github.com/hibiscuslever/hibiscuslever/state/lists"
	"github.com/hibiscuslever/hibiscuslever/transport/platform"
)

// configurationLog is the configuration stream of the platform's log.
type configurationLog struct {
	client *platform.Client
}

func (lg configurationLog) Append(ctx context.Context, body []byte) {
	lg.client.Append(ctx, protocol.Configuration, body)
}

func (lg configurationLog) Read(ctx context.Context, from id.Offset) (configuration.Records, error) {
	read, err := lg.client.Read(ctx, protocol.Configuration, from)
	if err != nil {
		return configuration.Records{}, err
	}
	records := configuration.Records{Start: read.Start, Next: read.Next}
	for _, rec := range read.Records {
		records.Records = append(records.Records, configuration.Record{Offset: rec.Offset, Body: rec.Body})
	}
	return records, nil
}

// claimsLog is the stream of claims of the platform's log.
type claimsLog struct {
	client *platform.Client
}

func (lg claimsLog) Append(ctx context.Context, body []byte) claim.AppendResult {
	_, result := lg.client.Append(ctx, protocol.Claims, body)
	switch result {
	case platform.Stored:
		return claim.Stored
	case platform.NotStored:
		return claim.NotStored
	default:
		return claim.MaybeStored
	}
}

func (lg claimsLog) Read(ctx context.Context, from id.Offset) claim.ReadEnded {
	read, err := lg.client.Read(ctx, protocol.Claims, from)
	if err != nil {
		return claim.ReadEnded{Failed: true}
	}
	ended := claim.ReadEnded{Start: read.Start, Next: read.Next}
	for _, rec := range read.Records {
		ended.Records = append(ended.Records, claim.LogRecord{Offset: rec.Offset, Body: rec.Body})
	}
	return ended
}

// leaseLog is the stream of leases of the platform's log.
type leaseLog struct {
	client *platform.Client
}

func (lg leaseLog) Append(ctx context.Context, body []byte) {
	lg.client.Append(ctx, protocol.Leases, body)
}

func (lg leaseLog) Read(ctx context.Context, from id.Offset) ([]placer.LogRecord, id.Offset, error) {
	read, err := lg.client.Read(ctx, protocol.Leases, from)
	if err != nil {
		return nil, id.NoOffset, err
	}
	var records []placer.LogRecord
	for _, rec := range read.Records {
		records = append(records, placer.LogRecord{Offset: rec.Offset, Body: rec.Body})
	}
	return records, read.Start, nil
}

// demand weighs models by the organisations that may use them.
type demand struct {
	configuration *configuration.Follower
}

func (dm demand) Demand() []placement.Demand {
	current, ready := dm.configuration.Lists()
	if !ready {
		return nil
	}
	weights := map[id.Model]float64{}
	for _, org := range current.Organisations {
		plan := current.Plans[org.Plan]
		for _, model := range plan.Models {
			weights[model] += plan.Weight
		}
	}
	var demands []placement.Demand
	for _, model := range slices.Sorted(maps.Keys(weights)) {
		demands = append(demands, placement.Demand{Model: model, Weight: weights[model]})
	}
	return demands
}

// placementCandidates are the first few hosts in hash order, so that few hosts read the stream of leases.
type placementCandidates struct {
	host *Host
}

func (pc placementCandidates) IsCandidate() bool {
	const candidates = 3
	ordered := id.Rendezvous("Placement", pc.host.gossip.LiveHosts())
	return slices.Contains(ordered[:min(candidates, len(ordered))], pc.host.self.Host)
}

// convictionLog is the stream of convictions of the platform's log.
type convictionLog struct {
	client *platform.Client
}

func (lg convictionLog) Append(ctx context.Context, body []byte) bool {
	_, result := lg.client.Append(ctx, protocol.Quarantine, body)
	return result == platform.Stored
}

func (lg convictionLog) Read(ctx context.Context, from id.Offset) ([][]byte, id.Offset, error) {
	read, err := lg.client.Read(ctx, protocol.Quarantine, from)
	if err != nil {
		return nil, from, err
	}
	var bodies [][]byte
	next := from
	for _, rec := range read.Records {
		bodies = append(bodies, rec.Body)
		next = rec.Offset + 1
	}
	return bodies, next, nil
}

// hostList is the platform's list of hosts. A host that has never read it takes a peer's copy while the platform is down.
type hostList struct {
	host *Host
}

func (hl hostList) List(ctx context.Context) (fleet.Listing, []string, error) {
	hosts, err := hl.host.platform.Hosts(ctx)
	if err == nil {
		listing, addresses := convertHosts(hosts)
		return listing, addresses, nil
	}
	if hl.host.fleet.Listed() {
		return fleet.Listing{}, nil, err
	}
	for _, other := range hl.host.gossip.Others() {
		if listing, peerErr := hl.host.peers.Listing(ctx, other); peerErr == nil {
			return listing, nil, nil
		}
	}
	return fleet.Listing{}, nil, err
}

func convertHosts(hosts []protocol.Host) (fleet.Listing, []string) {
	var listing fleet.Listing
	var addresses []string
	for _, host := range hosts {
		leaving := host.State == protocol.Leaving
		switch host.Kind {
		case protocol.EngineHost:
			listing.Engines = append(listing.Engines, fleet.Engine{
				Name:             id.Engine(host.Name),
				Service:          host.Service,
				Address:          host.Address,
				AvailabilityZone: host.AvailabilityZone,
				Leaving:          leaving,
				ChecksFencing:    host.ChecksFencing,
			})
		case protocol.BackendServerHost:
			listing.Servers = append(listing.Servers, fleet.BackendServer{
				Name:             id.BackendServer(host.Name),
				Service:          host.Service,
				Address:          host.Address,
				AvailabilityZone: host.AvailabilityZone,
				Leaving:          leaving,
			})
		case protocol.EntryHost:
			addresses = append(addresses, host.Address)
		}
	}
	return listing, addresses
}

// plans finds the plan of an organisation in the lists in force.
type plans struct {
	configuration *configuration.Follower
}

func (pl plans) PlanOf(org id.Organisation) (lists.Plan, bool) {
	current, _ := pl.configuration.Lists()
	holder, ok := current.Organisations[org]
	if !ok {
		return lists.Plan{}, false
	}
	plan, ok := current.Plans[holder.Plan]
	return plan, ok
}
