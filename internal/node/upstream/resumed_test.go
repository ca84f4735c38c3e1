package upstream_test

import (
	"fmt"
	"net/http"
	"net/http/httptest"
	"testing"

	"endivepost/internal/wire/message"
)

// respondWith returns a handler of a response with the status, media type and body.
func respondWith(status int, mediaType, body string) http.HandlerFunc {
	return func(writer http.ResponseWriter, _ *http.Request) {
		if mediaType != "" {
			writer.Header().Set("Content-Type", mediaType)
		}
		writer.WriteHeader(status)
		if body != "" {
			_, _ = fmt.Fprint(writer, body)
		}
	}
}

// TestErrorOnResumption guards against an error, or another response that is no stream, in the
// middle of a stream that goes on at this upstream: nothing of it is passed on, and the run
// is not complete.
func TestErrorOnResumption(t *testing.T) {
	t.Parallel()
	const json, html, events = "application/json", "text/html", "text/event-stream"
	cases := []struct {
		name string
		http.HandlerFunc
	}{
		{"an error", respondWith(http.StatusInternalServerError, json, `{"error": "overloaded"}`)},
		{"an error as a stream", respondWith(http.StatusInternalServerError, events, "data: overloaded\n\n")},
		{"a refusal", respondWith(http.StatusServiceUnavailable, json, `{"error": "overloaded"}`)},
		{"not found", respondWith(http.StatusNotFound, "", "")},
		{"a JSON error with status 200", respondWith(http.StatusOK, json, `{"error": "overloaded"}`)},
		{"a page with status 200", respondWith(http.StatusOK, html, "<html>overloaded</html>")},
		{"no content", respondWith(http.StatusNoContent, "", "")},
		{"a redirection", respondWith(http.StatusFound, json, `{"error": "overloaded"}`)},
		{"an error as an event", respondWith(http.StatusOK, events, "event: error\ndata: overloaded\n\n")},
		{"an error as an event behind a comment", respondWith(http.StatusOK, events, ": hello\n\nevent: error\ndata: overloaded\n\n")},
		{"a text in the stream", respondWith(http.StatusOK, events, "{\"error\": \"overloaded\"}\n\ndata: [DONE]\n\n")},
	}
	for _, row := range cases {
		t.Run(row.name, func(t *testing.T) {
			t.Parallel()
			server := httptest.NewServer(row)
			defer server.Close()
			start := request()
			start.ResumeFrom = 2
			chunks, end := run(t, server.Listener.Addr().String(), start)
			text := ""
			for _, chunk := range chunks {
				text += string(chunk.Data)
			}
			wantText, wantOutcome := "", message.Incomplete
			if row.name == "a text in the stream" {
				wantText, wantOutcome = "data: [DONE]\n\n", message.Complete
			}
			if text != wantText || end.Outcome != wantOutcome || end.Crashed || end.NotStarted {
				t.Errorf("got %q and %+v, want %q and outcome %v of a run that started and is no crash", text, end, wantText, wantOutcome)
			}
		})
	}
}

// TestCommentsAreNoChunks guards against a resumed stream that lacks events: the upstream skips
// as many events as there were chunks, and comments are no events.
func TestCommentsAreNoChunks(t *testing.T) {
	t.Parallel()
	server := httptest.NewServer(stream(": hello\n\n", "data: a\n\n", ": still here\n\n", "retry: 5\n\n", "data: b\n\n", ": bye\n\n", "data: [DONE]\n\n"))
	defer server.Close()
	chunks, end := run(t, server.Listener.Addr().String(), request())
	text := ""
	for _, chunk := range chunks {
		text += string(chunk.Data)
	}
	const want = ": hello\n\ndata: a\n\n: still here\n\nretry: 5\n\ndata: b\n\ndata: [DONE]\n\n"
	if len(chunks) != 4 || text != want || end.Outcome != message.Complete {
		t.Errorf("got %d chunks, %q and %+v, want the head and 3 events, with the comments before their data", len(chunks), text, end)
	}
}
