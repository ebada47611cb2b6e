package lists_test

import (
	"crypto/sha256"
	"encoding/hex"
	"fmt"
	"runtime"
	"testing"

	"github.com/hibiscuslever/hibiscuslever/state/id"
	"github.com/hibiscuslever/hibiscuslever/state/lists"
)

// newFilledReplica returns a replica with one plan and the given number of organisations.
func newFilledReplica(b *testing.B, organisationCount int) *lists.Replica {
	b.Helper()
	rp := lists.NewReplica()
	rp.SetLogStart(0)
	applyEdit(b, rp, planEdit(id.NoOffset, "plans", 1_000_000))
	edit := lists.Edit{List: lists.Organisations, Base: id.NoOffset, Token: "organisations"}
	for number := range organisationCount {
		edit.Put = append(edit.Put, organisationSection(number, "first"))
	}
	applyEdit(b, rp, edit)
	return rp
}

// organisationSection returns the entry of a numbered organisation. Its API key is keyPrefix followed by the number.
func organisationSection(number int, keyPrefix string) lists.Section {
	keySum := sha256.Sum256(fmt.Append(nil, keyPrefix, number))
	return lists.Section{Name: fmt.Sprintf("organisation-%05d", number), Keys: []lists.Key{
		{Name: "Plan", Value: "crew"}, {Name: "KeySHA256", Value: hex.EncodeToString(keySum[:])},
	}}
}

// applyEdit applies an edit as the next record and returns the size of the record in bytes.
func applyEdit(b *testing.B, rp *lists.Replica, edit lists.Edit) int {
	b.Helper()
	body, err := lists.EncodeRecord(lists.Record{Edit: &edit})
	if err != nil {
		b.Fatal(err)
	}
	rp.ApplyRecord(rp.NextOffset(), body)
	return len(body)
}

// BenchmarkEdit measures the time that a replica takes to apply an edit of one organisation, the sizes of the records
// of the edit and of a checkpoint, and the heap memory of the lists.
func BenchmarkEdit(b *testing.B) {
	for _, organisationCount := range []int{10, 1000, 18_000} {
		b.Run(fmt.Sprintf("organisations=%d", organisationCount), func(b *testing.B) {
			var before, after runtime.MemStats
			runtime.GC()
			runtime.ReadMemStats(&before)
			rp := newFilledReplica(b, organisationCount)
			runtime.GC()
			runtime.ReadMemStats(&after)
			editBytes := 0
			b.ResetTimer()
			for editNumber := range b.N {
				edit := lists.Edit{
					List: lists.Organisations, Base: rp.Lists().Revisions[lists.Organisations],
					Token: fmt.Sprint(editNumber), Put: []lists.Section{organisationSection(0, fmt.Sprint(editNumber))},
				}
				editBytes = applyEdit(b, rp, edit)
			}
			b.StopTimer()
			cp := rp.Checkpoint()
			checkpointBody, err := lists.EncodeRecord(lists.Record{Checkpoint: &cp})
			if err != nil {
				b.Fatal(err)
			}
			b.ReportMetric(float64(editBytes), "edit-B")
			b.ReportMetric(float64(len(checkpointBody))/1e6, "checkpoint-MB")
			b.ReportMetric(float64(after.HeapAlloc-before.HeapAlloc)/1e6, "heap-MB")
		})
	}
}
