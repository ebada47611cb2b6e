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
	// FullList says that the records are the whole list.
	FullList bool
	// Expired says that the records asked for are no longer kept.
	Expired bool
}

// Store is the platform's store.
type Store interface {
	// NewestTable returns the newest desired state.
	NewestTable(ctx context.Context) (TableRead, error)
	// AwaitTable waits for a desired state from an offset on.
	AwaitTable(ctx context.Context, from id.Offset, wait time.Duration) (TableRead, error)
	// ReadServerList returns the whole list of backend servers.
	ReadServerList(ctx context.Context) (ServersRead, error)
	// ReadServerChanges returns the records of the list from an offset on without waiting.
	ReadServerChanges(ctx context.Context, from id.Offset) (ServersRead, error)
	// DecodeTable reads a desired state as the store encodes it.
	DecodeTable(body []byte) (*route.Table, error)
	// DecodeServer reads an entry; nil means that it names no usable server.
	DecodeServer(name id.BackendServer, body []byte) *roster.Server
}

// Update is what a host tells others that is new to it.
type Update struct {
	// Sender is the host that tells.
	Sender    id.Host
	Version route.Version
	// CompressedTable is the desired state of the version, compressed; nil if it is not new.
	CompressedTable []byte
	// From and Next bound the offsets that the records cover: they are all that changed there.
	From    id.Offset
	Next    id.Offset
	Records []roster.Record
	// ListAge is the time since the list was known to be up to date.
	ListAge time.Duration
	// Relay asks the receiver to tell the hosts of its availability zone.
	Relay bool
}

// SyncResponse is what a host knows beyond what the asker does.
type SyncResponse struct {
	Version route.Version
	// CompressedTable is the desired state, compressed; nil if the asker has it.
	CompressedTable []byte
	// From and Next bound the offsets that the records cover. Whole says that they are the whole list.
	From    id.Offset
	Next    id.Offset
	Records []roster.Record
	FullList   bool
	// ListAge is the time since the list was known to be up to date.
	ListAge time.Duration
}

// Status is what a host says of its copies in every message.
type Status struct {
	Version route.Version
	// UnchangedSince and Next bound the newest offsets of the list that brought no change.
	UnchangedSince id.Offset
	Next  id.Offset
	// ListAge is the time since the list was known to be up to date.
	ListAge time.Duration
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
	// Isolated reports whether no other host has answered for some time.
	Isolated() bool
	// LiveHosts returns the hosts that take new work, the own one included.
	LiveHosts() []id.Host
	// SendUpdate passes an update to a host.
	SendUpdate(ctx context.Context, host id.Host, up Update) error
	// RequestSync asks a host for what it knows beyond a version and an offset of the list.
	RequestSync(ctx context.Context, host id.Host, version route.Version, next id.Offset) (SyncResponse, error)
}

// Seeds reaches hosts by address before they are known as members.
type Seeds interface {
	// RequestSyncAt asks the host at an address for everything that it knows.
	RequestSyncAt(ctx context.Context, address string) (SyncResponse, error)
}
