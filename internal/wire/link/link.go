// Package link carries messages between two processes of the router, entries or
// sidecars, over one authenticated WebSocket connection.
package link

import (
	"context"
	"errors"
	"fmt"
	"net"
	"net/http"
	"strconv"
	"sync"
	"time"

	"github.com/gorilla/websocket"

	"endivepost/internal/data/boundedreader"
	"endivepost/internal/wire/message"
	"endivepost/internal/wire/responsehead"
)

// Link is one authenticated connection between two processes. Writes go through
// a bounded outbox: the link of a peer that does not read is closed, so that it
// never blocks the process's event loop. The WebSocket library is gorilla/websocket,
// of the same project as gorilla/mux, which routes the HTTP requests.
type Link struct {
	conn   *websocket.Conn
	peer   Identity
	outbox *outbox
	closed chan struct{}
	once   sync.Once
	// observe is told the bytes of each message, nil if nothing is.
	observe func(sent, received int)
}

// Identity is a process's name and its incarnation, the random number drawn at
// process start.
type Identity struct {
	Name string
	Boot uint64
}

const (
	// outboxBytes bounds the messages for a peer that does not read. One that reads nothing
	// for writeTimeout is closed before.
	outboxBytes = 128 << 20
	// maxFrameBytes leaves a margin above the largest body of a caller, which one
	// frame carries.
	maxFrameBytes = 16 << 20
	// maxHandshakeBytes bounds what is read until the handshake has succeeded: another
	// service may have the peer's address by now.
	maxHandshakeBytes = 64 << 10
	writeTimeout      = 5 * time.Second
	dialTimeout       = 3 * time.Second
	bufferBytes       = 4096

	headerProtocol = "Endivepost-Protocol"
	headerName     = "Endivepost-Name"
	headerBoot     = "Endivepost-Boot"
)

// Errors of the handshake.
var (
	// ErrProtocol is returned if the peer's protocol version is not ours.
	ErrProtocol = errors.New("peer speaks another protocol version")
	// ErrIdentity is returned if the peer sends no name or no valid boot number.
	ErrIdentity = errors.New("peer sent no valid name or boot number")
	// ErrSecret is returned if the peer does not send the shared secret.
	ErrSecret = errors.New("peer lacks the shared secret")
)

// Dial connects to another process at the host:port address, at most for
// dialTimeout. The error wraps ErrSecret or ErrProtocol if the peer refuses the
// handshake, and ErrIdentity if it does not identify itself.
func Dial(address, secret string, self Identity) (link *Link, err error) {
	defer func() {
		if err != nil {
			err = fmt.Errorf("dial %s: %w", address, err)
		}
	}()
	var bounded *boundedreader.Reader
	dialer := websocket.Dialer{
		HandshakeTimeout: dialTimeout,
		ReadBufferSize:   bufferBytes,
		WriteBufferSize:  bufferBytes,
		NetDial: func(network, target string) (net.Conn, error) {
			conn, err := net.DialTimeout(network, target, dialTimeout)
			if err != nil {
				return nil, err
			}
			bounded = boundedreader.New(conn)
			bounded.Allow(maxHandshakeBytes)
			return boundedConn{Conn: conn, reader: bounded}, nil
		},
	}
	conn, response, err := dialer.Dial("ws://"+address+"/link", handshakeHeader(secret, self)) //nolint:bodyclose // the dialer reads it
	if err != nil {
		return nil, handshakeError(response, err)
	}
	bounded.AllowAll()
	peer, err := readPeer(response)
	if err != nil {
		_ = conn.Close()
		return nil, err
	}
	return newLink(conn, peer), nil
}

// readPeer returns the identity of the peer in the response to the handshake.
func readPeer(response *http.Response) (Identity, error) {
	if err := responsehead.CheckNames(response.Header); err != nil {
		return Identity{}, err
	}
	return readIdentity(response.Header)
}

// boundedConn is a connection that is read through a bounded reader.
type boundedConn struct {
	net.Conn
	reader *boundedreader.Reader
}

// Read implements net.Conn.
func (conn boundedConn) Read(buffer []byte) (int, error) {
	return conn.reader.Read(buffer)
}

// handshakeError returns the reason for a refused handshake by its status code.
func handshakeError(response *http.Response, err error) error {
	if response == nil {
		return err
	}
	switch response.StatusCode {
	case http.StatusUnauthorized:
		return ErrSecret
	case http.StatusUpgradeRequired:
		return ErrProtocol
	}
	return fmt.Errorf("%w: status %d", err, response.StatusCode)
}

