package site

import (
	"context"
	"time"

	"github.com/hibiscuslever/hibiscuslever/timer"
)

// gaugePeriod is the time between two updates of the gauges.
const gaugePeriod = time.Second

// updateGauges keeps the gauges of the metrics up to date until the context ends.
func (ht *Host) updateGauges(ctx context.Context) error {
	sub := timer.Every(ht.clock, gaugePeriod, ht.setGauges)
	<-ctx.Done()
	sub.Stop()
	return nil
}

func (ht *Host) setGauges() {
	scope := ht.metrics.Scope
	scope.Gauge("requests_in_flight").Update(float64(ht.front.InFlight()))
	scope.Gauge("hosts").Update(float64(1 + len(ht.gossip.RemoteMembers())))
	scope.Gauge("list_age_seconds").Update(ht.news.ListAge().Seconds())
	scope.Gauge("store_away").Update(oneIf(ht.news.StoreUnavailable()))
	if tb := ht.news.Table(); tb != nil {
		scope.Gauge("desired_state_version").Update(float64(tb.Version()))
		scope.Gauge("desired_state_age_seconds").Update(ht.news.TableAge().Seconds())
	}
	for _, st := range ht.broker.Status() {
		tagged := scope.Tagged(map[string]string{"service": string(st.Service)})
		tagged.Gauge("dispatch_waiting").Update(float64(st.Waiting))
		tagged.Gauge("dispatch_granted").Update(float64(st.Granted))
	}
	for service, budget := range ht.runner.RetryBudgets() {
		scope.Tagged(map[string]string{"service": string(service)}).Gauge("retry_budget").Update(budget)
	}
}

func oneIf(holds bool) float64 {
	if holds {
		return 1
	}
	return 0
}
