package exchange

import (
	"bufio"
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"sync"
	"syscall"
	"time"
)

// connection is one connection to an upstream, which carries one exchange at a
// time.
type connection struct {
	conn        net.Conn
	reader      *bufio.Reader
	used        bool
	idleTimeout time.Duration
	usableUntil time.Time
	written     chan writeResult
}

// errStale is returned if an idle connection turns out to be closed before
// anything was written to it.
var errStale = errors.New("the idle connection is closed")

const (
	readBufferBytes = 16 << 10
	// inlineBytes is the size up to which a request is written before its answer
	// is awaited; longer ones may be answered before they are sent whole.
	inlineBytes = 2 << 10
)

func newConnection(conn net.Conn, idleTimeout time.Duration) *connection {
	return &connection{conn: conn, reader: bufio.NewReaderSize(conn, readBufferBytes), idleTimeout: idleTimeout}
}

func (connection *connection) close() {
	_ = connection.conn.Close()
}

// stands says whether an idle connection may be used: it is not too old, the
// upstream has not closed it, and nothing unasked has come.
func (connection *connection) stands(now time.Time) bool {
	if now.After(connection.usableUntil) || connection.reader.Buffered() > 0 {
		return false
	}
	raw, ok := connection.conn.(syscall.Conn)
	if !ok {
		return false
	}
	control, err := raw.SyscallConn()
	if err != nil {
		return false
	}
	quiet := false
	err = control.Read(func(descriptor uintptr) bool {
		var probe [1]byte
		_, readErr := syscall.Read(int(descriptor), probe[:])
		quiet = errors.Is(readErr, syscall.EAGAIN)
		return true
	})
	return err == nil && quiet
}

// exchange writes the request and reads the header of its answer.
func (connection *connection) exchange(ctx context.Context, request Request) (*Answer, error) {
	reused := connection.used
	connection.used = true
	stop := context.AfterFunc(ctx, connection.close)
	header, err := request.Header()
	if err != nil {
		stop()
		return nil, fmt.Errorf("%w: %w", ErrNotSent, err)
	}
	if err := connection.write(append(request.head(header), request.Body...), reused); err != nil {
		stop()
		return nil, err
	}
	response, err := connection.read(request, reused) //nolint:bodyclose // Answer.Close does
	if err != nil {
		stop()
		connection.close()
		return nil, (<-connection.written).explain(err, reused)
	}
	return &Answer{Response: response, connection: connection, stop: stop}, nil
}

// writeResult is what became of the writing of a request.
type writeResult struct {
	count int
	err   error
}

// explain says how far a request came that got no answer.
func (result writeResult) explain(cause error, reused bool) error {
	switch {
	case result.err == nil || result.count > 0:
		return fmt.Errorf("%w: %w", ErrNoAnswer, cause)
	case reused:
		return errStale
	}
	return fmt.Errorf("%w: %w", ErrNotSent, result.err)
}

// write sends the bytes, long ones beside the reading of the answer.
func (connection *connection) write(data []byte, reused bool) error {
	connection.written = make(chan writeResult, 1)
	if len(data) > inlineBytes {
		go func(written chan<- writeResult) {
			count, err := connection.conn.Write(data)
			written <- writeResult{count: count, err: err}
		}(connection.written)
		return nil
	}
	count, err := connection.conn.Write(data)
	result := writeResult{count: count, err: err}
	connection.written <- result
	if err != nil {
		return result.explain(err, reused)
	}
	return nil
}

var (
	errStrays  = errors.New("the answers belong to other requests")
	errUnnamed = errors.New("the answer names no request and may belong to an earlier one")
)

// read returns the header of the answer to the request, and skips late answers
// to earlier ones.
func (connection *connection) read(request Request, reused bool) (*http.Response, error) {
	for range mostStrays {
		response, err := http.ReadResponse(connection.reader, &http.Request{Method: request.Method})
		if err != nil {
			return nil, err
		}
		if response.StatusCode < http.StatusOK {
			continue
		}
		switch owner := request.Match(response); {
		case owner == Matched, owner == Unidentified && !reused:
			return response, nil
		case owner == Unidentified:
			return nil, errUnnamed
		}
		if _, err := io.Copy(io.Discard, response.Body); err != nil {
			return nil, err
		}
	}
	return nil, errStrays
}

// Answer is the header of an upstream's answer, and its body to be read.
type Answer struct {
	*http.Response
	connection *connection
	owner      *Client
	address    string
	stop       func() bool
	once       sync.Once
}

// Close ends the exchange. Whole says that the body was read to its end; the
// connection is then kept for the next request if nothing speaks against it.
func (answer *Answer) Close(whole bool) {
	answer.once.Do(func() {
		held := answer.connection
		alive := answer.stop()
		idleFor, kept := keepAlive(answer.Response, held.idleTimeout)
		framed := answer.ContentLength >= 0 || len(answer.TransferEncoding) > 0
		if !alive || !whole || !kept || !framed || held.reader.Buffered() > 0 || !held.wroteAll() {
			held.close()
			return
		}
		held.usableUntil = time.Now().Add(idleFor)
		answer.owner.keep(answer.address, held)
	})
}

// wroteAll says whether the request was written whole.
func (connection *connection) wroteAll() bool {
	select {
	case result := <-connection.written:
		return result.err == nil
	default:
		return false
	}
}
