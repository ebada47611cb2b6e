package telemetry

import (
	"context"
	"io"
	"log/slog"

	"go.opentelemetry.io/otel/trace"
)

// NewLogger returns a logger that writes lines of a format, Text or JSON, from a level on.
func NewLogger(out io.Writer, format, level string) *slog.Logger {
	var minimumLevel slog.Level
	if err := minimumLevel.UnmarshalText([]byte(level)); err != nil {
		minimumLevel = slog.LevelInfo
	}
	options := &slog.HandlerOptions{Level: minimumLevel}
	var handler slog.Handler = slog.NewTextHandler(out, options)
	if format == "JSON" {
		handler = slog.NewJSONHandler(out, options)
	}
	return slog.New(traceHandler{Handler: handler})
}

// traceHandler adds the trace id of the context to each line.
type traceHandler struct {
	slog.Handler
}

// Handle adds the trace id and passes the line on.
func (th traceHandler) Handle(ctx context.Context, record slog.Record) error {
	if span := trace.SpanContextFromContext(ctx); span.IsValid() {
		record.AddAttrs(slog.String("trace", span.TraceID().String()))
	}
	return th.Handler.Handle(ctx, record)
}

// WithAttrs returns a handler that adds attributes to each line.
func (th traceHandler) WithAttrs(attrs []slog.Attr) slog.Handler {
	return traceHandler{Handler: th.Handler.WithAttrs(attrs)}
}

// WithGroup returns a handler that groups attributes.
func (th traceHandler) WithGroup(name string) slog.Handler {
	return traceHandler{Handler: th.Handler.WithGroup(name)}
}
