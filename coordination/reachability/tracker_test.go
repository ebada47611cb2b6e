package reachability_test

import (
	"fmt"
	"strings"
	"testing"
	"time"

	"github.com/cockroachdb/datadriven"
	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	"github.com/hibiscuslever/hibiscuslever/coordination/reachability"
	"github.com/hibiscuslever/hibiscuslever/state/id"
	"github.com/hibiscuslever/hibiscuslever/state/serverlist"
	"github.com/hibiscuslever/hibiscuslever/testutil"
)

func TestMain(m *testing.M) { testutil.Main(m) }

// parseServers parses servers that are written as address/service/zone and separated by spaces.
func parseServers(t require, text string) []serverlist.Server {
	var servers []serverlist.Server
	for _, entry := range strings.Fields(text) {
		parts := strings.Split(entry, "/")
		assert.Equal(t, len(parts), 3, entry)
		servers = append(servers, serverlist.Server{ID: id.BackendServer(parts[0]), Address: parts[0], Service: id.Service(parts[1]), AvailabilityZone: id.AvailabilityZone(parts[2])})
	}
	return servers
}

// require is the part of testing.TB and of rapid.T that assertions need.
type require interface {
	assert.TestingT
	Helper()
}

func at(millis int64) time.Time {
	return time.Unix(1000, 0).Add(time.Duration(millis) * time.Millisecond)
}

// TestTrackerScripts runs the scripts in testdata. The directive servers sets the list, as address/service/zone. In a
// script, each line has a time in milliseconds and an action:
//
//	connected, answered, refused, timed-out ADDRESS  a direct exchange with a server ended like this
//	peer-reaches, peer-fails ADDRESS                 a peer reached the server or did not
//	ways                                             prints the way to each server
//	cut-off                                          prints whether the host is cut off from all servers
//	probe                                            prints the server to probe
func TestTrackerScripts(t *testing.T) {
	datadriven.Walk(t, "testdata/scripts", func(t *testing.T, path string) {
		var tracker *reachability.Tracker
		var listed []serverlist.Server
		datadriven.RunTest(t, path, func(t *testing.T, td *datadriven.TestData) string {
			if td.Cmd == "servers" || td.Cmd == "update" {
				listed = parseServers(t, td.Input)
				if td.Cmd == "servers" {
					tracker = reachability.NewTracker(reachability.DefaultConfig())
				}
				tracker.UpdateServers(listed)
				return ""
			}
			var output strings.Builder
			for line := range strings.SplitSeq(td.Input, "\n") {
				var millis int64
				var action, address string
				count, _ := fmt.Sscan(line, &millis, &action, &address)
				assert.Assert(t, count >= 2, line)
				switch action {
				case "connected":
					tracker.RecordDirect(at(millis), address, reachability.Connected)
				case "answered":
					tracker.RecordDirect(at(millis), address, reachability.Answered)
				case "refused":
					tracker.RecordDirect(at(millis), address, reachability.ConnectionRefused)
				case "timed-out":
					tracker.RecordDirect(at(millis), address, reachability.TimedOut)
				case "peer-reaches":
					tracker.RecordThroughPeer(at(millis), address, true)
				case "peer-fails":
					tracker.RecordThroughPeer(at(millis), address, false)
				case "ways":
					fmt.Fprintf(&output, "%d:", millis)
					for _, server := range listed {
						fmt.Fprintf(&output, " %s=%s", server.Address, tracker.Way(server.Address))
					}
					output.WriteString("\n")
				case "cut-off":
					fmt.Fprintf(&output, "%d: cut off %t\n", millis, tracker.CutOff())
				case "probe":
					probed, due := tracker.NextProbe(at(millis))
					fmt.Fprintf(&output, "%d: probe %t %s\n", millis, due, probed)
				default:
					t.Fatalf("unknown action in line %q", line)
				}
			}
			return output.String()
		})
	})
}

// world is a host's view of a number of servers, some of which run, and to some of which the host has a link.
type world struct {
	tracker *reachability.Tracker
	listed  []serverlist.Server
	running map[string]bool
	linked  map[string]bool
	now     time.Time
}

