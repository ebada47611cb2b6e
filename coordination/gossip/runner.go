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
	// JoinPeriod is the time between tries to reach seeds that are not known as hosts, IsolatedJoinPeriod the same while no other
	// host is known at all.
	JoinPeriod         time.Duration
	IsolatedJoinPeriod time.Duration
	// Seeds are addresses of hosts to join by.
	Seeds []string
}

// DefaultConfig returns the periods that hosts use.
func DefaultConfig() Config {
	return Config{
		Membership:         membership.DefaultConfig(),
		ExchangeTimeout:    400 * time.Millisecond,
		JoinPeriod:         500 * time.Millisecond,
		IsolatedJoinPeriod: 50 * time.Millisecond,
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
	// cachedLive caches the live hosts until a member changes.
	cachedLive []membership.Member
	seeds      map[string]bool
	// joiningSeeds holds the seeds that are being asked.
	joiningSeeds map[string]bool
	exchanges    tasks.Group
	// lastContact is when another host was last heard, in Unix nanoseconds.
	lastContact atomic.Int64
	// pushScheduled says that facts are about to be passed on.
	pushScheduled atomic.Bool
}

// New returns a runner that knows only its own host.
func New(config Config, self membership.Member, clock timer.Service, exchanger Exchanger, handlers Handlers, metrics tally.Scope, seed uint64) *Runner {
	rn := &Runner{
		config:       config,
		clock:        clock,
		exchanger:    exchanger,
		handlers:     handlers,
		metrics:      metrics,
		machine:      membership.New(config.Membership, self, seed),
		seeds:        map[string]bool{},
		joiningSeeds: map[string]bool{},
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
	rn.joinSeeds(ctx, false)
	tickPeriod := rn.config.Membership.ProbePeriod / 5
	tick := timer.Every(rn.clock, tickPeriod, func() { rn.step(ctx, membership.Tick{}) })
	join := timer.Every(rn.clock, rn.config.JoinPeriod, func() { rn.joinSeeds(ctx, false) })
	isolatedJoin := timer.Every(rn.clock, rn.config.IsolatedJoinPeriod, func() { rn.joinSeeds(ctx, true) })
	<-ctx.Done()
	tick.Stop()
	join.Stop()
	isolatedJoin.Stop()
	rn.exchanges.Wait()
	return nil
}

// joinSeeds exchanges everything with seeds that are no known members yet, with all of them at once: one may be dark. It does
// nothing if other hosts are known and it is to join only while there are none.
func (rn *Runner) joinSeeds(ctx context.Context, onlyIfIsolated bool) {
	for _, address := range rn.claimUnjoinedSeeds(onlyIfIsolated) {
		rn.exchanges.Go(func() {
			callCtx, cancel := context.WithTimeout(ctx, rn.config.ExchangeTimeout)
			answer, _, err := rn.exchange(callCtx, address, rn.joinMessage())
			cancel()
			rn.mutex.Lock()
			delete(rn.joiningSeeds, address)
			rn.mutex.Unlock()
			if err == nil {
				rn.step(ctx, membership.Received{Message: answer})
			}
		})
	}
}

// claimUnjoinedSeeds returns the seeds that are to be asked now, and notes that they are.
func (rn *Runner) claimUnjoinedSeeds(onlyIfIsolated bool) []string {
	rn.mutex.Lock()
	defer rn.mutex.Unlock()
	members := rn.machine.RemoteMembers()
	if onlyIfIsolated && len(members) > 0 {
		return nil
	}
	memberAddresses := map[string]bool{}
	for _, mb := range members {
		memberAddresses[mb.PeerAddress] = true
	}
	var unjoined []string
	for address := range rn.seeds {
		if !memberAddresses[address] && !rn.joiningSeeds[address] {
			unjoined = append(unjoined, address)
			rn.joiningSeeds[address] = true
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
		reached = rn.probeOnBehalf(ctx, msg.ProbeTarget)
	}
	rn.recordContact(msg)
	rn.step(ctx, membership.Received{Message: msg})
	rn.mutex.Lock()
	buildAnswer := rn.machine.NextMessage
	if msg.Joining {
		buildAnswer = rn.machine.FullState
	}
	partialAnswer := buildAnswer()
	rn.mutex.Unlock()
	return rn.withCopyState(partialAnswer), reached
}

// withCopyState adds what the own host says of its copies to a message. It must be called without the lock: the parts that keep the
// copies ask for the live hosts with their own locks held.
func (rn *Runner) withCopyState(msg membership.Message) membership.Message {
	if rn.handlers.LocalCopyState != nil {
		msg.Revision, msg.ListFreshness = rn.handlers.LocalCopyState()
	}
	return msg
}

// exchange sends a message to the host at an address and takes what its answer says of copies.
func (rn *Runner) exchange(ctx context.Context, address string, msg membership.Message) (membership.Message, bool, error) {
	answer, reached, err := rn.exchanger.Exchange(ctx, address, rn.withCopyState(msg))
	if err == nil {
		rn.recordContact(answer)
	}
	return answer, reached, err
}

// recordContact takes what another host's message says of its copies.
func (rn *Runner) recordContact(msg membership.Message) {
	rn.lastContact.Store(rn.clock.Now().UnixNano())
	if rn.handlers.RemoteCopyState != nil && msg.From != "" {
		rn.handlers.RemoteCopyState(msg.From, msg.Revision, msg.ListFreshness)
	}
}

// isolatedAfter is how long no other host may have been heard until the own one counts as cut off: three probes.
const isolatedAfter = 1500 * time.Millisecond

// Isolated reports whether no other host has been heard for some time.
func (rn *Runner) Isolated() bool {
	return rn.clock.Now().Sub(time.Unix(0, rn.lastContact.Load())) > isolatedAfter
}

func (rn *Runner) probeOnBehalf(ctx context.Context, host id.Host) bool {
	target, found := rn.Member(host)
	if !found {
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
		rn.cachedLive = nil
	}
	rn.mutex.Unlock()
	for _, ef := range effects {
		switch ef.Kind {
		case membership.SendProbe:
			rn.exchanges.Go(func() { rn.runProbe(ctx, ef) })
		case membership.MemberChanged:
			rn.metrics.Tagged(map[string]string{"status": ef.Member.Status.String()}).Counter("member_changes").Inc(1)
			rn.handlers.MemberChanged(ef.Member)
		case membership.FactLearned:
			rn.handlers.FactLearned(ef.Fact)
		case membership.PushFactsSoon:
			rn.schedulePush(ctx)
		case membership.NewerRevision:
			rn.handlers.NewerRevision(ef.Host)
		}
	}
}

func (rn *Runner) runProbe(ctx context.Context, ef membership.Effect) {
	timeout := rn.config.ExchangeTimeout
	address := ef.Target.PeerAddress
	if ef.Via.Host != "" {
		timeout *= 2
		address = ef.Via.PeerAddress
	}
	callCtx, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()
	answer, reached, err := rn.exchange(callCtx, address, ef.Message)
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
		callCtx, cancel := context.WithTimeout(ctx, rn.config.ExchangeTimeout)
		_, _, _ = rn.exchange(callCtx, mb.PeerAddress, msg)
		cancel()
	}
}

// SpreadFact passes a fact on to all hosts.
func (rn *Runner) SpreadFact(fact membership.Fact) {
	rn.mutex.Lock()
	rn.machine.SpreadFact(fact)
	rn.mutex.Unlock()
	rn.schedulePush(context.Background())
}

// pushDelay is how long facts are gathered before they are passed on to some members at once. Over a few hundred hosts
// a fact then takes a tenth of a second.
const pushDelay = 10 * time.Millisecond

// schedulePush has facts passed on soon, unless that is about to happen.
func (rn *Runner) schedulePush(ctx context.Context) {
	if rn.pushScheduled.Swap(true) {
		return
	}
	rn.clock.After(pushDelay, func() {
		rn.pushScheduled.Store(false)
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
	if rn.cachedLive == nil {
		rn.cachedLive = rn.machine.Live()
	}
	return rn.cachedLive
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
	var hosts []id.Host
	for _, mb := range rn.RemoteMembers() {
		if mb.Status != membership.Dead {
			hosts = append(hosts, mb.Host)
		}
	}
	return hosts
}

// ConnectionRefused records that a connection to a host was refused.
func (rn *Runner) ConnectionRefused(ctx context.Context, host id.Host) {
	rn.step(ctx, membership.ConnectionRefused{Host: host})
}
