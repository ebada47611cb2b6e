// Package passes is a model of engines that work in passes, on virtual time. It stands in for the engines of the
// users' platform when policies are compared.
package passes

import (
	"cmp"
	"math"
	"slices"
	"time"

	"github.com/hibiscuslever/hibiscuslever/state/id"
	"github.com/hibiscuslever/hibiscuslever/state/route"
)

// ScheduleFunc calls a function at a time.
type ScheduleFunc func(at time.Time, call func(now time.Time))

// Job is one request on an engine.
type Job struct {
	ID           string
	PromptTokens id.Tokens
	AnswerTokens id.Tokens
	// ReservedTokens is the memory that the answering engine keeps; zero stands for the prompt and the answer.
	ReservedTokens id.Tokens
	// Urgency orders waiting jobs; 0 goes first.
	Urgency int
	// OnEvent is called for each event with its time; last is set for the final one.
	OnEvent func(at time.Time, last bool)

	// answering is the engine that answers.
	answering *Engine
	// partTokens is the part of the prompt that the answering engine still has to read.
	partTokens float64
	// prefillTimePerToken is the time that a token of the prompt takes to read, pairs included.
	prefillTimePerToken time.Duration
	// unreadParts is the number of parts that are not read; ready says that none was when a pass began.
	unreadParts    int
	emitsInPass    bool
	producedTokens id.Tokens
	contextTokens  id.Tokens
	cancelled      bool
}

// promptPart is a piece of a prompt that an engine reads.
type promptPart struct {
	job             *Job
	remainingTokens float64
}

// Engine is one engine.
type Engine struct {
	spec     route.Engine
	schedule ScheduleFunc
	waiting  []*Job
	running  []*Job
	// ownParts are read for own jobs, helping for those of other engines, which go first.
	ownParts       []promptPart
	partsForOthers []promptPart
	reservedTokens id.Tokens
	// passRunning says that a pass runs, writes that a job writes in it; doing is what it reads.
	passRunning bool
	decoding    bool
	passPieces  []prefillPiece
	stopped     bool
}

// prefillPiece is what one pass reads of a part.
type prefillPiece struct {
	job    *Job
	tokens float64
}

// New returns an idle engine.
func New(spec route.Engine, schedule ScheduleFunc) *Engine {
	return &Engine{spec: spec, schedule: schedule}
}

// Stop ends an engine: it does nothing more.
func (en *Engine) Stop() { en.stopped = true }

// AssignedJobs returns the number of jobs that the engine answers.
func (en *Engine) AssignedJobs() int { return len(en.running) + len(en.waiting) }

// Submit gives a job to the engine that answers it and to those that help to read its prompt, in even parts.
func Submit(now time.Time, job *Job, answering *Engine, helpers ...*Engine) {
	partCount := len(helpers) + 1
	promptTokens := float64(job.PromptTokens)
	pairsTime := promptTokens * (promptTokens + 1) / 2 / 1e6 * float64(answering.spec.PerMillionPairs)
	if job.PromptTokens > 0 {
		job.prefillTimePerToken = time.Duration(float64(time.Second)/answering.spec.ReadPerSecond + pairsTime/promptTokens)
	}
	job.answering = answering
	job.unreadParts = partCount
	job.partTokens = promptTokens / float64(partCount)
	if job.ReservedTokens == 0 {
		job.ReservedTokens = job.PromptTokens + job.AnswerTokens
	}
	job.contextTokens = job.PromptTokens / id.Tokens(partCount)
	answering.waiting = append(answering.waiting, job)
	for _, helper := range helpers {
		helper.partsForOthers = append(helper.partsForOthers, promptPart{job: job, remainingTokens: job.partTokens})
		helper.startIfIdle(now)
	}
	answering.startIfIdle(now)
}

// Cancel takes a job away from the engines that work on it. What the running pass reads of it is lost.
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

