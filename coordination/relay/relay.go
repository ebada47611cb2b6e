// Package relay runs the claims relay of a host against the platform's log.
package relay

import (
	"context"
	"sync"
	"time"

	"github.com/uber-go/tally/v4"

	"github.com/hibiscuslever/hibiscuslever/coordination/claim"
	"github.com/hibiscuslever/hibiscuslever/state/id"
	"github.com/hibiscuslever/hibiscuslever/timer"
)

const (
	// logTimeout bounds one call to the log.
	logTimeout = 2 * time.Second
	// tickPeriod is the time between checks of what has expired and what may be appended.
	tickPeriod = 5 * time.Millisecond
	// appendsPerSecond is the part of the log's rate that all relays together use.
	appendsPerSecond = 150
	// sharePeriod is the time between looks at how many relays there are.
	sharePeriod = time.Second
	// defaultDeadline bounds an entry whose asker sets no deadline.
	defaultDeadline = 10 * time.Second
	// deadlineMargin is taken off the asker's deadline for the way back.
	deadlineMargin = 50 * time.Millisecond
)

// Log is the stream of claims in the platform's log.
type Log interface {
	// Append adds a record.
	Append(ctx context.Context, body []byte) claim.AppendResult
	// Read returns records from an offset on.
	Read(ctx context.Context, from id.Offset) claim.ReadEnded
}

// Relay runs the machine that batches and answers claims.
type Relay struct {
	clock   timer.Service
	log     Log
	metrics tally.Scope
	relays  func() int

	mutex   sync.Mutex
	machine *claim.Relay
	ticket  uint64
	askers  map[uint64]chan claim.Answer
	// ticking says that a tick is due.
	ticking bool
	calls   sync.WaitGroup
}

// New returns a relay that has read nothing. Relays tells how many relays share the log.
func New(clock timer.Service, log Log, relays func() int, metrics tally.Scope) *Relay {
	return &Relay{
		relays:  relays,
		clock:   clock,
		log:     log,
		metrics: metrics,
		machine: claim.NewRelay(),
		askers:  map[uint64]chan claim.Answer{},
	}
}

// Run divides the log's rate among the relays until the context ends.
func (rl *Relay) Run(ctx context.Context) error {
	share := timer.Every(rl.clock, sharePeriod, rl.share)
	<-ctx.Done()
	share.Stop()
	rl.calls.Wait()
	return nil
}

// share divides the log's rate among the relays.
func (rl *Relay) share() {
	relays := rl.relays()
	rl.mutex.Lock()
	defer rl.mutex.Unlock()
	rl.machine.SetMinAppendInterval(time.Duration(relays) * time.Second / appendsPerSecond)
}

// Claim appends an entry and answers from the log.
func (rl *Relay) Claim(ctx context.Context, en claim.Entry) claim.Answer {
	deadline, ok := ctx.Deadline()
	if !ok {
		deadline = rl.clock.Now().Add(defaultDeadline)
	}
	answered := make(chan claim.Answer, 1)
	ticket := rl.register(answered)
	rl.step(claim.AppendRequest{RequestNumber: ticket, Entry: en, Deadline: deadline.Add(-deadlineMargin)})
	select {
	case answer := <-answered:
		return answer
	case <-ctx.Done():
		rl.unregister(ticket)
		return claim.Answer{Verdict: claim.Unavailable}
	}
}

func (rl *Relay) register(answered chan claim.Answer) uint64 {
	rl.mutex.Lock()
	defer rl.mutex.Unlock()
	rl.ticket++
	rl.askers[rl.ticket] = answered
	return rl.ticket
}

func (rl *Relay) unregister(ticket uint64) {
	rl.mutex.Lock()
	defer rl.mutex.Unlock()
	delete(rl.askers, ticket)
}

func (rl *Relay) step(ev claim.Event) {
	rl.mutex.Lock()
	defer rl.mutex.Unlock()
	for _, ef := range rl.machine.Step(rl.clock.Now(), ev) {
		switch {
		case ef.Append != nil:
			rec := *ef.Append
			rl.calls.Go(func() { rl.append(rec) })
		case ef.Read != nil:
			from := ef.Read.From
			rl.calls.Go(func() { rl.read(from) })
		case ef.Reply != nil:
			rl.reply(*ef.Reply)
		}
	}
	rl.tickWhileAsked()
}

// tickWhileAsked lets time pass in the machine while somebody waits for an answer.
func (rl *Relay) tickWhileAsked() {
	if rl.ticking || len(rl.askers) == 0 {
		return
	}
	rl.ticking = true
	rl.clock.After(tickPeriod, func() {
		rl.mutex.Lock()
		rl.ticking = false
		rl.mutex.Unlock()
		rl.step(claim.Tick{})
	})
}

func (rl *Relay) reply(rp claim.Reply) {
	answered, ok := rl.askers[rp.RequestNumber]
	if !ok {
		return
	}
	delete(rl.askers, rp.RequestNumber)
	answered <- rp.Answer
}

func (rl *Relay) append(rec claim.Record) {
	body, err := claim.EncodeRecord(rec)
	if err != nil {
		rl.step(claim.AppendEnded{Result: claim.NotStored})
		return
	}
	ctx, cancel := context.WithTimeout(context.Background(), logTimeout)
	defer cancel()
	result := rl.log.Append(ctx, body)
	rl.metrics.Counter("claims_appends").Inc(1)
	rl.metrics.Counter("claims_entries").Inc(int64(len(rec.Entries)))
	if result != claim.Stored {
		rl.metrics.Counter("claims_append_failures").Inc(1)
	}
	rl.step(claim.AppendEnded{Result: result})
}

func (rl *Relay) read(from id.Offset) {
	ctx, cancel := context.WithTimeout(context.Background(), logTimeout)
	defer cancel()
	rl.step(rl.log.Read(ctx, from))
}
