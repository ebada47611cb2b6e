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

	"github.com/hibiscuslever/hibiscuslever/checks"
	"github.com/hibiscuslever/hibiscuslever/coordination/fleet"
	"github.com/hibiscuslever/hibiscuslever/coordination/placement"
	"github.com/hibiscuslever/hibiscuslever/coordination/placer"
	"github.com/hibiscuslever/hibiscuslever/state/id"
	"github.com/hibiscuslever/hibiscuslever/timer"
)

func TestMain(m *testing.M) { checks.Main(m) }

// order is an order that reached an engine.
type order struct {
	host    id.Host
	kind    placement.OrderKind
	fencing id.Offset
	taken   bool
}

// site is a log, three engines, of which one checks fencing tokens, and the lists.
type site struct {
	mutex   sync.Mutex
	records []placer.LogRecord
	down    bool
	models  map[string][]id.Model
	highest map[string]id.Offset
	orders  []order
	demand  []placement.Demand
	// hold delays orders of a host, as if it was paused after it had looked at its lease.
	hold map[id.Host]time.Duration
	// cut holds hosts that can't reach the log.
	cut map[id.Host]bool
}

func newSite() *site {
	return &site{
		models:  map[string][]id.Model{"checks": nil, "ignores-1": nil, "ignores-2": nil},
		highest: map[string]id.Offset{"checks": id.NoOffset},
		demand:  []placement.Demand{{Model: "a", Weight: 1}},
		hold:    map[id.Host]time.Duration{},
		cut:     map[id.Host]bool{},
	}
}

// port is one host's way to the site.
type port struct {
	*site
	host id.Host
}

func (pt port) Append(_ context.Context, body []byte) {
	pt.mutex.Lock()
	defer pt.mutex.Unlock()
	if !pt.down && !pt.cut[pt.host] {
		pt.records = append(pt.records, placer.LogRecord{Offset: id.Offset(len(pt.records)), Body: body})
	}
}

func (pt port) Read(_ context.Context, from id.Offset) ([]placer.LogRecord, id.Offset, error) {
	pt.mutex.Lock()
	defer pt.mutex.Unlock()
	if pt.down || pt.cut[pt.host] {
		return nil, id.NoOffset, errors.New("log down")
	}
	return slices.Clone(pt.records[from:]), 0, nil
}

func (pt port) Report(_ context.Context, address string) ([]id.Model, int, error) {
	pt.mutex.Lock()
	defer pt.mutex.Unlock()
	return slices.Clone(pt.models[address]), 2, nil
}

func (pt port) Order(ctx context.Context, ord placement.Order, fencing id.Offset) (bool, error) {
	pt.mutex.Lock()
	hold := pt.hold[pt.host]
	pt.mutex.Unlock()
	select {
	case <-time.After(hold + time.Millisecond):
	case <-ctx.Done():
		return false, ctx.Err()
	}
	pt.mutex.Lock()
	defer pt.mutex.Unlock()
	highest, checks := pt.highest[ord.Address]
	taken := !checks || fencing >= highest
	pt.orders = append(pt.orders, order{host: pt.host, kind: ord.Kind, fencing: fencing, taken: taken})
	if !taken {
		return false, nil
	}
	if checks {
		pt.highest[ord.Address] = fencing
	}
	models := slices.DeleteFunc(pt.models[ord.Address], func(model id.Model) bool { return model == ord.Model })
	if ord.Kind == placement.Load {
		models = append(models, ord.Model)
	}
	pt.models[ord.Address] = models
	return true, nil
}

func (pt port) AllEngines() []fleet.Engine {
	return []fleet.Engine{
		{Name: "checks", Address: "checks"}, {Name: "ignores-1", Address: "ignores-1"}, {Name: "ignores-2", Address: "ignores-2"},
	}
}

func (pt port) ModelDemand() []placement.Demand {
	pt.mutex.Lock()
	defer pt.mutex.Unlock()
	return pt.demand
}

func (pt port) IsCandidate() bool { return true }

func (st *site) start(ctx context.Context, host id.Host) *placer.Placer {
	pt := port{site: st, host: host}
	pl := placer.New(placer.DefaultConfig(), host, 1, timer.NewSystem(), pt, pt, pt, pt, pt, tally.NoopScope)
	go func() { _ = pl.Run(ctx) }()
	return pl
}

// serves returns the number of engines that have loaded a model.
func (st *site) serves(model id.Model) int {
	st.mutex.Lock()
	defer st.mutex.Unlock()
	count := 0
	for _, models := range st.models {
		if slices.Contains(models, model) {
			count++
		}
	}
	return count
}

func (st *site) set(demand ...placement.Demand) {
	st.mutex.Lock()
	defer st.mutex.Unlock()
	st.demand = demand
}

func (st *site) orderers() map[id.Host]bool {
	st.mutex.Lock()
	defer st.mutex.Unlock()
	hosts := map[id.Host]bool{}
	for _, ord := range st.orders {
		hosts[ord.host] = true
	}
	st.orders = nil
	return hosts
}

// TestModelsConvergeToDemand follows the lists with two hosts, loses the holder, and has the log down in between.
func TestModelsConvergeToDemand(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		st := newSite()
		first, stopFirst := context.WithCancel(context.Background())
		second, stopSecond := context.WithCancel(context.Background())
		st.start(first, "first")
		time.Sleep(time.Second)
		st.start(second, "second")
		time.Sleep(30 * time.Second)
		assert.Equal(t, st.serves("a"), 3)
		assert.Equal(t, len(st.orderers()), 1, "one host gives orders")

		st.set(placement.Demand{Model: "a", Weight: 1}, placement.Demand{Model: "b", Weight: 1})
		time.Sleep(10 * time.Second)
		assert.Equal(t, st.serves("b"), 3)
		st.orderers()

		st.down = true
		time.Sleep(time.Minute)
		st.set(placement.Demand{Model: "b", Weight: 1}, placement.Demand{Model: "c", Weight: 1})
		time.Sleep(time.Minute)
		assert.Equal(t, len(st.orderers()), 0, "nobody gives orders without a lease")
		stopFirst()
		st.down = false
		time.Sleep(time.Minute)
		assert.Equal(t, st.serves("a"), 0)
		assert.Equal(t, st.serves("c"), 3)
		stopSecond()
		time.Sleep(5 * time.Minute)
	})
}

// TestLateOrderIsRejectedOrCorrected delays the holder's orders past its lease: the engine that checks refuses them,
// on the others the successor's comparison corrects them.
func TestLateOrderIsRejectedOrCorrected(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		st := newSite()
		st.hold["first"] = 40 * time.Second
		both, stop := context.WithCancel(context.Background())
		st.start(both, "first")
		time.Sleep(15 * time.Second)
		st.cut["first"] = true
		st.set(placement.Demand{Model: "b", Weight: 1})
		st.start(both, "second")
		time.Sleep(3 * time.Minute)
		late := 0
		seen := false
		for _, ord := range st.orders {
			seen = seen || ord.host == "second"
			if ord.host == "first" && seen {
				late++
				assert.Equal(t, ord.kind, placement.Load)
			}
		}
		assert.Assert(t, late > 0, "no order came late: %+v", st.orders)
		assert.Assert(t, slices.ContainsFunc(st.orders, func(ord order) bool { return ord.host == "first" && !ord.taken }))
		assert.Equal(t, st.serves("a"), 0)
		assert.Equal(t, st.serves("b"), 3)
		stop()
		time.Sleep(5 * time.Minute)
	})
}
