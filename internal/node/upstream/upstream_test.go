package upstream_test

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"reflect"
	"slices"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"go.opentelemetry.io/otel/trace/noop"

	"endivepost/internal/core/event"
	"endivepost/internal/node/upstream"
	"endivepost/internal/wire/message"
)

// run runs a request and returns its response chunks and its end.
func run(t *testing.T, address string, start event.StartRun) ([]event.ResponseChunk, event.RunEnded) {
	t.Helper()
	inputs := make(chan event.Input, 4096)
	settings := upstream.Settings{
		Address: address, Uptime: func() time.Duration { return time.Second }, FirstByteTimeout: 5 * time.Second, StallTimeout: 300 * time.Millisecond,
		Tracer: noop.NewTracerProvider().Tracer(""),
	}
	running := upstream.New(settings, func(input event.Input) { inputs <- input })
	running.Start(start)
	var chunks []event.ResponseChunk
	for input := range inputs {
		switch input := input.(type) {
		case event.ResponseChunk:
			chunks = append(chunks, input)
		case event.RunEnded:
			return chunks, input
		}
	}
	return nil, event.RunEnded{}
}

func request(header ...message.Header) event.StartRun {
	payload := message.Payload{Method: http.MethodPost, Path: "/", Body: []byte("body"), Header: header, NonIdempotent: true}
	return event.StartRun{ID: message.NewRequestID(1, 1), Payload: payload, NotAfter: time.Minute}
}

// TestNothingIsSentTwice guards against retries by net/http: a server reads a request on
// a reused connection and closes the connection without a response. Since the request
// carries an Idempotency-Key, net/http would send it again.
func TestNothingIsSentTwice(t *testing.T) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer listener.Close()
	var received atomic.Int64
	go breakAfterFirst(listener, &received)
	inputs := make(chan event.Input, 64)
	settings := upstream.Settings{
		Address: listener.Addr().String(), Uptime: func() time.Duration { return 0 }, FirstByteTimeout: time.Second, StallTimeout: time.Second,
		Tracer: noop.NewTracerProvider().Tracer(""),
	}
	running := upstream.New(settings, func(input event.Input) { inputs <- input })
	key := message.Header{Name: "Idempotency-Key", Value: "k"}
	for range 2 {
		start := request(key)
		start.Payload.Body = nil
		running.Start(start)
		for ended := false; !ended; {
			_, ended = (<-inputs).(event.RunEnded)
		}
	}
	if got := received.Load(); got != 2 {
		t.Fatalf("requests received by the server: got %d, want 2", got)
	}
}

// breakAfterFirst responds to the first request only and closes the connection after
// every later one.
func breakAfterFirst(listener net.Listener, received *atomic.Int64) {
	for answered := false; ; {
		conn, err := listener.Accept()
		if err != nil {
			return
		}
		reader := bufio.NewReader(conn)
		for {
			if _, err := http.ReadRequest(reader); err != nil {
				break
			}
			received.Add(1)
			if answered {
				break
			}
			answered = true
			fmt.Fprint(conn, "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok")
		}
		conn.Close()
	}
}

// TestCommentsAreNoProgress guards against a stalled stream that is kept because its
// upstream sends comments.
func TestCommentsAreNoProgress(t *testing.T) {
	server := httptest.NewServer(http.HandlerFunc(func(writer http.ResponseWriter, request *http.Request) {
		writer.Header().Set("Content-Type", "text/event-stream")
		for request.Context().Err() == nil {
			_, _ = io.WriteString(writer, ": still here\n\n")
			_ = http.NewResponseController(writer).Flush()
			time.Sleep(20 * time.Millisecond)
		}
	}))
	defer server.Close()
	defer server.CloseClientConnections()
	const timeout, maxWait = 300 * time.Millisecond, 10 * time.Second
	ended := make(chan event.RunEnded, 1)
	upstream.New(upstream.Settings{
		Address: server.Listener.Addr().String(), Uptime: func() time.Duration { return 0 }, FirstByteTimeout: timeout, StallTimeout: timeout,
		Tracer: noop.NewTracerProvider().Tracer(""),
	}, func(input event.Input) {
		if input, ok := input.(event.RunEnded); ok {
			ended <- input
		}
	}).Start(request())
	select {
	case got := <-ended:
		if got.Outcome != message.Incomplete || got.Crashed {
			t.Errorf("got %+v, want an incomplete run that is no crash", got)
		}
	case <-time.After(maxWait):
		t.Error("the run has not ended, want it to end after the stall timeout")
	}
}

