package route_test

import (
	"fmt"
	"strconv"
	"strings"
	"testing"

	"github.com/cockroachdb/datadriven"
	"gotest.tools/v3/assert"

	"github.com/hibiscuslever/hibiscuslever/state/id"
	"github.com/hibiscuslever/hibiscuslever/state/route"
)

// TestMatchScripts runs the scripts in testdata. The command "table" defines one route per line (name, host name, path
// prefix); "match" looks up the route of a host name and path.
func TestMatchScripts(t *testing.T) {
	datadriven.Walk(t, "testdata", func(t *testing.T, path string) {
		tb := route.New(route.Contents{})
		datadriven.RunTest(t, path, func(t *testing.T, td *datadriven.TestData) string {
			if td.Cmd == "match" {
				var hostName, path string
				td.ScanArgs(t, "host", &hostName)
				td.ScanArgs(t, "path", &path)
				rt, found := tb.Match(hostName, path)
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

// TestServiceForFollowsWeights checks that requests are distributed by weight and that the same request id gives the
// same service.
func TestServiceForFollowsWeights(t *testing.T) {
	rt := route.Route{Shares: []route.Share{{Service: "a", Weight: 90}, {Service: "b", Weight: 10}, {Service: "c", Weight: 0}}}
	counts := map[id.Service]int{}
	const requestCount = 10_000
	for requestNumber := range requestCount {
		requestID := fmt.Sprint("request-", requestNumber)
		service := rt.ServiceFor(requestID)
		assert.Equal(t, service, rt.ServiceFor(requestID))
		counts[service]++
	}
	assert.Equal(t, counts["c"], 0)
	assert.Assert(t, counts["b"] > requestCount/20 && counts["b"] < requestCount/5, "%v", counts)
	assert.Equal(t, route.Route{}.ServiceFor("x"), id.Service(""))
}

// TestServiceForNeedsWeight checks that a service without a positive weight gets no requests, whatever the other weights.
func TestServiceForNeedsWeight(t *testing.T) {
	for _, weights := range [][]float64{{1, 0}, {0.1, 0.2, 0}, {1e308, 1e308, 0}, {1e308, 1e308, -1e308}, {5e-324, 0}, {0, 1, 0}} {
		rt := route.Route{}
		for index, weight := range weights {
			rt.Shares = append(rt.Shares, route.Share{Service: id.Service(fmt.Sprint(index)), Weight: weight})
		}
		for number := range 1000 {
			service := rt.ServiceFor(fmt.Sprint(number))
			index, err := strconv.Atoi(string(service))
			assert.NilError(t, err)
			assert.Assert(t, weights[index] > 0, "%v: %s", weights, service)
		}
	}
	assert.Equal(t, route.Route{Shares: []route.Share{{Service: "a", Weight: 0}, {Service: "b", Weight: -1}}}.ServiceFor("request"), id.Service(""))
}
