package serverlist_test

import (
	"fmt"
	"slices"
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	"github.com/hibiscuslever/hibiscuslever/state/id"
	"github.com/hibiscuslever/hibiscuslever/state/serverlist"
)

func listedRecord(name string, offset int, draining bool) serverlist.Record {
	return serverlist.Record{ID: id.BackendServer(name), Offset: id.Offset(offset), Server: &serverlist.Server{ID: id.BackendServer(name), Draining: draining}}
}

func droppedRecord(name string, offset int) serverlist.Record {
	return serverlist.Record{ID: id.BackendServer(name), Offset: id.Offset(offset), Dropped: true}
}

func serverNames(servers []serverlist.Server) string {
	text := ""
	for _, sv := range servers {
		text += string(sv.ID) + " "
	}
	return text
}

// TestDropInOutageKeepsServerForGrace checks that servers whose entries were dropped in an outage stay usable for the
// grace period, and that other dropped servers do not.
func TestDropInOutageKeepsServerForGrace(t *testing.T) {
	now := time.Unix(1000, 0)
	serverList := serverlist.New()
	serverList.ApplyFullList(now, 10, []serverlist.Record{listedRecord("a", 1, false), listedRecord("b", 2, false), listedRecord("c", 3, false)}, false)
	serverList.Apply(now, 10, 12, []serverlist.Record{droppedRecord("a", 10)}, false)
	serverList.Apply(now, 12, 14, []serverlist.Record{droppedRecord("b", 12), droppedRecord("c", 13)}, true)
	assert.Equal(t, serverNames(serverList.Servers(now)), "b c ")
	serverList.Apply(now, 14, 15, []serverlist.Record{listedRecord("c", 14, true)}, true)
	later := now.Add(3 * time.Second)
	assert.Equal(t, serverNames(serverList.Servers(later)), "c ")
	assert.Assert(t, serverList.Servers(later)[0].Draining)
}

// TestGapLeavesListIncomplete checks that a gap before the applied records is reported, so that the caller requests
// what is missing. The records must count nevertheless.
func TestGapLeavesListIncomplete(t *testing.T) {
	now := time.Unix(1000, 0)
	serverList := serverlist.New()
	_, complete := serverList.Apply(now, 0, 5, nil, false)
	assert.Assert(t, !complete, "a server list without the full list is not complete")
	serverList.ApplyFullList(now, 10, nil, false)
	_, complete = serverList.Apply(now, 12, 13, []serverlist.Record{listedRecord("a", 12, false)}, false)
	assert.Assert(t, !complete)
	assert.Equal(t, serverList.NextOffset(), id.Offset(10))
	assert.Equal(t, serverNames(serverList.Servers(now)), "a ", "records after a gap count nevertheless")
}

// coldRecord is a record of a server that remains cold for some seconds.
func coldRecord(name string, offset int, seconds float64) serverlist.Record {
	rc := listedRecord(name, offset, false)
	rc.Server.ColdRemaining = time.Duration(seconds * float64(time.Second))
	return rc
}

// TestRemainingColdTime has a server count down the time for which it remains cold. Only its beginning, its end and a
// renewal change the list, and each copy knows the end by its own clock.
func TestRemainingColdTime(t *testing.T) {
	now := time.Unix(1000, 0)
	reader, follower := serverlist.New(), serverlist.New()
	for _, serverList := range []*serverlist.List{reader, follower} {
		serverList.ApplyFullList(now, 10, []serverlist.Record{listedRecord("a", 1, false)}, false)
		assert.Assert(t, serverList.Servers(now)[0].ColdUntil.IsZero())
	}
	for index, step := range []struct {
		remaining  float64
		wantChange bool
		// wantReader and wantFollower are the times in seconds after which the copies take the server as warm.
		wantReader, wantFollower float64
	}{
		{3, true, 3, 3}, {2.2, false, 2.2, 2}, {1.1, false, 1.1, 1}, {3, true, 3, 3}, {3, true, 3, 3}, {2, false, 2, 2}, {0, true, 0, 0}, {0, false, 0, 0}, {0.1, true, 0.1, 0.1},
	} {
		offset := id.Offset(10 + index)
		changed, _ := reader.Apply(now, offset, offset+1, []serverlist.Record{coldRecord("a", int(offset), step.remaining)}, false)
		assert.Equal(t, len(changed) > 0, step.wantChange, "step %d", index)
		follower.Apply(now, offset, offset+1, changed, false)
		for serverList, want := range map[*serverlist.List]float64{reader: step.wantReader, follower: step.wantFollower} {
			// A server that is added makes the copy compute its result again.
			serverList.Apply(now, offset+1, offset+1, []serverlist.Record{listedRecord("b", int(offset), index%2 == 0)}, false)
			coldUntil := serverList.Servers(now)[0].ColdUntil
			if want == 0 {
				assert.Assert(t, coldUntil.IsZero(), "step %d", index)
				continue
			}
			assert.Equal(t, coldUntil, now.Add(time.Duration(want*float64(time.Second))), "step %d", index)
		}
		now = now.Add(time.Second)
	}
}

