package broker_test

import (
	"context"
	"testing"
	"testing/synctest"
	"time"

	"github.com/go-faster/errors"
	"gotest.tools/v3/assert"

	"github.com/hibiscuslever/hibiscuslever/coordination/batch"
	"github.com/hibiscuslever/hibiscuslever/coordination/broker"
	"github.com/hibiscuslever/hibiscuslever/state/id"
)

// setLiveUnnoticed changes the live hosts and their order without notifying anyone, as if a host's news of the change were
// still under way.
func (nw *network) setLiveUnnoticed(hosts ...id.Host) {
	nw.mutex.Lock()
	defer nw.mutex.Unlock()
	nw.liveHosts = hosts
}

// TestNewDispatcherAsksHostsThatRequestNothing checks that a host which takes over as dispatcher does not grant capacity
// that a host uses which requests nothing and has not noticed the change. It grants it when it becomes free.
func TestNewDispatcherAsksHostsThatRequestNothing(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		nw, stop := startHosts(t, "first", "second", "third")
		defer stop()
		for requestNumber := range uint64(engineSlots) {
			_, oc := nw.acquire(t, "third", requestNumber, time.Second)
			assert.Assert(t, oc.OK(), "request %d: %+v", requestNumber, oc)
		}
		time.Sleep(100 * time.Millisecond)
		nw.setLiveUnnoticed("second", "third")
		_, oc := nw.acquire(t, "second", engineSlots, 300*time.Millisecond)
		assert.Assert(t, !oc.OK(), "a grant was issued for capacity that is in use")
		nw.clients["third"].ReportEnded(broker.EndedGrant{Attempt: id.NewAttempt(id.NewRequest("third", 1, 0), 0)})
		_, oc = nw.acquire(t, "second", engineSlots+1, 300*time.Millisecond)
		assert.Assert(t, oc.OK(), "%+v", oc)
	})
}

// TestNewDispatcherWaitsShortlyForAnswers checks that a host that takes over as dispatcher gives places soon although one
// of the hosts that it asks for held grants does not answer.
func TestNewDispatcherWaitsShortlyForAnswers(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		nw, stop := startHosts(t, "first", "second", "third")
		defer stop()
		nw.setLive("second", "third")
		nw.mutex.Lock()
		nw.unresponsiveHosts["third"] = true
		nw.mutex.Unlock()
		began := time.Now()
		_, oc := nw.acquire(t, "second", 1, time.Second)
		assert.Assert(t, oc.OK(), "%+v", oc)
		assert.Assert(t, time.Since(began) < 100*time.Millisecond, "it took %s", time.Since(began))
	})
}

// cut makes calls of one host to another one fail, or no longer.
func (nw *network) cut(from, to id.Host, isCut bool) {
	nw.mutex.Lock()
	defer nw.mutex.Unlock()
	if nw.cutLinks == nil {
		nw.cutLinks = map[[2]id.Host]bool{}
	}
	nw.cutLinks[[2]id.Host{from, to}] = isCut
}

var errLinkCut = errors.New("the link is cut")

func (hn hostNetwork) linkError(to id.Host) error {
	hn.mutex.Lock()
	defer hn.mutex.Unlock()
	if hn.cutLinks[[2]id.Host{hn.host, to}] {
		return errLinkCut
	}
	return nil
}

func (hn hostNetwork) RequestGrant(ctx context.Context, dispatcher id.Host, request broker.GrantRequest) (broker.GrantResponse, error) {
	if err := hn.linkError(dispatcher); err != nil {
		return broker.GrantResponse{}, err
	}
	return hn.network.RequestGrant(ctx, dispatcher, request)
}

func (hn hostNetwork) SendReport(ctx context.Context, dispatcher id.Host, report broker.Report) error {
	if err := hn.linkError(dispatcher); err != nil {
		return err
	}
	return hn.network.SendReport(ctx, dispatcher, report)
}

