package route

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// TestLongestTimeoutSinceArrival guards against responses that are cut at a timeout that a change has lengthened meanwhile.
func TestLongestTimeoutSinceArrival(t *testing.T) {
	start := time.Unix(1000, 0)
	at := func(seconds int) time.Time { return start.Add(time.Duration(seconds) * time.Second) }
	table := func(version Version, routes ...Route) *Table { return New(Contents{Version: version, Routes: routes}) }
	named := func(name string, seconds int) Route {
		return Route{Name: name, Timeout: time.Duration(seconds) * time.Second}
	}
	var past PastTimeouts
	tables := []*Table{
		table(1, named("a", 5), named("b", 5)),
		table(2, named("a", 9), named("b", 0)),
		table(3, named("a", 7), named("b", 4)),
		table(4, named("a", 2)),
	}
	for ix, seconds := range []int{10, 20, 30} {
		past.Replace(at(seconds), tables[ix], tables[ix+1])
	}
	for _, tc := range []struct {
		name      string
		arrivedAt int
		route     Route
		want      int
	}{
		{"the longest of all", 0, named("a", 5), 9},
		{"one that was in force on arrival", 15, named("a", 9), 9},
		{"not one that was replaced before", 25, named("a", 7), 7},
		{"the current one", 35, named("a", 2), 2},
		{"one without a limit in between", 5, named("b", 5), 0},
		{"a route that was dropped", 25, named("b", 4), 4},
		{"a route that no version has", 5, named("c", 3), 3},
		{"its own if the version is not known here", 35, named("a", 6), 6},
	} {
		t.Run(tc.name, func(t *testing.T) {
			assert.Equal(t, past.Longest(tables[3], tc.route, at(tc.arrivedAt)), time.Duration(tc.want)*time.Second)
		})
	}
	// Timeouts are forgotten once no request can be as old.
	past.Replace(at(31).Add(2*time.Hour), tables[3], tables[3])
	assert.Equal(t, len(past.byRoute), 0)
}
