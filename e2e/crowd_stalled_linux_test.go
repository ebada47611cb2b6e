package e2e

import (
	"io"
	"testing"
)

// TestCrowdOfStalledBodies has many clients send long bodies, half of them of the longest allowed length, in pieces and stop one byte before
// their end.
func TestCrowdOfStalledBodies(t *testing.T) {
	const clients, shorterBytes = 200, 200_000
	forEachFront(t, func(cf *crowdFront) {
		answers := cf.start(clients, func(wr io.Writer, attempt string) {
			length := crowdBodyBytes
			if attempt[len(attempt)-1]%2 == 0 {
				length = shorterBytes
			}
			sendAnnounced(wr, cf.head(attempt), length, length-1)
		})
		cf.assertHolds(answers, false)
	})
}

// TestCrowdOfStalledShortBodies has many clients send bodies that are just too short to count as long ones and stop one byte
// before their end.
func TestCrowdOfStalledShortBodies(t *testing.T) {
	const clients, bodyBytes = 600, 60_000
	forEachFront(t, func(cf *crowdFront) {
		answers := cf.start(clients, func(wr io.Writer, attempt string) {
			sendAnnounced(wr, cf.head(attempt), bodyBytes, bodyBytes-1)
		})
		cf.assertHolds(answers, false)
	})
}
