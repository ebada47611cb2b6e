// Package operator defines the messages between the operators' client and hosts.
package operator

import (
	"time"

	"github.com/hibiscuslever/hibiscuslever/state/id"
	"github.com/hibiscuslever/hibiscuslever/state/lists"
)

// Paths of the operators' HTTP interface.
const (
	// ListsPath is followed by a list's name; GET shows and POST publishes it.
	ListsPath = "/operators/lists/"
	// HistoryPath shows what became of the latest edits.
	HistoryPath = "/operators/history"
	// StatusPath shows what the host knows of the fleet.
	StatusPath = "/operators/status"
	// MetricsPath shows counters in the Prometheus text format.
	MetricsPath = "/metrics"
	// HealthPath answers while the process runs, ReadyPath while it serves callers.
	HealthPath = "/healthz"
	ReadyPath  = "/readyz"
)

// List is the content of a list at a revision.
type List struct {
	Name     lists.Name
	Revision id.Offset
	Text     string
}

// PublishRequest asks for a list's content to be replaced.
type PublishRequest struct {
	// Base is the revision that the text was made from.
	Base     id.Offset
	Text     string
	Operator string
	// Check only validates the text.
	Check bool
}

// PublishResponse answers a Publish.
type PublishResponse struct {
	Accepted bool
	Revision id.Offset
	// Changed and Removed name the entries that the edit puts or removes.
	Changed []string
	Removed []string
	// Problem says why the edit was not accepted.
	Problem string
	// Winner is the revision that was accepted on the same base before, if any.
	Winner id.Offset
}

// History lists what became of the latest edits, oldest first.
type History struct {
	Verdicts []lists.Verdict
}

// Status is what a host knows of the fleet.
type Status struct {
	Host             id.Host
	AvailabilityZone id.AvailabilityZone
	// NotReady says why the host serves no callers; it is empty when it does.
	NotReady  string
	InFlight  int64
	Revisions []ListRevision
	Hosts     []HostStatus
	Shards    []ShardStatus
	// Engines lists the backend servers, engines or not, with the memory of engines.
	Engines []EngineStatus
	Started time.Time
	// StoreAway says that the platform can't be reached, ListAge how long ago the list of backend servers was up to date.
	StoreAway bool
	ListAge   time.Duration
}

// ListRevision is the revision of a list.
type ListRevision struct {
	List     lists.Name
	Revision id.Offset
}

// HostStatus is an entry host as seen by the answering one.
type HostStatus struct {
	Name             id.Host
	AvailabilityZone id.AvailabilityZone
	Status           string
	CallerAddress    string
}

// ShardStatus is a group of engines with its dispatcher. Queue lengths are known at the dispatcher's host only.
type ShardStatus struct {
	Name       id.Shard
	Dispatcher id.Host
	Local      bool
	Waiting    int
	Running    int
}

// EngineStatus is an engine of the host list.
type EngineStatus struct {
	Name             id.Engine
	Service          id.Service
	AvailabilityZone id.AvailabilityZone
	Leaving          bool
	// Held and Capacity are memory in tokens; they are known at the dispatcher's host only.
	Held     id.Tokens
	Capacity id.Tokens
}
