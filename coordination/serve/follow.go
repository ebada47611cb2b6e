package serve

import (
	"context"
	"slices"
	"sync"

	"github.com/hibiscuslever/hibiscuslever/coordination/dispatch"
	"github.com/hibiscuslever/hibiscuslever/coordination/retry"
	"github.com/hibiscuslever/hibiscuslever/state/id"
	"github.com/hibiscuslever/hibiscuslever/timer"
)

type resultKind int

const (
	complete resultKind = iota + 1
	callerGone
	contextEnded
	crashed
	unresponsive
	failed
)

// result is how an attempt ended.
type result struct {
	kind     resultKind
	cause    retry.Cause
	engine   id.Engine
	draining bool
	// readers are the goroutines that may still be opening streams of the attempt.
	readers *sync.WaitGroup
}

// String returns the result as spans name it.
func (rs result) String() string {
	switch rs.kind {
	case complete:
		return "complete"
	case callerGone:
		return "caller_gone"
	case contextEnded:
		return "timeout"
	case crashed:
		return "crashed"
	default:
		return rs.cause.String()
	}
}

// looksPerSilence is how often a stream is looked at within the time after which silence is probed.
const looksPerSilence = 4

// arrival is a frame, or the end of a stream, of one part of a gang.
type arrival struct {
	part   int
	frame  Frame
	opened *OpenResult
	err    error
}

// follower follows the streams of one attempt.
type follower struct {
	runner   *Runner
	pg       *progress
	grant    dispatch.Grant
	arrivals chan arrival
	// pending counts followers that have not processed their part.
	pending int
	// early holds tokens that arrived before every follower was ready.
	early   []Frame
	resumes int
	// unrefused counts the engines that have not refused to start their part.
	unrefused int
	// started says that the dispatcher was told of the first token.
	started bool
	readers sync.WaitGroup
}

// follow opens the streams of an attempt and passes tokens to the sink until the answer is whole or something failed.
func (rn *Runner) follow(ctx context.Context, pg *progress, grant dispatch.Grant) result {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	fw := &follower{
		runner:   rn,
		pg:       pg,
		grant:    grant,
		arrivals: make(chan arrival),
		pending:  len(grant.Parts) - 1,
	}
	for ix := range grant.Parts {
		st := fw.start(ix)
		fw.readers.Go(func() { fw.read(ctx, ix, st, false) })
	}
	fw.unrefused = len(grant.Parts)
	rs := fw.run(ctx)
	rs.readers = &fw.readers
	// A start that no engine has refused may run, even if its answer has not come.
	pg.sent = pg.sent || fw.unrefused > 0
	return rs
}

func (fw *follower) start(ix int) StreamRequest {
	part := fw.grant.Parts[ix]
	return StreamRequest{
		Attempt:  fw.grant.Attempt,
		Address:  part.Address,
		Model:    fw.pg.call.Model,
		Body:     fw.pg.call.Body,
		Priority: fw.grant.Priority,
		FirstToken:     fw.pg.next,
		PartTokens:     part.PromptTokens,
		Follower: ix > 0,
		PrefixHashes:   fw.pg.call.PrefixHashes,
	}
}

// read opens a stream and passes its frames on until it ends or the context does.
func (fw *follower) read(ctx context.Context, ix int, st StreamRequest, resume bool) {
	open := fw.runner.engines.Open
	if resume {
		open = fw.runner.engines.Resume
	}
	opened := open(ctx, st)
	if !fw.send(ctx, arrival{part: ix, opened: &opened}) || opened.Stream == nil {
		if opened.Stream != nil {
			opened.Stream.Close()
		}
		return
	}
	defer opened.Stream.Close()
	for {
		frame, err := opened.Stream.Next()
		if !fw.send(ctx, arrival{part: ix, frame: frame, err: err}) || err != nil {
			return
		}
	}
}

func (fw *follower) send(ctx context.Context, ar arrival) bool {
	select {
	case fw.arrivals <- ar:
		return true
	case <-ctx.Done():
		return false
	}
}

func (fw *follower) run(ctx context.Context) result {
	rn := fw.runner
	lapsed := rn.dispatchers.Revoked(fw.grant.Attempt)
	probes := make(chan result, 1)
	probing := false
	looks := make(chan struct{}, 1)
	sub := timer.Every(rn.clock, rn.config.IdleBeforeProbe/looksPerSilence, func() {
		select {
		case looks <- struct{}{}:
		default:
		}
	})
	defer sub.Stop()
	last := rn.clock.Now()
	for {
		select {
		case ar := <-fw.arrivals:
			last = rn.clock.Now()
			if rs, ended := fw.arrived(ctx, ar); ended {
				return rs
			}
		case <-looks:
			if !probing && rn.clock.Now().Sub(last) >= rn.config.IdleBeforeProbe {
				probing = true
				go fw.probe(ctx, probes)
			}
		case found := <-probes:
			probing = false
			if found.kind != failed {
				return found
			}
			last = rn.clock.Now()
		case <-lapsed:
			return result{kind: failed, cause: retry.Preempted, engine: fw.grant.Parts[0].Engine}
		case <-ctx.Done():
			return result{kind: contextEnded}
		}
	}
}

