// Package gossip runs the membership machine of a host: it sends the machine's probes to the other hosts, and passes
// their messages to the machine.
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
	// Exchange sends a message to the host at an address. It returns the host's answer, and whether the host reached
	// the member that the message asks it to probe.
	Exchange(ctx context.Context, address string, msg membership.Message) (membership.Message, bool, error)
}

// Config configures a runner.
type Config struct {
	Membership membership.Config
	// ExchangeTimeout bounds a direct exchange of messages. An indirect probe, which takes two exchanges, gets twice
	// the time.
	ExchangeTimeout time.Duration
	// JoinPeriod is the time between attempts to join through seeds that are not known members. InitialJoinPeriod is
	// the time between attempts while no other host is known at all.
	JoinPeriod        time.Duration
	InitialJoinPeriod time.Duration
	// Seeds are the peer addresses of hosts through which the local host joins.
	Seeds []string
}

// DefaultConfig returns the configuration that hosts use, without seeds.
func DefaultConfig() Config {
	return Config{
		Membership:        membership.DefaultConfig(),
		ExchangeTimeout:   400 * time.Millisecond,
		JoinPeriod:        500 * time.Millisecond,
		InitialJoinPeriod: 50 * time.Millisecond,
	}
}

// Handlers are the callbacks of a runner. They must not block.
type Handlers struct {
	// MemberChanged is called when a member's status or description changes.
	MemberChanged func(member membership.Member)
	// FactLearned is called for a new fact.
	FactLearned func(fact membership.Fact)
	// LocalFreshness returns the local host's revision of the configuration and the freshness of its list of backend
	// servers, which every message carries. If nil, messages carry the revision set by SetRevision and no freshness.
	LocalFreshness func() (revision id.Offset, freshness membership.ListFreshness)
	// RemoteFreshness is called for each message received, with the sender's revision and freshness. It may be nil.
	RemoteFreshness func(host id.Host, revision id.Offset, freshness membership.ListFreshness)
	// NewerRevision is called when a host has a higher revision of the configuration.
	NewerRevision func(host id.Host)
}

// Runner runs a membership machine. It is safe for concurrent use.
type Runner struct {
	config    Config
	clock     timer.Clock
	exchanger Exchanger
	handlers  Handlers
	metrics   tally.Scope

	// mutex guards the following fields down to joiningSeeds.
	mutex   sync.Mutex
	machine *membership.Machine
	// cachedLive caches the live hosts until a member changes; nil if there is no cached result.
	cachedLive []membership.Member
	// seeds holds the addresses of all seeds, joiningSeeds those to which a join message is under way.
	seeds        map[string]bool
	joiningSeeds map[string]bool

	// exchanges are the calls in progress that Run waits for.
	exchanges tasks.Group
	// lastContactNanos is when a message of another host was last received, in Unix nanoseconds.
	lastContactNanos atomic.Int64
	// pushScheduled says that a push of facts follows within pushDelay.
	pushScheduled atomic.Bool
}

// New returns a runner that knows only the local host. The seed determines the machine's random choices.
func New(config Config, local membership.Member, clock timer.Clock, exchanger Exchanger, handlers Handlers, metrics tally.Scope, seed uint64) *Runner {
	rn := &Runner{
		config:       config,
		clock:        clock,
		exchanger:    exchanger,
		handlers:     handlers,
		metrics:      metrics,
		machine:      membership.New(config.Membership, local, seed),
		seeds:        map[string]bool{},
		joiningSeeds: map[string]bool{},
	}
	for _, address := range config.Seeds {
		rn.AddSeed(address)
	}
	return rn
}

// AddSeed adds the peer address of a host to join through. The local host's own address is ignored.
func (rn *Runner) AddSeed(address string) {
	rn.mutex.Lock()
	defer rn.mutex.Unlock()
	if address != rn.machine.LocalMember().PeerAddress {
		rn.seeds[address] = true
	}
}

// Run joins and probes other hosts until the context ends, and then waits for calls in progress. It always returns nil.
func (rn *Runner) Run(ctx context.Context) error {
	rn.joinSeeds(ctx, false)
	tickPeriod := rn.config.Membership.ProbePeriod / 5
	tick := timer.Every(rn.clock, tickPeriod, func() { rn.step(ctx, membership.Tick{}) })
	join := timer.Every(rn.clock, rn.config.JoinPeriod, func() { rn.joinSeeds(ctx, false) })
	initialJoin := timer.Every(rn.clock, rn.config.InitialJoinPeriod, func() { rn.joinSeeds(ctx, true) })
	<-ctx.Done()
	tick.Stop()
	join.Stop()
	initialJoin.Stop()
	rn.exchanges.Wait()
	return nil
}

