// Package enginesim simulates model engines on virtual time. It stands in for the engines of the users' platform when
// dispatch policies are compared. The engines work in passes: a pass is a series of decoding steps, and jobs start, get
// events and end only between passes.
package enginesim

import (
	"cmp"
	"math"
	"slices"
	"time"

	"github.com/hibiscuslever/hibiscuslever/state/id"
	"github.com/hibiscuslever/hibiscuslever/state/route"
)

// ScheduleFunc schedules a call at a virtual time. Calls must run one after another, in the order of their times.
type ScheduleFunc func(at time.Time, call func(now time.Time))

// Job is a request that one engine answers. Other engines may help to read its prompt.
type Job struct {
	ID           string
	PromptTokens id.Tokens
	AnswerTokens id.Tokens
	// ReservedTokens is the memory that the answering engine reserves for the job. If it is zero, Submit sets it to the
	// size of the prompt and the answer together.
	ReservedTokens id.Tokens
	// Urgency orders waiting jobs; lower values go first.
	Urgency int
	// OnEvent is called with the time of each event of the answer; last is set for the final one. Each event stands for
	// StepsPerDecodePass tokens.
	OnEvent func(at time.Time, last bool)

	// answeringEngine is the engine that produces the answer.
	answeringEngine *Engine
	// partTokens is the size of the part of the prompt that each engine of the job reads. It need not be a whole
	// number.
	partTokens float64
	// prefillTimePerToken is the average time to read a prompt token, including the attention to all earlier tokens.
	prefillTimePerToken time.Duration
	// pendingParts is the number of parts of the prompt that have not been read completely.
	pendingParts int
	// emitsInPass means that the current pass ends with an event of the job, because the prompt has been read by then.
	emitsInPass    bool
	producedTokens id.Tokens
	// contextTokens is the part of the prompt in the memory of the answering engine, which slows down its decoding
	// steps.
	contextTokens id.Tokens
	cancelled     bool
}

// promptPart is the part of a prompt that one engine reads.
type promptPart struct {
	job             *Job
	remainingTokens float64
}

// Engine is a simulated engine. It is not safe for concurrent use.
type Engine struct {
	profile  route.EngineProfile
	schedule ScheduleFunc
	// waiting jobs have no memory and no slot yet, running ones do.
	waiting []*Job
	running []*Job
	// ownParts are prompt parts of jobs that this engine answers, partsForOthers those of jobs that other engines
	// answer. The latter are read first.
	ownParts       []promptPart
	partsForOthers []promptPart
	reservedTokens id.Tokens
	// passRunning is set during a pass, decoding if a job is past its first event in that pass.
	passRunning bool
	decoding    bool
	// ownPassPieces are the pieces of ownParts that the current pass reads.
	ownPassPieces []prefillPiece
	stopped       bool
}

// prefillPiece is the piece of a job's prompt part that one pass reads.
type prefillPiece struct {
	job    *Job
	tokens float64
}

// New returns an idle engine.
func New(profile route.EngineProfile, schedule ScheduleFunc) *Engine {
	return &Engine{profile: profile, schedule: schedule}
}

// Stop stops the engine permanently. Its jobs get no more events, and the parts of prompts that it had to read stay
// unread.
func (en *Engine) Stop() { en.stopped = true }

// AssignedJobs returns the number of jobs that the engine answers, waiting ones included.
func (en *Engine) AssignedJobs() int { return len(en.running) + len(en.waiting) }

