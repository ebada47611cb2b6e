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

// filled returns a fold with the given number of organisations.
func filled(b *testing.B, organisations int) *lists.Replica {
	b.Helper()
	fd := lists.NewReplica()
	fd.SetLogStart(0)
	add(b, fd, planEdit(id.NoOffset, "plans", 1_000_000))
	edit := lists.Edit{List: lists.Organisations, Base: id.NoOffset, Token: "organisations"}
	for number := range organisations {
		edit.Put = append(edit.Put, organisation(number, "first"))
	}
	add(b, fd, edit)
	return fd
}

func organisation(number int, key string) lists.Section {
	sum := sha256.Sum256(fmt.Append(nil, key, number))
	return lists.Section{Name: fmt.Sprintf("organisation-%05d", number), Keys: []lists.Key{
		{Name: "Plan", Value: "crew"}, {Name: "KeySHA256", Value: hex.EncodeToString(sum[:])},
	}}
}

func add(b *testing.B, fd *lists.Replica, edit lists.Edit) int {
	b.Helper()
	body, err := lists.EncodeRecord(lists.Record{Edit: &edit})
	if err != nil {
		b.Fatal(err)
	}
	fd.ApplyRecord(fd.NextOffset(), body)
	return len(body)
}

// BenchmarkEdit measures what one edit of one organisation costs a reader, and the sizes of records and lists.
func BenchmarkEdit(b *testing.B) {
	for _, organisations := range []int{10, 1000, 18_000} {
		b.Run(fmt.Sprintf("organisations=%d", organisations), func(b *testing.B) {
			var before, after runtime.MemStats
			runtime.GC()
			runtime.ReadMemStats(&before)
			fd := filled(b, organisations)
			runtime.GC()
			runtime.ReadMemStats(&after)
			size := 0
			b.ResetTimer()
			for number := range b.N {
				edit := lists.Edit{
					List: lists.Organisations, Base: fd.Lists().Revisions[lists.Organisations],
					Token: fmt.Sprint(number), Put: []lists.Section{organisation(0, fmt.Sprint(number))},
				}
				size = add(b, fd, edit)
			}
			b.StopTimer()
			cp := fd.Checkpoint()
			body, err := lists.EncodeRecord(lists.Record{Checkpoint: &cp})
			if err != nil {
				b.Fatal(err)
			}
			b.ReportMetric(float64(size), "edit-B")
			b.ReportMetric(float64(len(body))/1e6, "checkpoint-MB")
			b.ReportMetric(float64(after.HeapAlloc-before.HeapAlloc)/1e6, "heap-MB")
		})
	}
}
