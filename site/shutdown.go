package site

import (
	"context"
	"time"

	"github.com/hibiscuslever/hibiscuslever/timer"
)

// Parts of the time that a host has to stop.
const (
	// acceptShare is the part during which new requests are taken from clients that still hold the host's address.
	acceptShare = 0.4
	// leaveShare is the part after which the host ends what is left.
	leaveShare = 0.95
)

// shutDown leaves the advertised addresses, serves clients that still hold the old answer, finishes all requests in
// flight and returns.
func (ht *Host) shutDown(ctx context.Context) {
	const lookPeriod = 20 * time.Millisecond
	started := ht.clock.Now()
	grace := ht.settings.Operators.ShutdownTimeout
	ht.logger.Info("host is leaving", "in_flight", ht.front.InFlight(), "grace_ms", grace.Milliseconds())
	ht.mutex.Lock()
	ht.leaving = true
	ht.mutex.Unlock()
	ht.front.Close()
	go ht.gossip.Leave(ctx)
	accept := time.Duration(acceptShare * float64(grace))
	timer.Sleep(ctx, ht.clock, accept)
	ht.front.Refuse()
	end := started.Add(time.Duration(leaveShare * float64(grace)))
	for ht.front.InFlight() > 0 && ht.clock.Now().Before(end) {
		if !timer.Sleep(ctx, ht.clock, lookPeriod) {
			return
		}
	}
	ht.logger.Info("host has finished its requests", "in_flight", ht.front.InFlight(), "took_ms", ht.clock.Now().Sub(started).Milliseconds())
}