// TestDrainingIsForgotten guards against servers that drained in order and do not count as leaving once their entries are
// dropped, whatever order the records come in. Draining holds for one start of a server.
func TestDrainingIsForgotten(t *testing.T) {
	now := time.Unix(1000, 0)
	record := func(position, startedAt int64, draining bool) serverlist.Record {
		return startedRecord("a", 1, position, startedAt, draining)
	}
	dropped := func(position int64) serverlist.Record {
		return serverlist.Record{ID: "a", Offset: id.NewOffset(1, position), Dropped: true}
	}
	for _, tc := range []struct {
		name    string
		records []serverlist.Record
		// wantDraining holds the starts, of 5 and 9, that are shown as draining.
		wantDraining []int64
	}{
		{"ready", nil, nil},
		{"draining", []serverlist.Record{record(20, 5, true)}, []int64{5}},
		{"draining, then dropped", []serverlist.Record{record(20, 5, true), dropped(21)}, []int64{5}},
		{"the drop is merged first", []serverlist.Record{dropped(21), record(20, 5, true)}, []int64{5}},
		{"dropped without draining", []serverlist.Record{dropped(20)}, nil},
		{"draining, then started anew", []serverlist.Record{record(20, 5, true), record(21, 9, false)}, []int64{5}},
		{"started anew, then draining and dropped", []serverlist.Record{record(20, 9, true), dropped(21)}, []int64{9}},
		{"started anew, the old start drained", []serverlist.Record{record(21, 9, false), record(20, 5, true), dropped(22)}, []int64{5}},
		{"ready again", []serverlist.Record{record(20, 5, true), record(21, 5, false)}, nil},
	} {
		t.Run(tc.name, func(t *testing.T) {
			serverList := serverlist.New()
			serverList.ApplyFullList(now, id.NewOffset(1, 20), []serverlist.Record{record(10, 5, false)}, false)
			for _, rc := range tc.records {
				serverList.Apply(now, rc.Offset, rc.Offset+1, []serverlist.Record{rc}, false)
			}
			var draining []int64
			for _, startedAt := range []int64{5, 9} {
				if serverList.ShownAsDraining(now, serverlist.Server{ID: "a", StartedAtMillis: startedAt}) {
					draining = append(draining, startedAt)
				}
			}
			assert.DeepEqual(t, draining, tc.wantDraining)
		})
	}
	assert.Assert(t, !serverlist.New().ShownAsDraining(now, serverlist.Server{ID: "a"}), "never listed")
}

// TestDroppedEntryKeepsColdTime checks that a server whose entry expires in an outage remains cold while it stays usable.
func TestDroppedEntryKeepsColdTime(t *testing.T) {
	now := time.Unix(1000, 0)
	serverList := serverlist.New()
	serverList.ApplyFullList(now, 10, []serverlist.Record{coldRecord("a", 1, 5)}, false)
	serverList.Apply(now, 10, 11, []serverlist.Record{droppedRecord("a", 10)}, true)
	assert.Equal(t, serverList.Servers(now)[0].ColdUntil, now.Add(5*time.Second))
}

// TestMergeOrderDoesNotMatter checks that the records of one log give the same list when they are applied in any order,
// in parts and repeatedly.
func TestMergeOrderDoesNotMatter(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		var log []serverlist.Record
		for offset := range rapid.IntRange(1, 30).Draw(rt, "length") {
			name := fmt.Sprintf("s%d", rapid.IntRange(0, 4).Draw(rt, "server"))
			if rapid.IntRange(0, 3).Draw(rt, "kind") == 0 {
				log = append(log, droppedRecord(name, offset))
				continue
			}
			log = append(log, listedRecord(name, offset, rapid.Bool().Draw(rt, "draining")))
		}
		now := time.Unix(1000, 0)
		ordered, shuffled := serverlist.New(), serverlist.New()
		ordered.ApplyFullList(now, 0, nil, false)
		ordered.Apply(now, 0, id.Offset(len(log)), log, false)
		shuffled.ApplyFullList(now, 0, nil, false)
		for range rapid.IntRange(0, 6).Draw(rt, "parts") {
			from := rapid.IntRange(0, len(log)).Draw(rt, "from")
			next := rapid.IntRange(from, len(log)).Draw(rt, "next")
			shuffled.Apply(now, id.Offset(from), id.Offset(next), log[from:next], false)
		}
		cut := rapid.IntRange(0, len(log)).Draw(rt, "cut")
		shuffled.Apply(now, id.Offset(cut), id.Offset(len(log)), log[cut:], false)
		shuffled.Apply(now, 0, id.Offset(cut), log[:cut], false)
		if serverNames(ordered.Servers(now)) != serverNames(shuffled.Servers(now)) {
			rt.Fatalf("in order %q, in another order %q", serverNames(ordered.Servers(now)), serverNames(shuffled.Servers(now)))
		}
		copied := serverlist.New()
		copied.ApplyFullList(now, id.Offset(len(log)), ordered.Records(), false)
		if serverNames(ordered.Servers(now)) != serverNames(copied.Servers(now)) {
			rt.Fatalf("in order %q, from a full list %q", serverNames(ordered.Servers(now)), serverNames(copied.Servers(now)))
		}
	})
}

