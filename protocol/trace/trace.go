// Package trace carries spans from hop to hop (W3C trace context).
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

// Tracer makes spans whose parent is named in a request's header.
type Tracer struct {
	tracer     api.Tracer
	propagator propagation.TraceContext
}

// Noop returns a tracer that records nothing but passes trace contexts on.
func Noop() *Tracer {
	return &Tracer{tracer: noop.NewTracerProvider().Tracer("hickorylug")}
}

// NewTracer returns a tracer that writes a share of all traces as JSON lines.
//
// A caller's own decision to sample is followed. The returned function writes what is still kept.
func NewTracer(w io.Writer, process string, share float64) (t *Tracer, stop func(context.Context) error, err error) {
	defer func() { err = errors.Wrap(err, "make the exporter of traces") }()
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

// Start begins the span of a hop; its parent is in the context or, from another process, in the header.
func (t *Tracer) Start(ctx context.Context, h http.Header, name string) (context.Context, api.Span) {
	if !api.SpanContextFromContext(ctx).IsValid() {
		ctx = t.propagator.Extract(ctx, propagation.HeaderCarrier(h))
	}
	return t.tracer.Start(ctx, name)
}

// Inject names the context's span as the parent of the next hop's.
func (t *Tracer) Inject(ctx context.Context, h http.Header) {
	t.propagator.Inject(ctx, propagation.HeaderCarrier(h))
}

// ID returns the trace's identifier, or an empty text where nothing is traced.
func ID(ctx context.Context) string {
	s := api.SpanContextFromContext(ctx)
	if !s.HasTraceID() {
		return ""
	}
	return s.TraceID().String()
}
