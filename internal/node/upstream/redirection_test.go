package upstream_test

import (
	"net/http"
	"net/http/httptest"
	"sync/atomic"
	"testing"

	"endivepost/internal/wire/message"
)

// TestRedirectionIsNotFollowed guards against a request that no caller sent: to where a
// response points.
func TestRedirectionIsNotFollowed(t *testing.T) {
	t.Parallel()
	for _, status := range []int{http.StatusMovedPermanently, http.StatusFound, http.StatusSeeOther, http.StatusTemporaryRedirect, http.StatusPermanentRedirect} {
		var received atomic.Int64
		other := httptest.NewServer(http.HandlerFunc(func(http.ResponseWriter, *http.Request) { received.Add(1) }))
		defer other.Close()
		server := httptest.NewServer(http.HandlerFunc(func(writer http.ResponseWriter, _ *http.Request) {
			writer.Header().Set("Location", other.URL+"/elsewhere")
			writer.WriteHeader(status)
		}))
		defer server.Close()
		for _, body := range [][]byte{nil, []byte("body")} {
			start := request()
			start.Payload.Body = body
			chunks, end := run(t, server.Listener.Addr().String(), start)
			if len(chunks) != 1 || chunks[0].Status != status || end.Outcome != message.Complete || received.Load() != 0 {
				t.Errorf("status %d, %d bytes: got %+v, %+v and %d requests elsewhere, want the response itself and none",
					status, len(body), chunks, end, received.Load())
			}
		}
	}
}
