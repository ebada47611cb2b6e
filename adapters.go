package hibiscuslever

import (
	"context"
	"math/rand/v2"

	"github.com/hibiscuslever/hibiscuslever/coordination/claim"
	"github.com/hibiscuslever/hibiscuslever/coordination/configuration"
	"github.com/hibiscuslever/hibiscuslever/coordination/fleet"
	"github.com/hibiscuslever/hibiscuslever/coordination/membership"
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

// hostList is the platform's list of hosts.
type hostList struct {
	client *platform.Client
}

func (hl hostList) List(ctx context.Context) (fleet.Listing, []string, error) {
	hosts, err := hl.client.Hosts(ctx)
	if err != nil {
		return fleet.Listing{}, nil, err
	}
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
	return listing, addresses, nil
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