// TestDispatcherBesideFirstLearnsHeldGrants has a host that can't reach the first dispatcher use the second one, while
// another host's grants come from the first. The second one must learn of them again and again.
func TestDispatcherBesideFirstLearnsHeldGrants(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		nw, stop := startHosts(t, "first", "second", "third", "fourth")
		defer stop()
		nw.cut("fourth", "first", true)
		_, oc := nw.acquire(t, "fourth", 100, time.Second)
		assert.Assert(t, oc.OK(), "%+v", oc)
		for requestNumber := range uint64(engineSlots - 1) {
			_, oc := nw.acquire(t, "third", requestNumber, time.Second)
			assert.Assert(t, oc.OK(), "request %d: %+v", requestNumber, oc)
		}
		time.Sleep(1100 * time.Millisecond)
		_, oc = nw.acquire(t, "fourth", 101, 300*time.Millisecond)
		assert.Assert(t, !oc.OK(), "a grant was issued for capacity that is in use")
	})
}

// TestLostReportGoesToNextDispatcher checks that ends of grants which could not be reported to the dispatcher are
// reported to the next one, with the grants that the host still holds, although the host requests nothing meanwhile.
func TestLostReportGoesToNextDispatcher(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		nw, stop := startHosts(t, "first", "second", "third")
		defer stop()
		var grants []batch.Grant
		for requestNumber := range uint64(engineSlots) {
			grant, oc := nw.acquire(t, "third", requestNumber, time.Second)
			assert.Assert(t, oc.OK(), "request %d: %+v", requestNumber, oc)
			grants = append(grants, grant)
		}
		// The second host learns the grants while the first dispatcher is lost.
		nw.cut("second", "first", true)
		nw.cut("third", "first", true)
		_, oc := nw.acquire(t, "second", 100, 200*time.Millisecond)
		assert.Assert(t, !oc.OK(), "a grant was issued for capacity that is in use")
		nw.clients["third"].ReportEnded(broker.EndedGrant{Attempt: grants[0].Attempt})
		_, oc = nw.acquire(t, "second", 101, 200*time.Millisecond)
		assert.Assert(t, oc.OK(), "the end of a grant did not reach the next dispatcher: %+v", oc)
		_, oc = nw.acquire(t, "second", 102, 200*time.Millisecond)
		assert.Assert(t, !oc.OK(), "a grant was issued for capacity that is in use")
	})
}

// TestQueuedRequestGoesToNextDispatcher checks that a request which is queued at a dispatcher that is lost goes to the next
// one as soon as its host notices the loss, by any call.
func TestQueuedRequestGoesToNextDispatcher(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		nw, stop := startHosts(t, "first", "second", "third")
		defer stop()
		var grants []batch.Grant
		for requestNumber := range uint64(engineSlots) {
			grant, oc := nw.acquire(t, "third", requestNumber, time.Second)
			assert.Assert(t, oc.OK(), "request %d: %+v", requestNumber, oc)
			grants = append(grants, grant)
		}
		const lostAfter, noticedAfter = 20 * time.Millisecond, 40 * time.Millisecond
		time.AfterFunc(lostAfter, func() { nw.cut("third", "first", true) })
		time.AfterFunc(noticedAfter, func() { nw.clients["third"].ReportEnded(broker.EndedGrant{Attempt: grants[0].Attempt}) })
		began := time.Now()
		_, oc := nw.acquire(t, "third", engineSlots, time.Second)
		assert.Assert(t, oc.OK(), "%+v", oc)
		assert.Assert(t, time.Since(began) < noticedAfter+50*time.Millisecond, "it took %s", time.Since(began))
	})
}