// joinSeeds sends a join message to each seed that is not a known member, without waiting for the answers, so that an
// unresponsive seed does not delay the others. If onlyWithoutMembers is set, it does nothing when another host is
// known.
func (rn *Runner) joinSeeds(ctx context.Context, onlyWithoutMembers bool) {
	for _, address := range rn.claimUnjoinedSeeds(onlyWithoutMembers) {
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

// claimUnjoinedSeeds returns the seeds to send a join message to, and marks them as being joined.
func (rn *Runner) claimUnjoinedSeeds(onlyWithoutMembers bool) []string {
	rn.mutex.Lock()
	defer rn.mutex.Unlock()
	members := rn.machine.RemoteMembers()
	if onlyWithoutMembers && len(members) > 0 {
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

// Receive processes a message of another host. It returns the answer, and whether the local host reached the member
// that the message asks it to probe.
func (rn *Runner) Receive(ctx context.Context, msg membership.Message) (membership.Message, bool) {
	reached := false
	if msg.ProbeTarget != "" {
		reached = rn.probeOnBehalf(ctx, msg.ProbeTarget)
	}
	rn.recordContact(msg)
	rn.step(ctx, membership.Received{Message: msg})
	return rn.withFreshness(rn.answerTo(msg)), reached
}

// withFreshness adds the local host's revision and list freshness to a message. The caller must not hold the mutex: the
// handler takes locks under which other goroutines ask the runner for the live hosts, so that it could deadlock.
func (rn *Runner) withFreshness(msg membership.Message) membership.Message {
	if rn.handlers.LocalFreshness != nil {
		msg.Revision, msg.ListFreshness = rn.handlers.LocalFreshness()
	}
	return msg
}

// exchange sends a message, with the local revision and freshness added, to the host at the address. It records the
// contact if the host answers.
func (rn *Runner) exchange(ctx context.Context, address string, msg membership.Message) (membership.Message, bool, error) {
	answer, reached, err := rn.exchanger.Exchange(ctx, address, rn.withFreshness(msg))
	if err == nil {
		rn.recordContact(answer)
	}
	return answer, reached, err
}

// recordContact notes when a message of another host was received, and passes on the revision and freshness in it.
func (rn *Runner) recordContact(msg membership.Message) {
	rn.lastContactNanos.Store(rn.clock.Now().UnixNano())
	if rn.handlers.RemoteFreshness != nil && msg.From != "" {
		rn.handlers.RemoteFreshness(msg.From, msg.Revision, msg.ListFreshness)
	}
}

// isolatedAfter is the time without a message of another host after which the local host counts as isolated: three
// probe periods.
const isolatedAfter = 1500 * time.Millisecond

// Isolated reports whether no message of another host was received for some time. The local host may then be cut off
// from the others, or be the only one.
func (rn *Runner) Isolated() bool {
	return rn.clock.Now().Sub(time.Unix(0, rn.lastContactNanos.Load())) > isolatedAfter
}

// probeOnBehalf probes a host for another member, and reports whether it answered.
func (rn *Runner) probeOnBehalf(ctx context.Context, host id.Host) bool {
	target, found := rn.Member(host)
	if !found {
		return false
	}
	ctx, cancel := context.WithTimeout(ctx, rn.config.ExchangeTimeout)
	defer cancel()
	msg := rn.nextMessage()
	answer, _, err := rn.exchange(ctx, target.PeerAddress, msg)
	if err != nil {
		return false
	}
	rn.step(ctx, membership.Received{Message: answer})
	return true
}

// step passes an event to the machine and carries out the effects. The caller must not hold the mutex.
func (rn *Runner) step(ctx context.Context, ev membership.Event) {
	for _, ef := range rn.stepMachine(ev) {
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

// stepMachine passes an event to the machine and returns the effects.
func (rn *Runner) stepMachine(ev membership.Event) []membership.Effect {
	rn.mutex.Lock()
	defer rn.mutex.Unlock()
	effects := slices.Clone(rn.machine.Step(rn.clock.Now(), ev))
	if slices.ContainsFunc(effects, func(ef membership.Effect) bool { return ef.Kind == membership.MemberChanged }) {
		rn.cachedLive = nil
	}
	return effects
}

// nextMessage returns what the machine sends next to another host.
func (rn *Runner) nextMessage() membership.Message {
	rn.mutex.Lock()
	defer rn.mutex.Unlock()
	return rn.machine.NextMessage()
}

// answerTo returns the answer to a message, without the local host's revision and list freshness.
func (rn *Runner) answerTo(msg membership.Message) membership.Message {
	rn.mutex.Lock()
	defer rn.mutex.Unlock()
	if msg.Joining {
		return rn.machine.FullState()
	}
	return rn.machine.NextMessage()
}

// runProbe sends a direct or indirect probe, and passes the result to the machine unless the context has ended.
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
	result := membership.ProbeEnded{Target: ef.Target.Host, Via: ef.Via.Host, Reached: err == nil, Answer: answer}
	if ef.Via.Host != "" {
		result.Reached = err == nil && reached
	}
	if !result.Reached {
		rn.metrics.Counter("probes_unanswered").Inc(1)
	}
	rn.step(ctx, result)
}

// Leave marks the local host as leaving, and sends the update to one live host after another.
func (rn *Runner) Leave(ctx context.Context) {
	rn.step(ctx, membership.Leave{})
	for _, mb := range rn.Live() {
		msg := rn.nextMessage()
		callCtx, cancel := context.WithTimeout(ctx, rn.config.ExchangeTimeout)
		_, _, _ = rn.exchange(callCtx, mb.PeerAddress, msg)
		cancel()
	}
}

// SpreadFact spreads a fact of the local host to all other hosts.
func (rn *Runner) SpreadFact(fact membership.Fact) {
	rn.mutex.Lock()
	rn.machine.SpreadFact(fact)
	rn.mutex.Unlock()
	rn.schedulePush(context.Background())
}

// pushDelay is how long facts are collected before they are pushed to some members. With this delay at each hop, a fact
// reaches a few hundred hosts in a tenth of a second.
const pushDelay = 10 * time.Millisecond

// schedulePush pushes the queued facts after pushDelay, unless a push is scheduled already.
func (rn *Runner) schedulePush(ctx context.Context) {
	if rn.pushScheduled.Swap(true) {
		return
	}
	rn.clock.After(pushDelay, func() {
		rn.pushScheduled.Store(false)
		rn.step(ctx, membership.PushFacts{})
	})
}

// SetRevision sets the local host's revision of the configuration. Higher revisions of other hosts are reported to the
// handler NewerRevision.
func (rn *Runner) SetRevision(revision id.Offset) {
	rn.mutex.Lock()
	defer rn.mutex.Unlock()
	rn.machine.SetRevision(revision)
}

// RetryNewerRevision has the handler NewerRevision called again for a revision that it was called for already.
func (rn *Runner) RetryNewerRevision() {
	rn.mutex.Lock()
	defer rn.mutex.Unlock()
	rn.machine.RetryNewerRevision()
}

// Member returns the description of a host, the local one included, and false if the host is unknown.
func (rn *Runner) Member(host id.Host) (membership.Member, bool) {
	rn.mutex.Lock()
	defer rn.mutex.Unlock()
	return rn.machine.Member(host)
}

// RemoteMembers returns all known hosts except the local one, dead ones included, sorted by name.
func (rn *Runner) RemoteMembers() []membership.Member {
	rn.mutex.Lock()
	defer rn.mutex.Unlock()
	return rn.machine.RemoteMembers()
}

// Live returns the hosts that accept new requests, as Live of membership.Machine defines them. The caller must not
// modify the result.
func (rn *Runner) Live() []membership.Member {
	rn.mutex.Lock()
	defer rn.mutex.Unlock()
	if rn.cachedLive == nil {
		rn.cachedLive = rn.machine.Live()
	}
	return rn.cachedLive
}

// LiveHosts returns the names of the hosts that Live returns.
func (rn *Runner) LiveHosts() []id.Host {
	live := rn.Live()
	hosts := make([]id.Host, len(live))
	for ix, mb := range live {
		hosts[ix] = mb.Host
	}
	return hosts
}

// OtherHosts returns the names of the other hosts that are not dead; suspect and leaving hosts are included.
func (rn *Runner) OtherHosts() []id.Host {
	var hosts []id.Host
	for _, mb := range rn.RemoteMembers() {
		if mb.Status != membership.Dead {
			hosts = append(hosts, mb.Host)
		}
	}
	return hosts
}

// ConnectionRefused reports that a host refused a connection. The host becomes suspect without a probe.
func (rn *Runner) ConnectionRefused(ctx context.Context, host id.Host) {
	rn.step(ctx, membership.ConnectionRefused{Host: host})
}
