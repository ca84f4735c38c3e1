package processes

import (
	"context"
	"fmt"
	"hash/fnv"
	"io"
	"net"
	"net/http"
	"slices"
	"strconv"
	"sync"
	"sync/atomic"
	"time"
)

// upstream is a stub of one of the platform's upstreams, which can pause, crash and leave.
type upstream struct {
	name     string
	service  string
	dialect  dialect
	journal  *journal
	listener net.Listener
	server   *http.Server
	numbers  atomic.Int64
	mutex    sync.Mutex
	conns    map[net.Conn]bool
	active   map[*run]bool
	// pausedUntil is when it goes on, ended that it has crashed or left.
	pausedUntil time.Time
	ended       bool
}

// newUpstream starts an upstream on the listener.
func newUpstream(name, service string, speaks dialect, listener net.Listener, journal *journal) *upstream {
	upstream := &upstream{
		name: name, service: service, dialect: speaks, journal: journal, listener: listener,
		conns: make(map[net.Conn]bool), active: make(map[*run]bool),
	}
	upstream.server = &http.Server{Handler: http.HandlerFunc(upstream.serve), ConnState: upstream.track, ReadHeaderTimeout: time.Minute}
	go func() { _ = upstream.server.Serve(listener) }()
	return upstream
}

func (upstream *upstream) address() string { return upstream.listener.Addr().String() }

func (upstream *upstream) track(conn net.Conn, state http.ConnState) {
	upstream.mutex.Lock()
	defer upstream.mutex.Unlock()
	if state == http.StateClosed || state == http.StateHijacked {
		delete(upstream.conns, conn)
		return
	}
	upstream.conns[conn] = true
}

// pause keeps the upstream from sending anything for the duration.
func (upstream *upstream) pause(duration time.Duration) {
	upstream.mutex.Lock()
	defer upstream.mutex.Unlock()
	upstream.pausedUntil = time.Now().Add(duration)
}

// crash resets all connections and frees the address.
func (upstream *upstream) crash() {
	upstream.mutex.Lock()
	defer upstream.mutex.Unlock()
	upstream.ended = true
	for of := range upstream.active {
		upstream.journal.end(of, brokenOff)
	}
	_ = upstream.listener.Close()
	for conn := range upstream.conns {
		if tcp, ok := conn.(*net.TCPConn); ok {
			_ = tcp.SetLinger(0)
		}
		_ = conn.Close()
	}
}

func (upstream *upstream) hasEnded() bool {
	upstream.mutex.Lock()
	defer upstream.mutex.Unlock()
	return upstream.ended
}

func (upstream *upstream) paused() time.Duration {
	upstream.mutex.Lock()
	defer upstream.mutex.Unlock()
	return time.Until(upstream.pausedUntil)
}

// work waits for the duration and the end of pauses. It returns false if the connection was
// closed meanwhile.
func (upstream *upstream) work(ctx context.Context, duration time.Duration) bool {
	time.Sleep(duration)
	for left := upstream.paused(); left > 0; left = upstream.paused() {
		time.Sleep(left)
	}
	return ctx.Err() == nil
}

func (upstream *upstream) serve(writer http.ResponseWriter, request *http.Request) {
	ctx := request.Context()
	body, err := io.ReadAll(request.Body)
	upstream.work(context.Background(), 0)
	if err != nil || upstream.hasEnded() {
		panic(http.ErrAbortHandler)
	}
	id := request.Header.Get("X-Attempt-Id")
	if id == "" {
		http.NotFound(writer, request)
		return
	}
	writer.Header().Set("X-Attempt-Id", id)
	writer.Header().Set("X-Instance-Id", upstream.name)
	if upstream.declines(writer, request) {
		upstream.journal.decline()
		return
	}
	asked := readPlan(upstream.dialect, id, request.URL)
	begun := &run{id: id, upstream: upstream.name, seal: fmt.Sprintf("%s.%s.%d", id, upstream.name, upstream.numbers.Add(1)), status: http.StatusOK}
	begun.altered = differences(asked, request, string(body))
	upstream.start(begun)
	defer upstream.finish(begun)
	writer.Header().Set("X-Server-Seal", begun.seal)
	limit := deadline(request)
	if asked.route.streamed() {
		upstream.stream(ctx, writer, request, asked, begun, limit)
		return
	}
	upstream.answer(ctx, writer, asked, begun, limit)
}

func (upstream *upstream) start(begun *run) {
	upstream.journal.begin(begun)
	upstream.mutex.Lock()
	defer upstream.mutex.Unlock()
	upstream.active[begun] = true
}

