package route_test

import (
	"fmt"
	"strings"
	"testing"

	"github.com/cockroachdb/datadriven"
	"gotest.tools/v3/assert"

	"github.com/hibiscuslever/hibiscuslever/state/id"
	"github.com/hibiscuslever/hibiscuslever/state/route"
)

// TestMatchScripts runs the scripts in testdata: "table" reads a route a line (name host prefix), "match" looks one up.
func TestMatchScripts(t *testing.T) {
	datadriven.Walk(t, "testdata", func(t *testing.T, path string) {
		tb := route.New(route.Contents{})
		datadriven.RunTest(t, path, func(t *testing.T, td *datadriven.TestData) string {
			if td.Cmd == "match" {
				var host, path string
				td.ScanArgs(t, "host", &host)
				td.ScanArgs(t, "path", &path)
				rt, found := tb.Match(host, path)
				return fmt.Sprintf("%q %v\n", rt.Name, found)
			}
			var contents route.Contents
			for line := range strings.Lines(td.Input) {
				fields := strings.Fields(line)
				contents.Routes = append(contents.Routes, route.Route{Name: fields[0], HostName: fields[1], PathPrefix: fields[2]})
			}
			tb = route.New(contents)
			return fmt.Sprintf("%d routes\n", tb.RouteCount())
		})
	})
}

// TestServiceForFollowsWeights splits requests by weight, and gives the same request the same service.
func TestServiceForFollowsWeights(t *testing.T) {
	rt := route.Route{Shares: []route.Share{{Service: "a", Weight: 90}, {Service: "b", Weight: 10}, {Service: "c", Weight: 0}}}
	counts := map[id.Service]int{}
	const requests = 10_000
	for number := range requests {
		name := fmt.Sprint("request-", number)
		service := rt.ServiceFor(name)
		assert.Equal(t, service, rt.ServiceFor(name))
		counts[service]++
	}
	assert.Equal(t, counts["c"], 0)
	assert.Assert(t, counts["b"] > requests/20 && counts["b"] < requests/5, "%v", counts)
	assert.Equal(t, route.Route{}.ServiceFor("x"), id.Service(""))
}
