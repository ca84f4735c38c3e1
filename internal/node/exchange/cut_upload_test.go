package exchange_test

import (
	"errors"
	"fmt"
	"net/http"
	"testing"
	"time"

	"endivepost/internal/node/exchange"
	"endivepost/internal/standin/rawupstream"
)

// longBody is a body that is still being written when an upstream responds at once.
var longBody = make([]byte, 4<<20)

// startRaw starts a stand-in and returns its address.
func startRaw(t *testing.T, respond func(request *http.Request) rawupstream.Response) string {
	t.Helper()
	upstream, err := rawupstream.New(respond)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = upstream.Close() })
	return upstream.Address()
}

func newUpload(address, id string) exchange.Request {
	request := newRequest(address, id)
	request.Body = [][]byte{longBody[:len(longBody)/2], longBody[len(longBody)/2:]}
	return request
}

// TestResetDuringUpload guards against taking a part of a response for the whole: an upstream
// answers a long request at once, without a length, and ends the connection while the request
// is still being written. A socket reports a reset once, here to the write or to the read.
func TestResetDuringUpload(t *testing.T) {
	t.Parallel()
	const repetitions = 10
	pauses := []time.Duration{
		0, 100 * time.Microsecond, time.Millisecond, 5 * time.Millisecond, 20 * time.Millisecond, 100 * time.Millisecond, 300 * time.Millisecond,
	}
	for _, ending := range []rawupstream.Ending{rawupstream.Reset, rawupstream.Abandon} {
		for _, bodyBytes := range []int64{0, 100 << 10} {
			for _, pause := range pauses {
				t.Run(fmt.Sprintf("ending %d after %d bytes and %s", ending, bodyBytes, pause), func(t *testing.T) {
					t.Parallel()
					address := startRaw(t, func(request *http.Request) rawupstream.Response {
						return rawupstream.Response{
							Text:      fmt.Sprintf("HTTP/1.1 200 OK\r\nId: %s\r\n\r\na part", request.Header.Get("Id")),
							BodyBytes: bodyBytes, Pause: pause, Ending: ending,
						}
					})
					client := newClient()
					for i := range repetitions {
						got, err := send(client, newUpload(address, fmt.Sprint(i)))
						if err == nil {
							t.Fatalf("response %d: got body %q as a whole one, want an error", i, got)
						}
					}
				})
			}
		}
	}
}

// TestUnframedResponseToUpload guards against rejecting a sound response without a length to
// a long request, at whatever point of the request it comes.
func TestUnframedResponseToUpload(t *testing.T) {
	t.Parallel()
	for _, bodyBytes := range []int64{0, 100 << 10, int64(len(longBody))} {
		for _, pause := range []time.Duration{0, time.Millisecond, 100 * time.Millisecond} {
			t.Run(fmt.Sprintf("after %d bytes, %s", bodyBytes, pause), func(t *testing.T) {
				t.Parallel()
				address := startRaw(t, func(request *http.Request) rawupstream.Response {
					return rawupstream.Response{
						Text:      fmt.Sprintf("HTTP/1.1 200 OK\r\nId: %s\r\n\r\nwhole", request.Header.Get("Id")),
						BodyBytes: bodyBytes, Pause: pause, Ending: rawupstream.Close,
					}
				})
				if got, err := send(newClient(), newUpload(address, "a")); got != "whole" || err != nil {
					t.Errorf("got body %q, error %v, want \"whole\"", got, err)
				}
			})
		}
	}
}

// TestEndBeforeRequestIsWritten guards against rejecting a sound response that ends while the
// upstream still reads the request: the client waits for the rest to be written.
func TestEndBeforeRequestIsWritten(t *testing.T) {
	t.Parallel()
	address := startRaw(t, func(request *http.Request) rawupstream.Response {
		return rawupstream.Response{
			Text: fmt.Sprintf("HTTP/1.1 200 OK\r\nId: %s\r\n\r\nwhole", request.Header.Get("Id")), Ending: rawupstream.Finish,
			Pause: 50 * time.Millisecond,
		}
	})
	if got, err := send(newClient(), newUpload(address, "a")); got != "whole" || err != nil {
		t.Errorf("got body %q, error %v, want \"whole\"", got, err)
	}
}

