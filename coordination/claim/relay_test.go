package claim_test

import (
	"fmt"
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	"github.com/hibiscuslever/hibiscuslever/coordination/claim"
	"github.com/hibiscuslever/hibiscuslever/state/id"
)

// stepper is a relay or a faulty variant of one.
type stepper interface {
	Step(now time.Time, ev claim.Event) []claim.Effect
}

// pendingAppend is an append on its way to the log.
type pendingAppend struct {
	relay int
	body  []byte
	// orphan says that its relay has given up on it or has been replaced.
	orphan bool
}

type pendingRead struct {
	relay int
	from  id.Offset
}

// world is a log and the relays that use it, with lost, late and reordered messages.
type world struct {
	newRelay func() stepper
	now      time.Time
	records  [][]byte
	relays   []stepper
	appends  []pendingAppend
	reads    []pendingRead
	tickets  map[uint64]claim.Entry
	ticket   uint64
	answers  []answered
}

type answered struct {
	entry  claim.Entry
	answer claim.Answer
}

func newWorld(newRelay func() stepper) *world {
	wd := &world{newRelay: newRelay, now: time.Unix(0, 0), tickets: map[uint64]claim.Entry{}}
	for range 3 {
		wd.relays = append(wd.relays, newRelay())
	}
	return wd
}

func (wd *world) step(relay int, ev claim.Event) {
	for _, ef := range wd.relays[relay].Step(wd.now, ev) {
		switch {
		case ef.Append != nil:
			body, err := claim.EncodeRecord(*ef.Append)
			if err != nil {
				panic(err)
			}
			wd.appends = append(wd.appends, pendingAppend{relay: relay, body: body})
		case ef.Read != nil:
			wd.reads = append(wd.reads, pendingRead{relay: relay, from: ef.Read.From})
		case ef.Reply != nil:
			wd.answers = append(wd.answers, answered{entry: wd.tickets[ef.Reply.RequestNumber], answer: ef.Reply.Answer})
		}
	}
}

func (wd *world) ask(relay int, en claim.Entry) {
	wd.ticket++
	wd.tickets[wd.ticket] = en
	wd.step(relay, claim.AppendRequest{RequestNumber: wd.ticket, Entry: en, Deadline: wd.now.Add(2 * time.Second)})
}

// finishAppend stores a record, or not, and tells the relay the truth, nothing, or later.
func (wd *world) finishAppend(at int, store, tell bool) {
	pd := wd.appends[at]
	if !store && !tell && !pd.orphan {
		// The answer is lost and the record may still take effect.
		wd.appends[at].orphan = true
		wd.step(pd.relay, claim.AppendEnded{Result: claim.MaybeStored})
		return
	}
	wd.appends = append(wd.appends[:at:at], wd.appends[at+1:]...)
	if store {
		wd.records = append(wd.records, pd.body)
	}
	if pd.orphan {
		return
	}
	result := claim.NotStored
	switch {
	case store && tell:
		result = claim.Stored
	case store:
		result = claim.MaybeStored
	}
	wd.step(pd.relay, claim.AppendEnded{Result: result})
}

func (wd *world) finishRead(at int, fail bool) {
	pd := wd.reads[at]
	wd.reads = append(wd.reads[:at:at], wd.reads[at+1:]...)
	ended := claim.ReadEnded{Failed: fail, LogEnd: id.Offset(len(wd.records))}
	for offset := pd.from; offset < ended.LogEnd && !fail; offset++ {
		ended.Records = append(ended.Records, claim.LogRecord{Offset: offset, Body: wd.records[offset]})
	}
	wd.step(pd.relay, ended)
}

// restart replaces a relay by one that has read nothing.
func (wd *world) restart(relay int) {
	wd.relays[relay] = wd.newRelay()
	for ix := range wd.appends {
		if wd.appends[ix].relay == relay {
			wd.appends[ix].orphan = true
		}
	}
	kept := wd.reads[:0]
	for _, rd := range wd.reads {
		if rd.relay != relay {
			kept = append(kept, rd)
		}
	}
	wd.reads = kept
}

// check returns what is wrong: two claimants won one key, or a claimant won after it abandoned the key.
func (wd *world) check() error {
	winners := map[claim.Key]claim.Claimant{}
	abandoned := map[claim.Claimant]bool{}
	for _, an := range wd.answers {
		if an.entry.Kind == claim.Abandoned {
			abandoned[an.entry.Claimant] = true
			delete(winners, an.entry.Key)
		}
		if an.entry.Kind != claim.Claimed || an.answer.Verdict != claim.Won {
			continue
		}
		if abandoned[an.entry.Claimant] {
			return fmt.Errorf("claimant %s won key %s after it had abandoned it", an.entry.Claimant, an.entry.Key)
		}
		if other, won := winners[an.entry.Key]; won && other != an.entry.Claimant {
			return fmt.Errorf("claimants %s and %s both won key %s", other, an.entry.Claimant, an.entry.Key)
		}
		winners[an.entry.Key] = an.entry.Claimant
	}
	return nil
}

