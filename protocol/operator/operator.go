// Package operator defines the messages between hosts and the client that operators use.
package operator

import (
	"time"

	"github.com/hibiscuslever/hibiscuslever/state/id"
	"github.com/hibiscuslever/hibiscuslever/state/lists"
)

// Paths of the HTTP interface for operators.
const (
	// ListsPath is followed by the name of a list. GET returns the list and POST publishes a new content.
	ListsPath = "/operators/lists/"
	// EvacuationsPath takes evacuations of availability zones.
	EvacuationsPath = "/operators/evacuations"
	// HistoryPath returns the verdicts on the latest edits.
	HistoryPath = "/operators/history"
	// StatusPath returns the state of the fleet as the host knows it.
	StatusPath = "/operators/status"
	// MetricsPath returns metrics in the Prometheus text format.
	MetricsPath = "/metrics"
	// HealthPath returns status 200 while the process runs.
	HealthPath = "/healthz"
	// ReadyPath returns status 200 while the host accepts requests of callers.
	ReadyPath = "/readyz"
)

// List is the content of a list at a revision.
type List struct {
	Name     lists.Name
	Revision id.Offset
	Text     string
}

// PublishRequest asks to replace the content of a list.
type PublishRequest struct {
	// Base is the revision that the new text is based on.
	Base id.Offset
	Text string
	// Operator names the person who publishes the edit.
	Operator string
	// Check asks to validate the text without publishing it.
	Check bool
}

// PublishResponse is the response to a PublishRequest.
type PublishResponse struct {
	Accepted bool
	// Revision is the offset of the edit if it was published, and otherwise the current revision of the list. It is not
	// set if the edit is invalid.
	Revision id.Offset
	// Changed and Removed are the names of the entries that the edit adds, changes or removes.
	Changed []string
	Removed []string
	// Problem says why the edit was not accepted. It is empty if it was.
	Problem string
	// Winner is the current revision of the list if the edit was made from an outdated one. Otherwise, it is id.NoOffset.
	Winner id.Offset
}

// EvacuationRequest asks to evacuate an availability zone, or to end that.
type EvacuationRequest struct {
	Zone id.AvailabilityZone
	// End asks to end the evacuation.
	End bool
	// Operator names the person who asks.
	Operator string
}

// EvacuationResponse is the response to an EvacuationRequest.
type EvacuationResponse struct {
	Accepted bool
	// Revision is the offset of the record in the log.
	Revision id.Offset
	// EvacuatedZones are the availability zones that are evacuated now.
	EvacuatedZones []id.AvailabilityZone
	// Problem says why the request was not accepted. It is empty if it was.
	Problem string
}

// History holds the verdicts on the latest edits, oldest first.
type History struct {
	Verdicts []lists.Verdict
}

// Status is the state of the fleet as a host knows it.
type Status struct {
	Host             id.Host
	AvailabilityZone id.AvailabilityZone
	// NotReady says why the host does not accept requests of callers. It is empty if it does.
	NotReady string
	// InFlight is the number of requests of callers that the host is handling.
	InFlight int64
	// InFlightForPeers is the number of calls to backend servers that the host makes on behalf of other hosts.
	InFlightForPeers int64
	// CutOff is set if the host is cut off from the backend servers. CutOffHosts are the other hosts that are.
	CutOff      bool
	CutOffHosts []id.Host
	// ThroughPeers is the number of backend servers that the host reaches through other hosts only.
	ThroughPeers int
	Revisions    []ListRevision
	Hosts        []HostStatus
	Shards       []ShardStatus
	// Engines lists the engines. A host on the users' platform lists all other backend servers too.
	Engines []EngineStatus
	// Started is the time at which the host started.
	Started time.Time
	// StoreAway is set if the last call to the platform's store failed.
	StoreAway bool
	// ListAge is the time since the list of backend servers was known to be up to date.
	ListAge time.Duration
	// EvacuatedZones lists the availability zones whose engines and backend servers get no new requests, because the
	// operator has evacuated them.
	EvacuatedZones []id.AvailabilityZone
}

// ListRevision is the revision of a list.
type ListRevision struct {
	List     lists.Name
	Revision id.Offset
}

// HostStatus is the state of an entry host as the responding host knows it.
type HostStatus struct {
	Name             id.Host
	AvailabilityZone id.AvailabilityZone
	Status           string
	CallerAddress    string
}

// ShardStatus is the state of a shard, which is a group of engines with one dispatcher.
type ShardStatus struct {
	Name id.Shard
	// Dispatcher is the host that the responding host prefers as dispatcher of the shard.
	Dispatcher id.Host
	// Local is set if the responding host runs a dispatcher of the shard. Waiting and Running are its numbers of
	// requests; they are 0 otherwise.
	Local   bool
	Waiting int
	Running int
}

// EngineStatus is the state of an engine or of another backend server in the platform's list.
type EngineStatus struct {
	Name             id.Engine
	Service          id.Service
	AvailabilityZone id.AvailabilityZone
	Leaving          bool
	// Held and Capacity are the occupied and the total memory of an engine in tokens. They are 0 where the responding
	// host does not know them.
	Held     id.Tokens
	Capacity id.Tokens
}
