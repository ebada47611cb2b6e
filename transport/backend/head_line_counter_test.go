package backend

import (
	"strings"
	"testing"

	"gotest.tools/v3/assert"
)

// TestHeadLineCounter passes heads to the counter whole and in pieces of each size. The bytes after a head don't count.
func TestHeadLineCounter(t *testing.T) {
	const statusLine = "HTTP/1.1 200 OK\r\n"
	cases := []struct {
		name, sent string
		rejected   bool
	}{
		{"as many fields as allowed", statusLine + headerFields(maxHeadFields, 1) + "\r\n", false},
		{"one field more", statusLine + headerFields(maxHeadFields+1, 1) + "\r\n", true},
		{"one field more, line feeds only", strings.ReplaceAll(statusLine+headerFields(maxHeadFields+1, 1)+"\r\n", "\r", ""), true},
		{"a body of lines", statusLine + "\r\n" + strings.Repeat("line\r\n", 1000), false},
		{"a body after line feeds only", "HTTP/1.1 200 OK\na: b\n\n" + strings.Repeat("\n", 1000), false},
		{"continued lines", statusLine + "a: b\r\n" + strings.Repeat(" \r\n", maxHeadFields+1), true},
		{"lines of a carriage return", statusLine + "a: b\r\n" + strings.Repeat("\r\r\n", maxHeadFields+1), true},
	}
	for _, tc := range cases {
		t.Run(tc.name, func(t *testing.T) {
			for size := 1; size <= len(tc.sent); size++ {
				counter := headLineCounter{inHead: true}
				var err error
				for rest := tc.sent; rest != "" && err == nil; rest = rest[min(size, len(rest)):] {
					err = counter.advance([]byte(rest[:min(size, len(rest))]))
				}
				assert.Equal(t, err != nil, tc.rejected, "pieces of %d bytes: %v", size, err)
			}
		})
	}
}