// run drives the world with random actions. Claimants abandon a key only after they were told that the log is unavailable.
func (wd *world) run(rt *rapid.T) error {
	claimants := 0
	given := 0
	for range rapid.IntRange(20, 120).Draw(rt, "steps") {
		relay := rapid.IntRange(0, len(wd.relays)-1).Draw(rt, "relay")
		switch rapid.IntRange(0, 7).Draw(rt, "action") {
		case 0, 1:
			claimants++
			key := claim.Key(fmt.Sprint("key-", rapid.IntRange(0, 2).Draw(rt, "key")))
			wd.ask(relay, claim.Entry{Kind: claim.Claimed, Key: key, Claimant: claim.Claimant(fmt.Sprint("claimant-", claimants))})
		case 2:
			if len(wd.appends) > 0 {
				at := rapid.IntRange(0, len(wd.appends)-1).Draw(rt, "append")
				wd.finishAppend(at, rapid.Bool().Draw(rt, "store"), rapid.Bool().Draw(rt, "tell"))
			}
		case 3, 4:
			if len(wd.reads) > 0 {
				wd.finishRead(rapid.IntRange(0, len(wd.reads)-1).Draw(rt, "read"), rapid.IntRange(0, 4).Draw(rt, "fail") == 0)
			}
		case 5:
			wd.now = wd.now.Add(time.Duration(rapid.IntRange(1, 1500).Draw(rt, "millis")) * time.Millisecond)
			wd.step(relay, claim.Tick{})
		case 6:
			wd.restart(relay)
		case 7:
			for ; given < len(wd.answers); given++ {
				an := wd.answers[given]
				if an.entry.Kind == claim.Claimed && an.answer.Verdict == claim.Unavailable {
					wd.ask(relay, claim.Entry{Kind: claim.Abandoned, Key: an.entry.Key, Claimant: an.entry.Claimant})
				}
			}
		}
		if err := wd.check(); err != nil {
			return err
		}
	}
	return nil
}

func TestAtMostOneClaimantWins(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		wd := newWorld(func() stepper { return claim.NewRelay() })
		if err := wd.run(rt); err != nil {
			rt.Fatal(err)
		}
	})
}

// trustingRelay answers a claim as soon as its append is stored, without reading the log back.
type trustingRelay struct {
	queue []claim.AppendRequest
	busy  []claim.AppendRequest
}

func (tr *trustingRelay) Step(_ time.Time, ev claim.Event) []claim.Effect {
	var effects []claim.Effect
	switch ev := ev.(type) {
	case claim.AppendRequest:
		tr.queue = append(tr.queue, ev)
	case claim.AppendEnded:
		for _, ask := range tr.busy {
			verdict := claim.Unavailable
			if ev.Result == claim.Stored {
				verdict = claim.Won
			}
			effects = append(effects, claim.Effect{Reply: &claim.Reply{RequestNumber: ask.RequestNumber, Answer: claim.Answer{Verdict: verdict}}})
		}
		tr.busy = nil
	}
	if len(tr.busy) == 0 && len(tr.queue) > 0 {
		rec := &claim.Record{}
		for _, ask := range tr.queue {
			rec.Entries = append(rec.Entries, ask.Entry)
		}
		tr.busy, tr.queue = tr.queue, nil
		effects = append(effects, claim.Effect{Append: rec})
	}
	return effects
}

// TestCheckDetectsTwoWinners proves the checker: without reading back, two claimants win.
func TestCheckDetectsTwoWinners(t *testing.T) {
	wd := newWorld(func() stepper { return &trustingRelay{} })
	for relay := range 2 {
		wd.ask(relay, claim.Entry{Kind: claim.Claimed, Key: "key", Claimant: claim.Claimant(fmt.Sprint(relay))})
		wd.finishAppend(0, true, true)
	}
	assert.ErrorContains(t, wd.check(), "both won key")
}

// settle lets a relay finish everything without faults.
func (wd *world) settle(relay int) {
	for range 100 {
		switch {
		case len(wd.appends) > 0:
			wd.finishAppend(0, true, true)
		case len(wd.reads) > 0:
			wd.finishRead(0, false)
		default:
			return
		}
	}
	wd.step(relay, claim.Tick{})
}

func (wd *world) last() claim.Answer {
	return wd.answers[len(wd.answers)-1].answer
}

func TestRepeatedClaimGetsRecordedResult(t *testing.T) {
	wd := newWorld(func() stepper { return claim.NewRelay() })
	wd.ask(0, claim.Entry{Kind: claim.Claimed, Key: "key", Claimant: "first"})
	wd.settle(0)
	assert.Equal(t, wd.last().Verdict, claim.Won)
	wd.ask(1, claim.Entry{Kind: claim.Claimed, Key: "key", Claimant: "second"})
	wd.settle(1)
	assert.Equal(t, wd.last().Verdict, claim.Lost)
	wd.ask(0, claim.Entry{Kind: claim.Completed, Key: "key", Claimant: "first", Result: []byte("booked")})
	wd.settle(0)
	wd.restart(1)
	wd.ask(1, claim.Entry{Kind: claim.Claimed, Key: "key", Claimant: "third"})
	wd.settle(1)
	assert.Equal(t, wd.last().Verdict, claim.Done)
	assert.Equal(t, string(wd.last().Result), "booked")
}

func TestAbandonedKeyCanBeClaimedAgain(t *testing.T) {
	wd := newWorld(func() stepper { return claim.NewRelay() })
	wd.ask(0, claim.Entry{Kind: claim.Claimed, Key: "key", Claimant: "first"})
	wd.finishAppend(0, false, false)
	late := wd.appends[0]
	wd.appends = nil
	wd.ask(1, claim.Entry{Kind: claim.Abandoned, Key: "key", Claimant: "first"})
	wd.settle(1)
	wd.records = append(wd.records, late.body)
	wd.ask(2, claim.Entry{Kind: claim.Claimed, Key: "key", Claimant: "second"})
	wd.settle(2)
	assert.Equal(t, wd.last().Verdict, claim.Won)
}
