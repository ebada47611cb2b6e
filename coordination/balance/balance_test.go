package balance_test

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/hibiscuslever/hibiscuslever/coordination/balance"
	"github.com/hibiscuslever/hibiscuslever/state/id"
	"github.com/hibiscuslever/hibiscuslever/state/serverlist"
)

// testServers returns three equal servers, of which c is in another availability zone than a and b.
func testServers() []serverlist.Server {
	return []serverlist.Server{{ID: "a", Slots: 6, AvailabilityZone: "z"}, {ID: "b", Slots: 6, AvailabilityZone: "z"}, {ID: "c", Slots: 6, AvailabilityZone: "y"}}
}

// countChoices returns how often each server is chosen in 300 choices.
func countChoices(bl *balance.Balancer, now time.Time, listed []serverlist.Server, avoided ...id.BackendServer) map[id.BackendServer]int {
	counts := map[id.BackendServer]int{}
	for range 300 {
		if sv, ok := bl.Choose(now, listed, avoided); ok {
			counts[sv.ID]++
		}
	}
	return counts
}

// TestAvoidsUnavailableServers checks that servers get no requests if they are lost, gone, draining, evacuated or to be avoided. A
// lost server must be chosen again after its backoff, or earlier if no other server is left.
func TestAvoidsUnavailableServers(t *testing.T) {
	now := time.Unix(1000, 0)
	listed := testServers()
	bl := balance.New("z", 1)
	counts := countChoices(bl, now, listed)
	assert.Assert(t, counts["a"] > 0 && counts["b"] > 0 && counts["c"] < counts["a"], "%v", counts)
	bl.EndRequest(now, listed[0], balance.Lost, nil, 0)
	assert.Equal(t, countChoices(bl, now, listed)["a"], 0)
	assert.Assert(t, countChoices(bl, now.Add(2*time.Second), listed)["a"] > 0, "a lost server is tried again after its backoff")
	assert.Equal(t, countChoices(bl, now, listed, "b", "c")["a"], 300, "a lost server is better than none")
	bl.EndRequest(now, listed[1], balance.Gone, nil, 0)
	listed[2].Draining = true
	counts = countChoices(bl, now, listed)
	assert.Equal(t, counts["b"]+counts["c"], 0)
	listed[2].Draining, listed[2].Evacuated = false, true
	counts = countChoices(bl, now, listed)
	assert.Equal(t, counts["b"]+counts["c"], 0)
	assert.Assert(t, !bl.HasEligible(listed[1:], nil))
	listed[2].Evacuated = false
	assert.Assert(t, countChoices(bl, now, listed)["c"] > 0, "a server is used at once when its evacuation ends")
	listed[1].StartedAtMillis = 7
	assert.Assert(t, countChoices(bl, now, listed)["b"] > 0, "a server that restarted is not gone")
}

// TestPrefersLessLoadedServers checks that servers with more requests ahead are avoided, by the load that they report
// and by the requests that are open. Reported load must expire.
func TestPrefersLessLoadedServers(t *testing.T) {
	now := time.Unix(1000, 0)
	listed := testServers()[:2]
	bl := balance.New("z", 1)
	bl.BeginRequest(listed[0])
	bl.EndRequest(now, listed[0], balance.Answered, &balance.Load{Running: 6, Waiting: 4, Slots: 6}, time.Millisecond)
	assert.Equal(t, countChoices(bl, now, listed)["a"], 0)
	assert.Assert(t, countChoices(bl, now.Add(time.Second), listed)["a"] > 0, "expired load does not count")
	for range 4 {
		bl.BeginRequest(listed[1])
	}
	assert.Equal(t, countChoices(bl, now.Add(time.Second), listed)["b"], 0)
	bl.ForgetUnlisted(listed[:1])
	assert.Assert(t, countChoices(bl, now.Add(time.Second), listed)["b"] > 0, "open requests of a server that was unlisted do not count")
}

// TestAvoidsFailingAndSlowServers checks that a server that fails or is slow gets no requests 3 s after its last
// result, and gets some again after 20 s. A host usually takes less than 3 s until it uses the same server again.
func TestAvoidsFailingAndSlowServers(t *testing.T) {
	listed := testServers()[:2]
	for name, recordResults := range map[string]func(bl *balance.Balancer, now time.Time){
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
		recordResults(bl, now)
		assert.Equal(t, countChoices(bl, now.Add(3*time.Second), listed)["a"], 0, name)
		assert.Assert(t, countChoices(bl, now.Add(20*time.Second), listed)["a"] > 0, name)
	}
}

// TestIgnoresUsualSpreadOfAnswerTimes checks that a server is not avoided for answer times that differ only by chance.
func TestIgnoresUsualSpreadOfAnswerTimes(t *testing.T) {
	now := time.Unix(1000, 0)
	listed := testServers()[:2]
	bl := balance.New("z", 1)
	bl.EndRequest(now, listed[0], balance.Answered, nil, 110*time.Millisecond)
	bl.EndRequest(now, listed[1], balance.Answered, nil, 60*time.Millisecond)
	counts := countChoices(bl, now, listed)
	assert.Assert(t, counts["a"] > 50 && counts["b"] > 50, "%v", counts)
}

// TestFirstAnswerOnNewConnectionKeepsServerOut guards against a server that gets no requests for many seconds because its
// first answer took some ms longer than the answers of another one, which take less than one.
func TestFirstAnswerOnNewConnectionKeepsServerOut(t *testing.T) {
	now := time.Unix(1000, 0)
	listed := testServers()[:2]
	bl := balance.New("z", 1)
	bl.EndRequest(now, listed[0], balance.Answered, nil, 14*time.Millisecond)
	for range 20 {
		bl.EndRequest(now, listed[1], balance.Answered, nil, 300*time.Microsecond)
	}
	counts := countChoices(bl, now, listed)
	assert.Assert(t, counts["a"] > 50 && counts["b"] > 50, "%v", counts)
}
