// Package statesync replicates three things to every host: the desired state, which is the routing table that the platform
// prescribes, the evacuated availability zones, and the list of backend servers.
//
// The hosts that accept new work are ordered by a rendezvous hash, the order of readers. The first of them reads the
// list from the platform's store for all hosts, and the first few wait in the store for a new desired state. They send
// what changed to the other hosts. The next in order take over when the list is not confirmed for some time. A host
// that finds its copies outdated requests what it lacks from a host with newer ones.
package statesync

import (
	"context"
	"time"

	"github.com/go-faster/errors"

	"github.com/hibiscuslever/hibiscuslever/state/evacuation"
	"github.com/hibiscuslever/hibiscuslever/state/id"
	"github.com/hibiscuslever/hibiscuslever/state/route"
	"github.com/hibiscuslever/hibiscuslever/state/serverlist"
)

// TableRead is the result of reading the desired state from the store.
type TableRead struct {
	// Body is the newest desired state as the store encodes it; nil if there is none from the requested offset on.
	Body []byte
	// Evacuations holds the records of evacuated zones from the requested offset on, or the newest one of each zone if no
	// offset was requested.
	Evacuations []evacuation.Record
	// Next is the offset to read from next.
	Next id.Offset
	// Expired is set when the store no longer retains the requested records.
	Expired bool
}

// ServersRead is the result of reading the list of backend servers from the store.
type ServersRead struct {
	Records []serverlist.Record
	// Next is the offset to read from next.
	Next id.Offset
	// More is set when the store has more already: of the full list after Position, of other records from Next on.
	More bool
	// Position is where the read of the full list stands after Records.
	Position ListPosition
	// FullList is set when Records is the full list rather than the records from an offset on.
	FullList bool
	// Expired is set when the store no longer retains the requested records.
	Expired bool
}

// ListPosition is a position in a read of the full list of backend servers. The zero value is the beginning.
type ListPosition struct {
	// LastKey is the key of the last entry that was read.
	LastKey string
	// Next is the offset from which the changes are read that follow the full list.
	Next id.Offset
}

// ErrReadRestarts is the error of a read of the full list that can't go on at its position and has to start again.
var ErrReadRestarts = errors.New("the read of the full list has to start again")

// Store reads the desired state and the list of backend servers from the platform's store.
type Store interface {
	// NewestTable returns the newest desired state.
	NewestTable(ctx context.Context) (TableRead, error)
	// AwaitTable returns the newest desired state at the offset from or later. If there is none yet, it waits for one, at
	// most for wait.
	AwaitTable(ctx context.Context, from id.Offset, wait time.Duration) (TableRead, error)
	// ReadServerPage returns the entries of the full list of backend servers after a position, as many as fit into one
	// response. Its errors wrap ErrReadRestarts if the read can't go on there.
	ReadServerPage(ctx context.Context, position ListPosition) (ServersRead, error)
	// ReadServerChanges returns the records of the list at the offset from and later. It does not wait for new ones.
	ReadServerChanges(ctx context.Context, from id.Offset) (ServersRead, error)
	// DecodeTable decodes a desired state in the store's encoding.
	DecodeTable(body []byte) (*route.Table, error)
	// DecodeServer decodes an entry of the list. It fails if the entry does not describe a usable server.
	DecodeServer(name id.BackendServer, body []byte) (*serverlist.Server, error)
}

// Update carries what the sender has just learned to other hosts.
type Update struct {
	Sender id.Host
	// Version is the version of the sender's desired state; 0 if it has none (SyncResponse and Status use -1 for that).
	Version route.Version
	// CompressedTable is the desired state of that version, compressed; nil if the update does not carry it.
	CompressedTable []byte
	// From and Next bound the offsets of the list that the update covers, Next excluded. Records include every record in
	// this range that changed the list. Both offsets are id.NoOffset in an update that is not about the list.
	From    id.Offset
	Next    id.Offset
	Records []serverlist.Record
	// ListAge is the time since the list was known to be up to date.
	ListAge time.Duration
	// Evacuations is the sender's copy of the evacuated zones; nil if it has none.
	Evacuations *evacuation.State
	// Relay asks the receiver to forward the update to the other hosts of its availability zone.
	Relay bool
}

// SyncResponse holds what the requesting host lacks of the desired state and of the list.
type SyncResponse struct {
	// Version is the version of the responding host's desired state; -1 if it has none (Update uses 0 for that).
	Version route.Version
	// CompressedTable is the desired state, compressed; nil if the requesting host's one is as new.
	CompressedTable []byte
	// From and Next bound the offsets of the list that Records covers, Next excluded. From does not count if FullList
	// is set: Records is then the full list.
	From     id.Offset
	Next     id.Offset
	Records  []serverlist.Record
	FullList bool
	// ListAge is the time since the list was known to be up to date.
	ListAge time.Duration
	// Evacuations is the responding host's copy of the evacuated zones; nil if it has none.
	Evacuations *evacuation.State
}

// Status says how recent a host's copies are. Hosts add it to the messages that they exchange in any case, so that a
// host with older copies notices.
type Status struct {
	// Version is the version of the desired state; -1 if there is none (Update uses 0 for that).
	Version route.Version
	// The host's copy of the list has all records before NextOffset, and those from UnchangedSince on changed nothing.
	// NextOffset is id.NoOffset before the list has been read; UnchangedSince then has no meaning.
	UnchangedSince id.Offset
	NextOffset     id.Offset
	// ListAge is the time since the list was known to be up to date.
	ListAge time.Duration
	// EvacuationsUnchangedSince is an offset since which no record changed the evacuated zones; 0 if the host does not know
	// of any change.
	EvacuationsUnchangedSince id.Offset
}

// Peer describes another host.
type Peer struct {
	Host             id.Host
	AvailabilityZone id.AvailabilityZone
	// ProcessorShare is the part of a processor core that the host may use, in thousandths.
	ProcessorShare uint32
}

// Peers calls the other hosts of the fleet.
type Peers interface {
	// Peers returns the other hosts except dead ones.
	Peers() []Peer
	// Isolated reports whether no other host has answered for some time.
	Isolated() bool
	// LiveHosts returns the hosts that accept new work, including the local host unless it is leaving.
	LiveHosts() []id.Host
	// SendUpdate sends an update to a host.
	SendUpdate(ctx context.Context, host id.Host, update Update) error
	// RequestSync requests from a host the desired state, if it is newer than version, and the changes of the list from
	// the offset next on.
	RequestSync(ctx context.Context, host id.Host, version route.Version, next id.Offset) (SyncResponse, error)
}

// Seeds calls hosts by address, which works before any other host is known as a member of the fleet.
type Seeds interface {
	// RequestSyncAt requests the desired state and the full list from the host at the address.
	RequestSyncAt(ctx context.Context, address string) (SyncResponse, error)
}
