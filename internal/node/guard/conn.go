package guard

import (
	"context"
	"errors"
	"io"
	"net"
	"net/http"
	"os"
	"sync"
	"time"
)

// phase is what a connection is used for.
type phase int

const (
	// idle is without a byte of a request, inHeader and inBody while a header section or a
	// body is being read, serving otherwise.
	idle phase = iota
	inHeader
	inBody
	serving
)

const (
	// progressBytes is how much of a body counts as progress. A caller who sends single bytes
	// makes none.
	progressBytes = 16 << 10
	// headerMargin is how much longer than its limit a header section may be. net/http has the
	// same margin, for the buffer with which it reads ahead.
	headerMargin = 4 << 10
	// requestTimeout bounds the reading of a body that ReadBody does not read.
	requestTimeout = 30 * time.Second
	// releaseWait is how long a request waits for the bytes of those given up for it.
	releaseWait = 100 * time.Millisecond
	// rejectTimeout bounds the writing of a rejection, lingerTime the time for which the
	// connection then takes further bytes: closed at once, it would be reset, and the
	// rejection could be lost.
	rejectTimeout = 100 * time.Millisecond
	lingerTime    = 500 * time.Millisecond
	lingerBytes   = 1 << 20
)

// Conn is a connection of a caller.
type Conn struct {
	net.Conn
	group   *Group
	address string
	closing sync.Once
	mutex   sync.Mutex
	phase   phase
	// since is when the connection became idle, or of the latest progress of its request.
	since time.Time
	// base is charged for the connection, early and late for its request before and after
	// its account is known.
	base, early, late int64
	account           string
	tier              int
	section           section
	// unmarked is the number of bytes of the body since the latest progress.
	unmarked int
	evicted  Reason
	// rejected is set once a rejection was written.
	rejected bool
	closed   bool
}

// state is what a choice of victims needs to know of a connection.
type state struct {
	phase   phase
	since   time.Time
	bytes   int64
	tier    int
	evicted bool
}

func newConn(group *Group, inner net.Conn, now time.Time) *Conn {
	host, _, err := net.SplitHostPort(inner.RemoteAddr().String())
	if err != nil {
		host = inner.RemoteAddr().String()
	}
	return &Conn{Conn: inner, group: group, address: host, since: now}
}

func (conn *Conn) snapshot() state {
	conn.mutex.Lock()
	defer conn.mutex.Unlock()
	return state{phase: conn.phase, since: conn.since, bytes: conn.base + conn.early + conn.late, tier: conn.tier, evicted: conn.evicted != ""}
}

// Read implements net.Conn. It charges header sections, and rejects a request for which there
// is no room.
func (conn *Conn) Read(buffer []byte) (int, error) {
	count, err := conn.Conn.Read(buffer)
	conn.mutex.Lock()
	evicted, phase := conn.evicted, conn.phase
	if phase == idle && count > 0 {
		conn.startHeader(time.Now())
		phase = inHeader
	}
	if phase == inBody {
		conn.unmarked += count
		if conn.unmarked >= progressBytes {
			conn.unmarked, conn.since = 0, time.Now()
		}
	}
	conn.mutex.Unlock()
	switch {
	case phase == serving:
		return count, err
	case phase == inBody && evicted != "":
		return 0, RejectedError{evicted}
	case phase == inBody:
		return count, err
	case evicted != "" && phase == idle:
		return 0, io.EOF
	case evicted != "":
		return 0, conn.rejectUnread(evicted)
	case count == 0:
		if phase == inHeader && errors.Is(err, os.ErrDeadlineExceeded) {
			conn.group.reject(StalledRequest, conn.address)
		}
		return count, err
	}
	if reason := conn.chargeHeader(buffer[:count]); reason != "" {
		return 0, conn.rejectUnread(reason)
	}
	return count, err
}

// startIdle begins the time without a request.
func (conn *Conn) startIdle(now time.Time) {
	conn.mutex.Lock()
	defer conn.mutex.Unlock()
	conn.release()
	conn.phase, conn.since, conn.section = idle, now, section{}
	if conn.evicted == "" {
		_ = conn.Conn.SetReadDeadline(now.Add(conn.group.limits.Load().IdleTimeout))
	}
}

// startHeader begins the reading of a header section. The mutex must be held.
func (conn *Conn) startHeader(now time.Time) {
	conn.phase, conn.since = inHeader, now
	if conn.evicted == "" {
		_ = conn.Conn.SetReadDeadline(now.Add(conn.group.limits.Load().HeaderTimeout))
	}
}

// begin charges a request whose header section was read. Sections that arrived together with
// the request before were not charged when they were read. The error is a RejectedError.
func (conn *Conn) begin(request *http.Request) error {
	exact := section{bytes: len(request.RequestURI)}
	for name, values := range request.Header {
		exact.lines += len(values)
		for _, value := range values {
			exact.bytes += len(name) + len(value)
		}
	}
	conn.mutex.Lock()
	conn.phase = serving
	conn.mutex.Unlock()
	if !conn.chargeUpTo(exact.cost()) {
		conn.group.reject(Memory, conn.address)
		return RejectedError{Memory}
	}
	conn.mutex.Lock()
	defer conn.mutex.Unlock()
	if conn.evicted != "" {
		return RejectedError{conn.evicted}
	}
	return conn.Conn.SetReadDeadline(time.Now().Add(requestTimeout))
}

