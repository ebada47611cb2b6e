package evacuation_test

import (
	"fmt"
	"slices"
	"strconv"
	"strings"
	"testing"
	"time"

	"github.com/cockroachdb/datadriven"
	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	"github.com/hibiscuslever/hibiscuslever/state/evacuation"
	"github.com/hibiscuslever/hibiscuslever/state/id"
)

// TestEvacuationScripts runs the scripts in testdata. They drive copies that are named by their host. An offset is written
// as ERA/POSITION, a record as ZONE@OFFSET, with a minus sign in front if it ends the evacuation. The actions are
//
//	apply HOST FROM NEXT RECORD...  records that were read from the offset FROM to NEXT
//	full HOST NEXT RECORD...        the newest records of all zones at the offset NEXT
//	copy HOST OTHER                 the state of OTHER arrives at HOST
//	wait MILLISECONDS               time passes
//	expire HOST                     ends what was held for long enough
//	show HOST                       prints the copy
func TestEvacuationScripts(t *testing.T) {
	datadriven.Walk(t, "testdata", func(t *testing.T, path string) {
		datadriven.RunTest(t, path, func(t *testing.T, td *datadriven.TestData) string {
			sc := script{t: t, now: time.Unix(0, 0), sets: map[string]*evacuation.Set{}}
			for line := range strings.SplitSeq(td.Input, "\n") {
				sc.run(strings.Fields(line))
			}
			return sc.output.String()
		})
	})
}

// script is the state of one script.
type script struct {
	t      *testing.T
	now    time.Time
	sets   map[string]*evacuation.Set
	output strings.Builder
}

func (sc *script) run(words []string) {
	if words[0] == "wait" {
		millis, err := strconv.Atoi(words[1])
		assert.NilError(sc.t, err)
		sc.now = sc.now.Add(time.Duration(millis) * time.Millisecond)
		return
	}
	st, ok := sc.sets[words[1]]
	if !ok {
		st = evacuation.New()
		sc.sets[words[1]] = st
	}
	var changed []evacuation.Record
	switch words[0] {
	case "apply":
		changed = st.Apply(sc.offset(words[2]), sc.offset(words[3]), sc.records(words[4:]))
	case "full":
		changed = st.ApplyFull(sc.now, sc.offset(words[2]), sc.records(words[3:]))
	case "copy":
		changed = st.ApplyState(sc.now, *sc.sets[words[2]].State())
	case "expire":
		changed = st.Expire(sc.now)
	case "show":
		fmt.Fprintf(&sc.output, "%s: evacuated %v, unchanged since %s, next %s\n", words[1], st.Zones(), offsetText(st.UnchangedSince()), offsetText(st.NextOffset()))
		return
	default:
		sc.t.Fatalf("unknown action %q", words[0])
	}
	fmt.Fprintf(&sc.output, "%s: changed%s\n", strings.Join(words, " "), recordsText(changed))
}

// offset returns the offset that a text describes.
func (sc *script) offset(text string) id.Offset {
	var era, position int64
	_, err := fmt.Sscanf(text, "%d/%d", &era, &position)
	assert.NilError(sc.t, err, text)
	return id.NewOffset(id.Era(era), position)
}

func (sc *script) records(texts []string) []evacuation.Record {
	var records []evacuation.Record
	for _, text := range texts {
		text, ended := strings.CutPrefix(text, "-")
		zone, offset, _ := strings.Cut(text, "@")
		records = append(records, evacuation.Record{Zone: id.AvailabilityZone(zone), Offset: sc.offset(offset), Ended: ended})
	}
	return records
}

func offsetText(offset id.Offset) string {
	if offset == id.NoOffset {
		return "none"
	}
	return fmt.Sprintf("%d/%d", offset.Era(), offset.Position())
}

func recordsText(records []evacuation.Record) string {
	if len(records) == 0 {
		return " nothing"
	}
	var text strings.Builder
	for _, rc := range records {
		sign := ""
		if rc.Ended {
			sign = "-"
		}
		fmt.Fprintf(&text, " %s%s@%s", sign, rc.Zone, offsetText(rc.Offset))
	}
	return text.String()
}

