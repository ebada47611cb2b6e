package shard

import (
	"context"
	"math/rand/v2"
	"sync"
	"time"

	"github.com/uber-go/tally/v4"

	"github.com/hibiscuslever/hibiscuslever/coordination/dispatch"
	"github.com/hibiscuslever/hibiscuslever/state/id"
	"github.com/hibiscuslever/hibiscuslever/state/outcome"
	"github.com/hibiscuslever/hibiscuslever/state/quarantine"
	"github.com/hibiscuslever/hibiscuslever/timer"
)

const (
	// askTimeout bounds one Ask; a dispatcher answers well within it.
	askTimeout = 1200 * time.Millisecond
	// reportPeriod is the time between reports of what the host holds.
	reportPeriod = time.Second
	// reportTimeout bounds one report.
	reportTimeout = time.Second
	// askPause is the wait before an Ask is repeated at once.
	askPause = 20 * time.Millisecond
	// maxUnsent bounds the ended grants that wait to be reported for one shard.
	maxUnsent = 10_000
)

// Client asks dispatchers for grants and reports what its host holds.
type Client struct {
	host        id.Host
	incarnation id.Incarnation
	clock       timer.Service
	peers       Peers
	fleet       Fleet
	quarantine  Quarantine
	metrics     tally.Scope

	mutex  sync.Mutex
	random *rand.Rand
	held   map[id.Attempt]*holding
	ended  map[id.Shard][]EndedGrant
	loads  map[id.Engine]EngineLoad
}

type holding struct {
	HeldGrant
	lapsed chan struct{}
	gone   bool
}

// NewClient returns a client that holds nothing.
func NewClient(host id.Host, inc id.Incarnation, clock timer.Service, peers Peers, fl Fleet, qr Quarantine, metrics tally.Scope, seed uint64) *Client {
	return &Client{
		host:        host,
		incarnation: inc,
		clock:       clock,
		peers:       peers,
		fleet:       fl,
		quarantine:  qr,
		metrics:     metrics,
		random:      rand.New(rand.NewPCG(seed, seed)),
		held:        map[id.Attempt]*holding{},
		ended:       map[id.Shard][]EndedGrant{},
		loads:       map[id.Engine]EngineLoad{},
	}
}

// Quarantine knows the contents that crash engines.
type Quarantine interface {
	// Decide says how a content may run now, and how long that holds if it may not.
	Decide(fp id.Fingerprint) (quarantine.Decision, time.Duration)
}

// Run reports what the host holds until the context ends.
func (cl *Client) Run(ctx context.Context) error {
	sub := timer.Every(cl.clock, reportPeriod, func() { cl.reportAll(ctx) })
	<-ctx.Done()
	sub.Stop()
	return nil
}

// Acquire waits for a grant. The context ends the wait.
func (cl *Client) Acquire(ctx context.Context, ask GrantRequest) (dispatch.Grant, outcome.Outcome) {
	ask.Host = cl.host
	ask.Incarnation = cl.incarnation
	failures := 0
	for ctx.Err() == nil {
		owners := cl.peers.ShardDispatchers(ask.Shard)
		if len(owners) == 0 {
			return dispatch.Grant{}, outcome.Refuse(outcome.NoCapacity, "no host dispatches for the service").WithRetryAfter(time.Second)
		}
		answer, err := cl.askOnce(ctx, owners[failures%len(owners)], ask)
		switch {
		case err != nil:
			failures++
			cl.metrics.Counter("dispatcher_unreachable").Inc(1)
			decision, wait := cl.quarantine.Decide(ask.Fingerprint)
			if oc, barred := quarantine.RefusalOutcome(decision, wait); barred {
				return dispatch.Grant{}, oc
			}
			ask.RunAlone = ask.RunAlone || decision != quarantine.Run
			if grant, ok := cl.choose(ask); ok {
				cl.keep(ask, grant)
				return grant, outcome.Done()
			}
			timer.Sleep(ctx, cl.clock, askPause*time.Duration(failures))
		case answer.Refusal != nil:
			return dispatch.Grant{}, *answer.Refusal
		case answer.Grant != nil:
			cl.keep(ask, *answer.Grant)
			return *answer.Grant, outcome.Done()
		default:
			timer.Sleep(ctx, cl.clock, askPause)
		}
	}
	cl.withdraw(ask)
	return dispatch.Grant{}, outcome.Refuse(outcome.DeadlineExceeded, "the request found no engine in its time").WithRetryAfter(time.Second)
}

func (cl *Client) askOnce(ctx context.Context, host id.Host, ask GrantRequest) (GrantResponse, error) {
	ctx, cancel := context.WithTimeout(ctx, askTimeout)
	defer cancel()
	return cl.peers.RequestShardGrant(ctx, host, ask)
}

// choose picks an engine for a short prompt without a dispatcher: the better of two random ones by last known load.
func (cl *Client) choose(ask GrantRequest) (dispatch.Grant, bool) {
	if ask.PromptTokens > dispatch.MaxShortPrompt || ask.RunAlone {
		return dispatch.Grant{}, false
	}
	var usable []dispatch.Part
	for _, en := range cl.fleet.Engines(ask.Shard) {
		if !en.Leaving && !contains(ask.AvoidedEngines, en.Name) {
			usable = append(usable, dispatch.Part{Engine: en.Name, Address: en.Address, PromptTokens: ask.PromptTokens})
		}
	}
	if len(usable) == 0 {
		return dispatch.Grant{}, false
	}
	cl.mutex.Lock()
	defer cl.mutex.Unlock()
	first := usable[cl.random.IntN(len(usable))]
	second := usable[cl.random.IntN(len(usable))]
	if cl.loads[second.Engine].PendingTokens < cl.loads[first.Engine].PendingTokens {
		first = second
	}
	load := cl.loads[first.Engine]
	load.Engine = first.Engine
	load.PendingTokens += ask.PromptTokens
	cl.loads[first.Engine] = load
	cl.metrics.Counter("local_choices").Inc(1)
	return dispatch.Grant{Attempt: id.NewAttempt(ask.ID, ask.AttemptNumber), Parts: []dispatch.Part{first}, AnswerTokens: ask.MaxAnswerTokens}, true
}

