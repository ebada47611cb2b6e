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
	newHandler := func(out io.Writer) slog.Handler {
		if format == "JSON" {
			return slog.NewJSONHandler(out, options)
		}
		return slog.NewTextHandler(out, options)
	}
	handler := newHandler(out)
	if logWriter, ok := out.(*LogWriter); ok {
		handler = requestHandler{Handler: handler, requestLines: newHandler(logWriter.RequestLines())}
	}
	return slog.New(traceHandler{Handler: handler})
}

// requestHandler separates the lines about single requests from all others. There can be any number of them, and they must
// not take the place of the others.
type requestHandler struct {
	slog.Handler
	requestLines slog.Handler
}

// Handle passes the record to the handler for its kind of line.
func (rh requestHandler) Handle(ctx context.Context, record slog.Record) error {
	handler := rh.Handler
	record.Attrs(func(attr slog.Attr) bool {
		isRequestLine := attr.Key == "request" || attr.Key == "place"
		if isRequestLine {
			handler = rh.requestLines
		}
		return !isRequestLine
	})
	return handler.Handle(ctx, record)
}

// WithAttrs returns a handler that adds attributes to each line.
func (rh requestHandler) WithAttrs(attrs []slog.Attr) slog.Handler {
	return requestHandler{Handler: rh.Handler.WithAttrs(attrs), requestLines: rh.requestLines.WithAttrs(attrs)}
}

// WithGroup returns a handler that puts attributes into a group.
func (rh requestHandler) WithGroup(name string) slog.Handler {
	return requestHandler{Handler: rh.Handler.WithGroup(name), requestLines: rh.requestLines.WithGroup(name)}
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