// TestSilenceEndsRun guards against a run that ends because its upstream is silent, without
// a limit: before the head of the response, before the first event, or between two events.
func TestSilenceEndsRun(t *testing.T) {
	const silence, maxWait = 300 * time.Millisecond, 10 * time.Second
	server := httptest.NewServer(http.HandlerFunc(func(writer http.ResponseWriter, _ *http.Request) {
		time.Sleep(silence)
		writer.Header().Set("Content-Type", "text/event-stream")
		for _, text := range []string{"", "data: a\n\n", "data: [DONE]\n\n"} {
			_, _ = io.WriteString(writer, text)
			_ = http.NewResponseController(writer).Flush()
			time.Sleep(silence)
		}
	}))
	defer server.Close()
	inputs := make(chan event.Input, 16)
	upstream.New(upstream.Settings{
		Address: server.Listener.Addr().String(), Uptime: func() time.Duration { return 0 }, Tracer: noop.NewTracerProvider().Tracer(""),
	}, func(input event.Input) { inputs <- input }).Start(request())
	for timeout := time.After(maxWait); ; {
		select {
		case input := <-inputs:
			if ended, ok := input.(event.RunEnded); ok {
				if ended.Outcome != message.Complete {
					t.Errorf("got %+v, want a complete run", ended)
				}
				return
			}
		case <-timeout:
			t.Fatal("the run has not ended, want it to end with its stream")
		}
	}
}

// TestEndlessHeader guards against reading a header that never ends.
func TestEndlessHeader(t *testing.T) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer listener.Close()
	go func() {
		conn, err := listener.Accept()
		if err == nil {
			_, err = io.WriteString(conn, "HTTP/1.1 200 OK\r\n")
		}
		for err == nil {
			_, err = io.WriteString(conn, strings.Repeat("A: x\r\n", 1000))
		}
	}()
	const timeout = 10 * time.Second
	inputs := make(chan event.Input, 1)
	upstream.New(upstream.Settings{
		Address: listener.Addr().String(), Uptime: func() time.Duration { return 0 }, FirstByteTimeout: timeout, StallTimeout: timeout,
		Tracer: noop.NewTracerProvider().Tracer(""),
	}, func(input event.Input) { inputs <- input }).Start(request())
	select {
	case input := <-inputs:
		if ended, ok := input.(event.RunEnded); !ok || ended.Outcome != message.Incomplete {
			t.Errorf("got %+v, want a run that ended incomplete", input)
		}
	case <-time.After(timeout / 2):
		t.Error("the run has not ended, want it to end once the header is too long")
	}
}

// TestOutcomeOfResponse checks how each kind of response ends a run. Guards against a
// truncated response that counts as complete, and against a stall or an error response
// that counts as a crash. The column chunks includes the chunk with the header.
func TestOutcomeOfResponse(t *testing.T) {
	long := "data: " + strings.Repeat("x", 200_000) + "\n\n"
	cases := []struct {
		name    string
		handler http.HandlerFunc
		want    message.Outcome
		chunks  int
		crashed bool
	}{
		{"a complete stream", stream("data: a\n\n", "data: b\n\n", "data: [DONE]\n\n"), message.Complete, 4, false},
		{"a line longer than a scanner's buffer", stream(long, "data: [DONE]\n\n"), message.Complete, 3, false},
		{"a stream without the [DONE] event", stream("data: a\n\n"), message.Incomplete, 2, true},
		{"a stream that ends within an event", stream("data: a\n\n", "data: b"), message.Incomplete, 2, true},
		{"a complete response, not streamed", plain(http.StatusOK, "whole"), message.Complete, 2, false},
		{"a response that ends with its connection", unframed("", "whole"), message.Complete, 2, false},
		{"a stream that ends with its connection", unframed(eventStream, "data: a\n\ndata: [DONE]\n\n"), message.Complete, 3, false},
		{"a stream that ends with its connection within an event", unframed(eventStream, "data: a\n\ndata: b"), message.Incomplete, 2, true},
		{"an error response", plain(http.StatusConflict, "taken"), message.Failed, 2, false},
		{"a body shorter than its Content-Length", truncated, message.Incomplete, 2, true},
		{"a connection closed before the response", func(http.ResponseWriter, *http.Request) { panic(http.ErrAbortHandler) },
			message.Incomplete, 0, true},
		{"a stream that stalls", stalled, message.Incomplete, 2, false},
	}
	for _, row := range cases {
		t.Run(row.name, func(t *testing.T) {
			t.Parallel()
			server := httptest.NewServer(row.handler)
			defer server.Close()
			chunks, end := run(t, server.Listener.Addr().String(), request())
			if end.Outcome != row.want || end.Crashed != row.crashed || end.NotStarted {
				t.Errorf("end of the run: got %+v, want outcome %v, crashed %v, started", end, row.want, row.crashed)
			}
			if len(chunks) != row.chunks {
				t.Errorf("response chunks: got %d, want %d", len(chunks), row.chunks)
			}
		})
	}
}

func stream(events ...string) http.HandlerFunc {
	return func(writer http.ResponseWriter, _ *http.Request) {
		writer.Header().Set("Content-Type", "text/event-stream")
		for _, text := range events {
			fmt.Fprint(writer, text)
		}
	}
}

