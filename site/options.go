package site

import (
	"log/slog"

	"github.com/hibiscuslever/hibiscuslever/settings"
	"github.com/hibiscuslever/hibiscuslever/state/id"
	"github.com/hibiscuslever/hibiscuslever/telemetry"
	"github.com/hibiscuslever/hibiscuslever/timer"
)

// Option changes a default of a host.
type Option func(*options)

type options struct {
	settings settings.Settings
	clock    timer.Service
	logger   *slog.Logger
	traces   *telemetry.Traces
	seed     uint64
}

// WithSettings sets the host's settings.
func WithSettings(st settings.Settings) Option {
	return func(op *options) { op.settings = st }
}

// WithClock sets the timer service.
func WithClock(clock timer.Service) Option {
	return func(op *options) { op.clock = clock }
}

// WithLogger sets where lines about decisions go.
func WithLogger(logger *slog.Logger) Option {
	return func(op *options) { op.logger = logger }
}

// WithTraces sets where spans go; without it none are made.
func WithTraces(traces *telemetry.Traces) Option {
	return func(op *options) { op.traces = traces }
}

// WithSeed sets the seed of random choices.
func WithSeed(seed uint64) Option {
	return func(op *options) { op.seed = seed }
}

func newOptions(opts []Option) options {
	op := options{
		settings: settings.Default(),
		clock:    timer.NewSystem(),
		logger:   slog.New(slog.DiscardHandler),
		seed:     id.NewSeed(),
	}
	for _, opt := range opts {
		opt(&op)
	}
	return op
}
