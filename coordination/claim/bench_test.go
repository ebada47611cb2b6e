package claim_test

import (
	"fmt"
	"runtime"
	"testing"
	"time"

	"github.com/hibiscuslever/hibiscuslever/coordination/claim"
	"github.com/hibiscuslever/hibiscuslever/state/id"
)

// BenchmarkRelay measures the cost of a claim and its verdict, and the rate and size of the relay's appends, at several
// rates of claims. An append and the read after it take 10 ms together. The minimum interval between appends is that of
// one of 15 relays.
func BenchmarkRelay(b *testing.B) {
	const roundTrip = 10 * time.Millisecond
	for _, perSecond := range []int{10, 100, 1000, 10_000} {
		b.Run(fmt.Sprintf("claims-per-second=%d", perSecond), func(b *testing.B) {
			relay := claim.NewRelayMachine()
			relay.SetMinAppendInterval(100 * time.Millisecond)
			now := time.Unix(0, 0)
			appendedRecords, appendedEntries, encodedBytes := 0, 0, 0
			var inFlight *claim.Record
			var appendEndsAt time.Time
			performAppends := func(effects []claim.Effect) {
				for _, effect := range effects {
					if effect.Append != nil {
						inFlight = effect.Append
						appendEndsAt = now.Add(roundTrip)
					}
				}
			}
			b.ReportAllocs()
			for number := range b.N {
				now = now.Add(time.Second / time.Duration(perSecond))
				for inFlight != nil && !now.Before(appendEndsAt) {
					body, err := claim.EncodeRecord(*inFlight)
					if err != nil {
						b.Fatal(err)
					}
					appendedEntries += len(inFlight.Entries)
					encodedBytes += len(body)
					inFlight = nil
					performAppends(relay.Step(now, claim.AppendEnded{Result: claim.Stored}))
					performAppends(relay.Step(now, claim.ReadEnded{
						LogEnd:  id.Offset(appendedRecords + 1),
						Records: []claim.LogRecord{{Offset: id.Offset(appendedRecords), Body: body}},
					}))
					appendedRecords++
				}
				entry := claim.Entry{Kind: claim.Claimed, Key: claim.Key(fmt.Sprintf("organisation\x00service\x00%036d", number)), Claimant: claim.Claimant(fmt.Sprintf("accra-a-1.k%d", number))}
				performAppends(relay.Step(now, claim.AppendRequest{RequestNumber: uint64(number), Entry: entry, Deadline: now.Add(time.Second)}))
			}
			if appendedEntries > 0 {
				b.ReportMetric(float64(appendedRecords)/now.Sub(time.Unix(0, 0)).Seconds(), "appends/s")
				b.ReportMetric(float64(encodedBytes)/float64(appendedEntries), "B/claim")
			}
		})
	}
}

// BenchmarkIndexMemory measures how much memory a claim takes in the index of a relay.
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
			index.ApplyRecord(id.Offset(number), body)
		}
		runtime.GC()
		runtime.ReadMemStats(&after)
		b.ReportMetric(float64(after.HeapAlloc-before.HeapAlloc)/claims, "B/claim")
		runtime.KeepAlive(index)
	}
}
