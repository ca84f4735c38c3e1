package upstream_test

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	"go.opentelemetry.io/otel/trace/noop"

	"endivepost/internal/core/event"
	"endivepost/internal/node/upstream"
	"endivepost/internal/wire/message"
)

// serveConnections calls serve for each request on each connection to a new listener, whose
// address it returns. Number counts the requests on the connection from 0.
func serveConnections(t *testing.T, serve func(conn net.Conn, number int, request *http.Request)) string {
	t.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = listener.Close() })
	go func() {
		for {
			conn, err := listener.Accept()
			if err != nil {
				return
			}
			go func() {
				defer conn.Close()
				_ = conn.SetDeadline(time.Now().Add(20 * time.Second))
				requests := bufio.NewReader(conn)
				for number := 0; ; number++ {
					request, err := http.ReadRequest(requests)
					if err != nil {
						return
					}
					_, _ = io.Copy(io.Discard, request.Body)
					serve(conn, number, request)
				}
			}()
		}
	}()
	return listener.Addr().String()
}

// TestResponseOnceMore guards against handing a second copy of a response, or of an earlier
// refusal, to the next request: nothing in a response says to which request it belongs.
func TestResponseOnceMore(t *testing.T) {
	t.Parallel()
	respond := func(status int, body string) string {
		return fmt.Sprintf("HTTP/1.1 %d Status\r\nContent-Length: %d\r\n\r\n%s", status, len(body), body)
	}
	cases := []struct {
		name string
		// earlier is the first response; its copy follows at once, later or with the next one.
		earlier       string
		with, between bool
	}{
		{"a refusal, with the next request", respond(503, "busy"), false, false},
		{"a refusal, in the same segment", respond(503, "busy"), true, false},
		{"a refusal, between the requests", respond(503, "busy"), false, true},
		{"too many requests, with the next request", respond(429, ""), false, false},
		{"a response, with the next request", respond(200, "answer of /first"), false, false},
		{"a response, in the same segment", respond(200, "answer of /first"), true, false},
		{"a response, between the requests", respond(200, "answer of /first"), false, true},
	}
	for _, row := range cases {
		t.Run(row.name, func(t *testing.T) {
			t.Parallel()
			address := serveConnections(t, func(conn net.Conn, number int, request *http.Request) {
				own := respond(200, "answer of "+request.URL.Path)
				switch {
				case request.URL.Path != "/first" && number > 0:
					_, _ = io.WriteString(conn, row.earlier+own)
				case request.URL.Path != "/first":
					_, _ = io.WriteString(conn, own)
				case row.with:
					_, _ = io.WriteString(conn, row.earlier+row.earlier)
				case row.between:
					_, _ = io.WriteString(conn, row.earlier)
					time.Sleep(20 * time.Millisecond)
					_, _ = io.WriteString(conn, row.earlier)
				default:
					_, _ = io.WriteString(conn, row.earlier)
				}
			})
			inputs := make(chan event.Input, 256)
			running := upstream.New(upstream.Settings{
				Address: address, Uptime: func() time.Duration { return 0 }, FirstByteTimeout: 5 * time.Second, StallTimeout: 5 * time.Second,
				Tracer: noop.NewTracerProvider().Tracer(""),
			}, func(input event.Input) { inputs <- input })
			for i, path := range []string{"/first", "/second", "/third"} {
				start := request()
				start.ID = message.NewRequestID(1, uint64(i+1))
				start.Payload.NonIdempotent = path == "/third"
				start.Payload.Path = path
				running.Start(start)
				var body strings.Builder
				for ended := false; !ended; {
					switch input := (<-inputs).(type) {
					case event.ResponseChunk:
						body.Write(input.Data)
					case event.RunEnded:
						ended = true
					}
				}
				if i > 0 && body.String() != "answer of "+path {
					t.Errorf("%s: got %q, want its own answer", path, body.String())
				}
				time.Sleep(50 * time.Millisecond)
			}
		})
	}
}