// Accept upgrades a peer's HTTP request to a link. On failure it has already sent
// the error response to the peer; the error wraps ErrSecret, ErrProtocol,
// ErrIdentity or the error of the upgrade.
func Accept(writer http.ResponseWriter, request *http.Request, secret string, self Identity) (link *Link, err error) {
	defer func() {
		if err != nil {
			err = fmt.Errorf("accept link from %s: %w", request.RemoteAddr, err)
		}
	}()
	if !sameSecret(request.Header.Get("Authorization"), "Bearer "+secret) {
		http.Error(writer, ErrSecret.Error(), http.StatusUnauthorized)
		return nil, ErrSecret
	}
	if request.Header.Get(headerProtocol) != strconv.Itoa(message.Protocol) {
		http.Error(writer, ErrProtocol.Error(), http.StatusUpgradeRequired)
		return nil, ErrProtocol
	}
	peer, err := readIdentity(request.Header)
	if err != nil {
		http.Error(writer, err.Error(), http.StatusBadRequest)
		return nil, err
	}
	upgrader := websocket.Upgrader{ReadBufferSize: bufferBytes, WriteBufferSize: bufferBytes}
	conn, err := upgrader.Upgrade(writer, request, handshakeHeader("", self))
	if err != nil {
		return nil, err
	}
	return newLink(conn, peer), nil
}

func newLink(conn *websocket.Conn, peer Identity) *Link {
	conn.SetReadLimit(maxFrameBytes)
	return &Link{
		conn: conn, peer: peer,
		outbox: newOutbox(outboxBytes),
		closed: make(chan struct{}),
	}
}

// Peer returns the identity that the peer sent in the handshake.
func (link *Link) Peer() Identity {
	return link.peer
}

// Send queues a message without blocking. It closes the link if the outbox is full.
func (link *Link) Send(body message.Message) {
	if !link.outbox.push(body) {
		link.Close()
	}
}

// Observe has the function told the bytes of each message that is sent or received. It must be
// called before Run.
func (link *Link) Observe(observe func(sent, received int)) {
	link.observe = observe
}

func (link *Link) count(sent, received int) {
	if link.observe != nil {
		link.observe(sent, received)
	}
}

// Run writes the queued messages and calls receive for each message from the peer,
// until the link is closed. A frame that does not decode closes the link. The error
// is never nil.
func (link *Link) Run(receive func(message.Message)) (err error) {
	defer func() {
		if err != nil {
			err = fmt.Errorf("link with %s: %w", link.peer.Name, err)
		}
	}()
	go link.write()
	defer link.Close()
	for {
		_, frame, err := link.conn.ReadMessage()
		if err != nil {
			return err
		}
		link.count(0, len(frame))
		body, err := message.Decode(frame)
		if err != nil {
			return err
		}
		receive(body)
	}
}

func (link *Link) write() {
	defer link.Close()
	for {
		select {
		case <-link.closed:
			return
		case <-link.outbox.filled:
			if link.writeAll(link.outbox.take()) != nil {
				return
			}
		}
	}
}

func (link *Link) writeAll(bodies []message.Message) error {
	for _, body := range bodies {
		if err := link.writeOne(body); err != nil {
			return err
		}
		link.outbox.written(body)
	}
	return nil
}

func (link *Link) writeOne(body message.Message) error {
	frame, err := message.Encode(body)
	if err != nil {
		return err
	}
	if err := link.conn.SetWriteDeadline(time.Now().Add(writeTimeout)); err != nil {
		return err
	}
	link.count(len(frame), 0)
	return link.conn.WriteMessage(websocket.BinaryMessage, frame)
}

// Flush waits until all queued messages are written or the link is closed, at most
// for the timeout.
func (link *Link) Flush(timeout time.Duration) {
	deadline := time.Now().Add(timeout)
	for link.outbox.pending() > 0 && !link.isClosed() && time.Now().Before(deadline) {
		time.Sleep(time.Millisecond)
	}
}

// AwaitUnwritten waits until at most the given number of bytes are queued, the link is closed or
// the context is done.
func (link *Link) AwaitUnwritten(ctx context.Context, bytes int) {
	link.outbox.await(ctx, bytes)
}

func (link *Link) isClosed() bool {
	select {
	case <-link.closed:
		return true
	default:
		return false
	}
}

// Close closes the connection without flushing. It may be called more than once.
func (link *Link) Close() {
	link.once.Do(func() {
		close(link.closed)
		link.outbox.close()
		_ = link.conn.Close()
	})
}
