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

// RecordedDay holds the prompts and the engines of a day, as recorded in the log lines of its hosts.
type RecordedDay struct {
	arrivals []arrival
	engines  []availability
	// firstEventTimes holds, for each arrival, the time to the first event that the hosts recorded; zero if they
	// recorded none.
	firstEventTimes []time.Duration
}

// availability is the time during which an engine takes requests, counted from the start of the simulation. If until is
// zero, the engine stays to the end.
type availability struct {
	engine      id.Engine
	from, until time.Duration
	// finishesWork says that the engine drains: it finishes the requests that it runs at the end of this time.
	finishesWork bool
}

// FirstEventComparison holds the times to the first event of the requests of one kind, as recorded and as simulated,
// each counted at the entry host. Both slices have the same requests in the same order: those that had a first event in
// the recording and in the simulation.
type FirstEventComparison struct {
	Recorded []time.Duration
	Replayed []time.Duration
}

// Add appends the times of another day.
func (fc *FirstEventComparison) Add(other FirstEventComparison) {
	fc.Recorded = append(fc.Recorded, other.Recorded...)
	fc.Replayed = append(fc.Replayed, other.Replayed...)
}

// Percentiles returns the percentiles of the recorded and of the replayed times at a fraction between 0 and 1.
func (fc *FirstEventComparison) Percentiles(fraction float64) (recorded, replayed time.Duration) {
	return percentile(slices.Sorted(slices.Values(fc.Recorded)), fraction), percentile(slices.Sorted(slices.Values(fc.Replayed)), fraction)
}

// recordedPrompt collects the data of one request from its log lines.
type recordedPrompt struct {
	arrival
	arrivedAt        time.Time
	route            string
	organisation     string
	timeToFirstEvent time.Duration
}

// NewRecordedDay extracts a day's prompts and engines from the log lines of its hosts. Requests without a prompt, such
// as those of plain services, are left out. Logs do not name kinds of request: all prompts of a route get the kind of
// the pattern whose mean length is nearest to theirs.
func NewRecordedDay(pt Pattern, lines []telemetry.LogLine) RecordedDay {
	promptsByRequest := map[string]*recordedPrompt{}
	answeringEngines := map[string]bool{}
	for _, line := range lines {
		requestID := line.Text("request")
		rp := promptsByRequest[requestID]
		if rp == nil {
			if line.Number("prompt") == 0 {
				continue
			}
			rp = &recordedPrompt{arrival: arrival{retriesLeft: 1}}
			promptsByRequest[requestID] = rp
		}
		rp.addLine(line)
		if engine := line.Text("engine"); engine != "" {
			answeringEngines[engine] = true
		}
	}
	byArrival := slices.SortedFunc(maps.Values(promptsByRequest), func(left, right *recordedPrompt) int {
		return cmp.Or(left.arrivedAt.Compare(right.arrivedAt), cmp.Compare(left.promptTokens, right.promptTokens))
	})
	var day RecordedDay
	if len(byArrival) == 0 {
		return day
	}
	pt.assignKinds(byArrival)
	organisationIndexes := map[string]int{}
	for _, rp := range byArrival {
		if _, ok := organisationIndexes[rp.organisation]; !ok {
			organisationIndexes[rp.organisation] = len(organisationIndexes)
		}
		rp.organisationIndex = organisationIndexes[rp.organisation]
		rp.sinceStart = rp.arrivedAt.Sub(byArrival[0].arrivedAt)
		if rp.answerEvents == 0 {
			rp.answerEvents = int(pt.Kinds[rp.kindIndex].Events)
		}
		day.arrivals = append(day.arrivals, rp.arrival)
		day.firstEventTimes = append(day.firstEventTimes, rp.timeToFirstEvent)
	}
	day.engines = engineAvailability(lines, answeringEngines, byArrival[0].arrivedAt)
	return day
}

