package testutil

import (
	"slices"
	"time"
)

// MaxInWindow returns the most of the given times that lie within any window of a length.
func MaxInWindow(times []time.Time, length time.Duration) int {
	sorted := slices.SortedFunc(slices.Values(times), time.Time.Compare)
	most, first := 0, 0
	for index, at := range sorted {
		for at.Sub(sorted[first]) >= length {
			first++
		}
		most = max(most, index-first+1)
	}
	return most
}

// LimitWindow is the time over which the users of the platform count the requests that a server with a limit gets.
const LimitWindow = 4 * time.Second

// MaxAllowedByLimit returns how many requests a server with a limit of requests per second may get in LimitWindow.
func MaxAllowedByLimit(perSecond float64) int {
	const allowedShare, slack = 1.5, 5
	return int(allowedShare*perSecond*LimitWindow.Seconds()) + slack
}
