// Package passes is a model of engines that work in passes, on virtual time. It stands in for the engines of the
// users' platform when policies are compared.
package passes

import (
	"cmp"
	"slices"
	"time"

	"github.com/hibiscuslever/hibiscuslever/state/id"
	"github.com/hibiscuslever/hibiscuslever/state/route"
)

// Job is one request on an engine.
type Job struct {
	ID     string
	Prompt id.Tokens
	Answer id.Tokens
	// Kept is the memory that the answering engine keeps; zero stands for the prompt and the answer.
	Kept id.Tokens
	// Urgency orders waiting jobs; 0 goes first.
	Urgency int
	Arrived time.Time
	// Event is called for each event with its time; last is set for the final one.
	Event func(at time.Time, last bool)

	// unread is the part of the prompt that the answering engine still has to read.
	unread float64
	// share is the time that a token of the prompt takes to read, pairs included.
	share   time.Duration
	pending int
	written id.Tokens
	context id.Tokens
}

// part is a piece of a prompt that an engine reads.
type part struct {
	job    *Job
	unread float64
}

// Engine is one engine.
type Engine struct {
	spec    route.Engine
	queue   []*Job
	running []*Job
	parts   []part
	helping []part
	// ends is when the pass that runs ends; zero while the engine is idle.
	ends   time.Time
	used   id.Tokens
	doing  []piece
	writes bool
	// reading and passing add up the time of reading and of all passes.
	reading time.Duration
	passing time.Duration
}

// piece is what one pass reads of a part.
type piece struct {
	job    *Job
	tokens float64
}

// New returns an idle engine.
func New(spec route.Engine) *Engine {
	return &Engine{spec: spec}
}

// Running returns the number of jobs that the engine answers.
func (en *Engine) Running() int { return len(en.running) + len(en.queue) }

// Submit gives a job to the engine that answers it and to those that help to read its prompt, in even parts.
func Submit(now time.Time, job *Job, first *Engine, helpers ...*Engine) {
	count := len(helpers) + 1
	tokens := float64(job.Prompt)
	pairs := tokens * (tokens + 1) / 2 / 1e6 * float64(first.spec.PerMillionPairs)
	if job.Prompt > 0 {
		job.share = time.Duration(float64(time.Second)/first.spec.ReadPerSecond + pairs/tokens)
	}
	job.Arrived = now
	job.pending = count
	job.unread = tokens / float64(count)
	if job.Kept == 0 {
		job.Kept = job.Prompt + job.Answer
	}
	job.context = job.Prompt / id.Tokens(count)
	first.queue = append(first.queue, job)
	for _, helper := range helpers {
		helper.helping = append(helper.helping, part{job: job, unread: tokens / float64(count)})
		helper.wake(now)
	}
	first.wake(now)
}

// Ends returns when the running pass ends, or false while the engine is idle.
func (en *Engine) Ends() (time.Time, bool) { return en.ends, !en.ends.IsZero() }

// wake starts a pass on an idle engine.
func (en *Engine) wake(now time.Time) {
	if en.ends.IsZero() {
		en.begin(now)
	}
}

// admit lets waiting jobs run while there are slots and memory, more urgent ones first.
func (en *Engine) admit() {
	slices.SortStableFunc(en.queue, func(left, right *Job) int { return cmp.Compare(left.Urgency, right.Urgency) })
	for len(en.queue) > 0 && len(en.running) < en.spec.Slots {
		job := en.queue[0]
		if en.used+job.Kept > en.spec.Capacity && len(en.running) > 0 {
			return
		}
		en.queue = en.queue[1:]
		en.used += job.Kept
		en.running = append(en.running, job)
		en.parts = append(en.parts, part{job: job, unread: job.unread})
	}
}

// begin starts a pass: all steps of the stride if a job writes or begins to, else as many as the reading takes.
func (en *Engine) begin(now time.Time) {
	en.admit()
	step := en.spec.Step
	writers := 0
	for _, job := range en.running {
		if job.pending == 0 {
			writers++
			step += en.spec.PerWriter + time.Duration(float64(job.context+job.written)/1000*float64(en.spec.PerThousand))
		}
	}
	reading := append(slices.Clone(en.helping), en.parts...)
	if writers == 0 && len(reading) == 0 {
		en.ends = time.Time{}
		return
	}
	en.writes = writers > 0
	begins := false
	budget := float64(en.spec.Stride) * float64(en.spec.Chunk)
	en.doing = en.doing[:0]
	var length time.Duration
	var tokens float64
	for _, pt := range reading {
		take := min(pt.unread, budget-tokens)
		if take <= 0 {
			break
		}
		tokens += take
		length += time.Duration(take * float64(pt.job.share))
		en.doing = append(en.doing, piece{job: pt.job, tokens: take})
		begins = begins || take >= pt.unread && pt.job.pending == 1 && slices.Contains(en.running, pt.job)
	}
	// A job whose prompt is read within the pass writes in it.
	en.writes = en.writes || begins
	steps := en.spec.Stride
	if !en.writes {
		steps = int(tokens/float64(en.spec.Chunk)) + 1
	}
	en.reading += length
	en.passing += length + time.Duration(steps)*step
	en.ends = now.Add(length + time.Duration(steps)*step)
}

// End ends the pass that runs and starts the next one.
func (en *Engine) End() {
	now := en.ends
	for _, pc := range en.doing {
		en.read(pc)
	}
	if en.writes {
		en.write(now)
	}
	en.begin(now)
}

// write makes an event of each job whose prompt has been read.
func (en *Engine) write(now time.Time) {
	var done []*Job
	for _, job := range en.running {
		if job.pending > 0 {
			continue
		}
		job.written += id.Tokens(en.spec.Stride)
		last := job.written >= job.Answer
		job.Event(now, last)
		if last {
			done = append(done, job)
		}
	}
	for _, job := range done {
		en.used -= job.Kept
		en.running = slices.DeleteFunc(en.running, func(other *Job) bool { return other == job })
	}
}

// read takes what a pass has read off a part.
func (en *Engine) read(pc piece) {
	for _, list := range []*[]part{&en.helping, &en.parts} {
		for ix := range *list {
			pt := &(*list)[ix]
			if pt.job != pc.job {
				continue
			}
			pt.unread -= pc.tokens
			if pt.unread > 0.5 {
				return
			}
			*list = slices.Delete(*list, ix, ix+1)
			pc.job.pending--
			return
		}
	}
}

// Busy returns the time that the engine has spent reading, and in all passes.
func (en *Engine) Busy() (reading, all time.Duration) { return en.reading, en.passing }
