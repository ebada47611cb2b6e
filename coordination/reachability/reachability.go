// Package reachability decides which way a host takes to each backend server: directly, or through a peer because the
// host has lost its own links to the server.
//
// A failed connection alone does not say whether the server or the host's own link failed. The decision therefore also
// uses what peers report of the same server: a server that a peer reaches while this host doesn't is alive.
//
// Tracker is a pure state machine: it reads no clock, starts no goroutine and does no I/O.
package reachability

import "time"

// Result says how a direct exchange with a backend server went.
type Result int

// Values of Result.
const (
	// Connected means that a new connection was opened.
	Connected Result = iota + 1
	// Answered means that the server answered on a connection that was opened earlier. It does not show that new
	// connections can be opened.
	Answered
	// ConnectionRefused means that a new connection was refused.
	ConnectionRefused
	// TimedOut means that a new connection could not be opened in time.
	TimedOut
)

// String returns the name of the result in logs.
func (rs Result) String() string {
	switch rs {
	case Connected:
		return "connected"
	case Answered:
		return "answered"
	case ConnectionRefused:
		return "refused"
	case TimedOut:
		return "timed out"
	default:
		return "unknown"
	}
}

// failed reports whether the result is a failure to connect.
func (rs Result) failed() bool { return rs == ConnectionRefused || rs == TimedOut }

// Way says how a backend server is reached.
type Way int

// Values of Way.
const (
	// Direct uses the host's own connections.
	Direct Way = iota + 1
	// KeptConnections uses the host's idle connections to the server as long as there are any, and a peer otherwise. New
	// connections are refused.
	KeptConnections
	// ThroughPeer passes calls on through a peer.
	ThroughPeer
)

// String returns the name of the way in logs and metrics.
func (wy Way) String() string {
	switch wy {
	case Direct:
		return "direct"
	case KeptConnections:
		return "kept_connections"
	case ThroughPeer:
		return "through_peer"
	default:
		return "unknown"
	}
}

// Config sets the limits and periods of a Tracker.
type Config struct {
	// MinFailedServers is the number of distinct servers of a group to which the direct way must have failed before the
	// whole group counts as cut off. If the group has fewer servers, all of them must have failed.
	MinFailedServers int
	// FailureWindow is the time within which these failures must occur.
	FailureWindow time.Duration
	// ProbePeriod is the time between two probes of marked servers. RecoveryProbePeriod applies instead for RecoveryTime
	// after a probe has succeeded, because the other marked servers are then likely to be reachable again too.
	ProbePeriod         time.Duration
	RecoveryProbePeriod time.Duration
	RecoveryTime        time.Duration
	// RelapseWindow is the time after the return to the direct way within which a further failure doubles the wait before
	// the server is probed again, up to MaxProbeWait.
	RelapseWindow time.Duration
	MaxProbeWait  time.Duration
}

// DefaultConfig returns the limits and periods that hosts use.
func DefaultConfig() Config {
	return Config{
		MinFailedServers:    2,
		FailureWindow:       5 * time.Second,
		ProbePeriod:         500 * time.Millisecond,
		RecoveryProbePeriod: 50 * time.Millisecond,
		RecoveryTime:        2 * time.Second,
		RelapseWindow:       5 * time.Second,
		MaxProbeWait:        4 * time.Second,
	}
}
