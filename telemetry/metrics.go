// Package telemetry sets up the metrics, logs and traces of a process.
package telemetry

import (
	"io"
	"net/http"
	"time"

	"github.com/prometheus/client_golang/prometheus"
	"github.com/uber-go/tally/v4"
	tallyprom "github.com/uber-go/tally/v4/prometheus"
)

// reportPeriod is how often counters are passed to the reporter.
const reportPeriod = time.Second

// Metrics is a scope of metrics and the handler that shows them.
type Metrics struct {
	Scope   tally.Scope
	Handler http.Handler
	closer  io.Closer
}

// NewMetrics returns a root scope that is shown in the Prometheus text format.
func NewMetrics() *Metrics {
	registry := prometheus.NewRegistry()
	reporter := tallyprom.NewReporter(tallyprom.Options{
		Registerer:       registry,
		Gatherer:         registry,
		OnRegisterError:  func(error) {},
		DefaultTimerType: tallyprom.HistogramTimerType,
	})
	scope, closer := tally.NewRootScope(tally.ScopeOptions{
		Prefix:          "hibiscuslever",
		Separator:       tallyprom.DefaultSeparator,
		CachedReporter:  reporter,
		SanitizeOptions: &tallyprom.DefaultSanitizerOpts,
	}, reportPeriod)
	return &Metrics{Scope: scope, Handler: reporter.HTTPHandler(), closer: closer}
}

// Close stops the reporter.
func (ms *Metrics) Close() error {
	return ms.closer.Close()
}
