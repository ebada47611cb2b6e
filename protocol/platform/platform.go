// Package platform defines the messages of the platform's log, list of hosts and store of model weights. The list
// of hosts contains entry hosts, engines and other backend servers.
package platform

import "github.com/hibiscuslever/hibiscuslever/state/id"

// Paths of the platform's HTTP interface.
const (
	// LogPath is followed by the name of a stream. POST appends a record and GET returns records.
	LogPath = "/log/"
	// HostsPath returns the list of entry hosts, engines and other backend servers.
	HostsPath = "/hosts"
	// WeightsPath is followed by the name of a model. GET returns the model's weights.
	WeightsPath = "/weights/"
)

// Stream names a stream of the log.
type Stream string

// Streams that entry hosts use.
const (
	// Configuration contains edits of the lists of plans and organisations, and checkpoints of these lists.
	Configuration Stream = "Configuration"
	// Claims contains claims of idempotency keys and the results of their requests.
	Claims Stream = "Claims"
	// Leases contains leases for sending orders to engines.
	Leases Stream = "Leases"
	// Quarantine contains fingerprints of requests that crash engines.
	Quarantine Stream = "Quarantine"
)

// AppendResponse is the response to an append.
type AppendResponse struct {
	Offset id.Offset
}

// Record is one record of a stream.
type Record struct {
	Offset id.Offset
	Body   []byte
}

// ReadResponse is the response to a read.
type ReadResponse struct {
	// Start is the offset of the oldest record in the log.
	Start id.Offset
	// Next is the offset that the next appended record will get.
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

// HostState says whether a host may receive new work.
type HostState string

// States of hosts.
const (
	Live    HostState = "Live"
	Leaving HostState = "Leaving"
)

// Host is an entry host, an engine or another backend server in the platform's list.
type Host struct {
	Kind    HostKind
	Name    string
	Service id.Service
	// Address is a host and port. For an entry host, it is the address for other entry hosts.
	Address          string
	AvailabilityZone id.AvailabilityZone
	State            HostState
	// ChecksFencing is set if the host rejects orders with an outdated fencing token.
	ChecksFencing bool
}

// HostList is the response to a request for the list of entry hosts, engines and other backend servers.
type HostList struct {
	Hosts []Host
}
