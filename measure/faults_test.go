package measure

import (
	"fmt"
	"time"

	"github.com/hibiscuslever/hibiscuslever/coordination/dispatch"
	"github.com/hibiscuslever/hibiscuslever/standin/batch"
	"github.com/hibiscuslever/hibiscuslever/state/id"
)

// kill ends engines at a time; their requests are retried when the loss is detected, and the engines come back later.
func (wd *world) kill(at, back time.Duration, count int) {
	wd.at(at, func() {
		for _, nd := range wd.nodes[:count] {
			wd.die(nd)
			wd.at(back, func() {
				nd.dead = false
				nd.model = batch.New(wd.batch)
				wd.step(dispatch.SetEngine{Spec: wd.spec(nd)})
			})
		}
	})
}

func (wd *world) die(nd *node) {
	nd.dead = true
	wd.at(wd.now+detectionTime, func() { wd.step(dispatch.RemoveEngine{Engine: nd.name}) })
	for _, cl := range wd.runningCalls() {
		for _, part := range cl.grant.Parts {
			if part.Engine != nd.name {
				continue
			}
			wd.lose(cl)
			break
		}
	}
}

// lose retries a call whose engine died; what other engines of its gang hold is freed.
func (wd *world) lose(cl *call) {
	delete(wd.running, cl.attempt)
	cl.lost++
	cl.number++
	attempt, parts := cl.attempt, cl.grant.Parts
	wd.at(wd.now+10*hop, func() {
		for _, part := range parts {
			wd.byName[part.Engine].model.Cancel(attempt)
		}
		wd.step(dispatch.FinishAttempt{Attempt: attempt})
		wd.submit(cl)
	})
}

// flood lets one organisation send many of the longest prompts at once.
func (wd *world) flood(at time.Duration, count int) {
	for number := range count {
		ar := arrival{
			at: at, name: id.Request(fmt.Sprintf("flood%06d", number)), organisation: "org-0",
			prompt: promptMost, answer: id.Tokens(answerMedian), deadline: deadline,
		}
		wd.at(at, func() { wd.arrive(ar) })
	}
}

// loseDispatcher replaces the dispatcher: the next host starts without state, and entry hosts report what they hold.
func (wd *world) loseDispatcher(at time.Duration, seed uint64) {
	wd.at(at, func() {
		wd.machine = dispatch.New(wd.config, seed)
		for _, nd := range wd.nodes {
			if !nd.dead {
				wd.step(dispatch.SetEngine{Spec: wd.spec(nd)})
			}
		}
		wd.renew()
		for _, cl := range wd.order {
			waiting := !cl.done() && wd.running[cl.attempt] == nil && cl.refused < cl.asked
			if waiting {
				wd.submit(cl)
			}
		}
	})
}
