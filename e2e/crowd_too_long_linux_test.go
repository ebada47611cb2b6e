package e2e

import (
	"io"
	"testing"
)

// TestCrowdOfAnnouncedTooLongBodies has many clients announce bodies far above the limit, send a part of them and stop.
func TestCrowdOfAnnouncedTooLongBodies(t *testing.T) {
	const clients, announced, sent = 600, 1 << 30, 1 << 20
	forEachFront(t, func(cf *crowdFront) {
		answers := cf.start(clients, func(wr io.Writer, attempt string) { sendAnnounced(wr, cf.head(attempt), announced, sent) })
		cf.assertHolds(answers, false)
	})
}

// TestCrowdOfSentTooLongBodies has many clients send chunked bodies far above the limit without announcing their length,
// and stop.
func TestCrowdOfSentTooLongBodies(t *testing.T) {
	const clients, chunkBytes, sent = 150, 64 << 10, 3 * crowdBodyBytes
	forEachFront(t, func(cf *crowdFront) {
		answers := cf.start(clients, func(wr io.Writer, attempt string) { sendChunked(wr, cf.head(attempt), chunkBytes, sent) })
		cf.assertHolds(answers, false)
	})
}