// startBody begins the reading of a body, endBody ends it. The error is a RejectedError.
func (conn *Conn) startBody() {
	conn.mutex.Lock()
	defer conn.mutex.Unlock()
	conn.phase, conn.since, conn.unmarked = inBody, time.Now(), 0
}

func (conn *Conn) endBody() error {
	conn.mutex.Lock()
	defer conn.mutex.Unlock()
	conn.phase = serving
	if conn.evicted != "" {
		return RejectedError{conn.evicted}
	}
	return nil
}

// evict has the connection closed if it still is in the phase: by the goroutine that reads,
// which may answer before.
func (conn *Conn) evict(expected phase, reason Reason) bool {
	conn.mutex.Lock()
	defer conn.mutex.Unlock()
	if conn.closed || conn.phase != expected || conn.evicted != "" || conn.phase == inHeader && conn.section.ended {
		return false
	}
	conn.evicted = reason
	conn.group.closing.Add(1)
	_ = conn.Conn.SetReadDeadline(time.Unix(1, 0))
	conn.group.reject(reason, conn.address)
	return true
}

// SetReadDeadline implements net.Conn. The timeouts until the header section was read are
// those of the group.
func (conn *Conn) SetReadDeadline(at time.Time) error {
	conn.mutex.Lock()
	defer conn.mutex.Unlock()
	if conn.phase == idle || conn.phase == inHeader || conn.evicted != "" {
		return nil
	}
	return conn.Conn.SetReadDeadline(at)
}

// SetLinger implements the method of net.TCPConn.
func (conn *Conn) SetLinger(seconds int) error {
	if socket, ok := conn.Conn.(interface{ SetLinger(seconds int) error }); ok {
		return socket.SetLinger(seconds)
	}
	return errors.ErrUnsupported
}

// CloseWrite implements the method of net.TCPConn.
func (conn *Conn) CloseWrite() error {
	if socket, ok := conn.Conn.(interface{ CloseWrite() error }); ok {
		return socket.CloseWrite()
	}
	return errors.ErrUnsupported
}

// rejectUnread writes the rejection of a request that was not read, and returns the end of
// the connection.
func (conn *Conn) rejectUnread(reason Reason) error {
	conn.mutex.Lock()
	known := conn.evicted != ""
	conn.rejected = true
	conn.mutex.Unlock()
	if !known {
		conn.group.reject(reason, conn.address)
	}
	conn.writeRejection(reason)
	return io.EOF
}

func (conn *Conn) writeRejection(reason Reason) {
	status := "503 Service Unavailable\r\nRetry-After: " + retryAfter
	if reason == LongHeader {
		status = "431 Request Header Fields Too Large"
	}
	_ = conn.SetWriteDeadline(time.Now().Add(rejectTimeout))
	_, _ = io.WriteString(conn.Conn, "HTTP/1.1 "+status+"\r\n"+headerOutcome+": not-run\r\nConnection: close\r\nContent-Length: 0\r\n\r\n")
}

// refuse rejects a connection that is not taken into the group.
func (conn *Conn) refuse(now time.Time, reason Reason) {
	// One address that has taken its share does not make the group unable to accept others.
	if reason != Memory || conn.group.budget.Total()-conn.group.budget.Used() < connBytes {
		conn.group.refusedAt.Store(now.UnixNano())
	}
	conn.group.reject(reason, conn.address)
	conn.writeRejection(reason)
	_ = conn.Conn.Close()
}

// Close implements net.Conn.
func (conn *Conn) Close() (err error) {
	conn.closing.Do(func() { err = conn.close() })
	return err
}

func (conn *Conn) close() error {
	conn.mutex.Lock()
	conn.release()
	conn.group.budget.Release(conn.base, conn.address)
	conn.base = 0
	conn.closed = true
	rejected := conn.rejected
	conn.mutex.Unlock()
	if rejected && conn.group.hasSpare() && conn.CloseWrite() == nil {
		go func() {
			_ = conn.Conn.SetReadDeadline(time.Now().Add(lingerTime))
			_, _ = io.Copy(io.Discard, io.LimitReader(conn.Conn, lingerBytes))
			_ = conn.Conn.Close()
			conn.group.remove(conn)
		}()
		return nil
	}
	err := conn.Conn.Close()
	conn.group.remove(conn)
	return err
}

// remove removes a closed connection, of which evicted does not change any more.
func (group *Group) remove(conn *Conn) {
	group.mutex.Lock()
	defer group.mutex.Unlock()
	delete(group.open, conn)
	if conn.evicted != "" {
		group.closing.Add(-1)
	}
}

// hasSpare reports whether half of the reserve is free.
func (group *Group) hasSpare() bool {
	group.mutex.Lock()
	defer group.mutex.Unlock()
	return group.maxOpen <= 0 || 2*len(group.open) < group.maxOpen
}

type contextKey struct{}

// WithConn returns the context with the connection, if it is one of a group.
func WithConn(ctx context.Context, conn net.Conn) context.Context {
	if guarded, ok := conn.(*Conn); ok {
		return context.WithValue(ctx, contextKey{}, guarded)
	}
	return ctx
}

// FromContext returns the connection of a request, nil if it is not one of a group.
func FromContext(ctx context.Context) *Conn {
	conn, _ := ctx.Value(contextKey{}).(*Conn)
	return conn
}
