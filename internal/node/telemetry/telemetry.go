// Package telemetry sets up logging, metrics and tracing for all processes.
package telemetry

import (
	"context"
	"io"
	"net/http"
	"time"

	"github.com/sirupsen/logrus"
	"github.com/uber-go/tally/v4"
	"github.com/uber-go/tally/v4/prometheus"
	"go.opentelemetry.io/otel/propagation"
	sdktrace "go.opentelemetry.io/otel/sdk/trace"
	"go.opentelemetry.io/otel/trace"
)

// Telemetry holds a process's logger, metrics and tracer. Handler serves the metrics to
// Prometheus. Finished spans are logged as events, so that no trace collector has to run on
// a VM without disks.
type Telemetry struct {
	Log      *logrus.Logger
	Metrics  tally.Scope
	Handler  http.Handler
	provider *sdktrace.TracerProvider
	closer   io.Closer
}

// reportInterval is the interval at which recorded metrics are passed to Handler.
const reportInterval = time.Second

// sanitizeOptions restricts metric and tag names to the characters that the Prometheus text
// format allows, and leaves printable ASCII in tag values as it is, so that they match the
// values in the log.
var sanitizeOptions = tally.SanitizeOptions{
	NameCharacters:       prometheus.DefaultSanitizerOpts.NameCharacters,
	KeyCharacters:        prometheus.DefaultSanitizerOpts.KeyCharacters,
	ValueCharacters:      tally.ValidCharacters{Ranges: []tally.SanitizeRange{{' ', '~'}}},
	ReplacementCharacter: prometheus.DefaultSanitizerOpts.ReplacementCharacter,
}

// New returns telemetry that logs to the writer and traces the given share of the requests,
// from 0 to 1. A request with a traceparent is traced exactly if its caller's span is
// sampled, whatever the share.
func New(writer io.Writer, process string, traceShare float64) *Telemetry {
	log := logrus.New()
	log.SetOutput(writer)
	log.SetFormatter(&logrus.TextFormatter{DisableColors: true, FullTimestamp: true, TimestampFormat: time.RFC3339Nano})
	reporter := prometheus.NewReporter(prometheus.Options{OnRegisterError: func(err error) {
		log.WithError(err).WithField("event", "metric-rejected").Error()
	}})
	scope, closer := tally.NewRootScope(tally.ScopeOptions{
		Prefix:                 "endivepost",
		Tags:                   map[string]string{"process": process},
		CachedReporter:         reporter,
		Separator:              prometheus.DefaultSeparator,
		SanitizeOptions:        &sanitizeOptions,
		OmitCardinalityMetrics: true,
	}, reportInterval)
	provider := sdktrace.NewTracerProvider(
		sdktrace.WithSampler(sdktrace.ParentBased(sdktrace.TraceIDRatioBased(traceShare))),
		sdktrace.WithSyncer(&spanLogger{log: log}),
	)
	return &Telemetry{Log: log, Metrics: scope, Handler: reporter.HTTPHandler(), provider: provider, closer: closer}
}

// Tracer returns the tracer for the spans of this process.
func (telemetry *Telemetry) Tracer() trace.Tracer {
	return telemetry.provider.Tracer("endivepost")
}

// Close reports the remaining metrics and ends tracing.
func (telemetry *Telemetry) Close() {
	_ = telemetry.closer.Close()
	_ = telemetry.provider.Shutdown(context.Background())
}

const traceParent = "traceparent"

// Inject returns the W3C traceparent of the span in the context, "" if there is none.
func Inject(ctx context.Context) string {
	carrier := propagation.MapCarrier{}
	propagation.TraceContext{}.Inject(ctx, carrier)
	return carrier[traceParent]
}

// Extract returns a context whose parent span is that of the W3C traceparent. If parent is
// empty or invalid it returns ctx.
func Extract(ctx context.Context, parent string) context.Context {
	return propagation.TraceContext{}.Extract(ctx, propagation.MapCarrier{traceParent: parent})
}

// spanLogger logs finished spans.
type spanLogger struct {
	log *logrus.Logger
}

// ExportSpans implements sdktrace.SpanExporter.
func (logger *spanLogger) ExportSpans(_ context.Context, spans []sdktrace.ReadOnlySpan) error {
	for _, span := range spans {
		fields := logrus.Fields{
			"event":  "span",
			"name":   span.Name(),
			"trace":  span.SpanContext().TraceID().String(),
			"span":   span.SpanContext().SpanID().String(),
			"parent": span.Parent().SpanID().String(),
			"took":   span.EndTime().Sub(span.StartTime()).String(),
		}
		for _, attribute := range span.Attributes() {
			fields[string(attribute.Key)] = attribute.Value.AsString()
		}
		logger.log.WithFields(fields).Info()
	}
	return nil
}

// Shutdown implements sdktrace.SpanExporter.
func (*spanLogger) Shutdown(context.Context) error {
	return nil
}
