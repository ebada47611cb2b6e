// Package gossip runs a host's membership machine against the other hosts.
package gossip

import (
	"context"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"github.com/uber-go/tally/v4"

	"github.com/hibiscuslever/hibiscuslever/coordination/membership"
	"github.com/hibiscuslever/hibiscuslever/state/id"
	"github.com/hibiscuslever/hibiscuslever/tasks"
	"github.com/hibiscuslever/hibiscuslever/timer"
)

// Exchanger exchanges messages with other hosts.
type Exchanger interface {
	// Exchange sends a message to the host at an address and returns its answer, and whether
	// the member that the message asks to probe answered.
	Exchange(ctx context.Context, address string, msg membership.Message) (membership.Message, bool, error)
}

// Config sets the periods of a runner.
type Config struct {
	Membership membership.Config
	// ExchangeTimeout bounds a direct exchange.
	ExchangeTimeout time.Duration
	// JoinPeriod is the time between tries to reach seeds that are not known as hosts, InitialJoinPeriod the same while no other
	// host is known at all.
	JoinPeriod  time.Duration
	InitialJoinPeriod time.Duration
	// Seeds are addresses of hosts to join by.
	Seeds []string
}

// DefaultConfig returns the periods that hosts use.
func DefaultConfig() Config {
	return Config{
		Membership:      membership.DefaultConfig(),
		ExchangeTimeout: 400 * time.Millisecond,
		JoinPeriod:      500 * time.Millisecond,
		InitialJoinPeriod:     50 * time.Millisecond,
	}
}

// Handlers are called for news. They must not block.
type Handlers struct {
	// MemberChanged is called when a member's status or description changes.
	MemberChanged func(member membership.Member)
	// FactLearned is called for a new fact.
	FactLearned func(fact membership.Fact)
	// LocalCopyState returns what messages are to say of the own copies; nil if they say nothing.
	LocalCopyState func() (revision id.Offset, news membership.ListFreshness)
	// RemoteCopyState is called for what another host says of its copies.
	RemoteCopyState func(host id.Host, revision id.Offset, news membership.ListFreshness)
	// NewerRevision is called when a host has a higher revision of the configuration.
	NewerRevision func(host id.Host)
}

// Runner runs a membership machine.
type Runner struct {
	config    Config
	clock     timer.Service
	exchanger Exchanger
	handlers  Handlers
	metrics   tally.Scope

	mutex   sync.Mutex
	machine *membership.Machine
	// live caches the live hosts until a member changes.
	live  []membership.Member
	seeds map[string]bool
	// joining holds the seeds that are being asked.
	joining map[string]bool
	calls   tasks.Group
	// heardAt is when another host was last heard, in Unix nanoseconds.
	heardAt atomic.Int64
	// hurried says that facts are about to be passed on.
	hurried atomic.Bool
}

// New returns a runner that knows only its own host.
func New(config Config, self membership.Member, clock timer.Service, exchanger Exchanger, handlers Handlers, metrics tally.Scope, seed uint64) *Runner {
	rn := &Runner{
		config:    config,
		clock:     clock,
		exchanger: exchanger,
		handlers:  handlers,
		metrics:   metrics,
		machine:   membership.New(config.Membership, self, seed),
		seeds:     map[string]bool{},
		joining:   map[string]bool{},
	}
	for _, address := range config.Seeds {
		rn.AddSeed(address)
	}
	return rn
}

// AddSeed adds an address of a host to join by.
func (rn *Runner) AddSeed(address string) {
	rn.mutex.Lock()
	defer rn.mutex.Unlock()
	if address != rn.machine.LocalMember().PeerAddress {
		rn.seeds[address] = true
	}
}

// Run probes other hosts until the context ends.
func (rn *Runner) Run(ctx context.Context) error {
	rn.join(ctx, false)
	period := rn.config.Membership.ProbePeriod / 5
	tick := timer.Every(rn.clock, period, func() { rn.step(ctx, membership.Tick{}) })
	join := timer.Every(rn.clock, rn.config.JoinPeriod, func() { rn.join(ctx, false) })
	alone := timer.Every(rn.clock, rn.config.InitialJoinPeriod, func() { rn.join(ctx, true) })
	<-ctx.Done()
	tick.Stop()
	join.Stop()
	alone.Stop()
	rn.calls.Wait()
	return nil
}

