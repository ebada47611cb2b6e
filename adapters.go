package hibiscuslever

import (
	"context"
	"maps"
	"math/rand/v2"
	"slices"

	"github.com/hibiscuslever/hibiscuslever/coordination/claim"
	"github.com/hibiscuslever/hibiscuslever/coordination/configuration"
	"github.com/hibiscuslever/hibiscuslever/coordination/fleet"
	"github.com/hibiscuslever/hibiscuslever/coordination/membership"
	"github.com/hibiscuslever/hibiscuslever/coordination/placement"
	"github.com/hibiscuslever/hibiscuslever/coordination/placer"
	"github.com/hibiscuslever/hibiscuslever/protocol/operator"
	protocol "github.com/hibiscuslever/hibiscuslever/protocol/platform"
	"github.com/hibiscuslever/hibiscuslever/state/id"
	"github.com/hibiscuslever/hibiscuslever/state/lists"
	"github.com/hibiscuslever/hibiscuslever/transport/platform"
)

// configurationLog is the configuration stream of the platform's log.
type configurationLog struct {
	client *platform.Client
}

func (lg configurationLog) Append(ctx context.Context, body []byte) bool {
	_, result := lg.client.Append(ctx, protocol.Configuration, body)
	return result == platform.NotStored
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

// readiness says whether the host may serve callers.
type readiness struct {
	host *Host
}

func (rd readiness) Lists() (*lists.Lists, bool) {
	current, ready := rd.host.configuration.Lists()
	return current, ready && rd.NotReady() == ""
}

func (rd readiness) NotReady() string {
	return rd.host.notReady()
}

func (ht *Host) notReady() string {
	if reason := ht.configuration.NotReady(); reason != "" {
		return reason
	}
	if !ht.fleet.Listed() {
		return "the platform's host list has not been read yet"
	}
	return ""
}

// CallerAddresses returns addresses of live hosts in random order.
func (ht *Host) CallerAddresses() []string {
	var addresses []string
	for _, mb := range ht.gossip.Live() {
		if mb.Status == membership.Alive {
			addresses = append(addresses, mb.CallerAddress)
		}
	}
	rand.Shuffle(len(addresses), func(left, right int) {
		addresses[left], addresses[right] = addresses[right], addresses[left]
	})
	return addresses[:min(len(addresses), ht.settings.Callers.MaxAddresses)]
}

// zones returns the number of availability zones that have live hosts.
func (ht *Host) zones() int {
	zones := map[id.AvailabilityZone]bool{}
	for _, mb := range ht.gossip.Live() {
		zones[mb.AvailabilityZone] = true
	}
	return len(zones)
}

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

// Status returns what the host knows of the fleet.
func (ht *Host) Status() operator.Status {
	current, _ := ht.configuration.Lists()
	status := operator.Status{
		Host:             ht.self.Host,
		AvailabilityZone: ht.self.AvailabilityZone,
		NotReady:         ht.notReady(),
		InFlight:         ht.callers.InFlight(),
		Started:          ht.started,
	}
	for _, list := range lists.Names() {
		status.Revisions = append(status.Revisions, operator.ListRevision{List: list, Revision: current.Revisions[list]})
	}
	status.Hosts = ht.hostStatuses()
	status.Shards, status.Engines = ht.shardStatuses()
	return status
}

func (ht *Host) hostStatuses() []operator.Host {
	own, _ := ht.gossip.Member(ht.self.Host)
	var hosts []operator.Host
	for _, mb := range append([]membership.Member{own}, ht.gossip.Members()...) {
		hosts = append(hosts, operator.Host{
			Name:             mb.Host,
			AvailabilityZone: mb.AvailabilityZone,
			Status:           mb.Status.String(),
			CallerAddress:    mb.CallerAddress,
		})
	}
	return hosts
}

func (ht *Host) shardStatuses() ([]operator.Shard, []operator.Engine) {
	local := ht.shardServer.Status()
	var shards []operator.Shard
	var engines []operator.Engine
	for _, name := range ht.fleet.Shards() {
		sh := operator.Shard{Name: name}
		if owners := ht.peers.Owners(name); len(owners) > 0 {
			sh.Dispatcher = owners[0]
		}
		held := map[id.Engine]operator.Engine{}
		for _, st := range local {
			if st.Shard != name {
				continue
			}
			sh.Local = true
			sh.Waiting = st.Waiting
			sh.Running = st.Granted
			for _, en := range st.Engines {
				held[en.Engine] = operator.Engine{Held: en.Held + en.Foreign, Capacity: en.Capacity}
			}
		}
		shards = append(shards, sh)
		for _, en := range ht.fleet.Engines(name) {
			engines = append(engines, operator.Engine{
				Name:             en.Name,
				Service:          en.Service,
				AvailabilityZone: en.AvailabilityZone,
				Leaving:          en.Leaving,
				Held:             held[en.Name].Held,
				Capacity:         held[en.Name].Capacity,
			})
		}
	}
	return shards, engines
}