// TestDispatcherThatWasCutOffAsksAgain cuts the first dispatcher off for some seconds, in which another host's requests run
// by grants of the second one. When the first one is back, it gives no place that they hold, although its own host asks
// before the others report.
func TestDispatcherThatWasCutOffAsksAgain(t *testing.T) {
	for _, cutFor := range []time.Duration{3 * time.Second, 8 * time.Second} {
		synctest.Test(t, func(t *testing.T) {
			nw, stop := startHosts(t, "first", "second", "third")
			defer stop()
			_, oc := nw.acquire(t, "third", 1, time.Second)
			assert.Assert(t, oc.OK(), "%+v", oc)
			for _, host := range []id.Host{"second", "third"} {
				nw.cut(host, "first", true)
			}
			for requestNumber := uint64(2); requestNumber <= engineSlots; requestNumber++ {
				_, oc := nw.acquire(t, "third", requestNumber, time.Second)
				assert.Assert(t, oc.OK(), "request %d: %+v", requestNumber, oc)
			}
			time.Sleep(cutFor)
			for _, host := range []id.Host{"second", "third"} {
				nw.cut(host, "first", false)
			}
			_, oc = nw.acquire(t, "first", engineSlots+1, 300*time.Millisecond)
			assert.Assert(t, !oc.OK(), "a grant was issued for capacity that is in use, after %s", cutFor)
		})
	}
}

// TestReturnedHostDoesNotDispatch has a host that was lost and has just started be asked for grants, and get reports, by
// hosts that have not heard of its new start and take it for the first dispatcher. They must turn to the host that took
// over at once, which alone knows what runs. Later the host dispatches if it is asked.
func TestReturnedHostDoesNotDispatch(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		nw, stop := startHosts(t, "second", "first", "third")
		defer stop()
		nw.mutex.Lock()
		nw.lateHosts = map[id.Host]bool{"first": true}
		// The third host believes that the first one still dispatches.
		nw.ownOrders = map[id.Host][]id.Host{"third": {"first", "second", "third"}}
		nw.mutex.Unlock()
		var grants []batch.Grant
		for requestNumber := range uint64(engineSlots) {
			began := time.Now()
			grant, oc := nw.acquire(t, "third", requestNumber, time.Second)
			assert.Assert(t, oc.OK(), "request %d: %+v", requestNumber, oc)
			assert.Assert(t, time.Since(began) < 50*time.Millisecond, "it took %s", time.Since(began))
			grants = append(grants, grant)
		}
		assert.Equal(t, len(nw.servers["first"].Status()), 0, "the first host dispatches")
		time.Sleep(1100 * time.Millisecond)
		nw.clients["third"].ReportEnded(broker.EndedGrant{Attempt: grants[0].Attempt})
		time.Sleep(20 * time.Millisecond)
		assert.Equal(t, nw.servers["second"].Status()[0].Granted, engineSlots-1)
		assert.Equal(t, len(nw.servers["first"].Status()), 0, "the first host dispatches")
		time.Sleep(10 * time.Second)
		nw.clients["third"].ReportEnded(broker.EndedGrant{Attempt: grants[1].Attempt})
		_, oc := nw.acquire(t, "third", engineSlots, time.Second)
		assert.Assert(t, oc.OK(), "%+v", oc)
		assert.Equal(t, len(nw.servers["first"].Status()), 1)
	})
}

// TestDispatcherThatIsNoLongerFirstAsksAgain has a host that was the first dispatcher, and knew that no other one granted, be
// asked for a grant when another host has become the first one and has granted what was free. It must learn that before it
// grants.
func TestDispatcherThatIsNoLongerFirstAsksAgain(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		nw, stop := startHosts(t, "first", "second", "third", "fourth")
		defer stop()
		// Only a host that has run for some seconds takes it that no other one grants.
		time.Sleep(4 * time.Second)
		_, oc := nw.acquire(t, "fourth", 1, time.Second)
		assert.Assert(t, oc.OK(), "%+v", oc)
		time.Sleep(1500 * time.Millisecond)
		nw.cut("fourth", "second", true)
		nw.setLiveUnnoticed("second", "first", "third", "fourth")
		for requestNumber := uint64(2); requestNumber <= engineSlots; requestNumber++ {
			_, oc := nw.acquire(t, "third", requestNumber, time.Second)
			assert.Assert(t, oc.OK(), "request %d: %+v", requestNumber, oc)
		}
		_, oc = nw.acquire(t, "fourth", engineSlots+1, 300*time.Millisecond)
		assert.Assert(t, !oc.OK(), "a grant was issued for capacity that is in use")
	})
}
