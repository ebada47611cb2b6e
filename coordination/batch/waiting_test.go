package batch_test

import (
	"fmt"
	"testing"
	"time"

	"github.com/go-faster/errors"
	"pgregory.net/rapid"

	"github.com/hibiscuslever/hibiscuslever/coordination/batch"
	"github.com/hibiscuslever/hibiscuslever/state/id"
	"github.com/hibiscuslever/hibiscuslever/state/outcome"
	"github.com/hibiscuslever/hibiscuslever/state/serverlimit"
)

// waitingChecker checks that each request that waits gets one grant or one refusal, in time.
type waitingChecker struct {
	waiting map[id.Request]batch.Request
	granted map[id.Request]batch.Grant
}

// check applies effects and returns an error if one is for a request that does not wait.
func (wc *waitingChecker) check(effects []batch.Effect, submitted id.Request) error {
	for _, effect := range effects {
		request, isWaiting := wc.waiting[effect.Request]
		grant, isGranted := wc.granted[effect.Request]
		switch {
		case isGranted && effect.Kind == batch.Granted && submitted == effect.Request && grant.Attempt == effect.Grant.Attempt:
			continue
		case !isWaiting:
			return errors.Errorf("%s does not wait: %+v", effect.Request, effect)
		case effect.Kind == batch.Granted && (len(effect.Grant.Parts) == 0 || effect.Grant.Attempt != id.NewAttempt(request.ID, request.AttemptNumber)):
			return errors.Errorf("%s got the grant %+v", effect.Request, effect.Grant)
		case effect.Kind == batch.Refused && (effect.Outcome.Kind != outcome.Refused || effect.Outcome.Reason != outcome.PromptExceedsFleet && effect.Outcome.RetryAfter <= 0):
			return errors.Errorf("%s got the outcome %+v", effect.Request, effect.Outcome)
		}
		delete(wc.waiting, effect.Request)
		if effect.Kind == batch.Granted {
			wc.granted[effect.Request] = effect.Grant
		}
	}
	return nil
}

// overdue returns an error if a request waits although its client has left.
func (wc *waitingChecker) overdue(now time.Time) error {
	for _, request := range wc.waiting {
		if now.After(request.ArrivedAt.Add(request.WaitLimit)) {
			return errors.Errorf("%s still waits after its wait limit", request.ID)
		}
	}
	return nil
}

