package upstream_test

import (
	"fmt"
	"net/http"
	"strings"
	"testing"
	"time"

	"endivepost/internal/core/event"
	"endivepost/internal/standin/rawupstream"
	"endivepost/internal/wire/message"
)

// uploadBytes is the size of a body that is still being written when the upstream responds at
// once.
const uploadBytes = 4 << 20

// runUpload runs a long request at an upstream that responds in the given way. It returns the
// data of the response and the end of the run.
func runUpload(t *testing.T, response rawupstream.Response) (string, event.RunEnded) {
	t.Helper()
	upstream, err := rawupstream.New(func(*http.Request) rawupstream.Response { return response })
	if err != nil {
		t.Fatal(err)
	}
	defer upstream.Close()
	start := request()
	start.Payload.Body = make([]byte, uploadBytes)
	chunks, ended := run(t, upstream.Address(), start)
	var body strings.Builder
	for _, chunk := range chunks {
		body.Write(chunk.Data)
	}
	return body.String(), ended
}

const (
	unframedHead   = "HTTP/1.1 200 OK\r\n\r\n"
	unframedEvents = "HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\n\r\n"
)

// TestResetDuringUpload guards against a part of a response that counts as the whole: the
// upstream answers a long request at once, without a length, and ends the connection while the
// request is still being written.
func TestResetDuringUpload(t *testing.T) {
	t.Parallel()
	const repetitions = 5
	for _, text := range []string{unframedHead + "a part", unframedHead, unframedEvents + "data: a\n\n", "HTTP/1.1 500 Internal Server Error\r\n\r\na part"} {
		for _, ending := range []rawupstream.Ending{rawupstream.Reset, rawupstream.Abandon} {
			for _, pause := range []time.Duration{0, time.Millisecond, 20 * time.Millisecond, 250 * time.Millisecond} {
				t.Run(fmt.Sprintf("%q, ending %d after %s", text, ending, pause), func(t *testing.T) {
					t.Parallel()
					for range repetitions {
						body, ended := runUpload(t, rawupstream.Response{Text: text, BodyBytes: 1 << 10, Pause: pause, Ending: ending})
						if ended.Outcome != message.Incomplete || !ended.Crashed {
							t.Fatalf("got body %q and %+v, want outcome incomplete of a crash", body, ended)
						}
					}
				})
			}
		}
	}
}

// TestUnframedResponseToUpload guards against rejecting a sound response without a length to a
// long request.
func TestUnframedResponseToUpload(t *testing.T) {
	t.Parallel()
	for text, want := range map[string]string{unframedHead + "whole": "whole", unframedEvents + "data: [DONE]\n\n": "data: [DONE]\n\n"} {
		for _, ending := range []rawupstream.Ending{rawupstream.Close, rawupstream.Finish} {
			body, ended := runUpload(t, rawupstream.Response{Text: text, Pause: 20 * time.Millisecond, Ending: ending})
			if body != want || ended.Outcome != message.Complete {
				t.Errorf("ending %d: got body %q and %+v, want %q and outcome complete", ending, body, ended, want)
			}
		}
	}
}
