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

// relayMachine is a claim.RelayMachine, or a faulty variant with which a test checks the checks.
type relayMachine interface {
	Step(now time.Time, event claim.Event) []claim.Effect
}

// pendingAppend is an append that has not reached the log yet.
type pendingAppend struct {
	// relayIndex is the index in machines of the relay that appends.
	relayIndex int
	body       []byte
	// unawaited says that the relay expects no result, because it has been notified that the record may be stored or
	// because it was restarted.
	unawaited bool
}

// pendingRead is a read that the log has not answered yet.
type pendingRead struct {
	relayIndex int
	from       id.Offset
}

// logSimulation simulates a log and three relays that use it. Appends and reads may be lost, delayed or reordered, and
// relays may restart.
type logSimulation struct {
	newMachine     func() relayMachine
	now            time.Time
	records        [][]byte
	machines       []relayMachine
	pendingAppends []pendingAppend
	pendingReads   []pendingRead
	// requestedEntries holds the entry of each request by the request's number.
	requestedEntries  map[uint64]claim.Entry
	lastRequestNumber uint64
	// answers holds the answers of all relays in the order in which they were given.
	answers []answeredEntry
}

// answeredEntry is an entry with a relay's answer to it.
type answeredEntry struct {
	entry  claim.Entry
	answer claim.Answer
}

func newLogSimulation(newMachine func() relayMachine) *logSimulation {
	sim := &logSimulation{newMachine: newMachine, now: time.Unix(0, 0), requestedEntries: map[uint64]claim.Entry{}}
	for range 3 {
		sim.machines = append(sim.machines, newMachine())
	}
	return sim
}

// stepRelay passes an event to a relay. Its appends and reads become pending.
func (sim *logSimulation) stepRelay(relayIndex int, event claim.Event) {
	for _, effect := range sim.machines[relayIndex].Step(sim.now, event) {
		switch {
		case effect.Append != nil:
			body, err := claim.EncodeRecord(*effect.Append)
			if err != nil {
				panic(err)
			}
			sim.pendingAppends = append(sim.pendingAppends, pendingAppend{relayIndex: relayIndex, body: body})
		case effect.Read != nil:
			sim.pendingReads = append(sim.pendingReads, pendingRead{relayIndex: relayIndex, from: effect.Read.From})
		case effect.Reply != nil:
			sim.answers = append(sim.answers, answeredEntry{entry: sim.requestedEntries[effect.Reply.RequestNumber], answer: effect.Reply.Answer})
		}
	}
}

// requestAppend asks a relay to append an entry within 2 s.
func (sim *logSimulation) requestAppend(relayIndex int, entry claim.Entry) {
	sim.lastRequestNumber++
	sim.requestedEntries[sim.lastRequestNumber] = entry
	sim.stepRelay(relayIndex, claim.AppendRequest{RequestNumber: sim.lastRequestNumber, Entry: entry, Deadline: sim.now.Add(2 * time.Second)})
}

// endAppend stores the record of a pending append if store is set. If report is set, the relay learns whether it was
// stored, otherwise only that it may be. An append that is neither stored nor reported stays pending, so that it may
// still take effect later.
func (sim *logSimulation) endAppend(index int, store, report bool) {
	pending := sim.pendingAppends[index]
	if !store && !report && !pending.unawaited {
		// The log's response is lost and the record may still be stored.
		sim.pendingAppends[index].unawaited = true
		sim.stepRelay(pending.relayIndex, claim.AppendEnded{Result: claim.MaybeStored})
		return
	}
	sim.pendingAppends = append(sim.pendingAppends[:index:index], sim.pendingAppends[index+1:]...)
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
	sim.stepRelay(pending.relayIndex, claim.AppendEnded{Result: result})
}

// endRead answers a pending read with all records of the log from its offset on, or with a failure.
func (sim *logSimulation) endRead(index int, fail bool) {
	pending := sim.pendingReads[index]
	sim.pendingReads = append(sim.pendingReads[:index:index], sim.pendingReads[index+1:]...)
	result := claim.ReadEnded{Failed: fail, LogEnd: id.Offset(len(sim.records))}
	for offset := pending.from; offset < result.LogEnd && !fail; offset++ {
		result.Records = append(result.Records, claim.LogRecord{Offset: offset, Body: sim.records[offset]})
	}
	sim.stepRelay(pending.relayIndex, result)
}

