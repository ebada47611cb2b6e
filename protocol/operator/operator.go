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
	Base     id.Offset
	Text     string
	Operator string
	// Check asks to validate the text without publishing it.
	Check bool
}

// PublishResponse is the response to a PublishRequest.
type PublishResponse struct {
	Accepted bool
	Revision id.Offset
	// Changed and Removed are the names of the entries that the edit adds, changes or removes.
	Changed []string
	Removed []string
	// Problem says why the edit was not accepted. It is empty if it was.
	Problem string
	// Winner is the revision that conflicts with the edit because it was accepted earlier on the same base. It is
	// id.NoOffset if there is none.
	Winner id.Offset
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
	NotReady  string
	InFlight  int64
	Revisions []ListRevision
	Hosts     []HostStatus
	Shards    []ShardStatus
	// Engines lists all backend servers, including those that are not engines.
	Engines []EngineStatus
	Started time.Time
	// StoreAway is set if the platform can't be reached.
	StoreAway bool
	// ListAge is the time since the list of backend servers was known to be up to date.
	ListAge time.Duration
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

// ShardStatus is the state of a shard, which is a group of engines with one dispatcher. Waiting and Running are numbers
// of requests; only the host of the dispatcher knows them.
type ShardStatus struct {
	Name       id.Shard
	Dispatcher id.Host
	Local      bool
	Waiting    int
	Running    int
}

// EngineStatus is the state of a backend server of the host list. It need not be an engine.
type EngineStatus struct {
	Name             id.Engine
	Service          id.Service
	AvailabilityZone id.AvailabilityZone
	Leaving          bool
	// Held and Capacity are the occupied and the total memory of an engine in tokens. Only the host of the dispatcher
	// knows them.
	Held     id.Tokens
	Capacity id.Tokens
}