// TestOlderFullListIsIgnored checks that a full list older than the copy changes nothing.
func TestOlderFullListIsIgnored(t *testing.T) {
	now := time.Unix(1000, 0)
	serverList := serverlist.New()
	serverList.ApplyFullList(now, 10, []serverlist.Record{listedRecord("a", 9, true)}, false)
	serverList.ApplyFullList(now, 5, []serverlist.Record{listedRecord("a", 3, false), listedRecord("b", 4, false)}, false)
	assert.Equal(t, serverNames(serverList.Servers(now)), "a ")
	assert.Assert(t, serverList.Servers(now)[0].Draining)
}

// TestChangesBeforeFullListAreUnknown checks that a copy returns no changes from an offset before its full list,
// since it does not know which entries were dropped until then. The full list must show the drop to a host that lacks
// them.
func TestChangesBeforeFullListAreUnknown(t *testing.T) {
	now := time.Unix(1000, 0)
	outdated, fresh := serverlist.New(), serverlist.New()
	outdated.ApplyFullList(now, 2, []serverlist.Record{listedRecord("a", 0, false), listedRecord("b", 1, false)}, false)
	fresh.ApplyFullList(now, 3, []serverlist.Record{listedRecord("b", 1, false)}, false)
	_, complete := fresh.ChangesSince(outdated.NextOffset())
	assert.Assert(t, !complete)
	outdated.ApplyFullList(now, fresh.NextOffset(), fresh.Records(), false)
	assert.Equal(t, serverNames(outdated.Servers(now)), "b ")
	_, complete = fresh.ChangesSince(fresh.NextOffset())
	assert.Assert(t, complete)
}

// startedRecord is a record of a server with a start time, at a position in an era.
func startedRecord(name string, era id.Era, position int64, startedAtMillis int64, draining bool) serverlist.Record {
	return serverlist.Record{
		ID: id.BackendServer(name), Offset: id.NewOffset(era, position),
		Server: &serverlist.Server{ID: id.BackendServer(name), Draining: draining, StartedAtMillis: startedAtMillis},
	}
}

// TestRestoredListKeepsWhatWasKnown applies the list of a restored store. Servers that were known to leave count as
// leaving for some time unless they have restarted, those that are missing stay usable for the grace period, and a
// record of the new era counts although its position was given out before.
func TestRestoredListKeepsWhatWasKnown(t *testing.T) {
	now := time.Unix(1000, 0)
	serverList := serverlist.New()
	serverList.ApplyFullList(now, id.NewOffset(1, 20), []serverlist.Record{
		startedRecord("draining", 1, 10, 5, true), startedRecord("lost", 1, 11, 5, false), startedRecord("removed", 1, 3, 5, false), startedRecord("restarted", 1, 12, 5, true),
	}, false)
	serverList.Apply(now, id.NewOffset(1, 20), id.NewOffset(1, 30), []serverlist.Record{{ID: "removed", Offset: id.NewOffset(1, 25), Dropped: true}}, false)
	serverList.ApplyFullList(now, id.NewOffset(2, 4), []serverlist.Record{
		startedRecord("draining", 2, 0, 5, false), startedRecord("removed", 2, 1, 5, false), startedRecord("restarted", 2, 2, 6, false),
	}, false)
	leaving := func(now time.Time) string {
		names := ""
		for _, name := range []id.BackendServer{"draining", "lost", "removed", "restarted"} {
			if serverList.Leaving(now, name) {
				names += string(name) + " "
			}
		}
		return names
	}
	assert.Equal(t, leaving(now), "draining removed ")
	later := now.Add(3 * time.Second)
	assert.Assert(t, serverList.ExpireGracePeriods(later))
	assert.Equal(t, leaving(later), "draining lost removed ")
	serverList.Apply(later, id.NewOffset(2, 4), id.NewOffset(2, 6), []serverlist.Record{startedRecord("lost", 2, 4, 5, false), startedRecord("draining", 2, 5, 5, true)}, false)
	assert.Equal(t, leaving(later), "draining removed ")
	later = now.Add(7 * time.Second)
	assert.Assert(t, serverList.ExpireGracePeriods(later))
	assert.Equal(t, leaving(later), "draining ")
	assert.Assert(t, !serverList.ConfirmUnchanged(id.NewOffset(3, 1), id.NewOffset(3, 1)))
	assert.Equal(t, len(serverList.ApplyFullList(later, id.NewOffset(1, 100), nil, false)), 0, "a list of an earlier era is ignored")
}

