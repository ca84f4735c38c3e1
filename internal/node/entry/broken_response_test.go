package entry_test

import (
	"context"
	"io"
	"net/http"
	"strings"
	"testing"
	"time"

	"endivepost/internal/standin/rawupstream"
)

// uploadBytes is the size of a body that is still being written when an upstream responds at
// once.
const uploadBytes = 4 << 20

// call sends a request with a body of the size and returns the status and body of the response.
// The error is that of a response that is broken off.
func (fleet *fleet) call(t *testing.T, class, path string, size int) (status int, body string, err error) {
	t.Helper()
	ctx, cancel := context.WithTimeout(t.Context(), maxWait)
	defer cancel()
	request, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+fleet.address+path, strings.NewReader(strings.Repeat("u", size)))
	if err != nil {
		t.Fatal(err)
	}
	request.Header.Set("Authorization", "Bearer "+key)
	request.Header.Set("Endivepost-Class", class)
	response, err := http.DefaultClient.Do(request)
	if err != nil {
		return 0, "", err
	}
	defer response.Body.Close()
	read, err := io.ReadAll(response.Body)
	return response.StatusCode, string(read), err
}

// TestBrokenResponsesBehindSidecar guards against a caller who gets a broken response of an
// upstream behind a sidecar, or is not told why it gets none. Later requests are served.
func TestBrokenResponsesBehindSidecar(t *testing.T) {
	t.Parallel()
	const (
		long = 300 << 10
		// maxAttempts is the number of crashes or malformed responses after which a request ends.
		maxAttempts = 2
	)
	cases := []struct {
		name, text, reason string
		pause              time.Duration
		ending             rawupstream.Ending
	}{
		{"a part, reset at once", "HTTP/1.1 200 OK\r\n\r\na part", "upload-cut-off", 0, rawupstream.Reset},
		{"a part, reset later", "HTTP/1.1 200 OK\r\n\r\na part", "upload-cut-off", 300 * time.Millisecond, rawupstream.Reset},
		{"a long part", "HTTP/1.1 200 OK\r\n\r\n" + strings.Repeat("x", long), "upload-cut-off", time.Millisecond, rawupstream.Reset},
		{"a part of an error", "HTTP/1.1 500 Internal Server Error\r\n\r\na part", "upload-cut-off", time.Millisecond, rawupstream.Reset},
		{"status 000", "HTTP/1.1 000 None\r\n\r\nHTTP/1.1 200 OK\r\nContent-Length: 4\r\n\r\nbody", "malformed-response", 0, rawupstream.Close},
		{"a blank in a name", "HTTP/1.1 200 OK\r\nX Odd: 1\r\nContent-Length: 4\r\n\r\nbody", "malformed-response", 0, rawupstream.Close},
		{"a control byte in a name", "HTTP/1.1 200 OK\r\nX\x01Odd: 1\r\nContent-Length: 4\r\n\r\nbody", "malformed-response", 0, rawupstream.Close},
		{"a broken trailer", "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n4\r\nbody\r\n0\r\nX Odd: 1\r\n\r\n", "malformed-response", 0, rawupstream.Close},
	}
	for _, row := range cases {
		t.Run(row.name, func(t *testing.T) {
			t.Parallel()
			upstream, err := rawupstream.New(func(request *http.Request) rawupstream.Response {
				if strings.HasSuffix(request.URL.Path, "/sound") {
					return rawupstream.Response{Text: "HTTP/1.1 200 OK\r\n\r\nwhole", Ending: rawupstream.Close}
				}
				return rawupstream.Response{Text: row.text, Pause: row.pause, Ending: row.ending}
			})
			if err != nil {
				t.Fatal(err)
			}
			defer upstream.Close()
			running := newFleetAt(t, upstream.Address())
			status, body, err := running.call(t, "post", "/services/files/broken", uploadBytes)
			if err != nil || status != http.StatusBadGateway || !strings.Contains(body, row.reason) {
				t.Errorf("got status %d, %d bytes, error %v, want status 502 with the reason %s", status, len(body), err, row.reason)
			}
			if received := upstream.Received(); received != 1 {
				t.Errorf("a non-idempotent request: got %d requests upstream, want 1", received)
			}
			before := upstream.Received()
			status, body, err = running.call(t, "fetch", "/services/files/broken", uploadBytes)
			if err != nil || status < http.StatusInternalServerError {
				t.Errorf("an idempotent request: got status %d, %d bytes, error %v, want an error", status, len(body), err)
			}
			if received := upstream.Received() - before; received < 1 || received > maxAttempts {
				t.Errorf("an idempotent request: got %d requests upstream, want at most %d", received, maxAttempts)
			}
			for _, size := range []int{0, uploadBytes} {
				if status, body, err := running.call(t, "fetch", "/services/files/sound", size); status != http.StatusOK || body != "whole" || err != nil {
					t.Errorf("a later request of %d bytes: got status %d, body %q, error %v, want the complete response", size, status, body, err)
				}
			}
		})
	}
}
