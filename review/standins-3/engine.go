package main

import (
	"context"
	"fmt"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"time"
)

// engine plays a runner of a language model: it prefills one prompt after the other, runs up to
// engineSlots requests at a time, queues some more, and streams events.
type engine struct {
	play    *play
	service string
	zone    string
	address string
	version string
	// eventGap is the time between two events, events the number of events of a stream.
	eventGap time.Duration
	events   int

	mutex   sync.Mutex
	id      string
	server  *http.Server
	ended   chan struct{}
	prefill sync.Mutex
	slots   chan struct{}
	inside  atomic.Int64
	// broken counts the requests that the latest crash broke off.
	broken atomic.Int64
}

const (
	engineSlots       = 64
	engineQueue       = 134
	prefillPerSecond  = 61_800
	engineCacheTokens = 573_116
)

func (play *play) newEngine(service, zone, version string) (*engine, error) {
	address, err := freeAddress("127.0.0.1")
	if err != nil {
		return nil, err
	}
	created := &engine{
		play: play, service: service, zone: zone, address: address, version: version, eventGap: 25 * time.Millisecond, events: 24,
	}
	return created, created.start("i-" + randomID()[:10])
}

// start starts the engine's process under the id.
func (engine *engine) start(id string) error {
	listener, err := net.Listen("tcp", engine.address)
	if err != nil {
		return err
	}
	engine.mutex.Lock()
	defer engine.mutex.Unlock()
	engine.id = id
	engine.slots = make(chan struct{}, engineSlots)
	engine.ended = make(chan struct{})
	engine.server = &http.Server{
		Handler: http.HandlerFunc(engine.serve), ReadHeaderTimeout: time.Minute, MaxHeaderBytes: 1 << 20, ConnContext: withConn,
	}
	go func(server *http.Server) { _ = server.Serve(listener) }(engine.server)
	go engine.register(engine.id, engine.version, engine.ended)
	return nil
}

type connKey struct{}

func withConn(ctx context.Context, conn net.Conn) context.Context {
	return context.WithValue(ctx, connKey{}, conn)
}

// register writes the entry to the store at each heartbeat. The store removes it after three
// intervals of silence.
func (engine *engine) register(id, version string, ended chan struct{}) {
	born := time.Now().UnixMilli()
	for sequence := 1; ; sequence++ {
		engine.play.store.put("servers/"+id, map[string]any{
			"service": engine.service, "address": engine.address, "zone": engine.zone, "version": version, "slots": engineSlots,
			"state": "ready", "cold_remaining_ms": 0, "stage": "both", "models": []map[string]any{{"name": "m", "version": 1, "adapters": []string{}}},
			"sequence": sequence, "born": born,
		})
		select {
		case <-ended:
			time.Sleep(3 * heartbeat)
			engine.expire(id)
			return
		case <-time.After(heartbeat):
		}
	}
}

// expire removes the entry unless a process under the same id has been started meanwhile.
func (engine *engine) expire(id string) {
	engine.mutex.Lock()
	defer engine.mutex.Unlock()
	if engine.id != id || isClosed(engine.ended) {
		engine.play.store.remove("servers/" + id)
	}
}

func isClosed(channel chan struct{}) bool {
	select {
	case <-channel:
		return true
	default:
		return false
	}
}

// crash ends the process: its connections are reset and its port refuses others.
func (engine *engine) crash() {
	engine.mutex.Lock()
	defer engine.mutex.Unlock()
	engine.broken.Store(engine.inside.Load())
	close(engine.ended)
	_ = engine.server.Close()
}

// serve handles a request.
func (engine *engine) serve(writer http.ResponseWriter, request *http.Request) {
	if conn, ok := request.Context().Value(connKey{}).(*net.TCPConn); ok {
		_ = conn.SetLinger(0)
	}
	engine.mutex.Lock()
	id, version, slots, ended := engine.id, engine.version, engine.slots, engine.ended
	engine.mutex.Unlock()
	header := writer.Header()
	header.Set("X-Attempt-Id", request.Header.Get("X-Attempt-Id"))
	header.Set("X-Server-Load", fmt.Sprintf("%d,%d,%d", len(slots), max(engine.inside.Load()-engineSlots, 0), engineSlots))
	if request.URL.Path == "/api/kv-list" {
		writeJSON(writer, map[string]any{"epoch": 1, "next": 1, "held": []any{}})
		return
	}
	if request.Header.Get("X-Expect-Instance") != id {
		refuseToRun(writer, http.StatusMisdirectedRequest)
		return
	}
	if engine.inside.Add(1) > engineSlots+engineQueue {
		engine.inside.Add(-1)
		refuseToRun(writer, http.StatusServiceUnavailable)
		return
	}
	defer engine.inside.Add(-1)
	select {
	case slots <- struct{}{}:
		defer func() { <-slots }()
	case <-request.Context().Done():
		return
	case <-ended:
		return
	}
	engine.stream(writer, request, version, ended)
}

// stream prefills the prompt and writes the events behind the last one that the request names.
func (engine *engine) stream(writer http.ResponseWriter, request *http.Request, version string, ended chan struct{}) {
	tokens, _ := strconv.Atoi(strings.Split(request.Header.Get("X-Token-Usage"), ",")[0])
	engine.prefill.Lock()
	time.Sleep(time.Duration(tokens) * time.Second / prefillPerSecond)
	engine.prefill.Unlock()
	header := writer.Header()
	header.Set("X-Server-Seal", "3e1b."+request.Header.Get("X-Attempt-Id"))
	header.Set("X-Weight-Versions", "1")
	header.Set("Content-Type", "text/event-stream")
	last, _ := strconv.Atoi(request.Header.Get("Last-Event-Id"))
	for number := last + 1; number <= engine.events; number++ {
		select {
		case <-ended:
			panic(http.ErrAbortHandler)
		case <-request.Context().Done():
			return
		default:
		}
		_, _ = fmt.Fprintf(writer, "id: %d\ndata: %s of %s\n\n", number, strings.Repeat("x", 40), version)
		_ = http.NewResponseController(writer).Flush()
		time.Sleep(engine.eventGap)
	}
}
