package succession_test

import (
	"fmt"
	"math/rand/v2"
	"strings"
	"testing"
	"time"

	"github.com/cockroachdb/datadriven"
	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	"github.com/hibiscuslever/hibiscuslever/coordination/membership"
	"github.com/hibiscuslever/hibiscuslever/coordination/succession"
	"github.com/hibiscuslever/hibiscuslever/state/id"
)

// firstStart is the start of a host that a script says to have started after 0 s.
var firstStart = time.Date(2026, 8, 4, 0, 0, 0, 0, time.UTC)

// memberStarted returns a member that started some time after firstStart. A host of an earlier build has a start in whole
// microseconds.
func memberStarted(name string, after time.Duration, share uint32, earlierBuild bool) membership.Member {
	incarnation := id.Incarnation(firstStart.Add(after).UnixNano())
	if !earlierBuild {
		incarnation = succession.MarkIncarnation(incarnation)
	}
	return membership.Member{Host: id.Host(name), Incarnation: incarnation, ProcessorShare: share}
}

// TestOrder runs the scripts. Each line of the command order describes a live host: its name, when it started, its
// processor share, and "earlier" if it is of a build that orders dispatchers by shares and hashes only.
func TestOrder(t *testing.T) {
	datadriven.RunTest(t, "testdata/order.txt", func(t *testing.T, td *datadriven.TestData) string {
		var members []membership.Member
		for line := range strings.Lines(td.Input) {
			var name, startText string
			var share uint32
			fields := strings.Fields(line)
			_, err := fmt.Sscan(line, &name, &startText, &share)
			assert.NilError(t, err)
			after, err := time.ParseDuration(startText)
			assert.NilError(t, err)
			members = append(members, memberStarted(name, after, share, len(fields) > 3))
		}
		return fmt.Sprintln(succession.Order("models", members))
	})
}

// TestRestartedHostDoesNotReturn checks that, however a fleet was started together, the loss and the later start of any
// one host moves a service at most away from it, and never back to it, and that the order of the members has no effect.
func TestRestartedHostDoesNotReturn(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		count := rapid.IntRange(2, 120).Draw(rt, "hosts")
		var members []membership.Member
		for number := range count {
			members = append(members, memberStarted(fmt.Sprint("host-", number), time.Duration(rapid.IntRange(0, 5000).Draw(rt, "start"))*time.Millisecond, 500, false))
		}
		leader := succession.Order("models", members)[0]
		lost := rapid.IntRange(0, count-1).Draw(rt, "lost")
		lostHost := members[lost].Host
		remaining := append(append([]membership.Member{}, members[:lost]...), members[lost+1:]...)
		next := succession.Order("models", remaining)[0]
		if lostHost != leader {
			assert.Equal(rt, next, leader, "the service moved although its dispatcher was not lost")
		}
		restartedAfter := time.Duration(rapid.IntRange(16_000, 3_600_000).Draw(rt, "restart")) * time.Millisecond
		again := append(remaining, memberStarted(string(lostHost), restartedAfter, 500, false))
		seed := rapid.Uint64().Draw(rt, "shuffle")
		rand.New(rand.NewPCG(seed, seed)).Shuffle(len(again), func(left, right int) { again[left], again[right] = again[right], again[left] })
		assert.Equal(rt, succession.Order("models", again)[0], next, "the service moved because a host started")
		for _, member := range again {
			assert.Equal(rt, succession.StartedLate(member.Host, again), member.Host == lostHost, "%s", member.Host)
		}
	})
}

// TestRollingRestartMovesServiceSeldom restarts all hosts of a fleet one after the other, in the order of their starts,
// half a minute apart, and counts how often a service moves.
func TestRollingRestartMovesServiceSeldom(t *testing.T) {
	const hosts, mostMoves = 100, 20
	for number := range 20 {
		service := id.Service(fmt.Sprint("service-", number))
		var members []membership.Member
		for host := range hosts {
			members = append(members, memberStarted(fmt.Sprint("host-", host), time.Duration(host)*30*time.Second, 500, false))
		}
		moves := 0
		leader := succession.Order(service, members)[0]
		note := func() {
			if first := succession.Order(service, members)[0]; first != leader {
				leader = first
				moves++
			}
		}
		for host := range hosts {
			stopped := members[0]
			members = members[1:]
			note()
			members = append(members, memberStarted(string(stopped.Host), 24*time.Hour+time.Duration(host)*30*time.Second, 500, false))
			note()
		}
		assert.Check(t, moves <= mostMoves, "%s moved %d times", service, moves)
	}
}

// TestDispatchersAreOrderedByProcessorShare checks that hosts with a larger processor share come first, and that the
// order does not depend on the order of the members, so that all hosts agree on it.
func TestDispatchersAreOrderedByProcessorShare(t *testing.T) {
	members := []membership.Member{
		{Host: "small-1", ProcessorShare: 134},
		{Host: "large-1", ProcessorShare: 800},
		{Host: "small-2", ProcessorShare: 134},
		{Host: "large-2", ProcessorShare: 800},
		{Host: "no-share"},
	}
	ordered := succession.Order("models", members)
	assert.Assert(t, ordered[0] == "large-1" || ordered[0] == "large-2", "%v", ordered)
	assert.Equal(t, ordered[4], id.Host("no-share"))
	reversed := []membership.Member{members[4], members[3], members[2], members[1], members[0]}
	assert.DeepEqual(t, succession.Order("models", reversed), ordered)
}
