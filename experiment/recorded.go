package experiment

import (
	"cmp"
	"maps"
	"math"
	"slices"
	"strconv"
	"time"

	"github.com/hibiscuslever/hibiscuslever/coordination/batch"
	"github.com/hibiscuslever/hibiscuslever/state/id"
	"github.com/hibiscuslever/hibiscuslever/telemetry"
)

// RecordedDay is what log lines of hosts tell of a day's prompts and engines.
type RecordedDay struct {
	arrivals []arrival
	engines  []presence
	// first holds the time to the first event of each arrival as the hosts saw it, zero where they saw none.
	first []time.Duration
}

// presence is the time in which an engine takes requests. A zero until stands for the whole day.
type presence struct {
	name        id.Engine
	from, until time.Duration
	// drains says that the engine finishes what it runs.
	drains bool
}

// FirstEventComparison compares the times to the first event of one kind in a record with those of its replay, request by
// request where both have one.
type FirstEventComparison struct {
	Recorded []time.Duration
	Replayed []time.Duration
}

// Add adds another day's times.
func (df *FirstEventComparison) Add(other FirstEventComparison) {
	df.Recorded = append(df.Recorded, other.Recorded...)
	df.Replayed = append(df.Replayed, other.Replayed...)
}

// Percentiles returns a percentile of both.
func (df *FirstEventComparison) Percentiles(part float64) (recorded, replayed time.Duration) {
	return percentile(slices.Sorted(slices.Values(df.Recorded)), part), percentile(slices.Sorted(slices.Values(df.Replayed)), part)
}

// recordedPrompt is what the lines of one request tell.
type recordedPrompt struct {
	arrival
	came  time.Time
	route string
	owner string
	first time.Duration
}

// NewRecordedDay reads a day's prompts and engines from the log lines of its hosts. Logs do not name kinds of request: each
// route's prompts are taken for the kind whose mean length is nearest.
func NewRecordedDay(pt Pattern, lines []telemetry.LogLine) RecordedDay {
	prompts := map[string]*recordedPrompt{}
	answering := map[string]bool{}
	for _, line := range lines {
		name := line.Text("request")
		pr := prompts[name]
		if pr == nil {
			if line.Number("prompt") == 0 {
				continue
			}
			pr = &recordedPrompt{arrival: arrival{returns: 1}}
			prompts[name] = pr
		}
		pr.read(line)
		if engine := line.Text("engine"); engine != "" {
			answering[engine] = true
		}
	}
	all := slices.SortedFunc(maps.Values(prompts), func(left, right *recordedPrompt) int {
		return cmp.Or(left.came.Compare(right.came), cmp.Compare(left.prompt, right.prompt))
	})
	var rc RecordedDay
	if len(all) == 0 {
		return rc
	}
	pt.nameKinds(all)
	organisations := map[string]int{}
	for _, pr := range all {
		if _, ok := organisations[pr.owner]; !ok {
			organisations[pr.owner] = len(organisations)
		}
		pr.organisation = organisations[pr.owner]
		pr.at = pr.came.Sub(all[0].came)
		if pr.events == 0 {
			pr.events = int(pt.Kinds[pr.kind].Events)
		}
		rc.arrivals = append(rc.arrivals, pr.arrival)
		rc.first = append(rc.first, pr.first)
	}
	rc.engines = recordEngines(lines, answering, all[0].came)
	return rc
}

// read takes what a line tells of a prompt. A later line knows more than an earlier one.
func (pr *recordedPrompt) read(line telemetry.LogLine) {
	if prompt := line.Number("prompt"); prompt > 0 {
		pr.prompt = id.Tokens(prompt)
	}
	switch line.Message {
	case "request placed":
		if pr.came.IsZero() {
			pr.came = line.Time.Add(-line.Milliseconds("waited_ms"))
		}
	case "attempt ended":
		if events, err := strconv.Atoi(line.Text("last_event")); err == nil {
			pr.events = events
		}
		pr.first = line.Milliseconds("first_ms")
	case "request ended":
		pr.came = line.Time.Add(-line.Milliseconds("total_ms"))
		pr.route, pr.owner = line.Text("route"), line.Text("organisation")
	}
}

// nameKinds finds the kinds of prompts by the mean lengths of their routes' prompts.
func (pt Pattern) nameKinds(prompts []*recordedPrompt) {
	sums, counts := map[string]float64{}, map[string]float64{}
	for _, pr := range prompts {
		sums[pr.route] += float64(pr.prompt)
		counts[pr.route]++
	}
	for _, pr := range prompts {
		length := float64(pr.prompt)
		if pr.route != "" {
			length = sums[pr.route] / counts[pr.route]
		}
		pr.kind = pt.nearest(length)
	}
}

// nearest returns the kind whose mean prompt is nearest to a length, as a ratio.
func (pt Pattern) nearest(prompt float64) int {
	best, distance := 0, math.Inf(1)
	for ix, kind := range pt.Kinds {
		if between := math.Abs(math.Log(prompt / kind.Prompt)); between < distance {
			best, distance = ix, between
		}
	}
	return best
}

// recordEngines reads when the engines that answered prompts were listed. Which service an engine is of, and so which
// others belong to them, is on its lines.
func recordEngines(lines []telemetry.LogLine, answering map[string]bool, start time.Time) []presence {
	services := map[string]bool{}
	for _, line := range lines {
		if line.Message == "backend server listed" && answering[line.Text("server")] {
			services[line.Text("service")] = true
		}
	}
	engines := map[string]*presence{}
	for _, line := range lines {
		name, at := line.Text("server"), max(0, line.Time.Sub(start))
		switch en := engines[name]; {
		case line.Message == "backend server listed" && services[line.Text("service")]:
			if en == nil {
				en = &presence{name: id.Engine(name), from: at}
				engines[name] = en
			}
			en.from = min(en.from, at)
			if line.Text("draining") == "true" {
				en.end(at, true)
			}
		case line.Message == "backend server gone" && en != nil:
			en.end(at, false)
		}
	}
	var all []presence
	for _, name := range slices.Sorted(maps.Keys(engines)) {
		all = append(all, *engines[name])
	}
	return all
}

// end notes the first line that takes an engine out of use.
func (pr *presence) end(at time.Duration, drains bool) {
	if pr.until == 0 || at < pr.until {
		pr.until, pr.drains = max(at, 1), drains
	}
}

// ReplayDay replays a recorded day and compares the times to the first event by kind.
func ReplayDay(pt Pattern, config batch.Config, rc RecordedDay) []FirstEventComparison {
	rs := play(pt, config, 0, rc.arrivals, rc.engines)
	all := make([]FirstEventComparison, len(pt.Kinds))
	for ix, point := range rs.Requests {
		if rc.first[ix] > 0 && point.TimeToFirstEvent > 0 {
			df := &all[point.KindIndex]
			df.Recorded = append(df.Recorded, rc.first[ix])
			df.Replayed = append(df.Replayed, point.TimeToFirstEvent-2*clientHop)
		}
	}
	return all
}
