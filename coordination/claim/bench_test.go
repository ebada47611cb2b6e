package claim_test

import (
	"fmt"
	"runtime"
	"testing"
	"time"

	"github.com/hibiscuslever/hibiscuslever/coordination/claim"
	"github.com/hibiscuslever/hibiscuslever/state/id"
)

// BenchmarkRelay measures the cost of a claim and its result, and how many appends the log takes for them,
// when claims come at a rate and an append with its reading back takes 10 ms. The interval is that of one of 15 relays.
func BenchmarkRelay(b *testing.B) {
	const roundTrip = 10 * time.Millisecond
	for _, perSecond := range []int{10, 100, 1000, 10_000} {
		b.Run(fmt.Sprintf("claims-per-second=%d", perSecond), func(b *testing.B) {
			relay := claim.NewRelay()
			relay.SetMinAppendInterval(100 * time.Millisecond)
			now := time.Unix(0, 0)
			records, entries, bytes := 0, 0, 0
			var busy *claim.Record
			var ends time.Time
			perform := func(effects []claim.Effect) {
				for _, ef := range effects {
					if ef.Append != nil {
						busy = ef.Append
						ends = now.Add(roundTrip)
					}
				}
			}
			b.ReportAllocs()
			for number := range b.N {
				now = now.Add(time.Second / time.Duration(perSecond))
				for busy != nil && !now.Before(ends) {
					body, err := claim.EncodeRecord(*busy)
					if err != nil {
						b.Fatal(err)
					}
					entries += len(busy.Entries)
					bytes += len(body)
					busy = nil
					perform(relay.Step(now, claim.AppendEnded{Result: claim.Stored}))
					perform(relay.Step(now, claim.ReadEnded{
						LogEnd:    id.Offset(records + 1),
						Records: []claim.LogRecord{{Offset: id.Offset(records), Body: body}},
					}))
					records++
				}
				entry := claim.Entry{Kind: claim.Claimed, Key: claim.Key(fmt.Sprintf("organisation\x00service\x00%036d", number)), Claimant: claim.Claimant(fmt.Sprintf("accra-a-1.k%d", number))}
				perform(relay.Step(now, claim.AppendRequest{RequestNumber: uint64(number), Entry: entry, Deadline: now.Add(time.Second)}))
			}
			if entries > 0 {
				b.ReportMetric(float64(records)/now.Sub(time.Unix(0, 0)).Seconds(), "appends/s")
				b.ReportMetric(float64(bytes)/float64(entries), "B/claim")
			}
		})
	}
}

// BenchmarkIndexMemory measures the memory of a claim in a relay's index.
func BenchmarkIndexMemory(b *testing.B) {
	const claims = 100_000
	for range b.N {
		var before, after runtime.MemStats
		runtime.GC()
		runtime.ReadMemStats(&before)
		index := claim.NewIndex()
		for number := range claims {
			body, err := claim.EncodeRecord(claim.Record{Entries: []claim.Entry{{
				Kind: claim.Claimed, Key: claim.Key(fmt.Sprintf("organisation\x00service\x00%036d", number)), Claimant: "accra-a-1.k1",
			}}})
			if err != nil {
				b.Fatal(err)
			}
			index.Add(id.Offset(number), body)
		}
		runtime.GC()
		runtime.ReadMemStats(&after)
		b.ReportMetric(float64(after.HeapAlloc-before.HeapAlloc)/claims, "B/claim")
		runtime.KeepAlive(index)
	}
}
