package placer_test

import (
	"context"
	"errors"
	"slices"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/uber-go/tally/v4"
	"gotest.tools/v3/assert"

	"github.com/hibiscuslever/hibiscuslever/coordination/fleet"
	"github.com/hibiscuslever/hibiscuslever/coordination/placement"
	"github.com/hibiscuslever/hibiscuslever/coordination/placer"
	"github.com/hibiscuslever/hibiscuslever/state/id"
	"github.com/hibiscuslever/hibiscuslever/testutil"
	"github.com/hibiscuslever/hibiscuslever/timer"
)

func TestMain(m *testing.M) { testutil.Main(m) }

// receivedOrder records an order that reached an engine.
type receivedOrder struct {
	host         id.Host
	kind         placement.OrderKind
	fencingToken id.Offset
	accepted     bool
}

// fakeSite is a lease log, the demand, and three engines: "checks" checks fencing tokens, the others ignore them.
type fakeSite struct {
	mutex          sync.Mutex
	leaseRecords   []placer.LogRecord
	logDown        bool
	loadedModels   map[string][]id.Model
	highestTokens  map[string]id.Offset
	receivedOrders []receivedOrder
	demand         []placement.Demand
	// orderDelays holds how long the orders of a host are delayed, as if the host was paused after it had checked its
	// lease.
	orderDelays map[id.Host]time.Duration
	// logUnreachable holds hosts that can't reach the log.
	logUnreachable map[id.Host]bool
}

func newFakeSite() *fakeSite {
	return &fakeSite{
		loadedModels:   map[string][]id.Model{"checks": nil, "ignores-1": nil, "ignores-2": nil},
		highestTokens:  map[string]id.Offset{"checks": id.NoOffset},
		demand:         []placement.Demand{{Model: "a", Weight: 1}},
		orderDelays:    map[id.Host]time.Duration{},
		logUnreachable: map[id.Host]bool{},
	}
}

// hostConnections implements the interfaces of a placer for one host.
type hostConnections struct {
	*fakeSite
	host id.Host
}

func (pt hostConnections) Append(_ context.Context, body []byte) {
	pt.mutex.Lock()
	defer pt.mutex.Unlock()
	if !pt.logDown && !pt.logUnreachable[pt.host] {
		pt.leaseRecords = append(pt.leaseRecords, placer.LogRecord{Offset: id.Offset(len(pt.leaseRecords)), Body: body})
	}
}

func (pt hostConnections) Read(_ context.Context, from id.Offset) ([]placer.LogRecord, id.Offset, error) {
	pt.mutex.Lock()
	defer pt.mutex.Unlock()
	if pt.logDown || pt.logUnreachable[pt.host] {
		return nil, id.NoOffset, errors.New("log down")
	}
	return slices.Clone(pt.leaseRecords[from:]), 0, nil
}

func (pt hostConnections) FetchModels(_ context.Context, address string) ([]id.Model, int, error) {
	pt.mutex.Lock()
	defer pt.mutex.Unlock()
	return slices.Clone(pt.loadedModels[address]), 2, nil
}

func (pt hostConnections) SendOrder(ctx context.Context, order placement.Order, fencingToken id.Offset) (bool, error) {
	pt.mutex.Lock()
	delay := pt.orderDelays[pt.host]
	pt.mutex.Unlock()
	select {
	case <-time.After(delay + time.Millisecond):
	case <-ctx.Done():
		return false, ctx.Err()
	}
	pt.mutex.Lock()
	defer pt.mutex.Unlock()
	highestToken, checksTokens := pt.highestTokens[order.Address]
	accepted := !checksTokens || fencingToken >= highestToken
	pt.receivedOrders = append(pt.receivedOrders, receivedOrder{host: pt.host, kind: order.Kind, fencingToken: fencingToken, accepted: accepted})
	if !accepted {
		return false, nil
	}
	if checksTokens {
		pt.highestTokens[order.Address] = fencingToken
	}
	models := slices.DeleteFunc(pt.loadedModels[order.Address], func(model id.Model) bool { return model == order.Model })
	if order.Kind == placement.LoadModel {
		models = append(models, order.Model)
	}
	pt.loadedModels[order.Address] = models
	return true, nil
}

func (pt hostConnections) AllEngines() []fleet.Engine {
	return []fleet.Engine{
		{Name: "checks", Address: "checks"}, {Name: "ignores-1", Address: "ignores-1"}, {Name: "ignores-2", Address: "ignores-2"},
	}
}

func (pt hostConnections) ModelDemand() []placement.Demand {
	pt.mutex.Lock()
	defer pt.mutex.Unlock()
	return pt.demand
}

