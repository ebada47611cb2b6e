package streams

import (
	"context"

	"github.com/hibiscuslever/hibiscuslever/coordination/fleet"
	protocol "github.com/hibiscuslever/hibiscuslever/protocol/platform"
	"github.com/hibiscuslever/hibiscuslever/state/id"
	"github.com/hibiscuslever/hibiscuslever/transport/platform"
)

// PeerListings gives the lists of hosts that other entry hosts know.
type PeerListings interface {
	// OtherHosts returns the other live hosts.
	OtherHosts() []id.Host
	// FetchListing returns the list that a host knows.
	FetchListing(ctx context.Context, host id.Host) (fleet.Listing, error)
}

// HostList is the platform's list of hosts. A host that has never read it takes another's copy while the platform is down.
// It is not safe for concurrent use.
type HostList struct {
	client *platform.Client
	copies PeerListings
	// known says that the list was read, or a copy taken.
	known bool
}

// NewHostList returns the list of a platform.
func NewHostList(client *platform.Client, copies PeerListings) *HostList {
	return &HostList{client: client, copies: copies}
}

// List returns the engines and backend servers, and the addresses of entry hosts.
func (hs *HostList) List(ctx context.Context) (fleet.Listing, []string, error) {
	hosts, err := hs.client.Hosts(ctx)
	if err == nil {
		hs.known = true
		listing, addresses := convertHosts(hosts)
		return listing, addresses, nil
	}
	if hs.known {
		return fleet.Listing{}, nil, err
	}
	for _, other := range hs.copies.OtherHosts() {
		if listing, copyErr := hs.copies.FetchListing(ctx, other); copyErr == nil {
			hs.known = true
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
