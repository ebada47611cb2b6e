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

// relayStepper is a relay, or a faulty variant of one that tests the checks.
type relayStepper interface {
	Step(now time.Time, event claim.Event) []claim.Effect
}

// pendingAppend is an append that has not reached the log yet.
type pendingAppend struct {
	// relay is the index of the relay that appends.
	relay int
	body  []byte
	// unawaited reports that the relay expects no result, because it was told that the record may be stored or because
	// it was restarted.
	unawaited bool
}

// pendingRead is a read that the log has not answered yet.
type pendingRead struct {
	relay int
	from  id.Offset
}

// logSimulation simulates a log and three relays that use it. Appends and reads may be lost, delayed or reordered, and
// relays may restart.
type logSimulation struct {
	newRelay func() relayStepper
	now      time.Time
	records  [][]byte
	relays   []relayStepper
	appends  []pendingAppend
	reads    []pendingRead
	// requestedEntries holds the entry of each request by the request's number.
	requestedEntries  map[uint64]claim.Entry
	lastRequestNumber uint64
	// answers are the answers of all relays in order.
	answers []answeredEntry
}

// answeredEntry is an entry with a relay's answer to it.
type answeredEntry struct {
	entry  claim.Entry
	answer claim.Answer
}

func newLogSimulation(newRelay func() relayStepper) *logSimulation {
	sim := &logSimulation{newRelay: newRelay, now: time.Unix(0, 0), requestedEntries: map[uint64]claim.Entry{}}
	for range 3 {
		sim.relays = append(sim.relays, newRelay())
	}
	return sim
}

// stepRelay passes an event to a relay. Its appends and reads become pending.
func (sim *logSimulation) stepRelay(relay int, event claim.Event) {
	for _, effect := range sim.relays[relay].Step(sim.now, event) {
		switch {
		case effect.Append != nil:
			body, err := claim.EncodeRecord(*effect.Append)
			if err != nil {
				panic(err)
			}
			sim.appends = append(sim.appends, pendingAppend{relay: relay, body: body})
		case effect.Read != nil:
			sim.reads = append(sim.reads, pendingRead{relay: relay, from: effect.Read.From})
		case effect.Reply != nil:
			sim.answers = append(sim.answers, answeredEntry{entry: sim.requestedEntries[effect.Reply.RequestNumber], answer: effect.Reply.Answer})
		}
	}
}

// requestAppend asks a relay to append an entry within 2 s.
func (sim *logSimulation) requestAppend(relay int, entry claim.Entry) {
	sim.lastRequestNumber++
	sim.requestedEntries[sim.lastRequestNumber] = entry
	sim.stepRelay(relay, claim.AppendRequest{RequestNumber: sim.lastRequestNumber, Entry: entry, Deadline: sim.now.Add(2 * time.Second)})
}

// endAppend stores the record of a pending append if store is set. If report is set, the relay learns whether it was
// stored, otherwise only that it may be. An append that is neither stored nor reported stays pending, so that it may
// still take effect later.
func (sim *logSimulation) endAppend(index int, store, report bool) {
	pending := sim.appends[index]
	if !store && !report && !pending.unawaited {
		// The log's response is lost and the record may still be stored.
		sim.appends[index].unawaited = true
		sim.stepRelay(pending.relay, claim.AppendEnded{Result: claim.MaybeStored})
		return
	}
	sim.appends = append(sim.appends[:index:index], sim.appends[index+1:]...)
	if store {
		sim.records = append(sim.records, pending.body)
	}
	if pending.unawaited {
		return
	}
	result := claim.NotStored
	switch {
	case store && report:
		result = claim.Stored
	case store:
		result = claim.MaybeStored
	}
	sim.stepRelay(pending.relay, claim.AppendEnded{Result: result})
}

// endRead answers a pending read with all records of the log from its offset on, or with a failure.
func (sim *logSimulation) endRead(index int, fail bool) {
	pending := sim.reads[index]
	sim.reads = append(sim.reads[:index:index], sim.reads[index+1:]...)
	ended := claim.ReadEnded{Failed: fail, LogEnd: id.Offset(len(sim.records))}
	for offset := pending.from; offset < ended.LogEnd && !fail; offset++ {
		ended.Records = append(ended.Records, claim.LogRecord{Offset: offset, Body: sim.records[offset]})
	}
	sim.stepRelay(pending.relay, ended)
}

