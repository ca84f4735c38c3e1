package processes

import (
	"bufio"
	"context"
	"errors"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"strings"
	"syscall"
	"time"
)

// callerKind is how a caller uses its connections.
type callerKind string

const (
	// keeper uses a connection until it is closed, newcomer once.
	keeper   callerKind = "kept"
	newcomer callerKind = "new"
	// latecomer sends its first request seconds after it has connected, idler never does.
	latecomer  callerKind = "late"
	idler      callerKind = "idle"
	slowSender callerKind = "slow-body"
	slowReader callerKind = "slow-reader"
)

// caller sends one request after the other.
type caller struct {
	name     string
	kind     callerKind
	random   *rand.Rand
	dialect  dialect
	balancer *balancer
	journal  *journal
	made     int
}

const (
	redialDelay = 50 * time.Millisecond
	maxThink    = 400 * time.Millisecond
	maxLate     = 7 * time.Second
	// idleTime is how long a connection stays open without a request.
	idleTime = 12 * time.Second
	// callerPatience is how long after its deadline a caller still waits.
	callerPatience = 4 * time.Second
)

// run sends requests until the context ends, and finishes the one in progress.
func (caller *caller) run(ctx context.Context) {
	for ctx.Err() == nil {
		conn, process, err := caller.balancer.choose(caller.random).dial()
		if err != nil {
			pause(ctx, redialDelay)
			continue
		}
		caller.use(ctx, conn, process)
		_ = conn.Close()
	}
}

// use sends requests on the connection until it can't be used any more.
func (caller *caller) use(ctx context.Context, conn net.Conn, process *process) {
	if tcp, ok := conn.(*net.TCPConn); ok && caller.kind == slowReader {
		_ = tcp.SetReadBuffer(slowReadBuffer)
	}
	reader := bufio.NewReader(conn)
	wait := time.Duration(0)
	switch caller.kind {
	case latecomer:
		wait = between(caller.random, 0, maxLate)
	case idler:
		wait = idleTime
	}
	keeps := caller.kind == keeper || caller.kind == latecomer || caller.random.IntN(2) == 0 && caller.kind != newcomer
	for number := 1; caller.stayIdle(ctx, conn, reader, wait); number++ {
		caller.made++
		made := &call{
			plan:    newPlan(caller.random, caller.dialect, fmt.Sprintf("%s-%d", caller.name, caller.made), caller.kind),
			process: process, connection: fmt.Sprintf("%s %s, request %d on it", caller.kind, conn.LocalAddr(), number),
		}
		reusable := made.perform(conn, reader)
		caller.journal.addCall(made)
		if !reusable || !keeps {
			return
		}
		wait = between(caller.random, 0, maxThink)
	}
}

// stayIdle keeps the connection open without a request for the time. It returns whether a
// request can then be sent: the entry has not closed it and the context has not ended.
func (caller *caller) stayIdle(ctx context.Context, conn net.Conn, reader *bufio.Reader, wait time.Duration) bool {
	stop := context.AfterFunc(ctx, func() { _ = conn.SetReadDeadline(time.Now()) })
	defer stop()
	_ = conn.SetReadDeadline(time.Now().Add(wait))
	_, err := reader.Peek(1)
	if err == nil {
		caller.journal.note("bytes without a request at " + caller.name)
		caller.journal.addUnasked(caller.name)
	}
	return ctx.Err() == nil && isTimeout(err)
}

func pause(ctx context.Context, duration time.Duration) {
	select {
	case <-ctx.Done():
	case <-time.After(duration):
	}
}

// perform sends the request and reads its answer. It returns whether the connection can be
// used again.
func (call *call) perform(conn net.Conn, reader *bufio.Reader) (reusable bool) {
	call.began = time.Now()
	_ = conn.SetDeadline(call.began.Add(call.plan.deadline + callerPatience))
	sent := make(chan time.Time, 1)
	go func() { sent <- call.plan.send(conn) }()
	reusable = call.read(conn, reader)
	call.ended = time.Now()
	if !reusable {
		// End a slow body.
		_ = conn.SetDeadline(time.Now())
	}
	call.sent = <-sent
	call.extra = reader.Buffered() > 0
	return reusable && !call.sent.IsZero()
}

