package e2e

import (
	"io"
	"testing"
)

// TestCrowdOfLongBodies has many clients send whole bodies of the longest allowed length at once.
func TestCrowdOfLongBodies(t *testing.T) {
	const clients = 100
	forEachFront(t, func(cf *crowdFront) {
		answers := cf.start(clients, func(wr io.Writer, attempt string) {
			sendAnnounced(wr, cf.head(attempt), crowdBodyBytes, crowdBodyBytes)
		})
		cf.assertHolds(answers, true)
	})
}
