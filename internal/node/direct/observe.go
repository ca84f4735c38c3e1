package direct

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"net/http"
	"strconv"
	"strings"
	"time"

	"github.com/gorilla/mux"
	"github.com/sirupsen/logrus"
	"github.com/uber-go/tally/v4"
	"go.opentelemetry.io/otel/attribute"
	"go.opentelemetry.io/otel/trace"

	"endivepost/internal/core/dispatch"
	"endivepost/internal/core/event"
	"endivepost/internal/node/attainment"
	"endivepost/internal/node/guard"
	"endivepost/internal/node/logevent"
	"endivepost/internal/node/telemetry"
	"endivepost/internal/wire/message"
)

// The buckets of the latency histograms: from 1 ms to 16 s, each twice the one before.
const (
	shortestBucket = time.Millisecond
	bucketFactor   = 2
	bucketCount    = 15
)

var latencyBuckets = tally.MustMakeExponentialDurationBuckets(shortestBucket, bucketFactor, bucketCount)

func (entry *Entry) log(name logevent.Name) *logrus.Entry {
	return entry.telemetry.Log.WithFields(logrus.Fields{"event": string(name), "process": entry.settings.Name})
}

// countEvent counts an event written to the caller, also as late if its delay after the
// previous one exceeded the class's target between tokens.
func (inflight *inflight) countEvent(now time.Time) {
	target := time.Duration(inflight.resolved.Class.BetweenTokens)
	if inflight.events > 0 {
		gap := now.Sub(inflight.lastEventAt)
		inflight.longestGap = max(inflight.longestGap, gap)
		if target > 0 && gap > target {
			inflight.lateEvents++
		}
	}
	inflight.events++
	inflight.lastEventAt = now
}

// record counts and logs a finished request. Requests that completed at the first
// attempt are logged up to a limit of lines per second, all others always.
func (inflight *inflight) record(finish event.Finish, status int) {
	entry := inflight.entry
	took := time.Since(inflight.arrived)
	entry.counts.Add(attainment.Sample{
		Class: inflight.resolved.Class, Outcome: finish.Outcome, Reason: finish.Reason, FirstToken: inflight.timeToFirst, Total: took,
		Tokens: inflight.events, LateTokens: inflight.lateEvents, Wasted: finish.WastedTokens,
	})
	scope := entry.classScope(inflight.resolved.Class.Name)
	scope.Tagged(map[string]string{"outcome": finish.Outcome.String(), "reason": finish.Reason.String()}).Counter("requests").Inc(1)
	scope.Counter("pauses").Inc(int64(inflight.lateEvents))
	scope.Counter("unread_tokens").Inc(int64(finish.Load.UncachedTokens))
	scope.Histogram("first_answer_seconds", latencyBuckets).RecordDuration(inflight.timeToFirst)
	scope.Histogram("whole_answer_seconds", latencyBuckets).RecordDuration(took)
	succeeded := finish.Outcome == message.Complete && finish.Attempts == 1
	if succeeded && !entry.allowLine() {
		return
	}
	entry.log(logevent.RequestFinished).WithFields(finish.Load.Fields()).WithFields(logrus.Fields{
		"request": inflight.info.ID, "class": inflight.resolved.Class.Name, "account": inflight.resolved.Account, "tier": inflight.resolved.Tier,
		"outcome": finish.Outcome.String(), "reason": finish.Reason.String(), "status": status, "upstream": finish.Upstream,
		"attempts": finish.Attempts, "events": inflight.events, "first-ms": inflight.timeToFirst.Milliseconds(), "waited-ms": inflight.waited.Milliseconds(),
		"late-events": inflight.lateEvents, "longest-gap-ms": inflight.longestGap.Milliseconds(),
		"took-ms": took.Milliseconds(), "version": inflight.version, "retry-after-ms": finish.RetryAfter.Milliseconds(),
	}).Info()
}

// startSpan starts the span of a request, as a child of the caller's span if the
// request has a Traceparent header.
func (entry *Entry) startSpan(ctx context.Context, inflight *inflight) (context.Context, trace.Span) {
	ctx = telemetry.Extract(ctx, inflight.request.Header.Get("Traceparent"))
	return entry.telemetry.Tracer().Start(ctx, "entry", trace.WithAttributes(
		attribute.String("request", inflight.info.ID), attribute.String("class", inflight.resolved.Class.Name),
	))
}

func (entry *Entry) classScope(class string) tally.Scope {
	return entry.telemetry.Metrics.Tagged(map[string]string{"class": class})
}

// allowLine reports whether the line of a request that completed at the first attempt
// may be logged, and logs how many such lines were suppressed before.
func (entry *Entry) allowLine() bool {
	allowed, suppressed := entry.limiter.Allow(time.Now())
	if suppressed > 0 {
		entry.log(logevent.LinesLeftOut).WithField("count", suppressed).Info()
	}
	return allowed
}

