// Package upstream hands requests over to the VM's own model engine or service.
package upstream

import (
	"bytes"
	"context"
	"errors"
	"io"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"time"

	"go.opentelemetry.io/otel/attribute"
	"go.opentelemetry.io/otel/trace"

	"endivepost/internal/core/event"
	"endivepost/internal/node/eventstream"
	"endivepost/internal/node/telemetry"
	"endivepost/internal/wire/message"
)

// Upstream runs requests over HTTP, one goroutine for each. It reports parts and
// ends through tell, and never runs a request twice: net/http would by itself
// send a request again on a broken reused connection if it carries an
// Idempotency-Key or has no body, so non-idempotent requests get a connection of
// their own, and no body can be rewound.
type Upstream struct {
	settings Settings
	shared   *http.Client
	single   *http.Client
	tell     func(event.Input)
	mutex    sync.Mutex
	cancels  map[message.RequestID]context.CancelFunc
	stopped  map[message.RequestID]bool
}

// Settings of an Upstream. Uptime is the clock that NotAfter is measured on;
// Stall is the longest silence in the middle of an answer, FirstByte before it.
type Settings struct {
	Address          string
	Uptime           func() time.Duration
	FirstByteTimeout time.Duration
	StallTimeout     time.Duration
	Tracer           trace.Tracer
}

const (
	readBytes      = 32 << 10
	connectTimeout = 2 * time.Second
	mostIdle       = 1024
	doneEvent      = "data: [DONE]"

	// HeaderPriority tells an engine the tier; 1 is the highest.
	HeaderPriority = "Endivepost-Priority"
	// HeaderResumeOffset tells an engine how many events to leave out.
	HeaderResumeOffset = "Endivepost-Resume-Offset"
)

var (
	errStalled = errors.New("upstream is silent")
	errCutOff  = errors.New("stream ended without its end mark")
)

// New returns an Upstream that reports through tell.
func New(settings Settings, tell func(event.Input)) *Upstream {
	dialer := &net.Dialer{Timeout: connectTimeout}
	return &Upstream{
		settings: settings,
		shared:   &http.Client{Transport: &http.Transport{DialContext: dialer.DialContext, MaxIdleConnsPerHost: mostIdle, DisableCompression: true}},
		single:   &http.Client{Transport: &http.Transport{DialContext: dialer.DialContext, DisableKeepAlives: true, DisableCompression: true}},
		tell:     tell,
		cancels:  make(map[message.RequestID]context.CancelFunc),
		stopped:  make(map[message.RequestID]bool),
	}
}

// Start runs a request. Guarded requests are never repeated by the transport.
func (upstream *Upstream) Start(start event.StartRun) {
	ctx, cancel := context.WithCancel(context.Background())
	upstream.mutex.Lock()
	upstream.cancels[start.ID] = cancel
	upstream.mutex.Unlock()
	go upstream.run(ctx, start)
}

// Stop cancels a run, which then ends as incomplete.
func (upstream *Upstream) Stop(id message.RequestID) {
	upstream.mutex.Lock()
	defer upstream.mutex.Unlock()
	if cancel, ok := upstream.cancels[id]; ok {
		upstream.stopped[id] = true
		cancel()
	}
}

// Check says whether the upstream accepts connections.
func (upstream *Upstream) Check() bool {
	conn, err := net.DialTimeout("tcp", upstream.settings.Address, connectTimeout)
	if err != nil {
		return false
	}
	_ = conn.Close()
	return true
}

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
	ended := upstream.exchange(ctx, start)
	ended.ID = start.ID
	if upstream.forget(start.ID) && ended.Outcome == message.Incomplete {
		ended.Reason = message.Cancelled
		ended.Crashed = false
	}
	span.SetAttributes(attribute.String("outcome", ended.Outcome.String()))
	upstream.tell(ended)
}

