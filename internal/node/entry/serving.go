package entry

import (
	"context"
	"encoding/json"
	"errors"
	"net/http"
	"time"

	"github.com/gorilla/mux"
	"github.com/sirupsen/logrus"
	"github.com/uber-go/tally/v4"
	"go.opentelemetry.io/otel/attribute"
	"go.opentelemetry.io/otel/trace"

	"endivepost/internal/core/event"
	"endivepost/internal/node/attainment"
	"endivepost/internal/node/caller"
	"endivepost/internal/node/guard"
	"endivepost/internal/node/telemetry"
	"endivepost/internal/wire/message"
)

func (entry *Entry) callerRoutes() http.Handler {
	router := mux.NewRouter()
	router.HandleFunc("/v1/chat/completions", entry.serve).Methods(http.MethodPost)
	router.HandleFunc("/v1/models", entry.serveModels).Methods(http.MethodGet)
	router.PathPrefix(caller.ServicePrefix).HandlerFunc(entry.serve)
	router.HandleFunc("/healthz", entry.serveHealthy)
	router.HandleFunc("/readyz", entry.serveReady)
	router.NotFoundHandler = refuseWith(http.StatusNotFound, "not-found", "there is nothing at this path")
	router.MethodNotAllowedHandler = refuseWith(http.StatusMethodNotAllowed, "wrong-method", "this path does not take this method")
	return entry.closeWhileDraining(router)
}

// closeWhileDraining returns the handler with answers that close their connection while the
// entry drains.
func (entry *Entry) closeWhileDraining(handler http.Handler) http.Handler {
	return http.HandlerFunc(func(writer http.ResponseWriter, request *http.Request) {
		if entry.draining.Load() {
			writer.Header().Set("Connection", "close")
		}
		handler.ServeHTTP(writer, request)
	})
}

func refuseWith(status int, code, text string) http.Handler {
	return http.HandlerFunc(func(writer http.ResponseWriter, _ *http.Request) {
		caller.WriteRefusal(writer, caller.RefusalError{Status: status, Code: code, Message: text})
	})
}

func (entry *Entry) adminRoutes(ctx context.Context) http.Handler {
	router := mux.NewRouter()
	router.HandleFunc("/healthz", entry.serveHealthy)
	router.HandleFunc("/readyz", entry.serveReady)
	router.Handle("/metrics", entry.telemetry.Handler)
	router.HandleFunc("/attainment", func(writer http.ResponseWriter, _ *http.Request) {
		writeJSON(writer, entry.counts.Rows())
	})
	router.HandleFunc("/status", func(writer http.ResponseWriter, _ *http.Request) {
		writeJSON(writer, entry.status(ctx))
	})
	return router
}

func writeJSON(writer http.ResponseWriter, value any) {
	writer.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(writer).Encode(value)
}

func (entry *Entry) serveHealthy(writer http.ResponseWriter, _ *http.Request) {
	writer.WriteHeader(http.StatusOK)
}

func (entry *Entry) serveReady(writer http.ResponseWriter, _ *http.Request) {
	if !entry.ready.Load() || entry.draining.Load() || !entry.guard.Callers.CanAccept(time.Now()) {
		writer.WriteHeader(http.StatusServiceUnavailable)
	}
}

// model is one row of the list of models, as in the usual chat completion API.
type model struct {
	ID     string `json:"id"`
	Object string `json:"object"`
}

type modelList struct {
	Object string  `json:"object"`
	Data   []model `json:"data"`
}

func (entry *Entry) serveModels(writer http.ResponseWriter, _ *http.Request) {
	list := modelList{Object: "list", Data: []model{}}
	seen := make(map[string]bool)
	if published := entry.document.Load(); published != nil {
		for _, class := range published.Classes {
			if class.Model != "" && !seen[class.Model] {
				seen[class.Model] = true
				list.Data = append(list.Data, model{ID: class.Model, Object: "model"})
			}
		}
	}
	writeJSON(writer, list)
}

