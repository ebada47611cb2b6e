package shard

import (
	"context"
	"maps"
	"math/rand/v2"
	"sync"
	"time"

	"github.com/uber-go/tally/v4"

	"github.com/hibiscuslever/hibiscuslever/coordination/dispatch"
	"github.com/hibiscuslever/hibiscuslever/state/id"
	"github.com/hibiscuslever/hibiscuslever/state/outcome"
	"github.com/hibiscuslever/hibiscuslever/state/quarantine"
	"github.com/hibiscuslever/hibiscuslever/tasks"
	"github.com/hibiscuslever/hibiscuslever/timer"
)

const (
	// grantRequestTimeout bounds one call to a dispatcher. It exceeds ServerConfig.MaxResponseDelay, within which a
	// dispatcher responds.
	grantRequestTimeout = 1200 * time.Millisecond
	// heldReportPeriod is the time between reports of all held grants.
	heldReportPeriod = time.Second
	// reportTimeout bounds the call that sends one report.
	reportTimeout = time.Second
	// grantRequestPause is the pause before a queued request is sent again. After failed calls it is multiplied by the
	// number of failures.
	grantRequestPause = 20 * time.Millisecond
	// maxUnreportedEnds bounds the queue of ended grants of one shard, which grows while reports fail; the oldest ones are
	// dropped.
	maxUnreportedEnds = 10_000
)

// Client requests grants from dispatchers on behalf of an entry host and reports the grants that the host holds.
// It is safe for concurrent use.
type Client struct {
	host        id.Host
	incarnation id.Incarnation
	clock       timer.Clock
	peers       Peers
	fleet       Fleet
	quarantine  Quarantine
	metrics     tally.Scope

	// mutex guards the fields below.
	mutex          sync.Mutex
	random         *rand.Rand
	heldGrants     map[id.Attempt]*trackedGrant
	unreportedEnds map[id.Shard][]EndedGrant
	// crashedContents holds when this host last saw an engine crash under a content. The dispatcher may not have received
	// the report.
	crashedContents map[id.Fingerprint]time.Time
	// engineLoads holds the loads that dispatchers last reported, increased by the requests for which this host has chosen
	// engines itself since.
	engineLoads map[id.Engine]EngineLoad
}

// trackedGrant is a held grant with a signal for its revocation.
type trackedGrant struct {
	HeldGrant
	// revocationSignal is closed, and isRevoked set, when the dispatcher has revoked the grant.
	revocationSignal chan struct{}
	isRevoked        bool
}

// NewClient returns a client that holds no grants. The seed initializes the random choices that are made without a
// dispatcher.
func NewClient(host id.Host, incarnation id.Incarnation, clock timer.Clock, peers Peers, fl Fleet, qr Quarantine, metrics tally.Scope, seed uint64) *Client {
	return &Client{
		host:           host,
		incarnation:    incarnation,
		clock:          clock,
		peers:          peers,
		fleet:          fl,
		quarantine:     qr,
		metrics:        metrics,
		random:         rand.New(rand.NewPCG(seed, seed)),
		heldGrants:     map[id.Attempt]*trackedGrant{},
		unreportedEnds: map[id.Shard][]EndedGrant{},
		engineLoads:    map[id.Engine]EngineLoad{},

		crashedContents: map[id.Fingerprint]time.Time{},
	}
}

// Quarantine decides about requests whose contents may crash engines.
type Quarantine interface {
	// QuarantineDecision returns whether a request with this content may run now, perhaps only alone, and otherwise after
	// which time to retry.
	QuarantineDecision(fingerprint id.Fingerprint) (quarantine.Decision, time.Duration)
}

// Run reports the held grants periodically until the context ends.
func (cl *Client) Run(ctx context.Context) error {
	sub := timer.Every(cl.clock, heldReportPeriod, func() { cl.reportAllShards(ctx) })
	<-ctx.Done()
	sub.Stop()
	return nil
}