// recordAttempt counts an attempt, with its wait if it is the first, and logs it unless
// it is a first attempt that completed.
func (inflight *inflight) recordAttempt(attempt event.Attempt, ended event.AttemptEnded) {
	tags := map[string]string{"class": inflight.resolved.Class.Name, "result": ended.Result.String()}
	inflight.entry.telemetry.Metrics.Tagged(tags).Counter("attempts").Inc(1)
	if attempt.Number == 1 {
		inflight.entry.classScope(inflight.resolved.Class.Name).Histogram("waited_seconds", latencyBuckets).RecordDuration(inflight.waited)
	}
	if ended.Result == event.Completed && attempt.Number == 1 {
		return
	}
	inflight.entry.log(logevent.AttemptEnded).WithFields(attempt.Load.Fields()).WithFields(logrus.Fields{
		"request": inflight.info.ID, "attempt": attempt.Number, "upstream": attempt.Upstream, "result": ended.Result.String(),
		"status": ended.Status, "after-ms": time.Since(inflight.arrived).Milliseconds(),
	}).Info()
}

// logUndelivered logs that a buffered response could not be written to the caller.
func (inflight *inflight) logUndelivered(err error) {
	inflight.entry.log(logevent.AttemptFailed).WithFields(logrus.Fields{
		"request": inflight.info.ID, "attempt": 0, "upstream": "", "parts": "", "events": 0, "fingerprint": "", "ended-by": "caller",
		"reason": "", "cause": err.Error(),
	}).Info()
}

// countBelief counts a change of what the entry believes of an upstream or a request.
func (entry *Entry) countBelief(name logevent.Name) {
	entry.telemetry.Metrics.Tagged(map[string]string{"belief": string(name)}).Counter("beliefs").Inc(1)
}

// logFailure counts and logs why an attempt ended without a complete response, and logs who ended it. The
// newlines that errors.Join puts between errors are replaced, so that the log has one line.
func (inflight *inflight) logFailure(ctx context.Context, attempt event.Attempt, reason message.Reason, err error) {
	if reason != message.NoReason {
		inflight.entry.classScope(inflight.resolved.Class.Name).Tagged(map[string]string{"reason": reason.String()}).Counter("attempt_failures").Inc(1)
	}
	inflight.entry.log(logevent.AttemptFailed).WithFields(logrus.Fields{
		"request": inflight.info.ID, "attempt": attempt.Number, "upstream": attempt.Upstream, "parts": formatParts(inflight.resolved.Prompt.Parts),
		"events": inflight.events, "fingerprint": fmt.Sprintf("%016x", inflight.resolved.Fingerprint), "ended-by": endedBy(ctx), "reason": reason.String(),
		"cause": strings.ReplaceAll(err.Error(), "\n", "; "),
	}).Info()
}

// logCrashCause logs that requests with an attribute are declined, with the evidence.
func (entry *Entry) logCrashCause(cause event.CrashCause) {
	entry.countBelief(logevent.CrashCauseFound)
	entry.log(logevent.CrashCauseFound).WithFields(logrus.Fields{
		"name": fmt.Sprintf("%016x", cause.Attribute), "crashes": cause.Crashes, "interruptions": cause.Interruptions,
		"crashed": strings.Join(cause.Crashed, ","), "survivors": strings.Join(cause.Survivors, ","), "survived-before": cause.SurvivedBefore,
		"first-age-ms": cause.FirstAge.Milliseconds(), "latest-age-ms": cause.LatestAge.Milliseconds(),
	}).Info()
}

// endedBy returns who ended an attempt with the context: the caller, the deadline or the
// dispatcher, each by closing the connection, or else the upstream.
func endedBy(ctx context.Context) string {
	switch cause := context.Cause(ctx); {
	case cause == nil:
		return "upstream"
	case errors.Is(cause, errStopped):
		return "dispatcher"
	case errors.Is(cause, errDeadline):
		return "deadline"
	}
	return "caller"
}

// formatParts returns the IDs of the prompt parts in hexadecimal, separated by commas.
func formatParts(parts []event.PromptPart) string {
	ids := make([]string, len(parts))
	for i, part := range parts {
		ids[i] = strconv.FormatUint(part.ID, 16)
	}
	return strings.Join(ids, ",")
}

// Status is an entry's own state, for operators.
type Status struct {
	Name          string `json:"name"`
	Ready         bool   `json:"ready"`
	Draining      bool   `json:"draining"`
	ConfigVersion uint64 `json:"config-version"`
	// InProgress counts the requests without a final response, Upstreams the usable
	// upstreams.
	InProgress int `json:"in-progress"`
	Upstreams  int `json:"upstreams"`
	// Entries counts the entries that share the load, this one included. Peers lists
	// the addresses of the connected ones.
	Entries int      `json:"entries"`
	Peers   []string `json:"peers"`
	// Evacuated lists the evacuated domains.
	Evacuated []EvacuatedDomain `json:"evacuated,omitempty"`
	// Cold lists the upstreams that are or may be cold, HeldBack counts the requests that were
	// queued since all upstreams of their pool were.
	Cold     []dispatch.ColdUpstream `json:"cold,omitempty"`
	HeldBack int                     `json:"held-back,omitempty"`
}

