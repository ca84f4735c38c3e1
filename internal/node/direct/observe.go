package direct

import (
	"context"
	"encoding/json"
	"fmt"
	"net/http"
	"strings"
	"time"

	"github.com/gorilla/mux"
	"github.com/sirupsen/logrus"
	"github.com/uber-go/tally/v4"
	"go.opentelemetry.io/otel/attribute"
	"go.opentelemetry.io/otel/trace"

	"endivepost/internal/core/event"
	"endivepost/internal/node/attainment"
	"endivepost/internal/node/logevent"
	"endivepost/internal/node/telemetry"
	"endivepost/internal/wire/message"
)

const (
	shortestBucket = time.Millisecond
	bucketFactor   = 2
	bucketCount    = 15
)

var latencyBuckets = tally.MustMakeExponentialDurationBuckets(shortestBucket, bucketFactor, bucketCount)

func (entry *Entry) log(name logevent.Name) *logrus.Entry {
	return entry.telemetry.Log.WithFields(logrus.Fields{"event": string(name), "process": entry.settings.Name})
}

// measure counts an event that went out, and those that came later than the
// class's target between tokens.
func (served *served) measure(now time.Time) {
	gap := time.Duration(served.resolved.Class.BetweenTokens)
	if served.events > 0 && gap > 0 && now.Sub(served.latest) > gap {
		served.slow++
	}
	served.events++
	served.latest = now
}

// record counts and logs a request that has its final answer. Those that went
// well at once are logged up to a number in each second, all others always.
func (served *served) record(finish event.Finish, status int) {
	entry := served.entry
	took := time.Since(served.arrived)
	entry.board.Add(attainment.Sample{
		Class: served.resolved.Class, Outcome: finish.Outcome, Reason: finish.Reason, FirstToken: served.first, Total: took,
		Tokens: served.events, LateTokens: served.slow, Wasted: finish.WastedTokens,
	})
	scope := entry.classScope(served.resolved.Class.Name)
	scope.Tagged(map[string]string{"outcome": finish.Outcome.String(), "reason": finish.Reason.String()}).Counter("requests").Inc(1)
	scope.Counter("pauses").Inc(int64(served.slow))
	scope.Counter("unread_tokens").Inc(int64(finish.Load.UncachedTokens))
	scope.Histogram("first_answer_seconds", latencyBuckets).RecordDuration(served.first)
	scope.Histogram("whole_answer_seconds", latencyBuckets).RecordDuration(took)
	well := finish.Outcome == message.Complete && finish.Attempts == 1
	if well && !entry.mayLog() {
		return
	}
	entry.log(logevent.RequestFinished).WithFields(finish.Load.Fields()).WithFields(logrus.Fields{
		"request": served.call.ID, "class": served.resolved.Class.Name, "account": served.resolved.Account, "tier": served.resolved.Tier,
		"outcome": finish.Outcome.String(), "reason": finish.Reason.String(), "status": status, "upstream": finish.Upstream,
		"attempts": finish.Attempts, "events": served.events, "first-ms": served.first.Milliseconds(),
		"took-ms": took.Milliseconds(), "version": served.version, "retry-after-ms": finish.RetryAfter.Milliseconds(),
	}).Info()
}

// startSpan begins the span of a request, under that of the caller if it names one.
func (entry *Entry) startSpan(ctx context.Context, served *served) (context.Context, trace.Span) {
	ctx = telemetry.Extract(ctx, served.request.Header.Get("Traceparent"))
	return entry.telemetry.Tracer().Start(ctx, "entry", trace.WithAttributes(
		attribute.String("request", served.call.ID), attribute.String("class", served.resolved.Class.Name),
	))
}

func (entry *Entry) classScope(class string) tally.Scope {
	return entry.telemetry.Metrics.Tagged(map[string]string{"class": class})
}

// mayLog says whether a line on what went well may be written, and writes how
// many were left out before.
func (entry *Entry) mayLog() bool {
	allowed, leftOut := entry.limit.Allow(time.Now())
	if leftOut > 0 {
		entry.log(logevent.LinesLeftOut).WithField("count", leftOut).Info()
	}
	return allowed
}