// Acquire requests a grant and waits for it until the context ends. When a call to a dispatcher fails, it chooses an
// engine itself if the prompt is short and the request need not run alone, or else fails over to the next dispatcher in
// order. A request that must run alone waits for the first dispatcher.
func (cl *Client) Acquire(ctx context.Context, request GrantRequest) (dispatch.Grant, outcome.Outcome) {
	request.Host = cl.host
	request.Incarnation = cl.incarnation
	// The dispatcher may not know of crashes that this host knows of: their reports may be lost, or it has just taken over.
	decision, _ := cl.quarantine.QuarantineDecision(request.ContentFingerprint)
	request.RunAlone = request.RunAlone || decision != quarantine.Run || cl.hasCrashed(request.ContentFingerprint)
	failures := 0
	for ctx.Err() == nil {
		dispatchers := cl.peers.ShardDispatchers(request.Shard)
		if len(dispatchers) == 0 {
			return dispatch.Grant{}, outcome.Refuse(outcome.NoCapacity, "no host dispatches for the service").WithRetryAfter(time.Second)
		}
		dispatcher := dispatchers[failures%len(dispatchers)]
		if request.RunAlone {
			// Another dispatcher does not know which engines run what.
			dispatcher = dispatchers[0]
		}
		response, err := cl.requestGrant(ctx, dispatcher, request)
		switch {
		case err != nil:
			failures++
			cl.metrics.Counter("dispatcher_unreachable").Inc(1)
			decision, retryAfter := cl.quarantine.QuarantineDecision(request.ContentFingerprint)
			if oc, barred := quarantine.RefusalOutcome(decision, retryAfter); barred {
				return dispatch.Grant{}, oc
			}
			// Wait is handled like RunAlone here: chooseWithoutDispatcher grants neither, so the request waits for a dispatcher.
			request.RunAlone = request.RunAlone || decision != quarantine.Run
			if grant, ok := cl.chooseWithoutDispatcher(request); ok {
				cl.addHeldGrant(request, grant)
				return grant, outcome.Done()
			}
			timer.Sleep(ctx, cl.clock, grantRequestPause*time.Duration(failures))
		case response.Refusal != nil:
			return dispatch.Grant{}, *response.Refusal
		case response.Grant != nil:
			cl.addHeldGrant(request, *response.Grant)
			return *response.Grant, outcome.Done()
		default:
			timer.Sleep(ctx, cl.clock, grantRequestPause)
		}
	}
	cl.withdraw(request)
	return dispatch.Grant{}, outcome.Refuse(outcome.DeadlineExceeded, "the request found no engine in its time").WithRetryAfter(time.Second)
}

// requestGrant sends a request to a dispatcher once.
func (cl *Client) requestGrant(ctx context.Context, dispatcher id.Host, request GrantRequest) (GrantResponse, error) {
	ctx, cancel := context.WithTimeout(ctx, grantRequestTimeout)
	defer cancel()
	return cl.peers.RequestShardGrant(ctx, dispatcher, request)
}

// chooseWithoutDispatcher grants a request with a short prompt without a dispatcher, on the less loaded one of two
// randomly chosen engines by last known load. It returns false for long prompts, for requests that must run alone, and
// if the shard has no usable engine.
func (cl *Client) chooseWithoutDispatcher(request GrantRequest) (dispatch.Grant, bool) {
	if request.PromptTokens > dispatch.MaxShortPrompt || request.RunAlone {
		return dispatch.Grant{}, false
	}
	var candidates []dispatch.Part
	for _, engine := range cl.fleet.Engines(request.Shard) {
		if !engine.Leaving && !containsEngine(request.AvoidedEngines, engine.Name) {
			candidates = append(candidates, dispatch.Part{Engine: engine.Name, Address: engine.Address, PromptTokens: request.PromptTokens})
		}
	}
	if len(candidates) == 0 {
		return dispatch.Grant{}, false
	}
	cl.mutex.Lock()
	defer cl.mutex.Unlock()
	chosen := candidates[cl.random.IntN(len(candidates))]
	alternative := candidates[cl.random.IntN(len(candidates))]
	if cl.engineLoads[alternative.Engine].PendingTokens < cl.engineLoads[chosen.Engine].PendingTokens {
		chosen = alternative
	}
	load := cl.engineLoads[chosen.Engine]
	load.Engine = chosen.Engine
	load.PendingTokens += request.PromptTokens
	cl.engineLoads[chosen.Engine] = load
	cl.metrics.Counter("local_choices").Inc(1)
	return dispatch.Grant{Attempt: id.NewAttempt(request.ID, request.AttemptNumber), Parts: []dispatch.Part{chosen}, AnswerTokens: request.MaxAnswerTokens}, true
}