// restartRelay replaces a relay with one that has read no record. Its pending appends may still take effect.
func (sim *logSimulation) restartRelay(relay int) {
	sim.relays[relay] = sim.newRelay()
	for index := range sim.appends {
		if sim.appends[index].relay == relay {
			sim.appends[index].unawaited = true
		}
	}
	remainingReads := sim.reads[:0]
	for _, read := range sim.reads {
		if read.relay != relay {
			remainingReads = append(remainingReads, read)
		}
	}
	sim.reads = remainingReads
}

// checkWinners returns an error if two claimants have won a key that was not abandoned in between, or if a claimant has
// won a key after abandoning it.
func (sim *logSimulation) checkWinners() error {
	winners := map[claim.Key]claim.Claimant{}
	abandoned := map[claim.Claimant]bool{}
	for _, answered := range sim.answers {
		if answered.entry.Kind == claim.Abandoned {
			abandoned[answered.entry.Claimant] = true
			delete(winners, answered.entry.Key)
		}
		if answered.entry.Kind != claim.Claimed || answered.answer.Verdict != claim.Won {
			continue
		}
		if abandoned[answered.entry.Claimant] {
			return fmt.Errorf("claimant %s won key %s after it had abandoned it", answered.entry.Claimant, answered.entry.Key)
		}
		if otherWinner, hasWinner := winners[answered.entry.Key]; hasWinner && otherWinner != answered.entry.Claimant {
			return fmt.Errorf("claimants %s and %s both won key %s", otherWinner, answered.entry.Claimant, answered.entry.Key)
		}
		winners[answered.entry.Key] = answered.entry.Claimant
	}
	return nil
}

// runRandomActions performs random actions and checks the winners after each. As in production, a claimant abandons a
// key only after the answer that the log is unavailable.
func (sim *logSimulation) runRandomActions(rt *rapid.T) error {
	claimants := 0
	handledAnswers := 0
	for range rapid.IntRange(20, 120).Draw(rt, "steps") {
		relay := rapid.IntRange(0, len(sim.relays)-1).Draw(rt, "relay")
		switch rapid.IntRange(0, 7).Draw(rt, "action") {
		case 0, 1:
			claimants++
			key := claim.Key(fmt.Sprint("key-", rapid.IntRange(0, 2).Draw(rt, "key")))
			sim.requestAppend(relay, claim.Entry{Kind: claim.Claimed, Key: key, Claimant: claim.Claimant(fmt.Sprint("claimant-", claimants))})
		case 2:
			if len(sim.appends) > 0 {
				index := rapid.IntRange(0, len(sim.appends)-1).Draw(rt, "append")
				sim.endAppend(index, rapid.Bool().Draw(rt, "store"), rapid.Bool().Draw(rt, "report"))
			}
		case 3, 4:
			if len(sim.reads) > 0 {
				sim.endRead(rapid.IntRange(0, len(sim.reads)-1).Draw(rt, "read"), rapid.IntRange(0, 4).Draw(rt, "fail") == 0)
			}
		case 5:
			sim.now = sim.now.Add(time.Duration(rapid.IntRange(1, 1500).Draw(rt, "millis")) * time.Millisecond)
			sim.stepRelay(relay, claim.Tick{})
		case 6:
			sim.restartRelay(relay)
		case 7:
			for ; handledAnswers < len(sim.answers); handledAnswers++ {
				answered := sim.answers[handledAnswers]
				if answered.entry.Kind == claim.Claimed && answered.answer.Verdict == claim.Unavailable {
					sim.requestAppend(relay, claim.Entry{Kind: claim.Abandoned, Key: answered.entry.Key, Claimant: answered.entry.Claimant})
				}
			}
		}
		if err := sim.checkWinners(); err != nil {
			return err
		}
	}
	return nil
}

// TestAtMostOneClaimantWins checks that no key is won twice, whatever is lost, delayed, reordered or restarted.
func TestAtMostOneClaimantWins(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		sim := newLogSimulation(func() relayStepper { return claim.NewRelayMachine() })
		if err := sim.runRandomActions(rt); err != nil {
			rt.Fatal(err)
		}
	})
}

// relayWithoutReadback is a faulty relay: it declares a claim won as soon as its append is stored, without reading the
// log back.
type relayWithoutReadback struct {
	queued   []claim.AppendRequest
	inFlight []claim.AppendRequest
}

