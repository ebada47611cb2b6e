package backoff_test

import (
	"fmt"
	"strings"
	"testing"
	"time"

	"github.com/cockroachdb/datadriven"
	"gotest.tools/v3/assert"

	"github.com/hibiscuslever/hibiscuslever/state/backoff"
	"github.com/hibiscuslever/hibiscuslever/state/id"
	"github.com/hibiscuslever/hibiscuslever/state/roster"
)

// TestBackoffScripts runs the scripts in testdata. Each line is a time in milliseconds, what happens, and a server with its
// start, such as "500 asked a/1 2s"; "allows" prints whether the server may get a request.
func TestBackoffScripts(t *testing.T) {
	datadriven.Walk(t, "testdata", func(t *testing.T, path string) {
		datadriven.RunTest(t, path, func(t *testing.T, td *datadriven.TestData) string {
			tb := backoff.New(1)
			var out strings.Builder
			for line := range strings.SplitSeq(td.Input, "\n") {
				var millis int64
				var what, name, wait string
				count, _ := fmt.Sscan(line, &millis, &what, &name, &wait)
				assert.Assert(t, count >= 3, line)
				now := time.Unix(0, 0).Add(time.Duration(millis) * time.Millisecond)
				sv := roster.Server{ID: id.BackendServer(name[:1]), Service: "service", StartedAtMillis: int64(name[2] - '0')}
				switch what {
				case "asked":
					parsed, err := time.ParseDuration(wait)
					assert.NilError(t, err)
					tb.RecordBackoff(now, sv, parsed)
				case "sent":
					tb.RecordSent(now, sv.ID)
				case "answered":
					tb.RecordAccepted(now, sv.ID)
				case "listed":
					tb.KeepListed([]roster.Server{sv})
				case "allows":
					fmt.Fprintf(&out, "%s: %t\n", line, tb.AllowsRequest(now, sv))
				default:
					t.Fatalf("unknown line %q", line)
				}
			}
			return out.String()
		})
	})
}

// TestBackoffsOfHostsAreSpread has many hosts asked to come back after the same time: they do so over a quarter of it.
func TestBackoffsOfHostsAreSpread(t *testing.T) {
	const hosts = 195
	now := time.Unix(0, 0)
	sv := roster.Server{ID: "a", Service: "service"}
	back := make([]int, 4)
	for seed := range hosts {
		tb := backoff.New(uint64(seed))
		tb.RecordBackoff(now, sv, 2*time.Second)
		assert.Assert(t, !tb.AllowsRequest(now.Add(2*time.Second-1), sv))
		wait := tb.MinWait(now, []roster.Server{sv})
		back[min(3, int((wait-2*time.Second)/(125*time.Millisecond)))]++
		assert.Equal(t, tb.ServiceBackoffs(now, "service")["a"], now.Add(wait))
	}
	for part, count := range back {
		assert.Assert(t, count > hosts/8 && count < hosts/2, "part %d: %d of %v", part, count, back)
	}
}
