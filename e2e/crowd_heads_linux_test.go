package e2e

import (
	"fmt"
	"io"
	"strings"
	"testing"
)

// manyFields returns header fields that are as short as possible, with different names, up to a length in bytes.
func manyFields(length int) string {
	const letters = "abcdefghijklmnopqrstuvwxyz0123456789"
	var fields strings.Builder
	for ix := 0; fields.Len()+len("abc:\r\n") <= length; ix++ {
		fmt.Fprintf(&fields, "%c%c%c:\r\n", letters[ix/len(letters)/len(letters)%len(letters)], letters[ix/len(letters)%len(letters)], letters[ix%len(letters)])
	}
	return fields.String()
}

// TestCrowdOfLongHeads has many clients send heads of nearly the longest allowed length with as many fields as possible,
// and stop before the end of the head or before the first byte of the body.
func TestCrowdOfLongHeads(t *testing.T) {
	const clients, besideBytes = 400, 1 << 10
	fields := manyFields(crowdHeadBytes - besideBytes)
	for name, end := range map[string]string{"no end of the head": "", "no body": "Content-Length: 1\r\n\r\n"} {
		t.Run(name, func(t *testing.T) {
			forEachFront(t, func(cf *crowdFront) {
				answers := cf.start(clients, func(wr io.Writer, attempt string) {
					_, _ = io.WriteString(wr, cf.head(attempt)+fields+end)
				})
				cf.assertHolds(answers, false)
			})
		})
	}
}

// TestCrowdOfShortRequests has many clients send ordinary heads and bodies that are too short to be counted, and stop before
// the last byte of the body.
func TestCrowdOfShortRequests(t *testing.T) {
	const clients, bodyBytes = 1500, 4000
	forEachFront(t, func(cf *crowdFront) {
		answers := cf.start(clients, func(wr io.Writer, attempt string) { sendAnnounced(wr, cf.head(attempt), bodyBytes, bodyBytes-1) })
		cf.assertHolds(answers, false)
	})
}
