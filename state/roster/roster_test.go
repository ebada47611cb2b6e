package roster_test

import (
	"fmt"
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	"github.com/hibiscuslever/hibiscuslever/state/id"
	"github.com/hibiscuslever/hibiscuslever/state/roster"
)

func listed(name string, offset int, draining bool) roster.Record {
	return roster.Record{ID: id.BackendServer(name), Offset: id.Offset(offset), Server: &roster.Server{ID: id.BackendServer(name), Draining: draining}}
}

func dropped(name string, offset int) roster.Record {
	return roster.Record{ID: id.BackendServer(name), Offset: id.Offset(offset), Dropped: true}
}

func names(servers []roster.Server) string {
	text := ""
	for _, sv := range servers {
		text += string(sv.ID) + " "
	}
	return text
}

// TestDropInOutageKeepsServerForGrace keeps servers whose entries were dropped around an outage for a while, and no others.
func TestDropInOutageKeepsServerForGrace(t *testing.T) {
	now := time.Unix(1000, 0)
	rs := roster.New()
	rs.ApplyFullList(now, 10, []roster.Record{listed("a", 1, false), listed("b", 2, false), listed("c", 3, false)}, false)
	rs.Apply(now, 10, 12, []roster.Record{dropped("a", 10)}, false)
	rs.Apply(now, 12, 14, []roster.Record{dropped("b", 12), dropped("c", 13)}, true)
	assert.Equal(t, names(rs.Servers(now)), "b c ")
	rs.Apply(now, 14, 15, []roster.Record{listed("c", 14, true)}, true)
	later := now.Add(3 * time.Second)
	assert.Equal(t, names(rs.Servers(later)), "c ")
	assert.Assert(t, rs.Servers(later)[0].Draining)
}

// TestGapLeavesListIncomplete reports a gap before records, so that the whole list is fetched.
func TestGapLeavesListIncomplete(t *testing.T) {
	now := time.Unix(1000, 0)
	rs := roster.New()
	_, complete := rs.Apply(now, 0, 5, nil, false)
	assert.Assert(t, !complete, "a list that was never read whole is not complete")
	rs.ApplyFullList(now, 10, nil, false)
	_, complete = rs.Apply(now, 12, 13, []roster.Record{listed("a", 12, false)}, false)
	assert.Assert(t, !complete)
	assert.Equal(t, rs.Next(), id.Offset(10))
	assert.Equal(t, names(rs.Servers(now)), "a ", "what is told counts nevertheless")
}

// TestMergeOrderDoesNotMatter merges the same log in any order, in parts and with repeats, to the same list.
func TestMergeOrderDoesNotMatter(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		var log []roster.Record
		for offset := range rapid.IntRange(1, 30).Draw(rt, "length") {
			name := fmt.Sprintf("s%d", rapid.IntRange(0, 4).Draw(rt, "server"))
			if rapid.IntRange(0, 3).Draw(rt, "kind") == 0 {
				log = append(log, dropped(name, offset))
				continue
			}
			log = append(log, listed(name, offset, rapid.Bool().Draw(rt, "draining")))
		}
		now := time.Unix(1000, 0)
		straight, mixed := roster.New(), roster.New()
		straight.ApplyFullList(now, 0, nil, false)
		straight.Apply(now, 0, id.Offset(len(log)), log, false)
		mixed.ApplyFullList(now, 0, nil, false)
		for range rapid.IntRange(0, 6).Draw(rt, "parts") {
			from := rapid.IntRange(0, len(log)).Draw(rt, "from")
			next := rapid.IntRange(from, len(log)).Draw(rt, "next")
			mixed.Apply(now, id.Offset(from), id.Offset(next), log[from:next], false)
		}
		cut := rapid.IntRange(0, len(log)).Draw(rt, "cut")
		mixed.Apply(now, id.Offset(cut), id.Offset(len(log)), log[cut:], false)
		mixed.Apply(now, 0, id.Offset(cut), log[:cut], false)
		if names(straight.Servers(now)) != names(mixed.Servers(now)) {
			rt.Fatalf("%q and %q", names(straight.Servers(now)), names(mixed.Servers(now)))
		}
		whole := roster.New()
		whole.ApplyFullList(now, id.Offset(len(log)), straight.Records(), false)
		if names(straight.Servers(now)) != names(whole.Servers(now)) {
			rt.Fatalf("%q and a copy %q", names(straight.Servers(now)), names(whole.Servers(now)))
		}
	})
}