// startIfIdle starts a pass on an idle engine.
func (en *Engine) startIfIdle(now time.Time) {
	if !en.passRunning && !en.stopped {
		en.beginPass(now)
	}
}

// admit lets waiting jobs run while there are slots and memory, more urgent ones first.
func (en *Engine) admit() {
	slices.SortStableFunc(en.waiting, func(left, right *Job) int { return cmp.Compare(left.Urgency, right.Urgency) })
	for len(en.waiting) > 0 && len(en.running) < en.spec.Slots {
		job := en.waiting[0]
		if en.reservedTokens+job.ReservedTokens > en.spec.Capacity && len(en.running) > 0 {
			return
		}
		en.waiting = en.waiting[1:]
		en.reservedTokens += job.ReservedTokens
		en.running = append(en.running, job)
		en.ownParts = append(en.ownParts, promptPart{job: job, remainingTokens: job.partTokens})
	}
}

// beginPass starts a pass: all steps of the stride if a job is writing, each with a chunk to read at most, else the step of
// one chunk.
func (en *Engine) beginPass(now time.Time) {
	en.admit()
	stepTime, firstEventDue := en.prepareDecoding()
	prefillTime, steps := en.planPrefill(now, stepTime)
	if steps == 0 && !en.decoding && !firstEventDue {
		en.passRunning = false
		return
	}
	if en.decoding {
		steps = max(steps, en.spec.Stride)
	}
	en.passRunning = true
	en.schedule(now.Add(prefillTime+time.Duration(max(steps, 1))*stepTime), en.endPass)
}

// prepareDecoding notes the jobs that write in the pass that begins. It returns the time of a step and whether there is a job
// whose first event is due.
func (en *Engine) prepareDecoding() (stepTime time.Duration, firstEventDue bool) {
	stepTime = en.spec.Step
	en.decoding = false
	for _, job := range en.running {
		job.emitsInPass = job.unreadParts == 0
		switch {
		case job.producedTokens > 0:
			en.decoding = true
			stepTime += en.spec.PerWriter + time.Duration(float64(job.contextTokens+job.producedTokens)/1000*float64(en.spec.PerThousand))
		case job.emitsInPass:
			firstEventDue = true
		}
	}
	return stepTime, firstEventDue
}

// planPrefill chooses what the pass that begins reads. Parts for other engines are done as soon as they are read, own ones at
// the end of the pass. It returns the time that the reading takes and the steps that it needs.
func (en *Engine) planPrefill(now time.Time, stepTime time.Duration) (prefillTime time.Duration, steps int) {
	chunkTokens := float64(en.spec.Chunk)
	tokenBudget := chunkTokens
	if en.decoding {
		tokenBudget *= float64(en.spec.Stride)
	}
	en.passPieces = en.passPieces[:0]
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
		if pieceTokens >= part.remainingTokens && part.job.unreadParts == 1 {
			part.job.emitsInPass = true
		}
		en.passPieces = append(en.passPieces, piece)
	}
	return prefillTime, steps
}

// endPass ends the pass that runs and starts the next one.
func (en *Engine) endPass(now time.Time) {
	if en.stopped {
		return
	}
	for _, piece := range en.passPieces {
		en.finishPiece(now, piece)
	}
	en.emitEvents(now)
	en.beginPass(now)
}

// emitEvents makes an event of each job whose prompt has been read.
func (en *Engine) emitEvents(now time.Time) {
	var finished []*Job
	for _, job := range en.running {
		if !job.emitsInPass {
			continue
		}
		job.producedTokens += id.Tokens(en.spec.Stride)
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

// finishPiece takes what a pass has read off a part.
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
		if part.remainingTokens > 0.5 {
			return
		}
		*parts = slices.Delete(*parts, index, index+1)
		piece.job.unreadParts--
		if piece.job.unreadParts == 0 {
			piece.job.answering.startIfIdle(now)
		}
		return
	}
}