func containsEngine(names []id.Engine, name id.Engine) bool {
	for _, other := range names {
		if other == name {
			return true
		}
	}
	return false
}

func (cl *Client) addHeldGrant(request GrantRequest, grant dispatch.Grant) {
	cl.mutex.Lock()
	defer cl.mutex.Unlock()
	cl.heldGrants[grant.Attempt] = &trackedGrant{
		HeldGrant: HeldGrant{
			Grant:              grant,
			Shard:              request.Shard,
			Organisation:       request.Organisation,
			ContentFingerprint: request.ContentFingerprint,
		},
		revocationSignal: make(chan struct{}),
	}
}

// withdraw reports in the background that a request no longer waits for a grant. The report includes the attempt, in
// case a grant was issued that did not reach this host.
func (cl *Client) withdraw(request GrantRequest) {
	cl.mutex.Lock()
	cl.queueEndedLocked(EndedGrant{Shard: request.Shard, Request: request.ID, Attempt: id.NewAttempt(request.ID, request.AttemptNumber), Withdrawn: true})
	cl.mutex.Unlock()
	tasks.Go(func() { cl.reportShard(context.Background(), request.Shard, false) })
}

// ReportStarted records that the first token of an attempt has arrived; the next periodic report says so.
func (cl *Client) ReportStarted(attempt id.Attempt) {
	cl.mutex.Lock()
	defer cl.mutex.Unlock()
	if held, ok := cl.heldGrants[attempt]; ok {
		held.Started = true
	}
}

// RevocationSignal returns a channel that is closed when the dispatcher revokes the grant of an attempt, or nil if the
// host doesn't hold the grant.
func (cl *Client) RevocationSignal(attempt id.Attempt) <-chan struct{} {
	cl.mutex.Lock()
	defer cl.mutex.Unlock()
	if held, ok := cl.heldGrants[attempt]; ok {
		return held.revocationSignal
	}
	return nil
}

// ReportEnded drops the held grant of an attempt that has ended and reports its end. It waits for the dispatcher's
// response up to reportTimeout, so that a crash is counted before the request is attempted again.
func (cl *Client) ReportEnded(ctx context.Context, ended EndedGrant) {
	cl.mutex.Lock()
	if held, ok := cl.heldGrants[ended.Attempt]; ok {
		ended.Shard = held.Shard
		delete(cl.heldGrants, ended.Attempt)
		cl.recordCrash(held.ContentFingerprint, ended)
	}
	cl.queueEndedLocked(ended)
	cl.mutex.Unlock()
	cl.reportShard(ctx, ended.Shard, false)
}

const (
	// crashMemory is how long a content runs alone after this host saw an engine crash under it.
	crashMemory = 10 * time.Minute
	// maxCrashedContents bounds the memory of these contents.
	maxCrashedContents = 1000
)

// recordCrash records whether an engine crashed under a content. An attempt that ran to its end clears the content. The
// caller holds the mutex.
func (cl *Client) recordCrash(fingerprint id.Fingerprint, ended EndedGrant) {
	now := cl.clock.Now()
	switch {
	case ended.Completed:
		delete(cl.crashedContents, fingerprint)
	case ended.CrashedEngine != "":
		maps.DeleteFunc(cl.crashedContents, func(_ id.Fingerprint, crashedAt time.Time) bool { return now.Sub(crashedAt) > crashMemory })
		if len(cl.crashedContents) < maxCrashedContents {
			cl.crashedContents[fingerprint] = now
		}
	}
}

