package hibiscuslever

import (
	"context"
	"log/slog"

	"github.com/hibiscuslever/hibiscuslever/settings"
	"github.com/hibiscuslever/hibiscuslever/state/id"
	"github.com/hibiscuslever/hibiscuslever/telemetry"
	"github.com/hibiscuslever/hibiscuslever/timer"
)

// Option replaces a default of New.
type Option func(*options)

type options struct {
	settings settings.Settings
	clock    timer.Clock
	logger   *slog.Logger
	// logWriter is nil if nothing counts dropped log lines.
	logWriter *telemetry.LogWriter
	metrics   *telemetry.Metrics
	traces    *telemetry.Traces
	seed      uint64
}

// WithSettings sets the host's settings. Without it the host has settings.Default, which lacks the required keys.
func WithSettings(hostSettings settings.Settings) Option {
	return func(hostOptions *options) { hostOptions.settings = hostSettings }
}

// WithClock sets the clock; the default is the system's clock.
func WithClock(clock timer.Clock) Option {
	return func(hostOptions *options) { hostOptions.clock = clock }
}

// WithLogger sets the logger for state changes, such as members joining or leaving; by default they are not logged.
func WithLogger(logger *slog.Logger) Option {
	return func(hostOptions *options) { hostOptions.logger = logger }
}

// WithLogWriter makes the host's metrics count the lines that the writer of the logger's lines drops.
func WithLogWriter(logWriter *telemetry.LogWriter) Option {
	return func(hostOptions *options) { hostOptions.logWriter = logWriter }
}

// WithTraces sets the tracer provider and propagator. By default spans are not exported. The caller closes traces.
func WithTraces(traces *telemetry.Traces) Option {
	return func(hostOptions *options) { hostOptions.traces = traces }
}

// WithSeed sets the seed of the host's random choices, except for the order of caller addresses; the default is random.
func WithSeed(seed uint64) Option {
	return func(hostOptions *options) { hostOptions.seed = seed }
}

// newOptions applies opts to the defaults.
func newOptions(opts []Option) (options, error) {
	resolved := options{
		settings: settings.Default(),
		clock:    timer.NewSystem(),
		logger:   slog.New(slog.DiscardHandler),
		seed:     id.NewSeed(),
	}
	for _, option := range opts {
		option(&resolved)
	}
	resolved.metrics = telemetry.NewMetrics()
	if resolved.traces == nil {
		traces, err := telemetry.NewTraces(context.Background(), string(resolved.settings.Host.Name), "None", "", "")
		if err != nil {
			return options{}, err
		}
		resolved.traces = traces
	}
	return resolved, nil
}
