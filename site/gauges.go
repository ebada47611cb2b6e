package site

import (
	"context"
	"time"

	"github.com/hibiscuslever/hibiscuslever/timer"
)

// gaugeInterval is the time between two updates of the gauges.
const gaugeInterval = time.Second

// updateGauges updates the gauges of the metrics periodically until the context ends. It always returns nil.
func (ht *Host) updateGauges(ctx context.Context) error {
	subscription := timer.Every(ht.clock, gaugeInterval, ht.setGauges)
	<-ctx.Done()
	subscription.Stop()
	return nil
}

func (ht *Host) setGauges() {
	scope := ht.metrics.Scope
	scope.Gauge("requests_in_flight").Update(float64(ht.clientHandler.InFlight()))
	scope.Gauge("calls_for_peers_in_flight").Update(float64(ht.relayServer.InFlight()))
	scope.Gauge("cut_off").Update(boolToFloat(ht.links.CutOff()))
	scope.Gauge("servers_through_peers").Update(float64(ht.links.MarkedServers()))
	scope.Gauge("engines_cold").Update(float64(ht.coldStarts.Count()))
	scope.Gauge("hosts").Update(float64(1 + len(ht.gossip.RemoteMembers())))
	scope.Gauge("list_age_seconds").Update(ht.updateFollower.ListAge().Seconds())
	scope.Gauge("store_away").Update(boolToFloat(ht.updateFollower.StoreUnavailable()))
	scope.Gauge("zones_evacuated").Update(float64(len(ht.updateFollower.EvacuatedZones())))
	if table := ht.updateFollower.Table(); table != nil {
		scope.Gauge("desired_state_version").Update(float64(table.Version()))
		scope.Gauge("desired_state_age_seconds").Update(ht.updateFollower.TableAge().Seconds())
	}
	for _, status := range ht.grantServer.Status() {
		tagged := scope.Tagged(map[string]string{"service": string(status.Service)})
		tagged.Gauge("dispatch_waiting").Update(float64(status.Waiting))
		tagged.Gauge("dispatch_granted").Update(float64(status.Granted))
		tagged.Tagged(map[string]string{"engines": "one"}).Gauge("first_event_ratio").Update(status.SingleFirstEventRatio)
		tagged.Tagged(map[string]string{"engines": "several"}).Gauge("first_event_ratio").Update(status.SharedFirstEventRatio)
	}
	for service, budget := range ht.forwarder.RetryBudgets() {
		scope.Tagged(map[string]string{"service": string(service)}).Gauge("retry_budget").Update(budget)
	}
}

// boolToFloat returns 1 for true and 0 for false.
func boolToFloat(value bool) float64 {
	if value {
		return 1
	}
	return 0
}
