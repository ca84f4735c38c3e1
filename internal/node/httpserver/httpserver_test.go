package httpserver_test

import (
	"io"
	"net/http"
	"testing"
	"time"

	"endivepost/internal/node/httpserver"
)

// TestWriteDeadlineIsResetPerRequest guards against a write deadline that outlives the
// request whose handler set it and breaks the next request on the same connection.
func TestWriteDeadlineIsResetPerRequest(t *testing.T) {
	handler := func(writer http.ResponseWriter, request *http.Request) {
		_, _ = io.WriteString(writer, request.RemoteAddr)
		if request.URL.Path == "/first" {
			_ = http.NewResponseController(writer).SetWriteDeadline(time.Now().Add(50 * time.Millisecond))
		}
	}
	server, err := httpserver.Listen("127.0.0.1:0", http.HandlerFunc(handler), func(err error) { t.Error(err) })
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = server.Close() }()
	var addresses []string
	for _, path := range []string{"/first", "/second"} {
		response, err := http.Get("http://" + server.Address() + path)
		if err != nil {
			t.Fatal(err)
		}
		body, _ := io.ReadAll(response.Body)
		response.Body.Close()
		addresses = append(addresses, string(body))
		// The write deadline of the first request passes before the second is sent.
		time.Sleep(100 * time.Millisecond)
	}
	if addresses[0] != addresses[1] {
		t.Fatalf("client addresses of the two requests: got %v, want the same connection for both", addresses)
	}
}
