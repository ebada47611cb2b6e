package e2e

import (
	"io"
	"testing"
)

// TestCrowdOfLargeChunks has many clients send chunked bodies in large chunks and stop before their end.
func TestCrowdOfLargeChunks(t *testing.T) {
	const clients, chunkBytes = 150, 256 << 10
	forEachFront(t, func(cf *crowdFront) {
		answers := cf.start(clients, func(wr io.Writer, attempt string) {
			// A part of the clients stop just after a power of two, others just before the longest body.
			sent := crowdBodyBytes - chunkBytes
			if len(attempt)%2 == 0 {
				sent = 5 * chunkBytes
			}
			sendChunked(wr, cf.head(attempt), chunkBytes, sent)
		})
		cf.assertHolds(answers, false)
	})
}