// addLine updates the prompt from a log line. Values of later lines replace those of earlier ones, because they are
// more exact. The time of arrival comes from the line of the first grant until the line of the request's end replaces
// it.
func (rp *recordedPrompt) addLine(line telemetry.LogLine) {
	if tokens := line.Number("prompt"); tokens > 0 {
		rp.promptTokens = id.Tokens(tokens)
	}
	switch line.Message {
	case "request placed":
		if rp.arrivedAt.IsZero() {
			rp.arrivedAt = line.Time.Add(-line.Milliseconds("waited_ms"))
		}
	case "attempt ended":
		if events, err := strconv.Atoi(line.Text("last_event")); err == nil {
			rp.answerEvents = events
		}
		rp.timeToFirstEvent = line.Milliseconds("first_ms")
	case "request ended":
		rp.arrivedAt = line.Time.Add(-line.Milliseconds("total_ms"))
		rp.route, rp.organisation = line.Text("route"), line.Text("organisation")
	}
}

// assignKinds sets the kind of each prompt by the mean prompt length of its route, or by its own length if its route is
// not recorded.
func (pt Pattern) assignKinds(prompts []*recordedPrompt) {
	tokensByRoute, promptsByRoute := map[string]float64{}, map[string]float64{}
	for _, rp := range prompts {
		tokensByRoute[rp.route] += float64(rp.promptTokens)
		promptsByRoute[rp.route]++
	}
	for _, rp := range prompts {
		promptTokens := float64(rp.promptTokens)
		if rp.route != "" {
			promptTokens = tokensByRoute[rp.route] / promptsByRoute[rp.route]
		}
		rp.kindIndex = pt.nearestKind(promptTokens)
	}
}

// nearestKind returns the index of the kind whose mean prompt length is nearest to the given one. It compares ratios,
// not differences.
func (pt Pattern) nearestKind(promptTokens float64) int {
	nearestIndex, lowestLogRatio := 0, math.Inf(1)
	for index, kind := range pt.Kinds {
		if logRatio := math.Abs(math.Log(promptTokens / kind.Prompt)); logRatio < lowestLogRatio {
			nearestIndex, lowestLogRatio = index, logRatio
		}
	}
	return nearestIndex
}

// engineAvailability returns when each engine took requests, from the log lines about the list of servers. All servers
// of the services to which the answering engines belong are engines, also those that answered nothing. The result is
// sorted by name.
func engineAvailability(lines []telemetry.LogLine, answeringEngines map[string]bool, start time.Time) []availability {
	engineServices := map[string]bool{}
	for _, line := range lines {
		if line.Message == "backend server listed" && answeringEngines[line.Text("server")] {
			engineServices[line.Text("service")] = true
		}
	}
	byServer := map[string]*availability{}
	for _, line := range lines {
		server, sinceStart := line.Text("server"), max(0, line.Time.Sub(start))
		switch av := byServer[server]; {
		case line.Message == "backend server listed" && engineServices[line.Text("service")]:
			if av == nil {
				av = &availability{engine: id.Engine(server), from: sinceStart}
				byServer[server] = av
			}
			av.from = min(av.from, sinceStart)
			if line.Text("draining") == "true" {
				av.endAt(sinceStart, true)
			}
		case line.Message == "backend server gone" && av != nil:
			av.endAt(sinceStart, false)
		}
	}
	var sortedByName []availability
	for _, server := range slices.Sorted(maps.Keys(byServer)) {
		sortedByName = append(sortedByName, *byServer[server])
	}
	return sortedByName
}

// endAt sets the end of the availability unless an earlier one is set. The end is at least 1 ns, because zero means
// that there is no end.
func (av *availability) endAt(sinceStart time.Duration, finishesWork bool) {
	if av.until == 0 || sinceStart < av.until {
		av.until, av.finishesWork = max(sinceStart, 1), finishesWork
	}
}

// ReplayDay simulates a recorded day on engines as in the pattern and returns the times to the first event for each
// kind of the pattern.
func ReplayDay(pt Pattern, config batch.Config, day RecordedDay) []FirstEventComparison {
	rs := simulate(pt, config, 0, day.arrivals, day.engines)
	comparisons := make([]FirstEventComparison, len(pt.Kinds))
	for index, request := range rs.Requests {
		if day.firstEventTimes[index] > 0 && request.TimeToFirstEvent > 0 {
			comparison := &comparisons[request.KindIndex]
			comparison.Recorded = append(comparison.Recorded, day.firstEventTimes[index])
			// A simulated time counts at the client, a recorded one at the entry host.
			comparison.Replayed = append(comparison.Replayed, request.TimeToFirstEvent-2*clientHop)
		}
	}
	return comparisons
}
