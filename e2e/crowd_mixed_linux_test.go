package e2e

import (
	"io"
	"testing"
)

// TestCrowdOfAllKinds has clients send bodies and heads of all kinds at once, of which none is complete.
func TestCrowdOfAllKinds(t *testing.T) {
	const clients, chunkBytes, besideBytes = 400, 128 << 10, 1 << 10
	fields := manyFields(crowdHeadBytes - besideBytes)
	forEachFront(t, func(cf *crowdFront) {
		answers := cf.start(clients, func(wr io.Writer, attempt string) {
			head := cf.head(attempt)
			switch attempt[len(attempt)-1] {
			case '0', '1':
				sendAnnounced(wr, head, crowdBodyBytes, crowdBodyBytes-1)
			case '2', '3':
				sendChunked(wr, head, chunkBytes, crowdBodyBytes-chunkBytes)
			case '4':
				sendChunked(wr, head, 1, crowdPieceBytes)
			case '5':
				sendAnnounced(wr, head, 1<<30, 1<<20)
			case '6':
				sendChunked(wr, head, chunkBytes, 3*crowdBodyBytes)
			case '7':
				_, _ = io.WriteString(wr, head+fields)
			case '8':
				sendAnnounced(wr, head+fields, 1, 0)
			default:
				sendAnnounced(wr, head, crowdPieceBytes-1, crowdPieceBytes-2)
			}
		})
		cf.assertHolds(answers, false)
	})
}
