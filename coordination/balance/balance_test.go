package balance_test

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/hibiscuslever/hibiscuslever/coordination/balance"
	"github.com/hibiscuslever/hibiscuslever/state/id"
	"github.com/hibiscuslever/hibiscuslever/state/roster"
)

func servers() []roster.Server {
	return []roster.Server{{ID: "a", Slots: 6, AvailabilityZone: "z"}, {ID: "b", Slots: 6, AvailabilityZone: "z"}, {ID: "c", Slots: 6, AvailabilityZone: "y"}}
}

// chosen counts which servers are chosen.
func chosen(bl *balance.Balancer, now time.Time, listed []roster.Server, avoid ...id.BackendServer) map[id.BackendServer]int {
	counts := map[id.BackendServer]int{}
	for range 300 {
		if sv, ok := bl.Choose(now, listed, avoid); ok {
			counts[sv.ID]++
		}
	}
	return counts
}

// TestAvoidsLostServers leaves out servers that were lost, are gone, drain or are to be avoided, and takes lost ones
// back in time, or when no other is left.
func TestAvoidsLostServers(t *testing.T) {
	now := time.Unix(1000, 0)
	listed := servers()
	bl := balance.New("z", 1)
	counts := chosen(bl, now, listed)
	assert.Assert(t, counts["a"] > 0 && counts["b"] > 0 && counts["c"] < counts["a"], "%v", counts)
	bl.EndRequest(now, listed[0], balance.Lost, nil, 0)
	assert.Equal(t, chosen(bl, now, listed)["a"], 0)
	assert.Assert(t, chosen(bl, now.Add(2*time.Second), listed)["a"] > 0, "it is tried again")
	assert.Equal(t, chosen(bl, now, listed, "b", "c")["a"], 300, "a lost server is better than none")
	bl.EndRequest(now, listed[1], balance.Gone, nil, 0)
	listed[2].Draining = true
	counts = chosen(bl, now, listed)
	assert.Equal(t, counts["b"]+counts["c"], 0)
	listed[1].StartedAtMillis = 7
	assert.Assert(t, chosen(bl, now, listed)["b"] > 0, "a server that started anew is not gone")
}

// TestPrefersLessLoadedServers prefers servers with less ahead, by what they say and by what is open.
func TestPrefersLessLoadedServers(t *testing.T) {
	now := time.Unix(1000, 0)
	listed := servers()[:2]
	bl := balance.New("z", 1)
	bl.BeginRequest(listed[0])
	bl.EndRequest(now, listed[0], balance.Answered, &balance.Load{Running: 6, Waiting: 4, Slots: 6}, time.Millisecond)
	assert.Equal(t, chosen(bl, now, listed)["a"], 0)
	assert.Assert(t, chosen(bl, now.Add(time.Second), listed)["a"] > 0, "old figures do not count")
	for range 4 {
		bl.BeginRequest(listed[1])
	}
	assert.Equal(t, chosen(bl, now.Add(time.Second), listed)["b"], 0)
	bl.ForgetUnlisted(listed[:1])
	assert.Assert(t, chosen(bl, now.Add(time.Second), listed)["b"] > 0, "what was forgotten counts no more")
}

// TestAvoidsFailingAndSlowServers leaves out servers that fail or take long, for longer than it takes a host to meet them again, and
// takes them back in the end.
func TestAvoidsFailingAndSlowServers(t *testing.T) {
	listed := servers()[:2]
	for name, trouble := range map[string]func(bl *balance.Balancer, now time.Time){
		"failing": func(bl *balance.Balancer, now time.Time) {
			bl.EndRequest(now, listed[0], balance.ErrorResponse, nil, time.Millisecond)
		},
		"slow": func(bl *balance.Balancer, now time.Time) {
			for range 3 {
				bl.EndRequest(now, listed[1], balance.Answered, nil, 60*time.Millisecond)
				bl.EndRequest(now, listed[0], balance.Answered, nil, 480*time.Millisecond)
			}
		},
	} {
		now := time.Unix(1000, 0)
		bl := balance.New("z", 1)
		trouble(bl, now)
		assert.Equal(t, chosen(bl, now.Add(3*time.Second), listed)["a"], 0, name)
		assert.Assert(t, chosen(bl, now.Add(20*time.Second), listed)["a"] > 0, name)
	}
}

// TestIgnoresUsualSpreadOfAnswerTimes holds that times that differ by chance alone leave no server out.
func TestIgnoresUsualSpreadOfAnswerTimes(t *testing.T) {
	now := time.Unix(1000, 0)
	listed := servers()[:2]
	bl := balance.New("z", 1)
	bl.EndRequest(now, listed[0], balance.Answered, nil, 110*time.Millisecond)
	bl.EndRequest(now, listed[1], balance.Answered, nil, 60*time.Millisecond)
	counts := chosen(bl, now, listed)
	assert.Assert(t, counts["a"] > 50 && counts["b"] > 50, "%v", counts)
}
