package broker_test

import (
	"context"
	"fmt"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/go-faster/errors"
	"pgregory.net/rapid"

	"github.com/hibiscuslever/hibiscuslever/coordination/batch"
	"github.com/hibiscuslever/hibiscuslever/coordination/broker"
	"github.com/hibiscuslever/hibiscuslever/state/id"
	"github.com/hibiscuslever/hibiscuslever/state/outcome"
)

// messageFault says what becomes of one message between hosts.
type messageFault int

const (
	delivered messageFault = iota
	// slow messages arrive after a time.
	slow
	// lost messages do not arrive, and for unconfirmed ones only the answer is lost.
	lost
	unconfirmed
	// late messages arrive after their sender has given up.
	late
	// doubled messages arrive twice.
	doubled
)

const messageDelay = 120 * time.Millisecond

// send delivers a message with the next fault and returns its answer.
func send[Answer any](ctx context.Context, nw *network, deliver func() (Answer, error)) (Answer, error) {
	var none Answer
	switch nw.nextFault() {
	case slow:
		select {
		case <-time.After(messageDelay):
		case <-ctx.Done():
			return none, ctx.Err()
		}
	case lost:
		<-ctx.Done()
		return none, ctx.Err()
	case unconfirmed:
		_, _ = deliver()
		<-ctx.Done()
		return none, ctx.Err()
	case late:
		<-ctx.Done()
		time.AfterFunc(messageDelay, func() { _, _ = deliver() })
		return none, ctx.Err()
	case doubled:
		time.AfterFunc(messageDelay, func() { _, _ = deliver() })
	case delivered:
	}
	return deliver()
}

// nextFault returns the fault of the next message.
func (nw *network) nextFault() messageFault {
	nw.mutex.Lock()
	defer nw.mutex.Unlock()
	if len(nw.faults) == 0 {
		return delivered
	}
	fault := nw.faults[0]
	nw.faults = nw.faults[1:]
	return fault
}

// waitingEvent is a step of TestRequestsThatWaitEnd.
type waitingEvent struct {
	after time.Duration
	kind  int
	host  id.Host
	other id.Host
	// waitLimit, runTime, promptTokens and attemptNumber describe a request.
	waitLimit, runTime time.Duration
	promptTokens       id.Tokens
	attemptNumber      int
	unanswered         bool
	// hosts are the live hosts from now on, noticedAfter is when they notice that.
	hosts        []id.Host
	noticedAfter time.Duration
	faults       []messageFault
}

// Kinds of waitingEvent.
const (
	arrive = iota
	arriveToo
	arriveAlso
	changeHosts
	fallSilent
	cutLink
	loseMessages
	evacuate
	leave
	forgetEngines
	eventKinds
)

func drawWaitingEvents(rt *rapid.T, hosts []id.Host, calm bool) []waitingEvent {
	var events []waitingEvent
	for range rapid.IntRange(1, 40).Draw(rt, "events") {
		ev := waitingEvent{
			after: time.Duration(rapid.SampledFrom([]int{0, 0, 1, 20, 100, 400, 900}).Draw(rt, "after")) * time.Millisecond,
			kind:  rapid.IntRange(0, eventKinds-1).Draw(rt, "kind"),
			host:  rapid.SampledFrom(hosts).Draw(rt, "host"),
		}
		if calm && ev.kind >= changeHosts {
			ev.kind = arrive
		}
		switch ev.kind {
		case arrive, arriveToo, arriveAlso:
			ev.waitLimit = time.Duration(rapid.SampledFrom([]int{300, 1000, 2000, 5000}).Draw(rt, "wait limit")) * time.Millisecond
			ev.runTime = time.Duration(rapid.SampledFrom([]int{0, 10, 300, 2000}).Draw(rt, "run time")) * time.Millisecond
			ev.promptTokens = id.Tokens(rapid.SampledFrom([]int{10, 2000, 100_000, 250_000}).Draw(rt, "prompt"))
			ev.attemptNumber = rapid.IntRange(1, 2).Draw(rt, "attempt")
			ev.unanswered = rapid.Bool().Draw(rt, "unanswered")
		case changeHosts:
			ev.hosts = rapid.Permutation(hosts).Draw(rt, "order")[:rapid.IntRange(0, len(hosts)).Draw(rt, "live")]
			ev.noticedAfter = time.Duration(rapid.SampledFrom([]int{0, 0, 50, 700}).Draw(rt, "noticed after")) * time.Millisecond
		case cutLink:
			ev.other = rapid.SampledFrom(hosts).Draw(rt, "other")
		case loseMessages:
			ev.faults = rapid.SliceOfN(rapid.Custom(func(rt *rapid.T) messageFault { return messageFault(rapid.IntRange(0, int(doubled)).Draw(rt, "fault")) }), 1, 10).Draw(rt, "faults")
		}
		events = append(events, ev)
	}
	return events
}

// waitingChecker lets requests wait and checks how they end.
type waitingChecker struct {
	nw       *network
	requests sync.WaitGroup
	mutex    sync.Mutex
	violated error
	number   uint64
}

func (wc *waitingChecker) fail(format string, args ...any) {
	wc.mutex.Lock()
	defer wc.mutex.Unlock()
	if wc.violated == nil {
		wc.violated = errors.Errorf(format, args...)
	}
}

