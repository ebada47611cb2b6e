// Package news keeps a host's copies of the desired state and of the list of backend servers up to date,
// from the platform's store and from other hosts.
package news

import (
	"context"
	"time"

	"github.com/hibiscuslever/hibiscuslever/state/id"
	"github.com/hibiscuslever/hibiscuslever/state/roster"
	"github.com/hibiscuslever/hibiscuslever/state/route"
)

// TableRead is what a read of the desired state brought.
type TableRead struct {
	// Body is the newest desired state as the store encodes it, nil if there was none after the position asked for.
	Body []byte
	Next id.Offset
	// Expired says that the records asked for are no longer kept.
	Expired bool
}

// ServersRead is what a read of the list of backend servers brought.
type ServersRead struct {
	Records []roster.Record
	Next    id.Offset
	// Whole says that the records are the whole list.
	Whole bool
	// Expired says that the records asked for are no longer kept.
	Expired bool
}

// Store is the platform's store.
type Store interface {
	// NewestTable returns the newest desired state.
	NewestTable(ctx context.Context) (TableRead, error)
	// AwaitTable waits for a desired state from an offset on.
	AwaitTable(ctx context.Context, from id.Offset, wait time.Duration) (TableRead, error)
	// NewestServers returns the whole list of backend servers.
	NewestServers(ctx context.Context) (ServersRead, error)
	// ReadServers returns the records of the list from an offset on without waiting.
	ReadServers(ctx context.Context, from id.Offset) (ServersRead, error)
	// DecodeTable reads a desired state as the store encodes it.
	DecodeTable(body []byte) (*route.Table, error)
	// DecodeServer reads an entry; nil means that it names no usable server.
	DecodeServer(name id.BackendServer, body []byte) *roster.Server
}

// Update is what a host tells others that is new to it.
type Update struct {
	// Host is the host that tells.
	Host    id.Host
	Version route.Version
	// Table is the desired state of the version, compressed; nil if it is not new.
	Table []byte
	// From and Next bound the offsets that the records cover: they are all that changed there.
	From    id.Offset
	Next    id.Offset
	Records []roster.Record
	// Age is the time since the list was known to be up to date.
	Age time.Duration
	// Relay asks the receiver to tell the hosts of its availability zone.
	Relay bool
}

// Copy is what a host knows beyond what the asker does.
type Copy struct {
	Version route.Version
	// Table is the desired state, compressed; nil if the asker has it.
	Table []byte
	// From and Next bound the offsets that the records cover. Whole says that they are the whole list.
	From    id.Offset
	Next    id.Offset
	Records []roster.Record
	Whole   bool
	// Age is the time since the list was known to be up to date.
	Age time.Duration
}

// Standing is what a host says of its copies in every message.
type Standing struct {
	Version route.Version
	// Quiet and Next bound the newest offsets of the list that brought no change.
	Quiet id.Offset
	Next  id.Offset
	// Age is the time since the list was known to be up to date.
	Age time.Duration
}

// Peer is another host.
type Peer struct {
	Host             id.Host
	AvailabilityZone id.AvailabilityZone
	// ProcessorShare is the part of a core that the host may use, in thousandths.
	ProcessorShare uint32
}

// Peers reaches the other hosts.
type Peers interface {
	// Peers describes the other hosts that are not dead.
	Peers() []Peer
	// Alone reports whether no other host has answered for some time.
	Alone() bool
	// LiveHosts returns the hosts that take new work, the own one included.
	LiveHosts() []id.Host
	// Tell passes an update to a host.
	Tell(ctx context.Context, host id.Host, up Update) error
	// Copy asks a host for what it knows beyond a version and an offset of the list.
	Copy(ctx context.Context, host id.Host, version route.Version, next id.Offset) (Copy, error)
}

// Seeds reaches hosts by address before they are known as members.
type Seeds interface {
	// CopyFrom asks the host at an address for everything that it knows.
	CopyFrom(ctx context.Context, address string) (Copy, error)
}
