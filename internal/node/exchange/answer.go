package exchange

import (
	"errors"
	"io"
	"net/http"
	"sync"
	"time"
)

// Answer is an upstream's response. Its body is read from the connection.
type Answer struct {
	*http.Response
	connection *connection
	client     *Client
	address    string
	stop       func() bool
	once       sync.Once
}

const (
	// maxDrainBytes and drainTimeout bound what is read of a body that is not needed.
	// For a longer one, opening a new connection is cheaper.
	maxDrainBytes = 64 << 10
	drainTimeout  = 50 * time.Millisecond
)

// Drain discards the rest of the body, so that the connection can be reused. It returns
// whether it reached the end of the body; it gives up after 64 KiB or 50 ms, and at once if
// the body ends with its connection.
func (answer *Answer) Drain() bool {
	if !answer.Framed() {
		return false
	}
	conn := answer.connection.conn
	if err := conn.SetReadDeadline(time.Now().Add(drainTimeout)); err != nil {
		return false
	}
	count, err := io.CopyN(io.Discard, answer.Body, maxDrainBytes+1)
	if !errors.Is(err, io.EOF) || count > maxDrainBytes {
		return false
	}
	return conn.SetReadDeadline(time.Time{}) == nil
}

// Framed reports whether the response has a length or chunks, so that its end differs from
// the end of its connection.
func (answer *Answer) Framed() bool {
	return answer.ContentLength >= 0 || len(answer.TransferEncoding) > 0
}

// Close releases the connection. Complete means that the body was read to its end;
// the connection is then reused unless it is broken, the response forbids it, its body
// has no framing, unread bytes remain or the request was not written completely.
func (answer *Answer) Close(complete bool) {
	answer.once.Do(func() {
		conn := answer.connection
		alive := answer.stop()
		idleFor, reusable := keepAlive(answer.Response, conn.idleTimeout)
		if !alive || !complete || !reusable || !answer.Framed() || conn.reader.Buffered() > 0 || !conn.written.isComplete() {
			conn.close()
			return
		}
		conn.shrinkBuffer()
		conn.usableUntil = time.Now().Add(idleFor)
		answer.client.putIdle(answer.address, conn)
	})
}