// Submit assigns a job to the engine that answers it and to helpers that read parts of its prompt. All engines read
// parts of the same size.
func Submit(now time.Time, job *Job, answeringEngine *Engine, helpers ...*Engine) {
	partCount := len(helpers) + 1
	promptTokens := float64(job.PromptTokens)
	attentionTime := promptTokens * (promptTokens + 1) / 2 / 1e6 * float64(answeringEngine.profile.PrefillPerMillionPairs)
	if job.PromptTokens > 0 {
		job.prefillTimePerToken = time.Duration(float64(time.Second)/answeringEngine.profile.PrefillTokensPerSecond + attentionTime/promptTokens)
	}
	job.answeringEngine = answeringEngine
	job.pendingParts = partCount
	job.partTokens = promptTokens / float64(partCount)
	if job.ReservedTokens == 0 {
		job.ReservedTokens = job.PromptTokens + job.AnswerTokens
	}
	job.contextTokens = job.PromptTokens / id.Tokens(partCount)
	answeringEngine.waiting = append(answeringEngine.waiting, job)
	for _, helper := range helpers {
		helper.partsForOthers = append(helper.partsForOthers, promptPart{job: job, remainingTokens: job.partTokens})
		helper.startIfIdle(now)
	}
	answeringEngine.startIfIdle(now)
}

// Cancel removes a job from the given engines, which must be all those that work on it, and releases its memory. The
// running passes still take as long as planned, but what they read for the job is discarded.
func Cancel(job *Job, engines ...*Engine) {
	job.cancelled = true
	isPartOfJob := func(part promptPart) bool { return part.job == job }
	isJob := func(other *Job) bool { return other == job }
	for _, engine := range engines {
		engine.waiting = slices.DeleteFunc(engine.waiting, isJob)
		engine.ownParts = slices.DeleteFunc(engine.ownParts, isPartOfJob)
		engine.partsForOthers = slices.DeleteFunc(engine.partsForOthers, isPartOfJob)
		if slices.Contains(engine.running, job) {
			engine.reservedTokens -= job.ReservedTokens
			engine.running = slices.DeleteFunc(engine.running, isJob)
		}
	}
}

// startIfIdle begins a pass if none is running and the engine has not been stopped.
func (en *Engine) startIfIdle(now time.Time) {
	if !en.passRunning && !en.stopped {
		en.beginPass(now)
	}
}

// admit starts waiting jobs, most urgent first, while there are free slots and memory. It stops at the first job that
// does not fit. A job that is larger than the whole memory runs alone.
func (en *Engine) admit() {
	slices.SortStableFunc(en.waiting, func(left, right *Job) int { return cmp.Compare(left.Urgency, right.Urgency) })
	for len(en.waiting) > 0 && len(en.running) < en.profile.Slots {
		job := en.waiting[0]
		if en.reservedTokens+job.ReservedTokens > en.profile.Capacity && len(en.running) > 0 {
			return
		}
		en.waiting = en.waiting[1:]
		en.reservedTokens += job.ReservedTokens
		en.running = append(en.running, job)
		en.ownParts = append(en.ownParts, promptPart{job: job, remainingTokens: job.partTokens})
	}
}

// beginPass begins a pass, or leaves the engine idle if there is nothing to do. If a job is decoding, the pass reads at
// most StepsPerDecodePass chunks of prompts and has that many steps, or more if the pieces that it reads need more.
// Otherwise it reads at most one chunk, or has the one step that produces first events. Each piece needs at least one
// step.
func (en *Engine) beginPass(now time.Time) {
	en.admit()
	stepTime, firstEventDue := en.prepareDecoding()
	prefillTime, steps := en.planPrefill(now, stepTime)
	if steps == 0 && !en.decoding && !firstEventDue {
		en.passRunning = false
		return
	}
	if en.decoding {
		steps = max(steps, en.profile.StepsPerDecodePass)
	}
	en.passRunning = true
	en.schedule(now.Add(prefillTime+time.Duration(max(steps, 1))*stepTime), en.endPass)
}

// prepareDecoding marks the jobs that get an event in the pass that begins. It returns the duration of a decoding step
// and whether a job whose prompt has been read is due for its first event.
func (en *Engine) prepareDecoding() (stepTime time.Duration, firstEventDue bool) {
	stepTime = en.profile.StepTime
	en.decoding = false
	for _, job := range en.running {
		job.emitsInPass = job.pendingParts == 0
		switch {
		case job.producedTokens > 0:
			en.decoding = true
			stepTime += en.profile.StepPerSequence + time.Duration(float64(job.contextTokens+job.producedTokens)/1000*float64(en.profile.StepPerThousandContextTokens))
		case job.emitsInPass:
			firstEventDue = true
		}
	}
	return stepTime, firstEventDue
}

