package exchange

import (
	"bufio"
	"cmp"
	"context"
	"errors"
	"fmt"
	"net"
	"sync"
	"syscall"
	"time"

	"endivepost/internal/data/boundedreader"
)

// connection is one connection to an upstream. It carries one request at a time.
type connection struct {
	conn    net.Conn
	bounded *boundedreader.Reader
	reader  *bufio.Reader
	// bufferBytes is the usual size of the reader's buffer.
	bufferBytes int
	// used is set once the connection has carried a request.
	used        bool
	idleTimeout time.Duration
	// usableUntil is when the idle connection becomes too old to be reused.
	usableUntil time.Time
	// written is the writing of the current request.
	written *requestWrite
	closing sync.Once
	closed  func()
}

// errStale is returned if an idle connection turns out to be closed before any byte
// of the request was written. Do then tries another connection.
var errStale = errors.New("the upstream closed the idle connection")

const (
	defaultBufferBytes = 16 << 10
	// inlineBytes is the size up to which a request is written before the response is
	// read. Longer ones are written in parallel, since the upstream may respond before
	// it has received all of them.
	inlineBytes = 2 << 10
)

// newConnection returns the connection. It calls closed once it closes it.
func newConnection(conn net.Conn, settings Settings, closed func()) *connection {
	bufferBytes := cmp.Or(settings.ReadBufferBytes, defaultBufferBytes)
	bounded := boundedreader.New(conn)
	return &connection{
		conn: conn, bounded: bounded, reader: bufio.NewReaderSize(bounded, bufferBytes), bufferBytes: bufferBytes,
		idleTimeout: settings.IdleTimeout, closed: closed,
	}
}

func (connection *connection) close() {
	connection.closing.Do(func() {
		_ = connection.conn.Close()
		connection.closed()
	})
}

// isUsable reports whether an idle connection may be reused: it is not too old, the
// upstream has not closed it, and no unrequested bytes have arrived. A non-blocking
// read returns EAGAIN only if the connection is open and has no data.
func (connection *connection) isUsable(now time.Time) bool {
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
	open := false
	err = control.Read(func(descriptor uintptr) bool {
		var probe [1]byte
		_, readErr := syscall.Read(int(descriptor), probe[:])
		open = errors.Is(readErr, syscall.EAGAIN)
		return true
	})
	return err == nil && open
}

// exchange writes the request and reads the header of the response.
func (connection *connection) exchange(ctx context.Context, request Request) (answer *Answer, err error) {
	reused := connection.used
	connection.used = true
	defer func() {
		if err != nil && reused {
			err = fmt.Errorf("on a connection used before: %w", err)
		}
	}()
	stop := context.AfterFunc(ctx, connection.close)
	header, err := request.Header()
	if err != nil {
		stop()
		return nil, fmt.Errorf("%w: %w", ErrNotSent, err)
	}
	if err := connection.write(request.head(header), request.Body, reused); err != nil {
		stop()
		return nil, err
	}
	response, err := connection.read(request, reused) //nolint:bodyclose // Answer.Close does
	if err != nil {
		stop()
		connection.close()
		return nil, connection.written.await().failure(err, reused)
	}
	return &Answer{Response: response, connection: connection, stop: stop}, nil
}

// write writes the request: long ones in the background, so that the response can be
// read meanwhile. The segments of the body are not copied.
func (connection *connection) write(head []byte, body [][]byte, reused bool) error {
	connection.written = newRequestWrite()
	size := len(head)
	for _, segment := range body {
		size += len(segment)
	}
	if size > inlineBytes {
		go func(written *requestWrite) {
			// WriteTo consumes the slice, and a retry needs the body again.
			buffers := append(net.Buffers{head}, body...)
			count, err := buffers.WriteTo(connection.conn)
			written.end(writeResult{count: int(count), err: err})
		}(connection.written)
		return nil
	}
	for _, segment := range body {
		head = append(head, segment...)
	}
	count, err := connection.conn.Write(head)
	result := writeResult{count: count, err: err}
	connection.written.end(result)
	if err != nil {
		return result.failure(err, reused)
	}
	return nil
}
