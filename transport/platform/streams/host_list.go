package streams

import (
	"context"

	"github.com/hibiscuslever/hibiscuslever/coordination/fleet"
	protocol "github.com/hibiscuslever/hibiscuslever/protocol/platform"
	"github.com/hibiscuslever/hibiscuslever/state/id"
	"github.com/hibiscuslever/hibiscuslever/transport/platform"
)

// PeerListings provides the lists of engines and backend servers that other entry hosts have read.
type PeerListings interface {
	// OtherHosts returns the other hosts that are not dead.
	OtherHosts() []id.Host
	// FetchListing returns the list of engines and backend servers as a host last read it.
	FetchListing(ctx context.Context, host id.Host) (fleet.Listing, error)
}

// HostList reads the platform's list of entry hosts, engines and other backend servers. Until it has obtained a list
// once, it takes the copy of another entry host if the platform is unavailable. It is not safe for concurrent use.
type HostList struct {
	client       *platform.Client
	peerListings PeerListings
	// initialized is set once the list has been read from the platform or copied from another host.
	initialized bool
}

// NewHostList returns the list of the platform that the client calls.
func NewHostList(client *platform.Client, peerListings PeerListings) *HostList {
	return &HostList{client: client, peerListings: peerListings}
}

// List returns the engines and backend servers, and the addresses of entry hosts. A copy from another host has no
// addresses.
func (hs *HostList) List(ctx context.Context) (fleet.Listing, []string, error) {
	hosts, err := hs.client.Hosts(ctx)
	if err == nil {
		hs.initialized = true
		listing, addresses := splitHosts(hosts)
		return listing, addresses, nil
	}
	if hs.initialized {
		return fleet.Listing{}, nil, err
	}
	for _, host := range hs.peerListings.OtherHosts() {
		if listing, copyErr := hs.peerListings.FetchListing(ctx, host); copyErr == nil {
			hs.initialized = true
			return listing, nil, nil
		}
	}
	return fleet.Listing{}, nil, err
}

// splitHosts separates the entries of the platform's list into engines and backend servers, and addresses of entry
// hosts.
func splitHosts(hosts []protocol.Host) (fleet.Listing, []string) {
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