func (upstream *upstream) finish(of *run) {
	upstream.mutex.Lock()
	defer upstream.mutex.Unlock()
	delete(upstream.active, of)
}

// stop ends a run whose connection does not work any more.
func (upstream *upstream) stop(of *run) {
	how := cut
	if upstream.hasEnded() {
		how = brokenOff
	}
	upstream.journal.end(of, how)
	panic(http.ErrAbortHandler)
}

// One in declineEvery requests is turned away without being run, and one in failEvery fails.
const (
	declineEvery = 60
	failEvery    = 90
)

func (upstream *upstream) declines(writer http.ResponseWriter, request *http.Request) bool {
	if upstream.dialect.isForeign(request, upstream.name) {
		writer.WriteHeader(http.StatusMisdirectedRequest)
		return true
	}
	if upstream.dialect != (platformDialect{}) || chance(request.Header.Get("X-Attempt-Id")+upstream.name)%declineEvery != 0 {
		return false
	}
	writer.Header().Set("X-Not-Executed", "1")
	writer.WriteHeader(http.StatusServiceUnavailable)
	return true
}

// chance returns a number that the text determines.
func chance(text string) uint32 {
	sum := fnv.New32a()
	_, _ = sum.Write([]byte(text))
	return sum.Sum32() >> 8
}

// differences says what of the request is not as its caller sent it.
func differences(asked plan, request *http.Request, body string) string {
	switch {
	case body != asked.requestBody():
		return fmt.Sprintf("body of %d bytes, want %d", len(body), asked.body)
	case request.RequestURI != asked.dialect.pathAtUpstream(asked):
		return "target " + request.RequestURI
	}
	return asked.dialect.wrongField(request)
}

func deadline(request *http.Request) time.Time {
	left, err := strconv.Atoi(request.Header.Get("X-Deadline-Ms"))
	if err != nil {
		return time.Now().Add(routeTimeout)
	}
	return time.Now().Add(time.Duration(left) * time.Millisecond)
}

// answer sends an answer that is no stream.
func (upstream *upstream) answer(ctx context.Context, writer http.ResponseWriter, asked plan, begun *run, limit time.Time) {
	if !upstream.work(ctx, asked.work) {
		upstream.stop(begun)
	}
	if time.Now().After(limit) {
		upstream.journal.end(begun, overdue)
		panic(http.ErrAbortHandler)
	}
	if chance(asked.id)%failEvery == 0 {
		upstream.journal.end(begun, failed)
		writer.WriteHeader(http.StatusInternalServerError)
		return
	}
	body := []byte(asked.answerBody(begun.seal))
	writer.Header().Set("Content-Length", strconv.Itoa(len(body)))
	for part := range slices.Chunk(body, answerPart) {
		_, err := writer.Write(part)
		if err != nil || !upstream.work(ctx, 0) {
			upstream.stop(begun)
		}
	}
	upstream.journal.end(begun, finished)
}

// answerPart is the number of bytes of an answer that are written between two pauses.
const answerPart = 16 << 10

// stream sends the events after the request's Last-Event-Id.
func (upstream *upstream) stream(ctx context.Context, writer http.ResponseWriter, request *http.Request, asked plan, begun *run, limit time.Time) {
	writer.Header().Set("Content-Type", "text/event-stream")
	last := upstream.dialect.lastEvent(request)
	if !upstream.work(ctx, asked.work) {
		upstream.stop(begun)
	}
	for id := last + 1; id <= asked.events; id++ {
		if !upstream.work(ctx, asked.gap) {
			upstream.stop(begun)
		}
		if time.Now().After(limit) {
			upstream.journal.end(begun, overdue)
			panic(http.ErrAbortHandler)
		}
		text := asked.eventText(id)
		if begun.number == 1 && id == asked.breakAt {
			_, _ = io.WriteString(writer, text[:len(text)/2])
			_ = http.NewResponseController(writer).Flush()
			upstream.journal.end(begun, brokenOff)
			panic(http.ErrAbortHandler)
		}
		_, err := io.WriteString(writer, text)
		if err != nil || http.NewResponseController(writer).Flush() != nil {
			upstream.stop(begun)
		}
		upstream.journal.wrote(begun, id)
	}
	if _, err := io.WriteString(writer, upstream.dialect.streamEnd()); err != nil {
		upstream.stop(begun)
	}
	upstream.journal.end(begun, finished)
}