// drawWaitingEvent returns an event for the requests and engines that exist.
func (wc *waitingChecker) drawWaitingEvent(rt *rapid.T, now time.Time, step int) batch.Event {
	millis := func(name string, longest int) time.Duration {
		return time.Duration(rapid.IntRange(0, longest).Draw(rt, name)) * time.Millisecond
	}
	requestID := id.Request(fmt.Sprintf("r%d", rapid.IntRange(0, step).Draw(rt, "request")))
	request, isWaiting := wc.waiting[requestID]
	grant, isGranted := wc.granted[requestID]
	switch rapid.IntRange(0, 11).Draw(rt, "event") {
	case 0, 1, 2, 3:
		if isWaiting && rapid.Bool().Draw(rt, "again") {
			return batch.Submit{Request: request}
		}
		return batch.Submit{Request: batch.Request{
			ID: id.Request(fmt.Sprintf("r%d", step)), Organisation: id.Organisation(fmt.Sprint("o", step%3)), AttemptNumber: rapid.IntRange(1, 2).Draw(rt, "attempt"),
			PromptTokens: id.Tokens(rapid.SampledFrom([]int{10, 3000, 20_000, 150_000, 290_000, 500_000}).Draw(rt, "prompt")), MaxAnswerTokens: 800,
			FirstEventTarget: 300 * time.Millisecond, MaxPause: 250 * time.Millisecond, WaitLimit: 100*time.Millisecond + millis("wait limit", 4000), ArrivedAt: now.Add(-millis("age", 50)),
			RunAlone: rapid.IntRange(0, 5).Draw(rt, "alone") == 0,
		}}
	case 4:
		return batch.Withdraw{Request: requestID}
	case 5:
		var listed batch.SetEngines
		for ix := range rapid.IntRange(0, 4).Draw(rt, "engines") {
			name := id.Engine(fmt.Sprintf("e%d", ix))
			state := rapid.IntRange(0, 5).Draw(rt, "state")
			spec := batch.EngineSpec{Engine: name, Address: string(name), Leaving: state == 1, Evacuated: state == 2, CountedElsewhere: rapid.IntRange(0, 5).Draw(rt, "elsewhere") == 0, StartedAtMillis: int64(rapid.IntRange(1, 2).Draw(rt, "start"))}
			if state == 3 {
				spec.RequestLimit = serverlimit.Rate(1)
			}
			if state == 4 {
				spec.ColdLimit = serverlimit.ColdLimit{Rate: 1, MaxPerSecond: 1}
			}
			listed.Engines = append(listed.Engines, spec)
		}
		return listed
	case 6:
		if isGranted {
			return batch.AttemptStarted{Attempt: grant.Attempt}
		}
	case 7, 8:
		if isGranted {
			return batch.FinishAttempt{Attempt: grant.Attempt, FailedEngine: grant.Parts[0].Engine, Fault: batch.Fault(rapid.IntRange(0, 5).Draw(rt, "fault")), RetryAfter: millis("retry after", 300)}
		}
	case 9:
		return batch.TakeOver{HoldUntil: now.Add(millis("hold", 100)), CautiousUntil: now.Add(millis("cautious", 1000))}
	case 10:
		return batch.Informed{NoOtherGrants: rapid.Bool().Draw(rt, "no other")}
	case 11:
		if isGranted {
			return batch.RenewGrant{Request: batch.Request{ID: requestID}, Grant: grant}
		}
	}
	return batch.Tick{}
}

// TestEachWaitingRequestEndsOnce lets requests wait while engines leave, are evacuated, cold, limited, restarted and gone, fail
// and ask for backoff, and the dispatcher takes over, in any order. Each request must get one grant or one refusal
// before its client leaves, and none after it has been withdrawn.
func TestEachWaitingRequestEndsOnce(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		const tickPeriod = 10 * time.Millisecond
		mc := batch.New(batch.DefaultConfig(), 7)
		now := time.Unix(1000, 0)
		mc.Step(now, batch.SetEngineProfile{Profile: engineProfile()})
		wc := &waitingChecker{waiting: map[id.Request]batch.Request{}, granted: map[id.Request]batch.Grant{}}
		step := func(ev batch.Event) {
			var submitted id.Request
			switch ev := ev.(type) {
			case batch.Submit:
				submitted = ev.Request.ID
				if _, isGranted := wc.granted[submitted]; !isGranted {
					wc.waiting[submitted] = ev.Request
				}
			case batch.Withdraw:
				delete(wc.waiting, ev.Request)
				delete(wc.granted, ev.Request)
			}
			if err := wc.check(mc.Step(now, ev), submitted); err != nil {
				rt.Fatal(err)
			}
			if mc.Waiting() != len(wc.waiting) {
				rt.Fatalf("%d requests wait, and %d have got nothing", mc.Waiting(), len(wc.waiting))
			}
		}
		tickUntil := func(end time.Time) {
			for ; now.Before(end); now = now.Add(tickPeriod) {
				step(batch.Tick{})
				if err := wc.overdue(now); err != nil {
					rt.Fatal(err)
				}
			}
		}
		for number := range rapid.IntRange(1, 60).Draw(rt, "steps") {
			tickUntil(now.Add(time.Duration(rapid.SampledFrom([]int{0, 0, 10, 100, 500}).Draw(rt, "wait")) * time.Millisecond))
			step(wc.drawWaitingEvent(rt, now, number))
		}
		tickUntil(now.Add(5 * time.Second))
		if len(wc.waiting) > 0 {
			rt.Fatalf("%d requests have got nothing", len(wc.waiting))
		}
	})
}
