// Package telemetry sets up the metrics, logs and traces of a process, and reads log lines back to explain what
// happened to a request.
package telemetry

import (
	"io"
	"net/http"
	"time"

	"github.com/prometheus/client_golang/prometheus"
	"github.com/uber-go/tally/v4"
	tallyprom "github.com/uber-go/tally/v4/prometheus"
)

// reportPeriod is the time between two updates of the exposed metrics from the scope.
const reportPeriod = time.Second

// Metrics is a root scope of metrics and the HTTP handler that exposes them.
type Metrics struct {
	Scope   tally.Scope
	Handler http.Handler
	closer  io.Closer
}

// NewMetrics returns metrics that Handler exposes in the Prometheus text format.
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

// Close reports the metrics a last time and stops the reporter.
func (ms *Metrics) Close() error {
	return ms.closer.Close()
}