// join exchanges everything with seeds that are no known members yet, with all of them at once: one may be dark. It does
// nothing if other hosts are known and it is to join only while there are none.
func (rn *Runner) join(ctx context.Context, ifAlone bool) {
	for _, address := range rn.unjoined(ifAlone) {
		rn.calls.Go(func() {
			call, cancel := context.WithTimeout(ctx, rn.config.ExchangeTimeout)
			answer, _, err := rn.exchange(call, address, rn.joinMessage())
			cancel()
			rn.mutex.Lock()
			delete(rn.joining, address)
			rn.mutex.Unlock()
			if err == nil {
				rn.step(ctx, membership.Received{Message: answer})
			}
		})
	}
}

// unjoined returns the seeds that are to be asked now, and notes that they are.
func (rn *Runner) unjoined(ifAlone bool) []string {
	rn.mutex.Lock()
	defer rn.mutex.Unlock()
	members := rn.machine.RemoteMembers()
	if ifAlone && len(members) > 0 {
		return nil
	}
	known := map[string]bool{}
	for _, mb := range members {
		known[mb.PeerAddress] = true
	}
	var unjoined []string
	for address := range rn.seeds {
		if !known[address] && !rn.joining[address] {
			unjoined = append(unjoined, address)
			rn.joining[address] = true
		}
	}
	return unjoined
}

func (rn *Runner) joinMessage() membership.Message {
	rn.mutex.Lock()
	defer rn.mutex.Unlock()
	return rn.machine.JoinMessage()
}

// Receive takes a message of another host and returns the answer and whether the member to probe answered.
func (rn *Runner) Receive(ctx context.Context, msg membership.Message) (membership.Message, bool) {
	reached := false
	if msg.ProbeTarget != "" {
		reached = rn.probeFor(ctx, msg.ProbeTarget)
	}
	rn.heard(msg)
	rn.step(ctx, membership.Received{Message: msg})
	rn.mutex.Lock()
	answer := rn.machine.NextMessage
	if msg.Joining {
		answer = rn.machine.FullState
	}
	unsigned := answer()
	rn.mutex.Unlock()
	return rn.signed(unsigned), reached
}

// signed adds what the own host says of its copies to a message. It must be called without the lock: the parts that keep the
// copies ask for the live hosts with their own locks held.
func (rn *Runner) signed(msg membership.Message) membership.Message {
	if rn.handlers.LocalCopyState != nil {
		msg.Revision, msg.ListFreshness = rn.handlers.LocalCopyState()
	}
	return msg
}

// exchange sends a message to the host at an address and takes what its answer says of copies.
func (rn *Runner) exchange(ctx context.Context, address string, msg membership.Message) (membership.Message, bool, error) {
	answer, reached, err := rn.exchanger.Exchange(ctx, address, rn.signed(msg))
	if err == nil {
		rn.heard(answer)
	}
	return answer, reached, err
}

// heard takes what another host's message says of its copies.
func (rn *Runner) heard(msg membership.Message) {
	rn.heardAt.Store(rn.clock.Now().UnixNano())
	if rn.handlers.RemoteCopyState != nil && msg.From != "" {
		rn.handlers.RemoteCopyState(msg.From, msg.Revision, msg.ListFreshness)
	}
}

// aloneAfter is how long no other host may have been heard until the own one counts as cut off: three probes.
const aloneAfter = 1500 * time.Millisecond

// Isolated reports whether no other host has been heard for some time.
func (rn *Runner) Isolated() bool {
	return rn.clock.Now().Sub(time.Unix(0, rn.heardAt.Load())) > aloneAfter
}

func (rn *Runner) probeFor(ctx context.Context, host id.Host) bool {
	target, known := rn.Member(host)
	if !known {
		return false
	}
	ctx, cancel := context.WithTimeout(ctx, rn.config.ExchangeTimeout)
	defer cancel()
	rn.mutex.Lock()
	msg := rn.machine.NextMessage()
	rn.mutex.Unlock()
	answer, _, err := rn.exchange(ctx, target.PeerAddress, msg)
	if err != nil {
		return false
	}
	rn.step(ctx, membership.Received{Message: answer})
	return true
}

func (rn *Runner) step(ctx context.Context, ev membership.Event) {
	rn.mutex.Lock()
	effects := append([]membership.Effect(nil), rn.machine.Step(rn.clock.Now(), ev)...)
	if slices.ContainsFunc(effects, func(ef membership.Effect) bool { return ef.Kind == membership.MemberChanged }) {
		rn.live = nil
	}
	rn.mutex.Unlock()
	for _, ef := range effects {
		switch ef.Kind {
		case membership.SendProbe:
			rn.calls.Go(func() { rn.probe(ctx, ef) })
		case membership.MemberChanged:
			rn.metrics.Tagged(map[string]string{"status": ef.Member.Status.String()}).Counter("member_changes").Inc(1)
			rn.handlers.MemberChanged(ef.Member)
		case membership.FactLearned:
			rn.handlers.FactLearned(ef.Fact)
		case membership.PushFactsSoon:
			rn.hurry(ctx)
		case membership.NewerRevision:
			rn.handlers.NewerRevision(ef.Host)
		}
	}
}