func plain(status int, body string) http.HandlerFunc {
	return func(writer http.ResponseWriter, _ *http.Request) {
		writer.WriteHeader(status)
		fmt.Fprint(writer, body)
	}
}

const eventStream = "Content-Type: text/event-stream\r\n"

// unframed returns a handler whose response has neither a length nor chunks.
func unframed(header, body string) http.HandlerFunc {
	return func(writer http.ResponseWriter, _ *http.Request) {
		conn, buffered, err := http.NewResponseController(writer).Hijack()
		if err != nil {
			return
		}
		fmt.Fprintf(buffered, "HTTP/1.1 200 OK\r\n%s\r\n%s", header, body)
		_ = buffered.Flush()
		_ = conn.Close()
	}
}

func truncated(writer http.ResponseWriter, _ *http.Request) {
	writer.Header().Set("Content-Length", "100")
	fmt.Fprint(writer, "short")
}

func stalled(writer http.ResponseWriter, request *http.Request) {
	_, _ = io.Copy(io.Discard, request.Body) // net/http detects a disconnect only after the body is read
	stream("data: a\n\n")(writer, request)
	_ = http.NewResponseController(writer).Flush()
	<-request.Context().Done()
}

// TestExpiredRunIsNotSent guards against a request that is sent after its lease, as by a
// process that was paused: its entry may have retried it elsewhere.
func TestExpiredRunIsNotSent(t *testing.T) {
	var received atomic.Int64
	server := httptest.NewServer(http.HandlerFunc(func(http.ResponseWriter, *http.Request) { received.Add(1) }))
	defer server.Close()
	start := request()
	start.NotAfter = time.Millisecond
	_, end := run(t, server.Listener.Addr().String(), start)
	if !end.NotStarted || received.Load() != 0 {
		t.Fatalf("run after NotAfter: got %+v with %d requests received, want it not started and 0 received", end, received.Load())
	}
}

// TestUnreachableUpstreamIsNotStarted guards against an unknown outcome where none is
// possible: no process listens on the port, so the request did not run.
func TestUnreachableUpstreamIsNotStarted(t *testing.T) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	address := listener.Addr().String()
	listener.Close()
	if _, end := run(t, address, request()); !end.NotStarted || end.Reason != message.UpstreamDown {
		t.Fatalf("run at a closed port: got %+v, want it not started with reason %v", end, message.UpstreamDown)
	}
}

// TestRequestsOfUpstreamAreReported guards against a sidecar that does not learn that its
// upstream leaves or wants nothing for a time, and against a caller who gets what is meant
// for the sidecar.
func TestRequestsOfUpstreamAreReported(t *testing.T) {
	t.Parallel()
	cases := []struct {
		name       string
		leaving    string
		retryAfter string
		status     int
		want       []event.Input
	}{
		{"leaving", "1", "", http.StatusOK, []event.Input{event.LeavingAnnounced{}}},
		{"leaving in an error", "1", "", http.StatusInternalServerError, []event.Input{event.LeavingAnnounced{}}},
		{"backoff", "", "1.5", http.StatusServiceUnavailable, []event.Input{event.BackoffRequested{For: 1500 * time.Millisecond}}},
		{"both", "1", "2", http.StatusServiceUnavailable, []event.Input{event.LeavingAnnounced{}, event.BackoffRequested{For: 2 * time.Second}}},
		{"neither", "0", "soon", http.StatusServiceUnavailable, nil},
		{"another status", "", "2", http.StatusTooManyRequests, nil},
	}
	for _, row := range cases {
		t.Run(row.name, func(t *testing.T) {
			t.Parallel()
			server := httptest.NewServer(http.HandlerFunc(func(writer http.ResponseWriter, _ *http.Request) {
				writer.Header().Set(upstream.HeaderLeaving, row.leaving)
				writer.Header().Set("Retry-After", row.retryAfter)
				writer.WriteHeader(row.status)
			}))
			defer server.Close()
			inputs := make(chan event.Input, 8)
			upstream.New(upstream.Settings{
				Address: server.Listener.Addr().String(), Uptime: func() time.Duration { return 0 }, FirstByteTimeout: time.Minute, StallTimeout: time.Minute,
				Tracer: noop.NewTracerProvider().Tracer(""),
			}, func(input event.Input) { inputs <- input }).Start(request())
			var got []event.Input
			for input := range inputs {
				if _, ended := input.(event.RunEnded); ended {
					break
				}
				chunk, ok := input.(event.ResponseChunk)
				if !ok {
					got = append(got, input)
				}
				if slices.ContainsFunc(chunk.Header, func(header message.Header) bool { return header.Name == upstream.HeaderLeaving }) {
					t.Errorf("got the chunk %+v, want no %s in it", chunk, upstream.HeaderLeaving)
				}
			}
			if !reflect.DeepEqual(got, row.want) {
				t.Errorf("got %+v, want %+v", got, row.want)
			}
		})
	}
}