// serve handles one request until its final outcome or until its caller disconnects.
func (entry *Entry) serve(writer http.ResponseWriter, request *http.Request) {
	received := time.Now()
	published := entry.document.Load()
	if published == nil {
		writer.Header().Set("Retry-After", "1")
		caller.WriteRefusal(writer, caller.RefusalError{Status: http.StatusServiceUnavailable, Code: "not-ready", Message: "no class document yet"})
		return
	}
	resolved, err := caller.Read(request, *published)
	if err != nil {
		entry.refuse(writer, request, err)
		return
	}
	// The server's read timeout is for reading the request, which is done: clear it, so that
	// it does not truncate a long response.
	_ = http.NewResponseController(writer).SetReadDeadline(time.Time{})
	ctx := telemetry.Extract(request.Context(), request.Header.Get("Traceparent"))
	ctx, span := entry.telemetry.Tracer().Start(ctx, "entry", trace.WithAttributes(attribute.String("class", resolved.Class.Name)))
	defer span.End()
	resolved.Payload.TraceParent = telemetry.Inject(ctx)
	id, queue := entry.newRequest(resolved.Payload.Stream)
	defer entry.responses.Remove(id)
	resolved.ID = id
	span.SetAttributes(attribute.String("request", id.String()))
	entry.inFlight.Add(1)
	entry.loop.Post(event.Submitted{Request: resolved})
	reply := caller.NewReply(writer, resolved.Payload.Stream, received, time.Duration(resolved.Class.BetweenTokens))
	finish, err := reply.Write(ctx, queue)
	entry.inFlight.Add(-1)
	if err != nil {
		entry.loop.Post(event.CallerDisconnected{ID: id})
		finish = event.Finish{ID: id, Outcome: message.Incomplete, Reason: message.Cancelled}
	}
	if errors.Is(err, caller.ErrAnswerTooLarge) {
		finish.Reason = message.TooLarge
	}
	span.SetAttributes(attribute.String("outcome", finish.Outcome.String()))
	entry.record(resolved, finish, reply.Measurements(time.Now()))
}

func (entry *Entry) refuse(writer http.ResponseWriter, request *http.Request, err error) {
	var rejected guard.RejectedError
	if errors.As(err, &rejected) {
		guard.WriteRejection(writer)
		return
	}
	refusal := caller.RefusalError{Status: http.StatusBadRequest, Code: "bad-request", Message: err.Error()}
	_ = errors.As(err, &refusal)
	entry.log("request-refused").WithFields(logrus.Fields{"code": refusal.Code, "from": request.RemoteAddr}).Warn()
	caller.WriteRefusal(writer, refusal)
}

// record counts and logs a finished request.
func (entry *Entry) record(request event.Request, finish event.Finish, measurements caller.Measurements) {
	sample := attainment.Sample{
		Class: request.Class, Outcome: finish.Outcome, Reason: finish.Reason,
		FirstToken: measurements.FirstToken, Total: measurements.Total, Tokens: measurements.Tokens, LateTokens: measurements.LateTokens,
		Wasted: finish.WastedTokens,
	}
	entry.counts.Add(sample)
	scope := entry.telemetry.Metrics.Tagged(map[string]string{"class": request.Class.Name})
	scope.Tagged(map[string]string{"outcome": finish.Outcome.String()}).Counter("requests").Inc(1)
	scope.Counter("wasted_tokens").Inc(int64(finish.WastedTokens))
	scope.Histogram("first_token_seconds", latencyBuckets).RecordDuration(measurements.FirstToken)
	scope.Histogram("whole_answer_seconds", latencyBuckets).RecordDuration(measurements.Total)
	entry.telemetry.Metrics.Gauge("in_flight").Update(float64(entry.inFlight.Load()))
	entry.log("request").WithFields(logrus.Fields{
		"request": request.ID.String(), "class": request.Class.Name, "tier": request.Class.Tier, "account": request.Account,
		"upstream": finish.Upstream, "outcome": finish.Outcome.String(), "reason": finish.Reason.String(),
		"attempts": finish.Attempts, "first-token": measurements.FirstToken.String(), "whole": measurements.Total.String(),
		"met": sample.Met(),
	}).Info()
}

// The histogram buckets of latencies range from 1 ms to 131 s.
const (
	shortestBucket = time.Millisecond
	bucketFactor   = 2
	bucketCount    = 18
)

var latencyBuckets = tally.MustMakeExponentialDurationBuckets(shortestBucket, bucketFactor, bucketCount)

// Status is the state of an entry and its view of its sidecars, for operators.
// ConfigVersion is the version of the active class document, 0 before the first. InProgress
// counts the requests without a final outcome.
type Status struct {
	Name          string              `json:"name"`
	Ready         bool                `json:"ready"`
	Draining      bool                `json:"draining"`
	ConfigVersion uint64              `json:"config-version"`
	InProgress    int                 `json:"in-progress"`
	Sidecars      []event.PeerSummary `json:"sidecars"`
}

func (entry *Entry) status(ctx context.Context) Status {
	status := Status{Name: entry.settings.Name, Ready: entry.ready.Load(), Draining: entry.draining.Load()}
	entry.loop.Inspect(ctx, func() {
		status.ConfigVersion = entry.router.ConfigVersion()
		status.InProgress = entry.router.InProgress()
		status.Sidecars = entry.router.Peers(entry.loop.Uptime())
	})
	return status
}
