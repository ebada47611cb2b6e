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
	"github.com/hibiscuslever/hibiscuslever/state/serverlist"
)

// TestBackoffScripts runs the scripts in testdata. Each line has a time in milliseconds, an action and a server. A
// server is written as its one-letter ID and the one-digit time of its start, such as a/1. The actions are
//
//	backoff      the server asks for the backoff that follows, as in "500 backoff a/1 2s"
//	sent         a request is sent to the server
//	accepted     the server accepts a request
//	listed-only  a list arrives that contains only the server
//	allows       prints whether a request may be sent to the server
func TestBackoffScripts(t *testing.T) {
	datadriven.Walk(t, "testdata", func(t *testing.T, path string) {
		datadriven.RunTest(t, path, func(t *testing.T, td *datadriven.TestData) string {
			table := backoff.New(1)
			var output strings.Builder
			for line := range strings.SplitSeq(td.Input, "\n") {
				var millis int64
				var action, serverAndStart, backoffText string
				count, _ := fmt.Sscan(line, &millis, &action, &serverAndStart, &backoffText)
				assert.Assert(t, count >= 3, line)
				now := time.Unix(0, 0).Add(time.Duration(millis) * time.Millisecond)
				server := serverlist.Server{ID: id.BackendServer(serverAndStart[:1]), Service: "service", StartedAtMillis: int64(serverAndStart[2] - '0')}
				switch action {
				case "backoff":
					duration, err := time.ParseDuration(backoffText)
					assert.NilError(t, err)
					table.RecordBackoff(now, server, duration)
				case "sent":
					table.RecordSent(now, server.ID)
				case "accepted":
					table.RecordAccepted(now, server.ID)
				case "listed-only":
					table.ForgetUnlisted([]serverlist.Server{server})
				case "allows":
					fmt.Fprintf(&output, "%s: %t\n", line, table.AllowsRequest(now, server))
				default:
					t.Fatalf("unknown action in line %q", line)
				}
			}
			return output.String()
		})
	})
}

// TestBackoffsOfHostsAreSpread checks that many hosts that are asked for the same backoff retry evenly spread over a
// further quarter of it.
func TestBackoffsOfHostsAreSpread(t *testing.T) {
	const hosts = 195
	now := time.Unix(0, 0)
	server := serverlist.Server{ID: "a", Service: "service"}
	hostsPerInterval := make([]int, 4)
	for seed := range hosts {
		table := backoff.New(uint64(seed))
		table.RecordBackoff(now, server, 2*time.Second)
		assert.Assert(t, !table.AllowsRequest(now.Add(2*time.Second-1), server))
		wait := table.MinWait(now, []serverlist.Server{server})
		hostsPerInterval[min(3, int((wait-2*time.Second)/(125*time.Millisecond)))]++
		assert.Equal(t, table.ServiceBackoffs(now, "service")["a"], now.Add(wait))
	}
	for interval, count := range hostsPerInterval {
		assert.Assert(t, count > hosts/8 && count < hosts/2, "interval %d: %d hosts, all intervals: %v", interval, count, hostsPerInterval)
	}
}