// recordAttempt counts an attempt, and logs it unless it ended a request at once.
func (served *served) recordAttempt(order event.Attempt, ended event.AttemptEnded) {
	tags := map[string]string{"class": served.resolved.Class.Name, "result": ended.Result.String()}
	served.entry.telemetry.Metrics.Tagged(tags).Counter("attempts").Inc(1)
	if order.Number == 1 {
		served.entry.classScope(served.resolved.Class.Name).Histogram("waited_seconds", latencyBuckets).RecordDuration(served.sentAfter)
	}
	if ended.Result == event.Completed && order.Number == 1 {
		return
	}
	served.entry.log(logevent.AttemptEnded).WithFields(order.Load.Fields()).WithFields(logrus.Fields{
		"request": served.call.ID, "attempt": order.Number, "upstream": order.Upstream, "result": ended.Result.String(),
		"status": ended.Status, "after-ms": time.Since(served.arrived).Milliseconds(),
	}).Info()
}

// logLeft logs that a caller did not take an answer.
func (served *served) logLeft(err error) {
	served.entry.log(logevent.AttemptFailed).WithFields(logrus.Fields{
		"request": served.call.ID, "attempt": 0, "upstream": "", "fingerprint": "", "cause": err.Error(),
	}).Info()
}

func (served *served) logCause(order event.Attempt, err error) {
	served.entry.log(logevent.AttemptFailed).WithFields(logrus.Fields{
		"request": served.call.ID, "attempt": order.Number, "upstream": order.Upstream,
		"fingerprint": fmt.Sprintf("%016x", served.resolved.Fingerprint), "cause": strings.ReplaceAll(err.Error(), "\n", "; "),
	}).Info()
}

// Status is what an entry tells operators of itself.
type Status struct {
	Name          string `json:"name"`
	Ready         bool   `json:"ready"`
	Draining      bool   `json:"draining"`
	ConfigVersion uint64 `json:"config-version"`
	InProgress    int    `json:"in-progress"`
	Upstreams     int    `json:"upstreams"`
	// Entries counts the entries that share the load, Peers are the addresses of
	// those that are connected.
	Entries int      `json:"entries"`
	Peers   []string `json:"peers"`
}

func (entry *Entry) status(ctx context.Context) Status {
	status := Status{
		Name: entry.settings.Name, Ready: entry.ready.Load(), Draining: entry.draining.Load(), InProgress: entry.inProgress(),
	}
	entry.loop.Inspect(ctx, func() {
		status.ConfigVersion = entry.dispatcher.ConfigVersion()
		status.Upstreams, status.Entries = entry.dispatcher.FleetSize(entry.loop.Uptime())
		status.Peers = entry.dispatcher.Peers()
	})
	return status
}

// operatorRoutes serve scrapes and the operator's verbs.
func (entry *Entry) operatorRoutes(ctx context.Context) http.Handler {
	router := mux.NewRouter()
	router.HandleFunc("/metrics", func(writer http.ResponseWriter, request *http.Request) {
		entry.measureSurroundings(ctx)
		entry.telemetry.Handler.ServeHTTP(writer, request)
	})
	router.HandleFunc("/attainment", func(writer http.ResponseWriter, _ *http.Request) { entry.writeJSON(writer, entry.board.Rows()) })
	router.HandleFunc("/status", func(writer http.ResponseWriter, _ *http.Request) { entry.writeJSON(writer, entry.status(ctx)) })
	return router
}

func (entry *Entry) measureSurroundings(ctx context.Context) {
	status := entry.status(ctx)
	metrics := entry.telemetry.Metrics
	metrics.Gauge("store_lost").Update(flag(entry.storeLost.Load()))
	metrics.Gauge("log_lines_dropped").Update(float64(entry.settings.DroppedLines()))
	if at := entry.acceptedAt.Load(); at > 0 {
		metrics.Gauge("config_age_seconds").Update(time.Since(time.Unix(0, at)).Seconds())
	}
	metrics.Gauge("config_version").Update(float64(status.ConfigVersion))
	metrics.Gauge("in_progress").Update(float64(status.InProgress))
	metrics.Gauge("upstreams_usable").Update(float64(status.Upstreams))
	metrics.Gauge("entries_heard").Update(float64(status.Entries))
}

// flag returns a truth as metrics have it.
func flag(holds bool) float64 {
	if holds {
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