// TestOlderFullListIsIgnored ignores a whole list that is older than what is known.
func TestOlderFullListIsIgnored(t *testing.T) {
	now := time.Unix(1000, 0)
	rs := roster.New()
	rs.ApplyFullList(now, 10, []roster.Record{listed("a", 9, true)}, false)
	rs.ApplyFullList(now, 5, []roster.Record{listed("a", 3, false), listed("b", 4, false)}, false)
	assert.Equal(t, names(rs.Servers(now)), "a ")
	assert.Assert(t, rs.Servers(now)[0].Draining)
}

// TestChangesBeforeFullListAreUnknown gives no differences for offsets before a copy was read whole: it does not know what was
// dropped by then. A host that asks for them gets the whole list, and with it learns of the drop.
func TestChangesBeforeFullListAreUnknown(t *testing.T) {
	now := time.Unix(1000, 0)
	old, fresh := roster.New(), roster.New()
	old.ApplyFullList(now, 2, []roster.Record{listed("a", 0, false), listed("b", 1, false)}, false)
	fresh.ApplyFullList(now, 3, []roster.Record{listed("b", 1, false)}, false)
	_, known := fresh.ChangesSince(old.Next())
	assert.Assert(t, !known)
	old.ApplyFullList(now, fresh.Next(), fresh.Records(), false)
	assert.Equal(t, names(old.Servers(now)), "b ")
	_, known = fresh.ChangesSince(fresh.Next())
	assert.Assert(t, known)
}

// TestHostsConverge has hosts read parts of the log or the whole list, tell each other, ask each other for differences and
// take each other's word that nothing changed, in any order. Once each has read the rest, all know the same.
func TestHostsConverge(t *testing.T) {
	const hosts = 3
	rapid.Check(t, func(rt *rapid.T) {
		now := time.Unix(1000, 0)
		var log []roster.Record
		rosters := make([]*roster.Roster, hosts)
		for ix := range rosters {
			rosters[ix] = roster.New()
		}
		whole := func(rs *roster.Roster) {
			newest := map[id.BackendServer]roster.Record{}
			for _, rc := range log {
				newest[rc.ID] = rc
			}
			var records []roster.Record
			for _, rc := range newest {
				if !rc.Dropped {
					records = append(records, rc)
				}
			}
			rs.ApplyFullList(now, id.Offset(len(log)), records, false)
		}
		pull := func(rs, from *roster.Roster) {
			if records, known := from.ChangesSince(rs.Next()); known {
				rs.Apply(now, rs.Next(), from.Next(), records, false)
			} else if from.Loaded() {
				rs.ApplyFullList(now, from.Next(), from.Records(), false)
			}
		}
		for range rapid.IntRange(1, 60).Draw(rt, "steps") {
			one := rosters[rapid.IntRange(0, hosts-1).Draw(rt, "one")]
			other := rosters[rapid.IntRange(0, hosts-1).Draw(rt, "other")]
			switch rapid.IntRange(0, 6).Draw(rt, "step") {
			case 0, 1:
				name := fmt.Sprintf("s%d", rapid.IntRange(0, 3).Draw(rt, "server"))
				rc := listed(name, len(log), rapid.Bool().Draw(rt, "draining"))
				if rapid.IntRange(0, 2).Draw(rt, "kind") == 0 {
					rc = dropped(name, len(log))
				}
				log = append(log, rc)
			case 2:
				whole(one)
			case 3:
				if !one.Loaded() {
					break
				}
				quiet, next := one.UnchangedSince(), rapid.IntRange(int(one.Next()), len(log)).Draw(rt, "next")
				changed, _ := one.Apply(now, one.Next(), id.Offset(next), log[one.Next():next], false)
				other.Apply(now, quiet, id.Offset(next), changed, false)
			case 4:
				pull(one, other)
			default:
				if one.Loaded() && other.Loaded() && !one.ConfirmUnchanged(other.UnchangedSince(), other.Next()) {
					pull(one, other)
				}
			}
		}
		straight := roster.New()
		straight.ApplyFullList(now, 0, nil, false)
		straight.Apply(now, 0, id.Offset(len(log)), log, false)
		for ix, rs := range rosters {
			if !rs.Loaded() {
				continue
			}
			rs.Apply(now, rs.Next(), id.Offset(len(log)), log[rs.Next():], false)
			if names(rs.Servers(now)) != names(straight.Servers(now)) {
				rt.Fatalf("host %d knows %q, the log says %q", ix, names(rs.Servers(now)), names(straight.Servers(now)))
			}
		}
	})
}
