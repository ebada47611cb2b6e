package bodymemory

import (
	"context"
	"log/slog"
	"time"

	"github.com/uber-go/tally/v4"

	"github.com/hibiscuslever/hibiscuslever/timer"
)

// reportInterval is the time between two reports of a Reporter, and so the least time between two of its log lines.
const reportInterval = time.Second

// Reporter reports what a Memory has refused as metrics and log lines.
type Reporter struct {
	memory  *Memory
	clock   timer.Clock
	metrics tally.Scope
	logger  *slog.Logger
	// reported are the counts of the last report.
	reported Counts
}

// NewReporter returns a reporter of a memory, which may be nil.
func NewReporter(memory *Memory, clock timer.Clock, metrics tally.Scope, logger *slog.Logger) *Reporter {
	return &Reporter{memory: memory, clock: clock, metrics: metrics, logger: logger}
}

// Run reports until the context ends. It always returns nil.
func (rp *Reporter) Run(ctx context.Context) error {
	for rp.memory != nil && timer.Sleep(ctx, rp.clock, reportInterval) {
		rp.report()
	}
	<-ctx.Done()
	return nil
}

// report updates the metrics, and logs what was refused since the last report.
func (rp *Reporter) report() {
	counts, taken, open := rp.memory.state()
	added := Counts{
		Refused: counts.Refused - rp.reported.Refused, RefusedHeads: counts.RefusedHeads - rp.reported.RefusedHeads,
		Interrupted: counts.Interrupted - rp.reported.Interrupted,
	}
	rp.reported = counts
	rp.metrics.Counter("bodies_without_memory").Inc(added.Refused)
	rp.metrics.Counter("heads_without_memory").Inc(added.RefusedHeads)
	rp.metrics.Counter("stalled_clients_ended").Inc(added.Interrupted)
	rp.metrics.Gauge("request_memory_bytes").Update(float64(taken))
	rp.metrics.Gauge("client_connections").Update(float64(open))
	if added != (Counts{}) {
		rp.logger.Info("clients' requests exceed the memory", "bodies_refused", added.Refused, "heads_refused", added.RefusedHeads, "stalled_ended", added.Interrupted,
			"taken_bytes", taken, "connections", open)
	}
}

// state returns the counts, the bytes that requests take, and the number of open connections.
func (mm *Memory) state() (counts Counts, taken, open int64) {
	mm.mutex.Lock()
	defer mm.mutex.Unlock()
	if mm.connectionBytes > 0 {
		open = mm.reserved[connections] / mm.connectionBytes
	}
	return mm.counts, mm.reserved[all], open
}