// run lets a request wait for a grant and run under it.
func (wc *waitingChecker) run(ctx context.Context, ev waitingEvent) {
	wc.number++
	number := wc.number
	wc.requests.Go(func() {
		const deadlineAfter = 6 * time.Second
		arrivedAt := time.Now()
		ctx, cancel := context.WithTimeout(ctx, deadlineAfter)
		defer cancel()
		requestID := id.NewRequest(ev.host, 1, number)
		grant, oc := wc.nw.clients[ev.host].Acquire(ctx, broker.GrantRequest{Service: service, Unanswered: ev.unanswered, Request: batch.Request{
			ID: requestID, AttemptNumber: ev.attemptNumber, Organisation: id.Organisation(fmt.Sprint("org-", number%3)), PromptTokens: ev.promptTokens, MaxAnswerTokens: 100,
			FirstEventTarget: ev.waitLimit / 4, MaxPause: 250 * time.Millisecond, WaitLimit: ev.waitLimit, ArrivedAt: arrivedAt,
		}})
		endBy := deadlineAfter
		if ev.attemptNumber <= 1 || ev.unanswered {
			endBy = min(endBy, ev.waitLimit-10*time.Millisecond)
		}
		waited := time.Since(arrivedAt)
		switch {
		case waited > endBy:
			wc.fail("request %d ended after %s: %+v", number, waited, oc)
		case oc.OK() && len(grant.Parts) == 0:
			wc.fail("request %d has a grant without engines", number)
		case !oc.OK() && (oc.Kind != outcome.Refused || oc.Reason != outcome.PromptExceedsFleet && oc.RetryAfter <= 0):
			wc.fail("request %d ended with %+v", number, oc)
		case !oc.OK() && len(grant.Parts) > 0:
			wc.fail("request %d was refused with a grant", number)
		}
		if oc.OK() {
			time.Sleep(ev.runTime)
			wc.nw.clients[ev.host].ReportStarted(grant.Attempt)
			wc.nw.clients[ev.host].ReportEnded(broker.EndedGrant{Request: requestID, Attempt: grant.Attempt})
		}
	})
}

// findWaiting returns an error if a dispatcher has a request or a grant, or a host holds a grant.
func (wc *waitingChecker) findWaiting() error {
	for host, server := range wc.nw.servers {
		for _, status := range server.Status() {
			if status.Waiting > 0 || status.Granted > 0 {
				return errors.Errorf("%d requests wait at %s, which holds %d grants", status.Waiting, host, status.Granted)
			}
		}
		if held := wc.nw.clients[host].HeldGrants(service); len(held) > 0 {
			return errors.Errorf("%s holds %d grants", host, len(held))
		}
	}
	return nil
}

// TestRequestsThatWaitEnd lets requests wait while hosts are lost, start, stop, fall silent and are cut off, the engine is
// evacuated, and messages are lost, late or doubled, in any order. Each request must end with a grant or a refusal before
// its client leaves, and nothing may stay held afterwards.
func TestRequestsThatWaitEnd(t *testing.T) {
	hosts := []id.Host{"first", "second", "third", "fourth"}
	rapid.Check(t, func(rt *rapid.T) {
		// calm says that nothing but requests comes, so that nothing has to expire.
		calm := rapid.Bool().Draw(rt, "calm")
		events := drawWaitingEvents(rt, hosts, calm)
		var violation error
		synctest.Test(t, func(t *testing.T) {
			nw, stop := startHosts(t, hosts...)
			defer stop()
			nw.setLive(hosts[:3]...)
			wc := &waitingChecker{nw: nw}
			hostContexts, stopHost := map[id.Host]context.Context{}, map[id.Host]context.CancelFunc{}
			for _, host := range hosts {
				hostContexts[host], stopHost[host] = context.WithCancel(t.Context())
				defer stopHost[host]()
			}
			evacuated := false
			for _, ev := range events {
				time.Sleep(ev.after)
				switch ev.kind {
				case arrive, arriveToo, arriveAlso:
					wc.run(hostContexts[ev.host], ev)
				case changeHosts:
					nw.setLiveUnnoticed(ev.hosts...)
					time.AfterFunc(ev.noticedAfter, func() { nw.notice(hosts...) })
				case fallSilent:
					nw.mutex.Lock()
					nw.unresponsiveHosts[ev.host] = !nw.unresponsiveHosts[ev.host]
					nw.mutex.Unlock()
				case cutLink:
					nw.cut(ev.host, ev.other, ev.after > 0)
				case loseMessages:
					nw.mutex.Lock()
					nw.faults = append(nw.faults, ev.faults...)
					nw.mutex.Unlock()
				case evacuate:
					evacuated = !evacuated
					nw.setEvacuated(evacuated, hosts...)
				case leave:
					nw.servers[ev.host].Leave()
					stopHost[ev.host]()
				case forgetEngines:
					nw.mutex.Lock()
					nw.uninformedHosts[ev.host] = !nw.uninformedHosts[ev.host]
					nw.mutex.Unlock()
				}
			}
			wc.requests.Wait()
			expiry := 700 * time.Millisecond
			if !calm {
				nw.heal()
				expiry = batch.DefaultConfig().GrantTTL + 2*time.Second
			}
			time.Sleep(expiry)
			violation = wc.violated
			if violation == nil {
				violation = wc.findWaiting()
			}
		})
		if violation != nil {
			rt.Fatal(violation)
		}
	})
}

// notice notifies hosts of a change of the live hosts.
func (nw *network) notice(hosts ...id.Host) {
	for _, host := range hosts {
		nw.clients[host].HostsChanged()
		nw.servers[host].Refresh()
	}
}

// heal ends all faults of hosts, links and messages.
func (nw *network) heal() {
	nw.mutex.Lock()
	defer nw.mutex.Unlock()
	nw.faults = nil
	clear(nw.unresponsiveHosts)
	clear(nw.cutLinks)
	clear(nw.uninformedHosts)
}