// restartRelay replaces a relay with one that has read no record. Its pending appends may still take effect.
func (sim *logSimulation) restartRelay(relayIndex int) {
	sim.machines[relayIndex] = sim.newMachine()
	for index := range sim.pendingAppends {
		if sim.pendingAppends[index].relayIndex == relayIndex {
			sim.pendingAppends[index].unawaited = true
		}
	}
	remainingReads := sim.pendingReads[:0]
	for _, read := range sim.pendingReads {
		if read.relayIndex != relayIndex {
			remainingReads = append(remainingReads, read)
		}
	}
	sim.pendingReads = remainingReads
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
	claimantCount := 0
	handledAnswers := 0
	for range rapid.IntRange(20, 120).Draw(rt, "steps") {
		relayIndex := rapid.IntRange(0, len(sim.machines)-1).Draw(rt, "relay")
		switch rapid.IntRange(0, 7).Draw(rt, "action") {
		case 0, 1:
			claimantCount++
			key := claim.Key(fmt.Sprint("key-", rapid.IntRange(0, 2).Draw(rt, "key")))
			sim.requestAppend(relayIndex, claim.Entry{Kind: claim.Claimed, Key: key, Claimant: claim.Claimant(fmt.Sprint("claimant-", claimantCount))})
		case 2:
			if len(sim.pendingAppends) > 0 {
				index := rapid.IntRange(0, len(sim.pendingAppends)-1).Draw(rt, "append")
				sim.endAppend(index, rapid.Bool().Draw(rt, "store"), rapid.Bool().Draw(rt, "report"))
			}
		case 3, 4:
			if len(sim.pendingReads) > 0 {
				sim.endRead(rapid.IntRange(0, len(sim.pendingReads)-1).Draw(rt, "read"), rapid.IntRange(0, 4).Draw(rt, "fail") == 0)
			}
		case 5:
			sim.now = sim.now.Add(time.Duration(rapid.IntRange(1, 1500).Draw(rt, "millis")) * time.Millisecond)
			sim.stepRelay(relayIndex, claim.Tick{})
		case 6:
			sim.restartRelay(relayIndex)
		case 7:
			for ; handledAnswers < len(sim.answers); handledAnswers++ {
				answered := sim.answers[handledAnswers]
				if answered.entry.Kind == claim.Claimed && answered.answer.Verdict == claim.Unavailable {
					sim.requestAppend(relayIndex, claim.Entry{Kind: claim.Abandoned, Key: answered.entry.Key, Claimant: answered.entry.Claimant})
				}
			}
		}
		if err := sim.checkWinners(); err != nil {
			return err
		}
	}
	return nil
}

// TestAtMostOneClaimantWins checks that no key is won twice, even if appends and reads are lost, delayed or reordered
// and relays restart.
func TestAtMostOneClaimantWins(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		sim := newLogSimulation(func() relayMachine { return claim.NewRelayMachine() })
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

// TestCheckDetectsTwoWinners checks checkWinners itself: it must report that two claimants win if a relay does not read
// the log back.
func TestCheckDetectsTwoWinners(t *testing.T) {
	sim := newLogSimulation(func() relayMachine { return &relayWithoutReadback{} })
	for relayIndex := range 2 {
		sim.requestAppend(relayIndex, claim.Entry{Kind: claim.Claimed, Key: "key", Claimant: claim.Claimant(fmt.Sprint(relayIndex))})
		sim.endAppend(0, true, true)
	}
	assert.ErrorContains(t, sim.checkWinners(), "both won key")
}

// runUntilIdle ends pending appends and reads without faults until there are none, at most 100. If some are left then,
// it sends the relay a tick.
func (sim *logSimulation) runUntilIdle(relayIndex int) {
	for range 100 {
		switch {
		case len(sim.pendingAppends) > 0:
			sim.endAppend(0, true, true)
		case len(sim.pendingReads) > 0:
			sim.endRead(0, false)
		default:
			return
		}
	}
	sim.stepRelay(relayIndex, claim.Tick{})
}

func (sim *logSimulation) lastAnswer() claim.Answer {
	return sim.answers[len(sim.answers)-1].answer
}

// TestRepeatedClaimGetsRecordedResult checks that a second claim of a key loses while there is no result, and that a
// later one receives the recorded result, also from a relay that has restarted.
func TestRepeatedClaimGetsRecordedResult(t *testing.T) {
	sim := newLogSimulation(func() relayMachine { return claim.NewRelayMachine() })
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
	sim := newLogSimulation(func() relayMachine { return claim.NewRelayMachine() })
	sim.requestAppend(0, claim.Entry{Kind: claim.Claimed, Key: "key", Claimant: "first"})
	sim.endAppend(0, false, false)
	lateAppend := sim.pendingAppends[0]
	sim.pendingAppends = nil
	sim.requestAppend(1, claim.Entry{Kind: claim.Abandoned, Key: "key", Claimant: "first"})
	sim.runUntilIdle(1)
	sim.records = append(sim.records, lateAppend.body)
	sim.requestAppend(2, claim.Entry{Kind: claim.Claimed, Key: "key", Claimant: "second"})
	sim.runUntilIdle(2)
	assert.Equal(t, sim.lastAnswer().Verdict, claim.Won)
}
