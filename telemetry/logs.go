package telemetry

import (
	"context"
	"io"
	"log/slog"

	"go.opentelemetry.io/otel/trace"
)

// NewLogger returns a logger that writes lines of the given level and higher ones in a format, Text or JSON. An unknown
// level counts as Info.
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

// traceHandler adds the trace ID of the context, if there is one, to each line.
type traceHandler struct {
	slog.Handler
}

// Handle adds the trace ID to the record and passes it to the wrapped handler.
func (th traceHandler) Handle(ctx context.Context, record slog.Record) error {
	if span := trace.SpanContextFromContext(ctx); span.IsValid() {
		record.AddAttrs(slog.String("trace", span.TraceID().String()))
	}
	return th.Handler.Handle(ctx, record)
}

// WithAttrs returns a handler that adds attributes to each line, and still the trace ID.
func (th traceHandler) WithAttrs(attrs []slog.Attr) slog.Handler {
	return traceHandler{Handler: th.Handler.WithAttrs(attrs)}
}

// WithGroup returns a handler that puts attributes into a group, and still adds the trace ID.
func (th traceHandler) WithGroup(name string) slog.Handler {
	return traceHandler{Handler: th.Handler.WithGroup(name)}
}
