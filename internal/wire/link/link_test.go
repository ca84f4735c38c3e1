package link_test

import (
	"errors"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"github.com/gorilla/websocket"

	"endivepost/internal/data/boundedreader"
	"endivepost/internal/wire/link"
	"endivepost/internal/wire/message"
)

const secret = "a-shared-secret"

// serve accepts links. It returns the server's address, the messages that the links
// receive, and the errors with which the links or their handshakes end.
func serve(t *testing.T) (address string, received chan message.Message, ended chan error) {
	t.Helper()
	received = make(chan message.Message, 16)
	ended = make(chan error, 16)
	server := httptest.NewServer(http.HandlerFunc(func(writer http.ResponseWriter, request *http.Request) {
		accepted, err := link.Accept(writer, request, secret, link.Identity{Name: "sidecar", Boot: 2})
		if err != nil {
			ended <- err
			return
		}
		ended <- accepted.Run(func(body message.Message) { received <- body })
	}))
	t.Cleanup(server.Close)
	return server.Listener.Addr().String(), received, ended
}

func TestMessagesArriveInOrder(t *testing.T) {
	address, received, _ := serve(t)
	dialled, err := link.Dial(address, secret, link.Identity{Name: "entry", Boot: 1})
	if err != nil {
		t.Fatal(err)
	}
	defer dialled.Close()
	go func() { _ = dialled.Run(func(message.Message) {}) }()
	if got := dialled.Peer(); got != (link.Identity{Name: "sidecar", Boot: 2}) {
		t.Fatalf("peer identity: got %+v, want sidecar with boot number 2", got)
	}
	for i := range 10 {
		dialled.Send(message.Chunk{Index: i, Data: make([]byte, 100_000)})
	}
	for i := range 10 {
		if chunk, ok := (<-received).(message.Chunk); !ok || chunk.Index != i {
			t.Fatalf("received message: got a chunk: %t, index %d; want a chunk with index %d", ok, chunk.Index, i)
		}
	}
}

// TestAcceptRefusesInvalidHandshakes covers peers without the secret, of another
// protocol version or without a valid boot number.
func TestAcceptRefusesInvalidHandshakes(t *testing.T) {
	address, _, ended := serve(t)
	header := func(secret, protocol, boot string) http.Header {
		return http.Header{
			"Authorization": {"Bearer " + secret}, "Endivepost-Protocol": {protocol}, "Endivepost-Name": {"entry"}, "Endivepost-Boot": {boot},
		}
	}
	cases := []struct {
		name   string
		header http.Header
		want   error
	}{
		{"no secret", http.Header{}, link.ErrSecret},
		{"a wrong secret", header("guess", "1", "1"), link.ErrSecret},
		{"an old protocol", header(secret, "0", "1"), link.ErrProtocol},
		{"no boot number", header(secret, "1", "x"), link.ErrIdentity},
	}
	for _, row := range cases {
		_, _, err := websocket.DefaultDialer.Dial("ws://"+address+"/link", row.header)
		if err == nil {
			t.Errorf("%s: handshake was accepted, want it refused", row.name)
		}
		if got := <-ended; !errors.Is(got, row.want) {
			t.Errorf("%s: got error %v, want %v", row.name, got, row.want)
		}
	}
}

// TestInvalidFrameClosesLink sends frames that do not decode to a message: empty,
// plain text, an unknown kind, a body of the wrong type, and nested arrays.
func TestInvalidFrameClosesLink(t *testing.T) {
	address, received, ended := serve(t)
	header := http.Header{
		"Authorization": {"Bearer " + secret}, "Endivepost-Protocol": {"1"}, "Endivepost-Name": {"entry"}, "Endivepost-Boot": {"1"},
	}
	for _, frame := range []string{"", "garbage", "\x82\x18\xff\xa0", "\x82\x03\x01", strings.Repeat("\x9f", 1000)} {
		conn, _, err := websocket.DefaultDialer.Dial("ws://"+address+"/link", header)
		if err != nil {
			t.Fatal(err)
		}
		if err := conn.WriteMessage(websocket.BinaryMessage, []byte(frame)); err != nil {
			t.Fatal(err)
		}
		if err := <-ended; err == nil {
			t.Errorf("frame %q: link ended without an error, want a decode error", frame)
		}
		conn.Close()
	}
	if len(received) > 0 {
		t.Errorf("received message %+v, want none", <-received)
	}
}