// planPrefill chooses the prompt pieces that the next pass reads. Pieces for jobs of other engines are finished as soon
// as they are read, those for jobs of this engine at the end of the pass. It returns the time for reading, which is
// added to that of the steps, and the number of steps needed.
func (en *Engine) planPrefill(now time.Time, stepTime time.Duration) (prefillTime time.Duration, steps int) {
	chunkTokens := float64(en.profile.PrefillChunk)
	tokenBudget := chunkTokens
	if en.decoding {
		tokenBudget *= float64(en.profile.StepsPerDecodePass)
	}
	en.ownPassPieces = en.ownPassPieces[:0]
	for index, part := range append(slices.Clone(en.partsForOthers), en.ownParts...) {
		pieceTokens := min(part.remainingTokens, tokenBudget)
		if pieceTokens <= 0 {
			break
		}
		tokenBudget -= pieceTokens
		prefillTime += time.Duration(pieceTokens * float64(part.job.prefillTimePerToken))
		steps += int(math.Ceil(pieceTokens / chunkTokens))
		piece := prefillPiece{job: part.job, tokens: pieceTokens}
		if index < len(en.partsForOthers) {
			en.schedule(now.Add(prefillTime+time.Duration(steps)*stepTime), func(now time.Time) { en.finishPiece(now, piece) })
			continue
		}
		if pieceTokens >= part.remainingTokens && part.job.pendingParts == 1 {
			part.job.emitsInPass = true
		}
		en.ownPassPieces = append(en.ownPassPieces, piece)
	}
	return prefillTime, steps
}

// endPass finishes the pieces in ownPassPieces, delivers its events and begins the next pass.
func (en *Engine) endPass(now time.Time) {
	if en.stopped {
		return
	}
	for _, piece := range en.ownPassPieces {
		en.finishPiece(now, piece)
	}
	en.emitEvents(now)
	en.beginPass(now)
}

// emitEvents delivers an event to each job marked for this pass and removes the jobs whose answer is complete. Each
// event stands for StepsPerDecodePass tokens.
func (en *Engine) emitEvents(now time.Time) {
	var finished []*Job
	for _, job := range en.running {
		if !job.emitsInPass {
			continue
		}
		job.producedTokens += id.Tokens(en.profile.StepsPerDecodePass)
		last := job.producedTokens >= job.AnswerTokens
		job.OnEvent(now, last)
		if last {
			finished = append(finished, job)
		}
	}
	for _, job := range finished {
		en.reservedTokens -= job.ReservedTokens
		en.running = slices.DeleteFunc(en.running, func(other *Job) bool { return other == job })
	}
}

// finishPiece subtracts a piece that has been read from its prompt part. When the last part of the prompt is complete,
// the answering engine begins a pass if it is idle.
func (en *Engine) finishPiece(now time.Time, piece prefillPiece) {
	if en.stopped || piece.job.cancelled {
		return
	}
	for _, parts := range []*[]promptPart{&en.partsForOthers, &en.ownParts} {
		index := slices.IndexFunc(*parts, func(part promptPart) bool { return part.job == piece.job })
		if index < 0 {
			continue
		}
		part := &(*parts)[index]
		part.remainingTokens -= piece.tokens
		// Parts need not be whole numbers of tokens, so less than half a token left counts as complete.
		if part.remainingTokens > 0.5 {
			return
		}
		*parts = slices.Delete(*parts, index, index+1)
		piece.job.pendingParts--
		if piece.job.pendingParts == 0 {
			piece.job.answeringEngine.startIfIdle(now)
		}
		return
	}
}