// read reads the answer.
func (call *call) read(conn net.Conn, reader *bufio.Reader) (reusable bool) {
	response, err := http.ReadResponse(reader, &http.Request{Method: http.MethodPost})
	if err != nil {
		call.err, call.ending = err, endingOf(conn, err)
		return false
	}
	defer response.Body.Close()
	call.status, call.seal, call.id = response.StatusCode, response.Header.Get("X-Server-Seal"), response.Header.Get("X-Attempt-Id")
	body, err := io.ReadAll(&slowly{reader: response.Body, left: call.plan.readTime})
	call.body, call.err, call.ending = string(body), err, whole
	if err != nil {
		call.ending = cutOff
		if isTimeout(err) {
			call.ending = abandoned
		}
	}
	if mark := call.plan.dialect.cutMark(); mark != "" && call.plan.route.streamed() {
		call.trimCut(mark)
	}
	return err == nil && !response.Close
}

// trimCut notes that the entry marked the stream as not complete.
func (call *call) trimCut(mark string) {
	before, after, found := strings.Cut(call.body, mark)
	if found {
		call.body, call.ending, call.err = before, cutOff, errors.New(after)
	}
}

// endingOf says how a call ended whose answer did not begin.
func endingOf(conn net.Conn, err error) ending {
	switch {
	case isTimeout(err):
		return abandoned
	case errors.Is(err, syscall.ECONNRESET), errors.Is(err, syscall.EPIPE):
		return reset
	case errors.Is(err, io.ErrUnexpectedEOF):
		// The connection ended at once or inside the head.
		if wasCrossed(conn) {
			return crossed
		}
		return closed
	}
	return malformed
}

func isTimeout(err error) bool {
	var network net.Error
	return errors.As(err, &network) && network.Timeout()
}

// wasCrossed reports whether bytes were sent on a connection that the peer had closed: the
// peer has answered them with a reset.
func wasCrossed(conn net.Conn) bool {
	tcp, ok := conn.(*net.TCPConn)
	if !ok {
		return false
	}
	raw, err := tcp.SyscallConn()
	if err != nil {
		return false
	}
	code := 0
	_ = raw.Control(func(descriptor uintptr) {
		code, _ = syscall.GetsockoptInt(int(descriptor), syscall.SOL_SOCKET, syscall.SO_ERROR)
	})
	return code != 0
}

// bodyParts is the number of parts in which a slow body is sent.
const bodyParts = 8

// send writes the request. It returns when the last byte was sent, or zero if that failed.
func (plan plan) send(conn net.Conn) time.Time {
	body := plan.requestBody()
	head := plan.head()
	if plan.bodyTime == 0 {
		if plan.chunked && body != "" {
			body = chunk(body)
		}
		if plan.chunked {
			body += chunk("")
		}
		if _, err := io.WriteString(conn, head+body); err != nil {
			return time.Time{}
		}
		return time.Now()
	}
	if _, err := io.WriteString(conn, head); err != nil {
		return time.Time{}
	}
	if !plan.sendSlowly(conn, body) {
		return time.Time{}
	}
	return time.Now()
}

// sendSlowly writes the body in parts, spread over its time.
func (plan plan) sendSlowly(conn net.Conn, body string) bool {
	size := len(body)/bodyParts + 1
	for len(body) > 0 {
		time.Sleep(plan.bodyTime / bodyParts)
		part := body[:min(size, len(body))]
		body = body[len(part):]
		if plan.chunked {
			part = chunk(part)
		}
		if len(body) == 0 && plan.chunked {
			part += chunk("")
		}
		if _, err := io.WriteString(conn, part); err != nil {
			return false
		}
	}
	return true
}

func chunk(text string) string { return fmt.Sprintf("%x\r\n%s\r\n", len(text), text) }

const (
	slowReadBuffer = 8 << 10
	slowReadPart   = 8 << 10
	slowReadDelay  = 40 * time.Millisecond
)

// slowly reads in small parts with a delay before each, until no time is left.
type slowly struct {
	reader io.Reader
	left   time.Duration
}

// Read implements io.Reader.
func (slowly *slowly) Read(buffer []byte) (int, error) {
	if slowly.left <= 0 {
		return slowly.reader.Read(buffer)
	}
	time.Sleep(slowReadDelay)
	slowly.left -= slowReadDelay
	return slowly.reader.Read(buffer[:min(len(buffer), slowReadPart)])
}
