// Package upstream sends requests to the VM's own model engine or service, for the
// sidecar.
package upstream

import (
	"context"
	"errors"
	"net"
	"net/http"
	"sync"
	"time"

	"go.opentelemetry.io/otel/attribute"
	"go.opentelemetry.io/otel/trace"

	"endivepost/internal/core/event"
	"endivepost/internal/node/exchange"
	"endivepost/internal/node/retryafter"
	"endivepost/internal/node/telemetry"
	"endivepost/internal/wire/message"
)

// Upstream runs requests over HTTP, each in its own goroutine, and posts response
// chunks and the end of each run. Each request uses a connection of its own: on a reused
// one a second copy of an earlier response would be taken for the next response.
type Upstream struct {
	settings Settings
	client   *exchange.Client
	post     func(event.Input)
	mutex    sync.Mutex
	cancels  map[message.RequestID]context.CancelFunc
	stopped  map[message.RequestID]bool
}

// Settings of an Upstream. Address is host:port. Uptime is the clock for
// StartRun.NotAfter. A run is cancelled if the first data of the response body takes
// longer than FirstByteTimeout, and after StallTimeout without further data, or without a
// further event in a stream of events. A timeout of 0 is no limit: an upstream that is
// silent may still answer, and one that is gone closes its connection.
type Settings struct {
	Address          string
	Uptime           func() time.Duration
	FirstByteTimeout time.Duration
	StallTimeout     time.Duration
	Tracer           trace.Tracer
	// Admit waits until so many bytes of the run's response may be posted, nil if they may be at
	// any time. Its error is that of the context.
	Admit func(ctx context.Context, id message.RequestID, bytes int) error
	// Failed is told why a run has no complete response, nil if nothing is.
	Failed func(id message.RequestID, reason message.Reason, err error)
}

const (
	readBytes      = 32 << 10
	connectTimeout = 2 * time.Second
	// readBufferBytes is small: parts of a body are read past it.
	readBufferBytes = 4 << 10
	doneEvent       = "data: [DONE]"
	// errorEvent is the type of an event that reports an error.
	errorEvent = "error"

	// HeaderPriority carries the request's tier to the engine; 1 is the highest.
	HeaderPriority = "Endivepost-Priority"
	// HeaderResumeOffset carries the number of events that the engine is to skip.
	HeaderResumeOffset = "Endivepost-Resume-Offset"
	// HeaderLeaving announces in a response, with the value 1, that the upstream leaves.
	HeaderLeaving = "Endivepost-Leaving"

	leavingValue = "1"
)

var (
	errStalled   = errors.New("upstream sent no data within its timeout")
	errTruncated = errors.New("stream ended without the [DONE] event")
	// errNotResumed means that the response does not go on with the stream that broke off.
	errNotResumed = errors.New("upstream did not resume the stream")
	// errLeaseExpired means that the request was to be sent before.
	errLeaseExpired = errors.New("the lease of the request has expired")
)

// New returns an Upstream that calls post, from several goroutines, with ResponseChunk,
// RunEnded, UpstreamChecked, LeavingAnnounced and BackoffRequested.
func New(settings Settings, post func(event.Input)) *Upstream {
	return &Upstream{
		settings: settings,
		client:   exchange.New(exchange.Settings{DialTimeout: connectTimeout, ReadBufferBytes: readBufferBytes}),
		post:     post,
		cancels:  make(map[message.RequestID]context.CancelFunc),
		stopped:  make(map[message.RequestID]bool),
	}
}

// Start runs a request in the background. The run ends with a RunEnded.
func (upstream *Upstream) Start(start event.StartRun) {
	ctx, cancel := context.WithCancel(context.Background())
	upstream.mutex.Lock()
	upstream.cancels[start.ID] = cancel
	upstream.mutex.Unlock()
	go upstream.run(ctx, start)
}

// Stop cancels a run. Its RunEnded has outcome incomplete and reason cancelled, unless it
// had already ended otherwise.
func (upstream *Upstream) Stop(id message.RequestID) {
	upstream.mutex.Lock()
	defer upstream.mutex.Unlock()
	if cancel, ok := upstream.cancels[id]; ok {
		upstream.stopped[id] = true
		cancel()
	}
}

// Check reports whether the upstream accepts TCP connections.
func (upstream *Upstream) Check() bool {
	conn, err := net.DialTimeout("tcp", upstream.settings.Address, connectTimeout)
	if err != nil {
		return false
	}
	_ = conn.Close()
	return true
}

// forget removes a run that has ended and returns whether Stop was called for it.
func (upstream *Upstream) forget(id message.RequestID) (stopped bool) {
	upstream.mutex.Lock()
	defer upstream.mutex.Unlock()
	stopped = upstream.stopped[id]
	upstream.cancels[id]()
	delete(upstream.cancels, id)
	delete(upstream.stopped, id)
	return stopped
}

func (upstream *Upstream) run(ctx context.Context, start event.StartRun) {
	ctx, span := upstream.settings.Tracer.Start(telemetry.Extract(ctx, start.Payload.TraceParent), "upstream",
		trace.WithAttributes(attribute.String("request", start.ID.String())))
	defer span.End()
	ended := upstream.send(ctx, start)
	ended.ID = start.ID
	if upstream.forget(start.ID) && ended.Outcome == message.Incomplete {
		ended.Reason = message.Cancelled
		ended.Crashed = false
	}
	span.SetAttributes(attribute.String("outcome", ended.Outcome.String()))
	upstream.post(ended)
}

// send sends the request and relays the response.
func (upstream *Upstream) send(ctx context.Context, start event.StartRun) event.RunEnded {
	ctx, cancel := context.WithCancelCause(ctx)
	defer cancel(nil)
	watchdog := newWatchdog(upstream.settings.FirstByteTimeout, func() { cancel(errStalled) })
	defer watchdog.reset(0)
	answer, err := upstream.client.Do(ctx, upstream.request(ctx, start))
	if err != nil {
		return upstream.failure(ctx, start.ID, err)
	}
	defer answer.Close(false)
	upstream.reportRequests(answer.Response)
	if start.ResumeFrom > 0 && (answer.StatusCode != http.StatusOK || !isEventStream(answer.Response)) {
		return upstream.failure(ctx, start.ID, errNotResumed)
	}
	upstream.post(event.ResponseChunk{ID: start.ID, Status: answer.StatusCode, Header: message.HeadersOf(answer.Header, excludedHeaders)})
	err = upstream.relay(ctx, start, answer.Response, watchdog)
	if err != nil {
		return upstream.failure(ctx, start.ID, err)
	}
	if answer.StatusCode >= http.StatusBadRequest {
		return event.RunEnded{Outcome: message.Failed}
	}
	return event.RunEnded{Outcome: message.Complete}
}

// reportRequests reports what the head of a response asks of this process: to send nothing
// more, or nothing for a time. An invalid time is ignored.
func (upstream *Upstream) reportRequests(response *http.Response) {
	if response.Header.Get(HeaderLeaving) == leavingValue {
		upstream.post(event.LeavingAnnounced{})
	}
	if backoff, err := retryafter.Parse(response); err == nil && backoff > 0 {
		upstream.post(event.BackoffRequested{For: backoff})
	}
}