// probe asks every engine of the attempt whether it answers.
func (fw *follower) probe(ctx context.Context, probes chan<- result) {
	probes <- fw.lost(ctx, 0)
}

// lost finds out which engine of the attempt does not answer, asking all at once. If all answer, the result names
// the engine of the part whose stream failed.
func (fw *follower) lost(ctx context.Context, part int) result {
	ctx, cancel := context.WithTimeout(ctx, fw.runner.config.EngineCallTimeout)
	defer cancel()
	healths := make([]Health, len(fw.grant.Parts))
	var group sync.WaitGroup
	for ix, candidate := range fw.grant.Parts {
		group.Go(func() { healths[ix] = fw.runner.engines.ProbeHealth(ctx, candidate.Address) })
	}
	group.Wait()
	if ix := slices.Index(healths, Unreachable); ix >= 0 {
		return result{kind: crashed, engine: fw.grant.Parts[ix].Engine}
	}
	if ix := slices.Index(healths, Unresponsive); ix >= 0 {
		return result{kind: unresponsive, cause: retry.Interrupted, engine: fw.grant.Parts[ix].Engine}
	}
	return result{kind: failed, cause: retry.Interrupted, engine: fw.grant.Parts[part].Engine}
}

// arrived takes one arrival and reports whether the attempt has ended.
func (fw *follower) arrived(ctx context.Context, ar arrival) (result, bool) {
	switch {
	case ar.opened != nil:
		return fw.opened(ctx, ar)
	case ar.err != nil:
		return fw.cut(ctx, ar)
	case ar.frame.Attempt != fw.grant.Attempt:
		fw.runner.metrics.Counter("frames_of_other_attempts").Inc(1)
		return result{}, false
	case ar.part > 0:
		return fw.followerFrame(ar.frame)
	default:
		return fw.leaderFrame(ar.frame)
	}
}

func (fw *follower) opened(ctx context.Context, ar arrival) (result, bool) {
	if ar.opened.Stream != nil {
		return result{}, false
	}
	engine := fw.grant.Parts[ar.part].Engine
	if ar.opened.FailureCause == retry.Interrupted {
		return fw.lost(ctx, ar.part), true
	}
	fw.unrefused--
	return result{kind: failed, cause: ar.opened.FailureCause, engine: engine, draining: ar.opened.Draining}, true
}

// cut handles a stream that ended before its last frame: the same attempt is opened again while its engine lives.
func (fw *follower) cut(ctx context.Context, ar arrival) (result, bool) {
	if ar.part > 0 && fw.pending == 0 || ar.part == 0 && fw.wholeEarly() {
		return result{}, false
	}
	fw.runner.metrics.Counter("streams_cut").Inc(1)
	rs := fw.lost(ctx, ar.part)
	if ctx.Err() != nil {
		return result{kind: contextEnded}, true
	}
	if rs.kind != failed || fw.resumes >= fw.runner.config.MaxResumes {
		return rs, true
	}
	fw.resumes++
	fw.runner.metrics.Counter("streams_resumed").Inc(1)
	st := fw.start(ar.part)
	fw.readers.Go(func() { fw.read(ctx, ar.part, st, true) })
	return result{}, false
}

// wholeEarly reports whether the leader has sent its whole answer before every follower was ready.
func (fw *follower) wholeEarly() bool {
	return slices.ContainsFunc(fw.early, func(frame Frame) bool { return frame.Kind == AnswerEnd })
}

func (fw *follower) followerFrame(frame Frame) (result, bool) {
	if frame.Kind != FollowerReady || fw.pending == 0 {
		return result{}, false
	}
	fw.pending--
	if fw.pending > 0 {
		return result{}, false
	}
	early := fw.early
	fw.early = nil
	for _, held := range early {
		if rs, ended := fw.leaderFrame(held); ended {
			return rs, true
		}
	}
	return result{}, false
}

func (fw *follower) leaderFrame(frame Frame) (result, bool) {
	if fw.pending > 0 {
		fw.early = append(fw.early, frame)
		return result{}, false
	}
	pg := fw.pg
	switch {
	case frame.Kind == Token && frame.TokenIndex == pg.next:
		return fw.deliver(frame)
	case frame.Kind == Token && frame.TokenIndex < pg.next:
		fw.runner.metrics.Counter("frames_duplicated").Inc(1)
		return result{}, false
	case frame.Kind == AnswerEnd && frame.TokenCount == pg.next:
		pg.summary.FinishReason = frame.FinishReason
		pg.summary.PromptTokens = frame.PromptTokens
		return result{kind: complete}, true
	default:
		fw.runner.metrics.Counter("frames_missing").Inc(1)
		return result{kind: failed, cause: retry.Interrupted, engine: fw.grant.Parts[0].Engine}, true
	}
}

func (fw *follower) deliver(frame Frame) (result, bool) {
	pg := fw.pg
	if pg.next == 0 {
		pg.summary.TimeToFirstToken = fw.runner.clock.Now().Sub(pg.started)
	}
	if !fw.started {
		fw.started = true
		fw.runner.dispatchers.ReportStarted(fw.grant.Attempt)
	}
	if pg.sink.Token(frame.TokenIndex, frame.Text) != nil {
		return result{kind: callerGone}, true
	}
	pg.next++
	pg.summary.DeliveredTokens = pg.next
	return result{}, false
}