func (rl *relayWithoutReadback) Step(_ time.Time, event claim.Event) []claim.Effect {
	var effects []claim.Effect
	switch event := event.(type) {
	case claim.AppendRequest:
		rl.queued = append(rl.queued, event)
	case claim.AppendEnded:
		for _, request := range rl.inFlight {
			verdict := claim.Unavailable
			if event.Result == claim.Stored {
				verdict = claim.Won
			}
			effects = append(effects, claim.Effect{Reply: &claim.Reply{RequestNumber: request.RequestNumber, Answer: claim.Answer{Verdict: verdict}}})
		}
		rl.inFlight = nil
	}
	if len(rl.inFlight) == 0 && len(rl.queued) > 0 {
		record := &claim.Record{}
		for _, request := range rl.queued {
			record.Entries = append(record.Entries, request.Entry)
		}
		rl.inFlight, rl.queued = rl.queued, nil
		effects = append(effects, claim.Effect{Append: record})
	}
	return effects
}

// TestCheckDetectsTwoWinners tests checkWinners: without reading the log back, two claimants win.
func TestCheckDetectsTwoWinners(t *testing.T) {
	sim := newLogSimulation(func() relayStepper { return &relayWithoutReadback{} })
	for relay := range 2 {
		sim.requestAppend(relay, claim.Entry{Kind: claim.Claimed, Key: "key", Claimant: claim.Claimant(fmt.Sprint(relay))})
		sim.endAppend(0, true, true)
	}
	assert.ErrorContains(t, sim.checkWinners(), "both won key")
}

// runUntilIdle ends pending appends and reads without faults until there are none, at most 100. If some are left then,
// it sends the relay a tick.
func (sim *logSimulation) runUntilIdle(relay int) {
	for range 100 {
		switch {
		case len(sim.appends) > 0:
			sim.endAppend(0, true, true)
		case len(sim.reads) > 0:
			sim.endRead(0, false)
		default:
			return
		}
	}
	sim.stepRelay(relay, claim.Tick{})
}

func (sim *logSimulation) lastAnswer() claim.Answer {
	return sim.answers[len(sim.answers)-1].answer
}

// TestRepeatedClaimGetsRecordedResult checks that a second claim of a key loses while there is no result, and that a
// later one receives the recorded result, also from a relay that has restarted.
func TestRepeatedClaimGetsRecordedResult(t *testing.T) {
	sim := newLogSimulation(func() relayStepper { return claim.NewRelayMachine() })
	sim.requestAppend(0, claim.Entry{Kind: claim.Claimed, Key: "key", Claimant: "first"})
	sim.runUntilIdle(0)
	assert.Equal(t, sim.lastAnswer().Verdict, claim.Won)
	sim.requestAppend(1, claim.Entry{Kind: claim.Claimed, Key: "key", Claimant: "second"})
	sim.runUntilIdle(1)
	assert.Equal(t, sim.lastAnswer().Verdict, claim.Lost)
	sim.requestAppend(0, claim.Entry{Kind: claim.Completed, Key: "key", Claimant: "first", Result: []byte("booked")})
	sim.runUntilIdle(0)
	sim.restartRelay(1)
	sim.requestAppend(1, claim.Entry{Kind: claim.Claimed, Key: "key", Claimant: "third"})
	sim.runUntilIdle(1)
	assert.Equal(t, sim.lastAnswer().Verdict, claim.Done)
	assert.Equal(t, string(sim.lastAnswer().Result), "booked")
}

// TestAbandonedKeyCanBeClaimedAgain checks that a claim that is stored only after its abandonment does not win, so that
// the next claimant does.
func TestAbandonedKeyCanBeClaimedAgain(t *testing.T) {
	sim := newLogSimulation(func() relayStepper { return claim.NewRelayMachine() })
	sim.requestAppend(0, claim.Entry{Kind: claim.Claimed, Key: "key", Claimant: "first"})
	sim.endAppend(0, false, false)
	lateAppend := sim.appends[0]
	sim.appends = nil
	sim.requestAppend(1, claim.Entry{Kind: claim.Abandoned, Key: "key", Claimant: "first"})
	sim.runUntilIdle(1)
	sim.records = append(sim.records, lateAppend.body)
	sim.requestAppend(2, claim.Entry{Kind: claim.Claimed, Key: "key", Claimant: "second"})
	sim.runUntilIdle(2)
	assert.Equal(t, sim.lastAnswer().Verdict, claim.Won)
}
