// Package platform defines the messages of the platform's log, host list and weight store.
package platform

import "github.com/hibiscuslever/hibiscuslever/state/id"

// Paths of the platform's HTTP interface.
const (
	// LogPath is followed by a stream's name.
	LogPath = "/log/"
	// HostsPath lists hosts.
	HostsPath = "/hosts"
	// WeightsPath is followed by a model's name.
	WeightsPath = "/weights/"
)

// Stream names a stream of the log.
type Stream string

// Streams that the system keeps in the log.
const (
	// Configuration carries edits of the two lists and their checkpoints.
	Configuration Stream = "Configuration"
	// Claims carries claims of idempotency keys and their results.
	Claims Stream = "Claims"
	// Leases carries leases for engine orders.
	Leases Stream = "Leases"
	// Quarantine carries fingerprints of requests that crash engines.
	Quarantine Stream = "Quarantine"
)

// AppendResponse answers an append.
type AppendResponse struct {
	Offset id.Offset
}

// Record is one record of a stream.
type Record struct {
	Offset id.Offset
	Body   []byte
}

// ReadResponse answers a read.
type ReadResponse struct {
	// Start is the offset of the oldest record that the log keeps.
	Start id.Offset
	// Next is the offset that the next append will get.
	Next    id.Offset
	Records []Record
}

// HostKind says what runs on a host.
type HostKind string

// Kinds of hosts.
const (
	EntryHost         HostKind = "EntryHost"
	EngineHost        HostKind = "Engine"
	BackendServerHost HostKind = "BackendServer"
)

// HostState says whether a host is to receive work.
type HostState string

// States of hosts.
const (
	Live    HostState = "Live"
	Leaving HostState = "Leaving"
)

// Host is one entry of the platform's list.
type Host struct {
	Kind    HostKind
	Name    string
	Service id.Service
	// Address is host:port for engines and backend servers, and the address for peers of entry hosts.
	Address          string
	AvailabilityZone id.AvailabilityZone
	State            HostState
	// ChecksFencing says that the host refuses orders with an old fencing token.
	ChecksFencing bool
}

// HostList answers a request for the host list.
type HostList struct {
	Hosts []Host
}
