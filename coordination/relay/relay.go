// Package relay runs a host's claims relay, which batches claims into records of the platform's log and answers them by
// reading the log back. The decisions are those of the state machine claim.RelayMachine.
package relay

import (
	"context"
	"sync"
	"time"

	"github.com/uber-go/tally/v4"

	"github.com/hibiscuslever/hibiscuslever/coordination/claim"
	"github.com/hibiscuslever/hibiscuslever/state/id"
	"github.com/hibiscuslever/hibiscuslever/tasks"
	"github.com/hibiscuslever/hibiscuslever/timer"
)

const (
	// logTimeout bounds one call to the log.
	logTimeout = 2 * time.Second
	// tickPeriod is the time between checks for expired entries and for entries that may be appended now.
	tickPeriod = 5 * time.Millisecond
	// appendsPerSecond is the number of appends per second that all relays may make together. It is a part of the log's
	// append rate.
	appendsPerSecond = 150
	// rateUpdatePeriod is the time between updates of the number of relays, among which the append rate is divided.
	rateUpdatePeriod = time.Second
	// defaultDeadline is the time allowed for a request whose context has no deadline.
	defaultDeadline = 10 * time.Second
	// deadlineMargin is subtracted from the caller's deadline, so that the answer reaches the caller in time.
	deadlineMargin = 50 * time.Millisecond
)

// Log is the stream of claim records in the platform's log.
type Log interface {
	// Append adds a record and reports whether it was stored.
	Append(ctx context.Context, body []byte) claim.AppendResult
	// Read returns the records from an offset on, or a ReadEnded with Failed set if the log could not be read.
	Read(ctx context.Context, from id.Offset) claim.ReadEnded
}

// Relay drives the state machine claim.RelayMachine, which batches and answers claims: it makes the calls to the log
// that the machine asks for and passes answers to waiting callers. It is safe for concurrent use.
type Relay struct {
	clock   timer.Clock
	log     Log
	metrics tally.Scope
	// countRelays returns the number of relays that share the log.
	countRelays func() int

	// mutex guards the fields below up to tickScheduled.
	mutex   sync.Mutex
	machine *claim.RelayMachine
	// lastRequestNumber is the number of the latest request; numbers identify requests in events and replies.
	lastRequestNumber uint64
	// waiters holds a channel for the answer to each request, by request number.
	waiters map[uint64]chan claim.Answer
	// tickScheduled is set while a timer for the next tick is pending.
	tickScheduled bool
	logCalls      tasks.WaitGroup
}

// New returns a relay that has read nothing yet. The countRelays function returns the number of relays that share the
// log.
func New(clock timer.Clock, log Log, countRelays func() int, metrics tally.Scope) *Relay {
	return &Relay{
		countRelays: countRelays,
		clock:       clock,
		log:         log,
		metrics:     metrics,
		machine:     claim.NewRelayMachine(),
		waiters:     map[uint64]chan claim.Answer{},
	}
}

// Run updates this relay's share of the append rate periodically until the context ends, then waits for log calls in
// flight.
func (rl *Relay) Run(ctx context.Context) error {
	subscription := timer.Every(rl.clock, rateUpdatePeriod, rl.updateRate)
	<-ctx.Done()
	subscription.Stop()
	rl.logCalls.Wait()
	return nil
}

// updateRate sets the interval between this relay's appends, so that all relays together stay within appendsPerSecond.
func (rl *Relay) updateRate() {
	relayCount := rl.countRelays()
	rl.mutex.Lock()
	defer rl.mutex.Unlock()
	rl.machine.SetMinAppendInterval(time.Duration(relayCount) * time.Second / appendsPerSecond)
}

// Append appends an entry to the log and returns the answer that follows from reading the log back. If the context ends
// first, it returns the verdict Unavailable; the entry may have been appended nevertheless.
func (rl *Relay) Append(ctx context.Context, entry claim.Entry) claim.Answer {
	deadline, ok := ctx.Deadline()
	if !ok {
		deadline = rl.clock.Now().Add(defaultDeadline)
	}
	answers := make(chan claim.Answer, 1)
	requestNumber := rl.addWaiter(answers)
	rl.step(claim.AppendRequest{RequestNumber: requestNumber, Entry: entry, Deadline: deadline.Add(-deadlineMargin)})
	select {
	case answer := <-answers:
		return answer
	case <-ctx.Done():
		rl.removeWaiter(requestNumber)
		return claim.Answer{Verdict: claim.Unavailable}
	}
}

// addWaiter registers the channel for the answer to a new request and returns the request's number.
func (rl *Relay) addWaiter(answers chan claim.Answer) uint64 {
	rl.mutex.Lock()
	defer rl.mutex.Unlock()
	rl.lastRequestNumber++
	rl.waiters[rl.lastRequestNumber] = answers
	return rl.lastRequestNumber
}

func (rl *Relay) removeWaiter(requestNumber uint64) {
	rl.mutex.Lock()
	defer rl.mutex.Unlock()
	delete(rl.waiters, requestNumber)
}

// step passes an event to the machine and carries out its effects. Calls to the log run in the background.
func (rl *Relay) step(event claim.Event) {
	rl.mutex.Lock()
	defer rl.mutex.Unlock()
	for _, effect := range rl.machine.Step(rl.clock.Now(), event) {
		switch {
		case effect.Append != nil:
			record := *effect.Append
			rl.logCalls.Go(func() { rl.append(record) })
		case effect.Read != nil:
			from := effect.Read.From
			rl.logCalls.Go(func() { rl.read(from) })
		case effect.Reply != nil:
			rl.deliverReply(*effect.Reply)
		}
	}
	rl.scheduleTick()
}

// scheduleTick schedules the next tick of the machine, unless one is scheduled or no request waits for an answer. The
// caller holds the mutex.
func (rl *Relay) scheduleTick() {
	if rl.tickScheduled || len(rl.waiters) == 0 {
		return
	}
	rl.tickScheduled = true
	rl.clock.After(tickPeriod, func() {
		rl.mutex.Lock()
		rl.tickScheduled = false
		rl.mutex.Unlock()
		rl.step(claim.Tick{})
	})
}

// deliverReply passes an answer to its waiting caller, if there still is one. The caller holds the mutex.
func (rl *Relay) deliverReply(reply claim.Reply) {
	answers, ok := rl.waiters[reply.RequestNumber]
	if !ok {
		return
	}
	delete(rl.waiters, reply.RequestNumber)
	answers <- reply.Answer
}

// append appends a record to the log and passes the result to the machine.
func (rl *Relay) append(record claim.Record) {
	body, err := claim.EncodeRecord(record)
	if err != nil {
		rl.step(claim.AppendEnded{Result: claim.NotStored})
		return
	}
	ctx, cancel := context.WithTimeout(context.Background(), logTimeout)
	defer cancel()
	result := rl.log.Append(ctx, body)
	rl.metrics.Counter("claims_appends").Inc(1)
	rl.metrics.Counter("claims_entries").Inc(int64(len(record.Entries)))
	if result != claim.Stored {
		rl.metrics.Counter("claims_append_failures").Inc(1)
	}
	rl.step(claim.AppendEnded{Result: result})
}

// read reads the log from an offset on and passes the result to the machine.
func (rl *Relay) read(from id.Offset) {
	ctx, cancel := context.WithTimeout(context.Background(), logTimeout)
	defer cancel()
	rl.step(rl.log.Read(ctx, from))
}