func (pt hostConnections) MayClaimLease() bool { return true }

// startPlacer runs a placer for a host until the context ends.
func (st *fakeSite) startPlacer(ctx context.Context, host id.Host) *placer.Placer {
	pt := hostConnections{fakeSite: st, host: host}
	pl := placer.New(placer.DefaultConfig(), host, 1, timer.NewSystem(), pt, pt, pt, pt, pt, tally.NoopScope)
	go func() { _ = pl.Run(ctx) }()
	return pl
}

// countServing returns the number of engines that have loaded a model.
func (st *fakeSite) countServing(model id.Model) int {
	st.mutex.Lock()
	defer st.mutex.Unlock()
	count := 0
	for _, models := range st.loadedModels {
		if slices.Contains(models, model) {
			count++
		}
	}
	return count
}

func (st *fakeSite) setDemand(demand ...placement.Demand) {
	st.mutex.Lock()
	defer st.mutex.Unlock()
	st.demand = demand
}

// takeOrderSenders returns the hosts whose orders have reached engines since the last call.
func (st *fakeSite) takeOrderSenders() map[id.Host]bool {
	st.mutex.Lock()
	defer st.mutex.Unlock()
	hosts := map[id.Host]bool{}
	for _, ord := range st.receivedOrders {
		hosts[ord.host] = true
	}
	st.receivedOrders = nil
	return hosts
}

// TestModelsConvergeToDemand runs placers on two hosts and checks that the loaded models follow the demand, with orders
// of one host at a time. While the log is down the lease expires and no host sends orders. After the log is back and
// the first host has stopped, the second one takes over.
func TestModelsConvergeToDemand(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		st := newFakeSite()
		firstCtx, stopFirst := context.WithCancel(context.Background())
		secondCtx, stopSecond := context.WithCancel(context.Background())
		st.startPlacer(firstCtx, "first")
		time.Sleep(time.Second)
		st.startPlacer(secondCtx, "second")
		time.Sleep(30 * time.Second)
		assert.Equal(t, st.countServing("a"), 3)
		assert.Equal(t, len(st.takeOrderSenders()), 1, "only one host sends orders")

		st.setDemand(placement.Demand{Model: "a", Weight: 1}, placement.Demand{Model: "b", Weight: 1})
		time.Sleep(10 * time.Second)
		assert.Equal(t, st.countServing("b"), 3)
		st.takeOrderSenders()

		st.logDown = true
		time.Sleep(time.Minute)
		st.setDemand(placement.Demand{Model: "b", Weight: 1}, placement.Demand{Model: "c", Weight: 1})
		time.Sleep(time.Minute)
		assert.Equal(t, len(st.takeOrderSenders()), 0, "no host sends orders without a lease")
		stopFirst()
		st.logDown = false
		time.Sleep(time.Minute)
		assert.Equal(t, st.countServing("a"), 0)
		assert.Equal(t, st.countServing("c"), 3)
		stopSecond()
		time.Sleep(5 * time.Minute)
	})
}

// TestLateOrderIsRejectedOrCorrected delays the orders of the first host until it has lost the lease and the second
// host has sent orders. The engine that checks fencing tokens must reject the late orders. The other engines carry them
// out, and the next comparison of the second host must correct that.
func TestLateOrderIsRejectedOrCorrected(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		st := newFakeSite()
		st.orderDelays["first"] = 40 * time.Second
		ctx, stop := context.WithCancel(context.Background())
		st.startPlacer(ctx, "first")
		time.Sleep(15 * time.Second)
		st.logUnreachable["first"] = true
		st.setDemand(placement.Demand{Model: "b", Weight: 1})
		st.startPlacer(ctx, "second")
		time.Sleep(3 * time.Minute)
		lateOrders := 0
		secondHasOrdered := false
		for _, ord := range st.receivedOrders {
			secondHasOrdered = secondHasOrdered || ord.host == "second"
			if ord.host == "first" && secondHasOrdered {
				lateOrders++
				assert.Equal(t, ord.kind, placement.LoadModel)
			}
		}
		assert.Assert(t, lateOrders > 0, "no order of the first host arrived after one of the second: %+v", st.receivedOrders)
		assert.Assert(t, slices.ContainsFunc(st.receivedOrders, func(ord receivedOrder) bool { return ord.host == "first" && !ord.accepted }))
		assert.Equal(t, st.countServing("a"), 0)
		assert.Equal(t, st.countServing("b"), 3)
		stop()
		time.Sleep(5 * time.Minute)
	})
}