// TestHostsConverge has several hosts read the full list or the changes of a log, which is restored from older copies at
// times, and exchange updates, syncs and statuses in random order. Once each has read the rest of the log and grace
// periods have ended, all must have the same list.
func TestHostsConverge(t *testing.T) {
	const hostCount = 3
	rapid.Check(t, func(rt *rapid.T) {
		now := time.Unix(1000, 0)
		var log []serverlist.Record
		era := id.Era(0)
		endOfLog := func() id.Offset { return id.NewOffset(era, int64(len(log))) }
		serverLists := make([]*serverlist.List, hostCount)
		for ix := range serverLists {
			serverLists[ix] = serverlist.New()
		}
		readFullList := func(serverList *serverlist.List) {
			newest := map[id.BackendServer]serverlist.Record{}
			for _, rc := range log {
				newest[rc.ID] = rc
			}
			var records []serverlist.Record
			for _, rc := range newest {
				if !rc.Dropped {
					records = append(records, rc)
				}
			}
			serverList.ApplyFullList(now, endOfLog(), records, false)
		}
		syncFrom := func(serverList, source *serverlist.List) {
			if records, complete := source.ChangesSince(serverList.NextOffset()); complete {
				serverList.Apply(now, serverList.NextOffset(), source.NextOffset(), records, false)
			} else if source.Loaded() {
				serverList.ApplyFullList(now, source.NextOffset(), source.Records(), false)
			}
		}
		for range rapid.IntRange(1, 60).Draw(rt, "steps") {
			local := serverLists[rapid.IntRange(0, hostCount-1).Draw(rt, "local")]
			remote := serverLists[rapid.IntRange(0, hostCount-1).Draw(rt, "remote")]
			switch rapid.IntRange(0, 7).Draw(rt, "step") {
			case 7:
				// The store comes back from an older copy.
				era++
				log = slices.Clone(log[:rapid.IntRange(0, len(log)).Draw(rt, "copy")])
				for position := range log {
					log[position].Offset = id.NewOffset(era, int64(position))
				}
			case 0, 1:
				// The platform lists or drops a server.
				name := fmt.Sprintf("s%d", rapid.IntRange(0, 3).Draw(rt, "server"))
				rc := listedRecord(name, len(log), rapid.Bool().Draw(rt, "draining"))
				if rapid.IntRange(0, 2).Draw(rt, "kind") == 0 {
					rc = droppedRecord(name, len(log))
				}
				rc.Offset = endOfLog()
				log = append(log, rc)
			case 2:
				// The local host reads the full list from the log.
				readFullList(local)
			case 3:
				// The local host reads new records from the log and sends those that changed something to the remote host.
				if !local.Loaded() || local.NextOffset().Era() < era {
					readFullList(local)
					break
				}
				from := local.NextOffset()
				unchangedSince, next := local.UnchangedSince(), rapid.IntRange(int(from.Position()), len(log)).Draw(rt, "next")
				changed, _ := local.Apply(now, from, id.NewOffset(era, int64(next)), log[from.Position():next], false)
				remote.Apply(now, unchangedSince, id.NewOffset(era, int64(next)), changed, false)
			case 4:
				// The local host requests from the remote host what it lacks.
				syncFrom(local, remote)
			default:
				// The local host compares its list with the status of the remote host.
				if local.Loaded() && remote.Loaded() && !local.ConfirmUnchanged(remote.UnchangedSince(), remote.NextOffset()) {
					syncFrom(local, remote)
				}
			}
		}
		ordered := serverlist.New()
		ordered.ApplyFullList(now, 0, nil, false)
		ordered.Apply(now, 0, endOfLog(), log, false)
		for ix, serverList := range serverLists {
			if !serverList.Loaded() {
				continue
			}
			if serverList.NextOffset().Era() < era {
				readFullList(serverList)
			}
			serverList.Apply(now, serverList.NextOffset(), endOfLog(), log[serverList.NextOffset().Position():], false)
			serverList.ExpireGracePeriods(now.Add(10 * time.Second))
			if serverNames(serverList.Servers(now)) != serverNames(ordered.Servers(now)) {
				rt.Fatalf("host %d lists %q, the log gives %q", ix, serverNames(serverList.Servers(now)), serverNames(ordered.Servers(now)))
			}
		}
	})
}
