// Package trace propagates and exports trace spans (W3C Trace Context).
//
// # Usage
//
//	tracer, stop := trace.NewTracer(os.Stdout, "vm1", 0.01)
//	defer stop(ctx)
//	ctx, span := tracer.Start(ctx, request.Header, "relay")
//	defer span.End()
//	tracer.Inject(ctx, outgoing.Header)
package trace

import (
	"context"
	"io"
	"net/http"

	"github.com/cockroachdb/errors"
	"go.opentelemetry.io/otel/attribute"
	"go.opentelemetry.io/otel/exporters/stdout/stdouttrace"
	"go.opentelemetry.io/otel/propagation"
	"go.opentelemetry.io/otel/sdk/resource"
	sdk "go.opentelemetry.io/otel/sdk/trace"
	api "go.opentelemetry.io/otel/trace"
	"go.opentelemetry.io/otel/trace/noop"
)

// Tracer starts spans and propagates their context in request headers.
type Tracer struct {
	tracer     api.Tracer
	propagator propagation.TraceContext
}

// Noop returns a Tracer that records no spans but still propagates trace contexts.
func Noop() *Tracer {
	return &Tracer{tracer: noop.NewTracerProvider().Tracer("hickorylug")}
}

// NewTracer returns a Tracer that writes a share of all traces, from 0 to 1, to w as JSON lines.
//
// The argument process is the name of this process, which each span carries.
// If a request has a trace context, its sampling decision applies instead. The
// returned function flushes buffered spans and shuts the tracer down.
func NewTracer(w io.Writer, process string, share float64) (t *Tracer, stop func(context.Context) error, err error) {
	defer func() { err = errors.Wrap(err, "create the trace exporter") }()
	exporter, err := stdouttrace.New(stdouttrace.WithWriter(w))
	if err != nil {
		return nil, nil, err
	}
	provider := sdk.NewTracerProvider(
		sdk.WithBatcher(exporter),
		sdk.WithSampler(sdk.ParentBased(sdk.TraceIDRatioBased(share))),
		sdk.WithResource(resource.NewSchemaless(
			attribute.String("service.name", "hickorylug"),
			attribute.String("service.instance.id", process),
		)),
	)
	return &Tracer{tracer: provider.Tracer("hickorylug")}, provider.Shutdown, nil
}

// Start starts a span whose parent is in the context or else, from another process, in the header.
func (t *Tracer) Start(ctx context.Context, h http.Header, name string) (context.Context, api.Span) {
	if !api.SpanContextFromContext(ctx).IsValid() {
		ctx = t.propagator.Extract(ctx, propagation.HeaderCarrier(h))
	}
	return t.tracer.Start(ctx, name)
}

// Inject writes the context's span to the header of an outgoing request, as the parent of the next span.
func (t *Tracer) Inject(ctx context.Context, h http.Header) {
	t.propagator.Inject(ctx, propagation.HeaderCarrier(h))
}

// ID returns the trace ID, or an empty string if the context has no trace.
func ID(ctx context.Context) string {
	s := api.SpanContextFromContext(ctx)
	if !s.HasTraceID() {
		return ""
	}
	return s.TraceID().String()
}
