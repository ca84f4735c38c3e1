// Package telemetry sets up logs, metrics and traces alike for all processes.
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

// Telemetry is what a process observes itself with. Spans are written to the
// log as events, so that a VM without disks needs no collector.
type Telemetry struct {
	Log      *logrus.Logger
	Metrics  tally.Scope
	Handler  http.Handler
	provider *sdktrace.TracerProvider
	closer   io.Closer
}

const reportEvery = time.Second

// sanitizing keeps names of metrics as the text format wants them, and values of
// tags as the log has them.
var sanitizing = tally.SanitizeOptions{
	NameCharacters:       prometheus.DefaultSanitizerOpts.NameCharacters,
	KeyCharacters:        prometheus.DefaultSanitizerOpts.KeyCharacters,
	ValueCharacters:      tally.ValidCharacters{Ranges: []tally.SanitizeRange{{' ', '~'}}},
	ReplacementCharacter: prometheus.DefaultSanitizerOpts.ReplacementCharacter,
}

// New returns telemetry that logs to the writer and traces the given share of
// the requests, from 0 to 1.
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
		SanitizeOptions:        &sanitizing,
		OmitCardinalityMetrics: true,
	}, reportEvery)
	provider := sdktrace.NewTracerProvider(
		sdktrace.WithSampler(sdktrace.ParentBased(sdktrace.TraceIDRatioBased(traceShare))),
		sdktrace.WithSyncer(&spanLogger{log: log}),
	)
	return &Telemetry{Log: log, Metrics: scope, Handler: reporter.HTTPHandler(), provider: provider, closer: closer}
}

// Tracer returns the tracer of the process.
func (telemetry *Telemetry) Tracer() trace.Tracer {
	return telemetry.provider.Tracer("endivepost")
}

// Close writes out what is left.
func (telemetry *Telemetry) Close() {
	_ = telemetry.closer.Close()
	_ = telemetry.provider.Shutdown(context.Background())
}

const traceParent = "traceparent"

// Inject returns the W3C traceparent of the context's span.
func Inject(ctx context.Context) string {
	carrier := propagation.MapCarrier{}
	propagation.TraceContext{}.Inject(ctx, carrier)
	return carrier[traceParent]
}

// Extract returns a context with the span that the W3C traceparent names.
func Extract(ctx context.Context, parent string) context.Context {
	return propagation.TraceContext{}.Extract(ctx, propagation.MapCarrier{traceParent: parent})
}

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
