package telemetry

import (
	"context"
	"os"

	"github.com/go-faster/errors"
	"go.opentelemetry.io/otel/attribute"
	"go.opentelemetry.io/otel/exporters/otlp/otlptrace/otlptracehttp"
	"go.opentelemetry.io/otel/exporters/stdout/stdouttrace"
	"go.opentelemetry.io/otel/propagation"
	"go.opentelemetry.io/otel/sdk/resource"
	sdktrace "go.opentelemetry.io/otel/sdk/trace"
)

// Traces is a tracer provider, and a propagator that passes W3C trace context between processes.
type Traces struct {
	Provider   *sdktrace.TracerProvider
	Propagator propagation.TextMapPropagator
	// file is the file that spans are appended to, nil if there is none.
	file *os.File
}

// NewTraces returns a provider that exports spans as export says: nowhere ("None"), to the end of a file ("File"), or
// to the collector at a URL ("OTLP"). The parameters file and endpoint are used only for their kind of export.
func NewTraces(ctx context.Context, host, export, file, endpoint string) (*Traces, error) {
	traces := &Traces{Propagator: propagation.TraceContext{}}
	options := []sdktrace.TracerProviderOption{sdktrace.WithResource(resource.NewSchemaless(
		attribute.String("service.name", "hibiscuslever"),
		attribute.String("host.name", host),
	))}
	exporter, err := traces.newExporter(ctx, export, file, endpoint)
	if err != nil {
		return nil, err
	}
	if exporter != nil {
		options = append(options, sdktrace.WithBatcher(exporter))
	}
	traces.Provider = sdktrace.NewTracerProvider(options...)
	return traces, nil
}

// newExporter returns nil if spans are not exported.
func (tr *Traces) newExporter(ctx context.Context, export, file, endpoint string) (sdktrace.SpanExporter, error) {
	switch export {
	case "File":
		out, err := os.OpenFile(file, os.O_APPEND|os.O_CREATE|os.O_WRONLY, 0o600)
		if err != nil {
			return nil, errors.Wrap(err, "open trace file")
		}
		tr.file = out
		return stdouttrace.New(stdouttrace.WithWriter(out))
	case "OTLP":
		return otlptracehttp.New(ctx, otlptracehttp.WithEndpointURL(endpoint))
	default:
		return nil, nil //nolint:nilnil // no exporter is wanted
	}
}

// Close exports the pending spans, stops the provider and closes the file.
func (tr *Traces) Close(ctx context.Context) error {
	err := tr.Provider.Shutdown(ctx)
	if tr.file != nil {
		err = errors.Join(err, tr.file.Close())
	}
	return err
}
