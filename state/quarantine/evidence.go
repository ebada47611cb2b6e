package quarantine

import (
	"slices"
	"strconv"

	"github.com/cespare/xxhash/v2"

	"github.com/hibiscuslever/hibiscuslever/state/id"
)

// CrashID identifies one crash of a server, so that several reports of the same crash are deduplicated.
type CrashID uint64

// NewCrashID derives the identifier of a crash from the server's name and a discriminator that distinguishes the crash
// from other crashes of the same server, for example the time at which the crashed process had started.
func NewCrashID(server, discriminator string) CrashID {
	return CrashID(xxhash.Sum64String(server + "\x00" + discriminator))
}

// String returns the identifier in hexadecimal digits, as it appears in logs.
func (ci CrashID) String() string { return strconv.FormatUint(uint64(ci), 16) }

// CrashStatus says whether a server is known to have crashed while a request ran, and whether that still counts against
// the request. A higher status replaces a lower one, so that tables that learn the same evidence in different orders
// converge. The numbers are stored and sent to other hosts.
type CrashStatus int64

// Values of CrashStatus.
const (
	// Reported means that the server became unresponsive while the request ran, but is not known to have crashed.
	Reported CrashStatus = iota + 1
	// Confirmed means that the server is known to have crashed while the request ran.
	Confirmed
	// Cleared means that the crash no longer counts against the request, because a request with the same fingerprint
	// has since run to completion.
	Cleared
	// ConfirmedIsolated means that the server is known to have crashed while a request ran isolated because of a part of
	// its prompt, and before the first event of the answer. It ranks between Confirmed and Cleared.
	ConfirmedIsolated
)

// rank orders the statuses: a status of higher rank replaces one of lower rank. It is 0 for an unknown status.
func (cs CrashStatus) rank() int {
	return slices.Index([]CrashStatus{Reported, Confirmed, ConfirmedIsolated, Cleared}, cs) + 1
}

// isConfirmed reports whether the server is known to have crashed and the crash still counts.
func (cs CrashStatus) isConfirmed() bool { return cs == Confirmed || cs == ConfirmedIsolated }

// String returns the status as it appears in logs and metrics.
func (cs CrashStatus) String() string {
	switch cs {
	case Reported:
		return "reported"
	case Confirmed:
		return "confirmed"
	case Cleared:
		return "cleared"
	case ConfirmedIsolated:
		return "confirmed isolated"
	default:
		return "unknown"
	}
}

// Evidence relates one crash of a server to the fingerprint of one request that ran on the server at that time.
type Evidence struct {
	Fingerprint id.Fingerprint
	Crash       CrashID
	Status      CrashStatus
}
