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
	ID     string
	PromptTokens id.Tokens
	AnswerTokens id.Tokens
	// ReservedTokens is the memory that the answering engine keeps; zero stands for the prompt and the answer.
	ReservedTokens id.Tokens
	// Urgency orders waiting jobs; 0 goes first.
	Urgency int
	// OnEvent is called for each event with its time; last is set for the final one.
	OnEvent func(at time.Time, last bool)

	// first is the engine that answers.
	first *Engine
	// unread is the part of the prompt that the answering engine still has to read.
	unread float64
	// share is the time that a token of the prompt takes to read, pairs included.
	share time.Duration
	// pending is the number of parts that are not read; ready says that none was when a pass began.
	pending int
	ready   bool
	written id.Tokens
	context id.Tokens
	gone    bool
}

// part is a piece of a prompt that an engine reads.
type part struct {
	job    *Job
	unread float64
}

// Engine is one engine.
type Engine struct {
	spec     route.Engine
	schedule ScheduleFunc
	queue    []*Job
	running  []*Job
	// parts are read for own jobs, helping for those of other engines, which go first.
	parts   []part
	helping []part
	used    id.Tokens
	// busy says that a pass runs, writes that a job writes in it; doing is what it reads.
	busy    bool
	writes  bool
	doing   []piece
	stopped bool
}

// piece is what one pass reads of a part.
type piece struct {
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
func (en *Engine) AssignedJobs() int { return len(en.running) + len(en.queue) }

// Submit gives a job to the engine that answers it and to those that help to read its prompt, in even parts.
func Submit(now time.Time, job *Job, first *Engine, helpers ...*Engine) {
	count := len(helpers) + 1
	tokens := float64(job.PromptTokens)
	pairs := tokens * (tokens + 1) / 2 / 1e6 * float64(first.spec.PrefillPerMillionPairs)
	if job.PromptTokens > 0 {
		job.share = time.Duration(float64(time.Second)/first.spec.PrefillTokensPerSecond + pairs/tokens)
	}
	job.first = first
	job.pending = count
	job.unread = tokens / float64(count)
	if job.ReservedTokens == 0 {
		job.ReservedTokens = job.PromptTokens + job.AnswerTokens
	}
	job.context = job.PromptTokens / id.Tokens(count)
	first.queue = append(first.queue, job)
	for _, helper := range helpers {
		helper.helping = append(helper.helping, part{job: job, unread: job.unread})
		helper.wake(now)
	}
	first.wake(now)
}

// Cancel takes a job away from the engines that work on it. What the running pass reads of it is lost.
func Cancel(job *Job, engines ...*Engine) {
	job.gone = true
	ofJob := func(pt part) bool { return pt.job == job }
	isJob := func(other *Job) bool { return other == job }
	for _, en := range engines {
		en.queue = slices.DeleteFunc(en.queue, isJob)
		en.parts = slices.DeleteFunc(en.parts, ofJob)
		en.helping = slices.DeleteFunc(en.helping, ofJob)
		if slices.Contains(en.running, job) {
			en.used -= job.ReservedTokens
			en.running = slices.DeleteFunc(en.running, isJob)
		}
	}
}

// wake starts a pass on an idle engine.
func (en *Engine) wake(now time.Time) {
	if !en.busy && !en.stopped {
		en.begin(now)
	}
}

// admit lets waiting jobs run while there are slots and memory, more urgent ones first.
func (en *Engine) admit() {
	slices.SortStableFunc(en.queue, func(left, right *Job) int { return cmp.Compare(left.Urgency, right.Urgency) })
	for len(en.queue) > 0 && len(en.running) < en.spec.Slots {
		job := en.queue[0]
		if en.used+job.ReservedTokens > en.spec.Capacity && len(en.running) > 0 {
			return
		}
		en.queue = en.queue[1:]
		en.used += job.ReservedTokens
		en.running = append(en.running, job)
		en.parts = append(en.parts, part{job: job, unread: job.unread})
	}
}

// begin starts a pass: all steps of the stride if a job is writing, each with a chunk to read at most, else the step of
// one chunk.
func (en *Engine) begin(now time.Time) {
	en.admit()
	step, fresh := en.writers()
	length, steps := en.read(now, step)
	if steps == 0 && !en.writes && !fresh {
		en.busy = false
		return
	}
	if en.writes {
		steps = max(steps, en.spec.StepsPerDecodePass)
	}
	en.busy = true
	en.schedule(now.Add(length+time.Duration(max(steps, 1))*step), en.end)
}

// writers notes the jobs that write in the pass that begins. It returns the time of a step and whether there is a job
// whose first event is due.
func (en *Engine) writers() (step time.Duration, fresh bool) {
	step = en.spec.StepTime
	en.writes = false
	for _, job := range en.running {
		job.ready = job.pending == 0
		switch {
		case job.written > 0:
			en.writes = true
			step += en.spec.StepPerSequence + time.Duration(float64(job.context+job.written)/1000*float64(en.spec.StepPerThousandContextTokens))
		case job.ready:
			fresh = true
		}
	}
	return step, fresh
}

// read chooses what the pass that begins reads. Parts for other engines are done as soon as they are read, own ones at
// the end of the pass. It returns the time that the reading takes and the steps that it needs.
func (en *Engine) read(now time.Time, step time.Duration) (length time.Duration, steps int) {
	chunk := float64(en.spec.PrefillChunk)
	budget := chunk
	if en.writes {
		budget *= float64(en.spec.StepsPerDecodePass)
	}
	en.doing = en.doing[:0]
	for ix, pt := range append(slices.Clone(en.helping), en.parts...) {
		take := min(pt.unread, budget)
		if take <= 0 {
			break
		}
		budget -= take
		length += time.Duration(take * float64(pt.job.share))
		steps += int(math.Ceil(take / chunk))
		pc := piece{job: pt.job, tokens: take}
		if ix < len(en.helping) {
			en.schedule(now.Add(length+time.Duration(steps)*step), func(now time.Time) { en.finish(now, pc) })
			continue
		}
		if take >= pt.unread && pt.job.pending == 1 {
			pt.job.ready = true
		}
		en.doing = append(en.doing, pc)
	}
	return length, steps
}

// end ends the pass that runs and starts the next one.
func (en *Engine) end(now time.Time) {
	if en.stopped {
		return
	}
	for _, pc := range en.doing {
		en.finish(now, pc)
	}
	en.write(now)
	en.begin(now)
}

// write makes an event of each job whose prompt has been read.
func (en *Engine) write(now time.Time) {
	var done []*Job
	for _, job := range en.running {
		if !job.ready {
			continue
		}
		job.written += id.Tokens(en.spec.StepsPerDecodePass)
		last := job.written >= job.AnswerTokens
		job.OnEvent(now, last)
		if last {
			done = append(done, job)
		}
	}
	for _, job := range done {
		en.used -= job.ReservedTokens
		en.running = slices.DeleteFunc(en.running, func(other *Job) bool { return other == job })
	}
}

// finish takes what a pass has read off a part.
func (en *Engine) finish(now time.Time, pc piece) {
	if en.stopped || pc.job.gone {
		return
	}
	for _, list := range []*[]part{&en.helping, &en.parts} {
		at := slices.IndexFunc(*list, func(pt part) bool { return pt.job == pc.job })
		if at < 0 {
			continue
		}
		pt := &(*list)[at]
		pt.unread -= pc.tokens
		if pt.unread > 0.5 {
			return
		}
		*list = slices.Delete(*list, at, at+1)
		pc.job.pending--
		if pc.job.pending == 0 {
			pc.job.first.wake(now)
		}
		return
	}
}