// hasCrashed reports whether this host recently saw an engine crash under a content.
func (cl *Client) hasCrashed(fingerprint id.Fingerprint) bool {
	cl.mutex.Lock()
	defer cl.mutex.Unlock()
	crashedAt, crashed := cl.crashedContents[fingerprint]
	return crashed && cl.clock.Now().Sub(crashedAt) <= crashMemory
}

// queueEndedLocked queues a report that a grant has ended or that a request was withdrawn. The caller holds the mutex.
func (cl *Client) queueEndedLocked(ended EndedGrant) {
	unreported := append(cl.unreportedEnds[ended.Shard], ended)
	if len(unreported) > maxUnreportedEnds {
		unreported = unreported[len(unreported)-maxUnreportedEnds:]
	}
	cl.unreportedEnds[ended.Shard] = unreported
}

// reportAllShards sends reports for all shards with held grants or unreported ends, and waits for the responses.
func (cl *Client) reportAllShards(ctx context.Context) {
	cl.mutex.Lock()
	shards := map[id.Shard]bool{}
	for _, held := range cl.heldGrants {
		shards[held.Shard] = true
	}
	for shard, ended := range cl.unreportedEnds {
		if len(ended) > 0 {
			shards[shard] = true
		}
	}
	cl.mutex.Unlock()
	var reports tasks.WaitGroup
	for shard := range shards {
		reports.Go(func() { cl.reportShard(ctx, shard, true) })
	}
	reports.Wait()
}

// reportShard reports ended grants and, if includeHeld is set, held grants to a shard's first dispatcher. If the call
// fails, the ended grants are queued again.
func (cl *Client) reportShard(ctx context.Context, shard id.Shard, includeHeld bool) {
	dispatchers := cl.peers.ShardDispatchers(shard)
	if len(dispatchers) == 0 {
		return
	}
	report := cl.takeReport(shard, includeHeld)
	if len(report.HeldGrants) == 0 && len(report.EndedGrants) == 0 {
		return
	}
	ctx, cancel := context.WithTimeout(ctx, reportTimeout)
	defer cancel()
	response, err := cl.peers.SendShardReport(ctx, dispatchers[0], report)
	cl.mutex.Lock()
	defer cl.mutex.Unlock()
	if err != nil {
		cl.metrics.Counter("report_failures").Inc(1)
		cl.unreportedEnds[shard] = append(report.EndedGrants, cl.unreportedEnds[shard]...)
		return
	}
	cl.applyReportResponse(response)
}

// takeReport returns the report of a shard and empties its queue of ended grants.
func (cl *Client) takeReport(shard id.Shard, includeHeld bool) Report {
	cl.mutex.Lock()
	defer cl.mutex.Unlock()
	report := Report{Host: cl.host, Incarnation: cl.incarnation, EndedGrants: cl.unreportedEnds[shard]}
	delete(cl.unreportedEnds, shard)
	if !includeHeld {
		return report
	}
	for _, held := range cl.heldGrants {
		if held.Shard == shard {
			report.HeldGrants = append(report.HeldGrants, held.HeldGrant)
		}
	}
	return report
}

// applyReportResponse records the reported engine loads and signals revoked grants. The caller holds the mutex.
func (cl *Client) applyReportResponse(response ReportResponse) {
	for _, load := range response.EngineLoads {
		cl.engineLoads[load.Engine] = load
	}
	for _, attempt := range response.RevokedAttempts {
		if held, ok := cl.heldGrants[attempt]; ok && !held.isRevoked {
			held.isRevoked = true
			close(held.revocationSignal)
		}
	}
}

// HoldsGrant reports whether the host holds the grant of an attempt.
func (cl *Client) HoldsGrant(attempt id.Attempt) bool {
	cl.mutex.Lock()
	defer cl.mutex.Unlock()
	_, held := cl.heldGrants[attempt]
	return held
}