func contains(names []id.Engine, name id.Engine) bool {
	for _, other := range names {
		if other == name {
			return true
		}
	}
	return false
}

func (cl *Client) keep(ask GrantRequest, grant dispatch.Grant) {
	cl.mutex.Lock()
	defer cl.mutex.Unlock()
	cl.held[grant.Attempt] = &holding{
		HeldGrant: HeldGrant{
			Grant:        grant,
			Shard:        ask.Shard,
			Organisation: ask.Organisation,
			Fingerprint:  ask.Fingerprint,
		},
		lapsed: make(chan struct{}),
	}
}

func (cl *Client) withdraw(ask GrantRequest) {
	cl.mutex.Lock()
	cl.endLocked(EndedGrant{Shard: ask.Shard, Request: ask.ID, Attempt: id.NewAttempt(ask.ID, ask.AttemptNumber), Withdrawn: true})
	cl.mutex.Unlock()
	go cl.reportShard(context.Background(), ask.Shard, false)
}

// ReportStarted notes that the first token of an attempt has arrived.
func (cl *Client) ReportStarted(att id.Attempt) {
	cl.mutex.Lock()
	defer cl.mutex.Unlock()
	if hd, ok := cl.held[att]; ok {
		hd.Started = true
	}
}

// Revoked returns a channel that is closed when the dispatcher takes a grant back.
func (cl *Client) Revoked(att id.Attempt) <-chan struct{} {
	cl.mutex.Lock()
	defer cl.mutex.Unlock()
	if hd, ok := cl.held[att]; ok {
		return hd.lapsed
	}
	return nil
}

// ReportEnded reports that an attempt has ended. It waits for the dispatcher's answer within the report's timeout.
func (cl *Client) ReportEnded(ctx context.Context, en EndedGrant) {
	cl.mutex.Lock()
	if hd, ok := cl.held[en.Attempt]; ok {
		en.Shard = hd.Shard
		delete(cl.held, en.Attempt)
	}
	cl.endLocked(en)
	cl.mutex.Unlock()
	cl.reportShard(ctx, en.Shard, false)
}

func (cl *Client) endLocked(en EndedGrant) {
	unsent := append(cl.ended[en.Shard], en)
	if len(unsent) > maxUnsent {
		unsent = unsent[len(unsent)-maxUnsent:]
	}
	cl.ended[en.Shard] = unsent
}

// reportAll reports every shard of which the host holds grants or has ended some.
func (cl *Client) reportAll(ctx context.Context) {
	cl.mutex.Lock()
	shards := map[id.Shard]bool{}
	for _, hd := range cl.held {
		shards[hd.Shard] = true
	}
	for name, ended := range cl.ended {
		if len(ended) > 0 {
			shards[name] = true
		}
	}
	cl.mutex.Unlock()
	var group sync.WaitGroup
	for name := range shards {
		group.Go(func() { cl.reportShard(ctx, name, true) })
	}
	group.Wait()
}

// reportShard tells a shard's dispatcher which grants have ended and, if asked to, which ones are held.
func (cl *Client) reportShard(ctx context.Context, name id.Shard, held bool) {
	owners := cl.peers.ShardDispatchers(name)
	if len(owners) == 0 {
		return
	}
	rp := cl.take(name, held)
	if len(rp.HeldGrants) == 0 && len(rp.EndedGrants) == 0 {
		return
	}
	ctx, cancel := context.WithTimeout(ctx, reportTimeout)
	defer cancel()
	loads, err := cl.peers.SendShardReport(ctx, owners[0], rp)
	cl.mutex.Lock()
	defer cl.mutex.Unlock()
	if err != nil {
		cl.metrics.Counter("report_failures").Inc(1)
		cl.ended[name] = append(rp.EndedGrants, cl.ended[name]...)
		return
	}
	cl.learn(loads)
}

// take returns the report of a shard and empties the list of its ended grants.
func (cl *Client) take(name id.Shard, held bool) Report {
	cl.mutex.Lock()
	defer cl.mutex.Unlock()
	rp := Report{Host: cl.host, Incarnation: cl.incarnation, EndedGrants: cl.ended[name]}
	delete(cl.ended, name)
	if !held {
		return rp
	}
	for _, hd := range cl.held {
		if hd.Shard == name {
			rp.HeldGrants = append(rp.HeldGrants, hd.HeldGrant)
		}
	}
	return rp
}

func (cl *Client) learn(loads ReportResponse) {
	for _, ld := range loads.EngineLoads {
		cl.loads[ld.Engine] = ld
	}
	for _, att := range loads.RevokedAttempts {
		if hd, ok := cl.held[att]; ok && !hd.gone {
			hd.gone = true
			close(hd.lapsed)
		}
	}
}

// HoldsGrant reports whether the host holds the grant of an attempt.
func (cl *Client) HoldsGrant(att id.Attempt) bool {
	cl.mutex.Lock()
	defer cl.mutex.Unlock()
	_, held := cl.held[att]
	return held
}