// TestSendClosesLinkOfPeerThatDoesNotRead guards against a Send that blocks: the
// peer never reads, the outbox fills up, and the link must be closed. The messages
// exceed what the outbox and the buffers of the sockets hold.
func TestSendClosesLinkOfPeerThatDoesNotRead(t *testing.T) {
	server := httptest.NewServer(http.HandlerFunc(func(writer http.ResponseWriter, request *http.Request) {
		_, _ = link.Accept(writer, request, secret, link.Identity{Name: "sidecar", Boot: 2})
		<-request.Context().Done()
	}))
	defer server.Close()
	dialled, err := link.Dial(server.Listener.Addr().String(), secret, link.Identity{Name: "entry", Boot: 1})
	if err != nil {
		t.Fatal(err)
	}
	done := make(chan error, 1)
	go func() { done <- dialled.Run(func(message.Message) {}) }()
	for range 10_000 {
		dialled.Send(message.Chunk{Data: make([]byte, 10_000)})
	}
	select {
	case err := <-done:
		if err == nil {
			t.Error("link to a peer that does not read: ended without an error, want one")
		}
	case <-time.After(time.Minute):
		t.Fatal("link to a peer that does not read: still open after one minute, want it closed")
	}
}

// TestBurstClosesLink guards against a link that is closed on a burst of small messages, as
// when a sidecar sends the rest of many responses to an entry that was paused.
func TestBurstClosesLink(t *testing.T) {
	const messages, maxWait = 50_000, 30 * time.Second
	address, received, _ := serve(t)
	dialled, err := link.Dial(address, secret, link.Identity{Name: "entry", Boot: 1})
	if err != nil {
		t.Fatal(err)
	}
	defer dialled.Close()
	done := make(chan error, 1)
	go func() { done <- dialled.Run(func(message.Message) {}) }()
	for i := range messages {
		dialled.Send(message.Chunk{Index: i, Data: make([]byte, 100)})
	}
	timeout := time.After(maxWait)
	for i := range messages {
		select {
		case body := <-received:
			if chunk, ok := body.(message.Chunk); !ok || chunk.Index != i {
				t.Fatalf("got %+v, want chunk %d", body, i)
			}
		case err := <-done:
			t.Fatalf("the link was closed after %d of %d messages: %v", i, messages, err)
		case <-timeout:
			t.Fatalf("got %d messages in %v, want %d", i, maxWait, messages)
		}
	}
}

// TestDialBoundsHandshake guards against reading a response to the handshake that never
// ends, from another service that has the peer's address by now.
func TestDialBoundsHandshake(t *testing.T) {
	const maxTime = time.Second
	for _, text := range []string{"x", "HTTP/1.1 200 ", "A: x\r\n"} {
		server := httptest.NewServer(http.HandlerFunc(func(writer http.ResponseWriter, _ *http.Request) {
			conn, _, err := http.NewResponseController(writer).Hijack()
			if err != nil {
				return
			}
			defer conn.Close()
			_, err = conn.Write([]byte("HTTP/1.1 200 OK\r\nA: "))
			for err == nil {
				_, err = conn.Write([]byte(strings.Repeat(text, 1000)))
			}
		}))
		started := time.Now()
		if _, err := link.Dial(server.Listener.Addr().String(), secret, link.Identity{Name: "entry", Boot: 1}); !errors.Is(err, boundedreader.ErrTooLong) {
			t.Errorf("%q without end: got error %v, want ErrTooLong", text, err)
		}
		if took := time.Since(started); took > maxTime {
			t.Errorf("%q without end: the error took %s, want at most %s", text, took, maxTime)
		}
		server.Close()
	}
}