// TestResetAfterFramedResponse guards against rejecting a response that has come whole by its
// own length or chunks, though its upstream reset the connection during the request, and
// against reusing that connection.
func TestResetAfterFramedResponse(t *testing.T) {
	t.Parallel()
	for _, framed := range []string{"Content-Length: 5\r\n\r\nwhole", "Transfer-Encoding: chunked\r\n\r\n5\r\nwhole\r\n0\r\n\r\n"} {
		t.Run(framed, func(t *testing.T) {
			t.Parallel()
			address := startRaw(t, func(request *http.Request) rawupstream.Response {
				return rawupstream.Response{
					Text:  fmt.Sprintf("HTTP/1.1 200 OK\r\nId: %s\r\n%s", request.Header.Get("Id"), framed),
					Pause: 50 * time.Millisecond, Ending: rawupstream.Reset,
				}
			})
			client := newClient()
			for i := range 3 {
				if got, err := send(client, newUpload(address, fmt.Sprint(i))); got != "whole" || err != nil {
					t.Errorf("response %d: got body %q, error %v, want \"whole\"", i, got, err)
				}
			}
		})
	}
}

// TestDrainDuringUpload guards against waiting for the rest of a request to be written in order
// to discard a response that is not needed.
func TestDrainDuringUpload(t *testing.T) {
	t.Parallel()
	address := startRaw(t, func(request *http.Request) rawupstream.Response {
		return rawupstream.Response{
			Text:  fmt.Sprintf("HTTP/1.1 503 Service Unavailable\r\nId: %s\r\n\r\nbusy", request.Header.Get("Id")),
			Pause: requestTimeout, Ending: rawupstream.Finish,
		}
	})
	answer, err := newClient().Do(t.Context(), newUpload(address, "a"))
	if err != nil {
		t.Fatal(err)
	}
	started := time.Now()
	if answer.Drain() {
		t.Error("got drained, want a connection that is not reused")
	}
	if took := time.Since(started); took > requestTimeout/2 {
		t.Errorf("draining took %s, want it long before the timeout of %s", took, requestTimeout)
	}
	answer.Close(false)
}

// TestCutUploadIsNamed guards against an error that does not say what happened, whichever of
// the write and the read gets the reset.
func TestCutUploadIsNamed(t *testing.T) {
	t.Parallel()
	const repetitions = 50
	address := startRaw(t, func(request *http.Request) rawupstream.Response {
		return rawupstream.Response{Text: fmt.Sprintf("HTTP/1.1 200 OK\r\nId: %s\r\n\r\na part", request.Header.Get("Id")), Ending: rawupstream.Reset}
	})
	client := newClient()
	for i := range repetitions {
		_, err := send(client, newUpload(address, fmt.Sprint(i)))
		if !errors.Is(err, exchange.ErrRequestCutOff) && !errors.Is(err, exchange.ErrNoAnswer) {
			t.Errorf("got error %v, want one that wraps ErrRequestCutOff, or ErrNoAnswer before the head", err)
		}
	}
}

// TestLateResponseDuringUpload guards against the response to an earlier request that comes
// once more, without a length, and is reset while the next request is being written: neither it
// nor its end is a response to that.
func TestLateResponseDuringUpload(t *testing.T) {
	t.Parallel()
	for _, pause := range []time.Duration{0, time.Millisecond, 20 * time.Millisecond} {
		t.Run(pause.String(), func(t *testing.T) {
			t.Parallel()
			address := startRaw(t, func(request *http.Request) rawupstream.Response {
				if request.Header.Get("Id") == "first" {
					return rawupstream.Response{Text: "HTTP/1.1 200 OK\r\nId: first\r\nContent-Length: 4\r\n\r\nbody", Ending: rawupstream.Next}
				}
				return rawupstream.Response{Text: "HTTP/1.1 200 OK\r\nId: first\r\n\r\nbody", Pause: pause, Ending: rawupstream.Reset}
			})
			client := newClient()
			if got, err := send(client, newRequest(address, "first")); got != "body" || err != nil {
				t.Fatalf("got body %q, error %v, want \"body\"", got, err)
			}
			if got, err := send(client, newUpload(address, "second")); !errors.Is(err, exchange.ErrNoAnswer) {
				t.Errorf("got body %q, error %v, want one that wraps ErrNoAnswer", got, err)
			}
		})
	}
}