// EvacuatedDomain is an evacuated domain. Since is for how long it has been evacuated as far
// as the entry knows, in nanoseconds in JSON; InFlight counts the entry's requests that still
// run there.
type EvacuatedDomain struct {
	Domain   string        `json:"domain"`
	Since    time.Duration `json:"since"`
	InFlight int           `json:"in-flight"`
}

func (entry *Entry) status(ctx context.Context) Status {
	status := Status{
		Name: entry.settings.Name, Ready: entry.ready.Load(), Draining: entry.draining.Load(), InProgress: entry.inProgress(),
	}
	entry.loop.Inspect(ctx, func() {
		status.ConfigVersion = entry.dispatcher.ConfigVersion()
		status.Upstreams, status.Entries = entry.dispatcher.FleetSize(entry.loop.Uptime())
		status.Peers = entry.dispatcher.Peers()
		for _, domain := range entry.dispatcher.EvacuatedDomains(entry.loop.Uptime()) {
			status.Evacuated = append(status.Evacuated, EvacuatedDomain{Domain: domain.Domain, Since: domain.Age, InFlight: domain.InFlight})
		}
		status.Cold, status.HeldBack = entry.dispatcher.ColdUpstreams(entry.loop.Uptime())
	})
	return status
}

// operatorRoutes returns the handler of metrics scrapes and of operators' commands.
func (entry *Entry) operatorRoutes(ctx context.Context) http.Handler {
	router := mux.NewRouter()
	router.HandleFunc("/metrics", func(writer http.ResponseWriter, request *http.Request) {
		entry.updateGauges(ctx)
		entry.telemetry.Handler.ServeHTTP(writer, request)
	})
	router.HandleFunc("/attainment", func(writer http.ResponseWriter, _ *http.Request) { entry.writeJSON(writer, entry.counts.Rows()) })
	router.HandleFunc("/status", func(writer http.ResponseWriter, _ *http.Request) { entry.writeJSON(writer, entry.status(ctx)) })
	return router
}

func (entry *Entry) updateGauges(ctx context.Context) {
	status := entry.status(ctx)
	metrics := entry.telemetry.Metrics
	metrics.Gauge("store_lost").Update(boolGauge(entry.storeUnreachable.Load()))
	metrics.Gauge("log_lines_dropped").Update(float64(entry.settings.DroppedLines()))
	if at := entry.acceptedAt.Load(); at > 0 {
		metrics.Gauge("config_age_seconds").Update(time.Since(time.Unix(0, at)).Seconds())
	}
	metrics.Gauge("config_version").Update(float64(status.ConfigVersion))
	for name, group := range map[string]*guard.Group{"callers": entry.guard.Callers, "peers": entry.guard.Peers, "operators": entry.guard.Operators} {
		use, tagged := group.Use(), metrics.Tagged(map[string]string{"group": name})
		tagged.Gauge("guard_bytes").Update(float64(use.Bytes))
		tagged.Gauge("guard_max_bytes").Update(float64(use.MaxBytes))
		tagged.Gauge("guard_connections").Update(float64(use.Open))
		tagged.Gauge("guard_max_connections").Update(float64(use.MaxOpen))
	}
	metrics.Gauge("upstream_connections").Update(float64(entry.exchange.Open()))
	metrics.Gauge("in_progress").Update(float64(status.InProgress))
	metrics.Gauge("upstreams_usable").Update(float64(status.Upstreams))
	metrics.Gauge("upstreams_cold").Update(float64(len(status.Cold)))
	metrics.Gauge("requests_held_back").Update(float64(status.HeldBack))
	metrics.Gauge("entries_heard").Update(float64(status.Entries))
	inFlight := 0
	for _, domain := range status.Evacuated {
		inFlight += domain.InFlight
	}
	metrics.Gauge("domains_evacuated").Update(float64(len(status.Evacuated)))
	metrics.Gauge("in_flight_evacuated").Update(float64(inFlight))
}

// boolGauge returns 1 for true and 0 for false.
func boolGauge(value bool) float64 {
	if value {
		return 1
	}
	return 0
}

func (entry *Entry) writeJSON(writer http.ResponseWriter, value any) {
	writer.Header().Set("Content-Type", "application/json")
	if err := json.NewEncoder(writer).Encode(value); err != nil {
		entry.log(logevent.RequestRefused).WithField("code", "operator-gone").WithError(err).Info()
	}
}
