package site

import (
	"log/slog"

	"github.com/hibiscuslever/hibiscuslever/settings"
	"github.com/hibiscuslever/hibiscuslever/state/id"
	"github.com/hibiscuslever/hibiscuslever/telemetry"
	"github.com/hibiscuslever/hibiscuslever/timer"
	"github.com/hibiscuslever/hibiscuslever/transport/backend"
)

// Option overrides a default of a host.
type Option func(*options)

type options struct {
	settings settings.Settings
	clock    timer.Clock
	logger   *slog.Logger
	traces   *telemetry.Traces
	// logWriter is nil if nothing counts dropped log lines.
	logWriter *telemetry.LogWriter
	seed      uint64
	dial      backend.DialFunc
}

// WithSettings sets the host's settings.
func WithSettings(hostSettings settings.Settings) Option {
	return func(hostOptions *options) { hostOptions.settings = hostSettings }
}

// WithClock sets the source of the time and of timers.
func WithClock(clock timer.Clock) Option {
	return func(hostOptions *options) { hostOptions.clock = clock }
}

// WithLogger sets the logger. By default nothing is logged.
func WithLogger(logger *slog.Logger) Option {
	return func(hostOptions *options) { hostOptions.logger = logger }
}

// WithLogWriter makes the host's metrics count the lines that the writer of the logger's lines drops.
func WithLogWriter(logWriter *telemetry.LogWriter) Option {
	return func(hostOptions *options) { hostOptions.logWriter = logWriter }
}

// WithTraces enables tracing. By default no spans are recorded.
func WithTraces(traces *telemetry.Traces) Option {
	return func(hostOptions *options) { hostOptions.traces = traces }
}

// WithSeed sets the seed of the random number generators.
func WithSeed(seed uint64) Option {
	return func(hostOptions *options) { hostOptions.seed = seed }
}

// WithDialer sets the function that opens connections to backend servers and to the store. By default they are opened
// with net.Dialer.
func WithDialer(dial backend.DialFunc) Option {
	return func(hostOptions *options) { hostOptions.dial = dial }
}

func newOptions(opts []Option) options {
	resolved := options{
		settings: settings.Default(),
		clock:    timer.NewSystem(),
		logger:   slog.New(slog.DiscardHandler),
		seed:     id.NewSeed(),
	}
	for _, option := range opts {
		option(&resolved)
	}
	return resolved
}