func (rn *Runner) probe(ctx context.Context, ef membership.Effect) {
	wait := rn.config.ExchangeTimeout
	address := ef.Target.PeerAddress
	if ef.Via.Host != "" {
		wait *= 2
		address = ef.Via.PeerAddress
	}
	call, cancel := context.WithTimeout(ctx, wait)
	defer cancel()
	answer, reached, err := rn.exchange(call, address, ef.Message)
	if ctx.Err() != nil {
		return
	}
	ended := membership.ProbeEnded{Target: ef.Target.Host, Via: ef.Via.Host, Reached: err == nil, Answer: answer}
	if ef.Via.Host != "" {
		ended.Reached = err == nil && reached
	}
	if !ended.Reached {
		rn.metrics.Counter("probes_unanswered").Inc(1)
	}
	rn.step(ctx, ended)
}

// Leave announces that the own host is leaving, and tells a few hosts at once.
func (rn *Runner) Leave(ctx context.Context) {
	rn.step(ctx, membership.Leave{})
	for _, mb := range rn.Live() {
		rn.mutex.Lock()
		msg := rn.machine.NextMessage()
		rn.mutex.Unlock()
		call, cancel := context.WithTimeout(ctx, rn.config.ExchangeTimeout)
		_, _, _ = rn.exchange(call, mb.PeerAddress, msg)
		cancel()
	}
}

// SpreadFact passes a fact on to all hosts.
func (rn *Runner) SpreadFact(fact membership.Fact) {
	rn.mutex.Lock()
	rn.machine.SpreadFact(fact)
	rn.mutex.Unlock()
	rn.hurry(context.Background())
}

// hurryDelay is how long facts are gathered before they are passed on to some members at once. Over a few hundred hosts
// a fact then takes a tenth of a second.
const hurryDelay = 10 * time.Millisecond

// hurry has facts passed on soon, unless that is about to happen.
func (rn *Runner) hurry(ctx context.Context) {
	if rn.hurried.Swap(true) {
		return
	}
	rn.clock.After(hurryDelay, func() {
		rn.hurried.Store(false)
		rn.step(ctx, membership.PushFacts{})
	})
}

// SetRevision sets the revision of the configuration that is announced.
func (rn *Runner) SetRevision(revision id.Offset) {
	rn.mutex.Lock()
	defer rn.mutex.Unlock()
	rn.machine.SetRevision(revision)
}

// RetryNewerRevision asks to be told again of hosts with a higher revision.
func (rn *Runner) RetryNewerRevision() {
	rn.mutex.Lock()
	defer rn.mutex.Unlock()
	rn.machine.RetryNewerRevision()
}

// Member returns what is known of a host.
func (rn *Runner) Member(host id.Host) (membership.Member, bool) {
	rn.mutex.Lock()
	defer rn.mutex.Unlock()
	return rn.machine.Member(host)
}

// RemoteMembers returns the other hosts in order.
func (rn *Runner) RemoteMembers() []membership.Member {
	rn.mutex.Lock()
	defer rn.mutex.Unlock()
	return rn.machine.RemoteMembers()
}

// Live returns the hosts that take new work, including the own one unless it leaves. The result is not to be changed.
func (rn *Runner) Live() []membership.Member {
	rn.mutex.Lock()
	defer rn.mutex.Unlock()
	if rn.live == nil {
		rn.live = rn.machine.Live()
	}
	return rn.live
}

// LiveHosts returns the names of the live hosts.
func (rn *Runner) LiveHosts() []id.Host {
	live := rn.Live()
	hosts := make([]id.Host, len(live))
	for ix, mb := range live {
		hosts[ix] = mb.Host
	}
	return hosts
}

// OtherHosts returns the other hosts that are not dead.
func (rn *Runner) OtherHosts() []id.Host {
	var others []id.Host
	for _, mb := range rn.RemoteMembers() {
		if mb.Status != membership.Dead {
			others = append(others, mb.Host)
		}
	}
	return others
}

// ConnectionRefused records that a connection to a host was refused.
func (rn *Runner) ConnectionRefused(ctx context.Context, host id.Host) {
	rn.step(ctx, membership.ConnectionRefused{Host: host})
}