// drawWorld draws servers in a few services and zones.
func drawWorld(t *rapid.T) *world {
	wd := &world{tracker: reachability.NewTracker(reachability.DefaultConfig()), running: map[string]bool{}, linked: map[string]bool{}, now: at(0)}
	for number := range rapid.IntRange(1, 12).Draw(t, "servers") {
		address := fmt.Sprintf("s%d:80", number)
		wd.listed = append(wd.listed, serverlist.Server{
			ID: id.BackendServer(address), Address: address,
			Service:          id.Service(rapid.SampledFrom([]string{"llm", "app"}).Draw(t, "service")),
			AvailabilityZone: id.AvailabilityZone(rapid.SampledFrom([]string{"a", "b", "c"}).Draw(t, "zone")),
		})
		wd.running[address], wd.linked[address] = true, true
	}
	wd.tracker.UpdateServers(wd.listed)
	return wd
}

// exchange dials a server, and asks a peer that reaches all running servers if that fails.
func (wd *world) exchange(address string, refuse bool) {
	wd.now = wd.now.Add(20 * time.Millisecond)
	if wd.running[address] && wd.linked[address] {
		wd.tracker.RecordDirect(wd.now, address, reachability.Connected)
		return
	}
	result := reachability.TimedOut
	if refuse {
		result = reachability.ConnectionRefused
	}
	wd.tracker.RecordDirect(wd.now, address, result)
	wd.tracker.RecordThroughPeer(wd.now, address, wd.running[address])
}

// TestServersThatFailForAllAreNotLostLinks checks that servers that no peer reaches never count as servers to which the
// host has lost its link, whichever of them fail.
func TestServersThatFailForAllAreNotLostLinks(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		wd := drawWorld(t)
		for _, server := range wd.listed {
			wd.running[server.Address] = rapid.Bool().Draw(t, "running")
		}
		for range rapid.IntRange(1, 60).Draw(t, "exchanges") {
			wd.exchange(rapid.SampledFrom(wd.listed).Draw(t, "server").Address, rapid.Bool().Draw(t, "refuse"))
			assert.Assert(t, !wd.tracker.CutOff())
			assert.Equal(t, len(wd.tracker.Marked()), 0)
		}
	})
}

// TestLostLinksAreNoticedAndRecovered checks that a host that loses its links to all servers notices it after dials to
// two of them, and that it takes the direct way to each of them again within the probes of 10 s.
func TestLostLinksAreNoticedAndRecovered(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		wd := drawWorld(t)
		refuse := rapid.Bool().Draw(t, "refuse")
		clear(wd.linked)
		for _, server := range wd.listed[:min(2, len(wd.listed))] {
			wd.exchange(server.Address, refuse)
		}
		assert.Assert(t, wd.tracker.CutOff())
		want := reachability.ThroughPeer
		if refuse {
			want = reachability.KeptConnections
		}
		for _, server := range wd.listed {
			assert.Equal(t, wd.tracker.Way(server.Address), want)
		}
		probes := func(wait time.Duration) int {
			count := 0
			for end := wd.now.Add(wait); wd.now.Before(end); {
				if address, due := wd.tracker.NextProbe(wd.now); due {
					count++
					wd.exchange(address, refuse)
				}
				wd.now = wd.now.Add(30 * time.Millisecond)
			}
			return count
		}
		count := probes(10 * time.Second)
		assert.Assert(t, count > 0 && count <= 21, "%d probes", count)
		assert.Assert(t, wd.tracker.CutOff())
		for _, server := range wd.listed {
			wd.linked[server.Address] = true
		}
		probes(10 * time.Second)
		assert.Assert(t, !wd.tracker.CutOff())
		assert.Equal(t, len(wd.tracker.Marked()), 0)
	})
}

// TestLinksToOneServiceOnly checks that a host that loses its links to the servers of one service goes on reaching the
// others directly and does not count as cut off.
func TestLinksToOneServiceOnly(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		wd := drawWorld(t)
		sound := 0
		for _, server := range wd.listed {
			wd.linked[server.Address] = server.Service != "llm"
			if server.Service != "llm" {
				sound++
			}
		}
		if sound == 0 || sound == len(wd.listed) {
			t.Skip("no second service")
		}
		for range 3 {
			for _, server := range wd.listed {
				if wd.tracker.Way(server.Address) == reachability.Direct {
					wd.exchange(server.Address, false)
				}
			}
			for _, server := range wd.listed {
				if server.Service != "llm" {
					wd.exchange(server.Address, false)
				}
			}
		}
		assert.Assert(t, !wd.tracker.CutOff())
		for _, server := range wd.listed {
			if server.Service == "llm" {
				assert.Equal(t, wd.tracker.Way(server.Address), reachability.ThroughPeer)
			} else {
				assert.Equal(t, wd.tracker.Way(server.Address), reachability.Direct)
			}
		}
	})
}
