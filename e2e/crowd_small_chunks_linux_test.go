package e2e

import (
	"io"
	"testing"
)

// TestCrowdOfSmallChunks has many clients send chunked bodies in chunks of one to three bytes and stop before their end.
func TestCrowdOfSmallChunks(t *testing.T) {
	const clients, shortBytes, longBytes = 400, 60_000, 300_000
	forEachFront(t, func(cf *crowdFront) {
		answers := cf.start(clients, func(wr io.Writer, attempt string) {
			last := int(attempt[len(attempt)-1] - '0')
			sent := shortBytes
			if last == 0 {
				sent = longBytes
			}
			sendChunked(wr, cf.head(attempt), 1+last%3, sent)
		})
		cf.assertHolds(answers, false)
	})
}