// exchange sends the request and reads its answer. The clock is read right
// before the hand-over: a process that was paused since the grant must not run
// what its entry has given up meanwhile.
func (upstream *Upstream) exchange(ctx context.Context, start event.StartRun) event.RunEnded {
	ctx, cancel := context.WithCancelCause(ctx)
	defer cancel(nil)
	watchdog := time.AfterFunc(upstream.settings.FirstByteTimeout, func() { cancel(errStalled) })
	defer watchdog.Stop()
	request, err := upstream.request(ctx, start)
	if err != nil || upstream.settings.Uptime() > start.NotAfter {
		return event.RunEnded{NotStarted: true, Outcome: message.NotRun, Reason: message.LeaseExpired}
	}
	client := upstream.shared
	if start.Payload.NonIdempotent {
		client = upstream.single
	}
	response, err := client.Do(request)
	if err != nil {
		return upstream.failure(ctx, err)
	}
	defer func() { _ = response.Body.Close() }()
	upstream.tell(event.ResponseChunk{ID: start.ID, Status: response.StatusCode, Header: message.HeadersOf(response.Header, droppedHeaders)})
	err = upstream.relay(start, response, watchdog)
	if err != nil {
		return upstream.failure(ctx, err)
	}
	if response.StatusCode >= http.StatusBadRequest {
		return event.RunEnded{Outcome: message.Failed}
	}
	return event.RunEnded{Outcome: message.Complete}
}

func (upstream *Upstream) request(ctx context.Context, start event.StartRun) (*http.Request, error) {
	payload := start.Payload
	url := "http://" + upstream.settings.Address + payload.Path
	body := io.NopCloser(bytes.NewReader(payload.Body))
	request, err := http.NewRequestWithContext(ctx, payload.Method, url, body)
	if err != nil {
		return nil, err
	}
	request.ContentLength = int64(len(payload.Body))
	if len(payload.Body) == 0 {
		request.Body = http.NoBody
	}
	for _, field := range payload.Header {
		request.Header.Add(field.Name, field.Value)
	}
	request.Header.Set(HeaderPriority, strconv.Itoa(start.Tier))
	if start.ResumeFrom > 0 {
		request.Header.Set(HeaderResumeOffset, strconv.Itoa(start.ResumeFrom))
	}
	if parent := telemetry.Inject(ctx); parent != "" {
		request.Header.Set("Traceparent", parent)
	}
	return request, nil
}

// failure sorts an error: before a connection stood, nothing was handed over; a
// stall is no crash; anything else is taken for one.
func (upstream *Upstream) failure(ctx context.Context, err error) event.RunEnded {
	var operation *net.OpError
	if errors.As(err, &operation) && operation.Op == "dial" {
		upstream.tell(event.UpstreamChecked{Up: false})
		return event.RunEnded{NotStarted: true, Outcome: message.NotRun, Reason: message.UpstreamDown}
	}
	ended := event.RunEnded{Outcome: message.Incomplete, Reason: message.UpstreamDown, Crashed: true}
	if context.Cause(ctx) != nil {
		ended.Crashed = false
	}
	return ended
}

func (upstream *Upstream) relay(start event.StartRun, response *http.Response, watchdog *time.Timer) error {
	if isEventStream(response) {
		return upstream.relayEvents(start.ID, response.Body, watchdog)
	}
	return upstream.relayBytes(start.ID, response.Body, watchdog)
}

func isEventStream(response *http.Response) bool {
	return strings.HasPrefix(response.Header.Get("Content-Type"), "text/event-stream")
}

func (upstream *Upstream) relayBytes(id message.RequestID, body io.Reader, watchdog *time.Timer) error {
	for {
		buffer := make([]byte, readBytes)
		count, err := body.Read(buffer)
		if count > 0 {
			watchdog.Reset(upstream.settings.StallTimeout)
			upstream.tell(event.ResponseChunk{ID: id, Data: buffer[:count]})
		}
		if errors.Is(err, io.EOF) {
			return nil
		}
		if err != nil {
			return err
		}
	}
}

// relayEvents passes on one server-sent event a part. Only the end mark makes
// the stream whole.
func (upstream *Upstream) relayEvents(id message.RequestID, body io.Reader, watchdog *time.Timer) error {
	reader := eventstream.New(body)
	done := false
	for {
		data, err := reader.Next()
		if len(data) > 0 {
			watchdog.Reset(upstream.settings.StallTimeout)
			upstream.tell(event.ResponseChunk{ID: id, Data: data})
			done = done || bytes.HasPrefix(data, []byte(doneEvent))
		}
		if errors.Is(err, io.EOF) && !done {
			return errCutOff
		}
		if errors.Is(err, io.EOF) {
			return nil
		}
		if err != nil {
			return err
		}
	}
}

// droppedHeaders are the fields of an answer that hold for one connection only.
var droppedHeaders = map[string]bool{
	"Connection": true, "Transfer-Encoding": true, "Keep-Alive": true, "Date": true, "Content-Length": true,
}