// TestZonesAreBounded checks that a copy takes no more than MaxZones zones in any way, and goes on with those it has.
func TestZonesAreBounded(t *testing.T) {
	var records []evacuation.Record
	for number := range 2 * evacuation.MaxZones {
		records = append(records, evacuation.Record{Zone: id.AvailabilityZone(fmt.Sprint("zone-", number)), Offset: id.Offset(number)})
	}
	end := id.Offset(len(records))
	read, listed, received := evacuation.New(), evacuation.New(), evacuation.New()
	read.ApplyFull(time.Unix(0, 0), 0, nil)
	assert.Equal(t, len(read.Apply(0, end, records)), evacuation.MaxZones)
	listed.ApplyFull(time.Unix(0, 0), end, records)
	received.ApplyState(time.Unix(0, 0), evacuation.State{NextOffset: end, Zones: records})
	for _, st := range []*evacuation.Set{read, listed, received} {
		assert.Equal(t, len(st.Zones()), evacuation.MaxZones)
		assert.Equal(t, len(st.Apply(end, end+1, []evacuation.Record{{Zone: "zone-0", Offset: end, Ended: true}})), 1)
		assert.Equal(t, len(st.Zones()), evacuation.MaxZones-1)
	}
}

// TestCopiesAgree checks that copies which learn the same records in any of the ways, in any order and partly, hold at
// each offset exactly the zones whose newest record before it evacuates them, and that they notice when they are behind.
func TestCopiesAgree(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		records := drawRecords(rt)
		sets := []*evacuation.Set{evacuation.New(), evacuation.New(), evacuation.New()}
		now := time.Unix(0, 0)
		for range rapid.IntRange(1, 40).Draw(rt, "steps") {
			st := rapid.SampledFrom(sets).Draw(rt, "copy")
			before := st.NextOffset()
			switch rapid.IntRange(0, 2).Draw(rt, "way") {
			case 0:
				end := rapid.IntRange(0, len(records)).Draw(rt, "end")
				st.ApplyFull(now, id.Offset(end), newestRecords(records[:end]))
			case 1:
				from := rapid.IntRange(0, len(records)).Draw(rt, "from")
				end := rapid.IntRange(from, len(records)).Draw(rt, "end")
				st.Apply(id.Offset(from), id.Offset(end), records[from:end])
			case 2:
				if state := rapid.SampledFrom(sets).Draw(rt, "other").State(); state != nil {
					st.ApplyState(now, *state)
				}
			}
			assert.Assert(rt, st.NextOffset() >= before, "the copy went back from %d to %d", before, st.NextOffset())
			assertExact(rt, records, sets)
		}
	})
}

// drawRecords returns records of a few zones at the offsets from 0 on.
func drawRecords(rt *rapid.T) []evacuation.Record {
	records := make([]evacuation.Record, rapid.IntRange(0, 20).Draw(rt, "records"))
	for ix := range records {
		records[ix] = evacuation.Record{
			Zone: id.AvailabilityZone(rapid.SampledFrom([]string{"a", "b", "c"}).Draw(rt, "zone")), Offset: id.Offset(ix), Ended: rapid.Bool().Draw(rt, "ended"),
		}
	}
	return records
}

// newestRecords returns the newest record of each zone that does not end its evacuation.
func newestRecords(records []evacuation.Record) []evacuation.Record {
	newest := map[id.AvailabilityZone]evacuation.Record{}
	for _, rc := range records {
		newest[rc.Zone] = rc
	}
	var evacuated []evacuation.Record
	for _, rc := range newest {
		if !rc.Ended {
			evacuated = append(evacuated, rc)
		}
	}
	return evacuated
}

// assertExact checks each copy against the records, and that a copy with other zones than a later one is behind its last
// change.
func assertExact(rt *rapid.T, records []evacuation.Record, sets []*evacuation.Set) {
	for _, st := range sets {
		if !st.Loaded() {
			continue
		}
		var expected []id.AvailabilityZone
		for _, rc := range newestRecords(records[:st.NextOffset()]) {
			expected = append(expected, rc.Zone)
		}
		slices.Sort(expected)
		assert.Assert(rt, slices.Equal(st.Zones(), expected), "at %d: %v, not %v", st.NextOffset(), st.Zones(), expected)
		for _, later := range sets {
			if later.NextOffset() > st.NextOffset() && !slices.Equal(later.Zones(), st.Zones()) {
				assert.Assert(rt, st.NextOffset() < later.UnchangedSince())
			}
		}
	}
}
