package main

import (
	"crypto/rand"
	"encoding/hex"
	"fmt"
	"io"
	"net"
	"net/http"
	"strconv"
	"sync"
	"sync/atomic"
	"time"
)

// runner plays a runner of a plain service: it has slots, a short queue, and registers itself in
// the store.
type runner struct {
	play    *play
	id      string
	service string
	zone    string
	address string
	slots   chan struct{}
	waiting atomic.Int64
	work    time.Duration
	// lose returns whether the answer of a request that has run is lost.
	lose   func() bool
	server *http.Server
	ended  chan struct{}
	mutex  sync.Mutex
	// ran counts the runs by the client's id of the request, lost those without an answer.
	ran  map[string]int
	lost int
}

const (
	plainSlots = 6
	plainQueue = 24
	heartbeat  = 1200 * time.Millisecond
)

// startRunner starts a runner of a plain service.
func (play *play) startRunner(service, zone string, work time.Duration, lose func() bool) (*runner, error) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	started := &runner{
		play: play, id: "i-" + randomID()[:10], service: service, zone: zone, address: listener.Addr().String(),
		slots: make(chan struct{}, plainSlots), work: work, lose: lose, ended: make(chan struct{}), ran: make(map[string]int),
	}
	started.server = &http.Server{Handler: started, ReadHeaderTimeout: time.Minute, MaxHeaderBytes: 1 << 20}
	go func() { _ = started.server.Serve(listener) }()
	go started.register()
	return started, nil
}

// neverLost is for a runner that loses no answers.
func neverLost() bool { return false }

func randomID() string {
	var bytes [8]byte
	_, _ = rand.Read(bytes[:])
	return hex.EncodeToString(bytes[:])
}

// register writes the runner's entry to the store at each heartbeat.
func (runner *runner) register() {
	born := time.Now().UnixMilli()
	for sequence := 1; ; sequence++ {
		runner.play.store.put("servers/"+runner.id, map[string]any{
			"service": runner.service, "address": runner.address, "zone": runner.zone, "version": "v1", "slots": plainSlots,
			"state": "ready", "cold_remaining_ms": 0, "sequence": sequence, "born": born,
		})
		select {
		case <-runner.ended:
			return
		case <-time.After(heartbeat):
		}
	}
}

// ServeHTTP implements http.Handler.
func (runner *runner) ServeHTTP(writer http.ResponseWriter, request *http.Request) {
	id := request.Header.Get("X-Attempt-Id")
	header := writer.Header()
	header.Set("X-Attempt-Id", id)
	header.Set("X-Server-Load", fmt.Sprintf("%d,%d,%d", len(runner.slots), runner.waiting.Load(), plainSlots))
	switch {
	case id == "":
		refuseToRun(writer, http.StatusBadRequest)
		return
	case request.Header.Get("X-Expect-Instance") != runner.id:
		refuseToRun(writer, http.StatusMisdirectedRequest)
		return
	}
	if _, err := io.Copy(io.Discard, request.Body); err != nil {
		return
	}
	if !runner.takeSlot(request) {
		refuseToRun(writer, http.StatusServiceUnavailable)
		return
	}
	defer func() { <-runner.slots }()
	runner.count(id)
	time.Sleep(runner.work)
	if runner.lose() {
		runner.reset(writer)
		return
	}
	body := "done " + id + "\n"
	header.Set("X-Server-Seal", "3e1b."+id)
	header.Set("Content-Length", strconv.Itoa(len(body)))
	_, _ = io.WriteString(writer, body)
}

func refuseToRun(writer http.ResponseWriter, status int) {
	writer.Header().Set("X-Not-Executed", "1")
	writer.WriteHeader(status)
}

// takeSlot waits for a slot unless the queue is full or the time of the request passes.
func (runner *runner) takeSlot(request *http.Request) bool {
	left, err := strconv.ParseFloat(request.Header.Get("X-Deadline-Ms"), 64)
	if err != nil {
		left = 10_000
	}
	if runner.waiting.Add(1) > plainQueue {
		runner.waiting.Add(-1)
		return false
	}
	defer runner.waiting.Add(-1)
	select {
	case runner.slots <- struct{}{}:
		return true
	case <-time.After(time.Duration(left * float64(time.Millisecond))):
	case <-request.Context().Done():
	}
	return false
}

func (runner *runner) count(id string) {
	runner.mutex.Lock()
	defer runner.mutex.Unlock()
	runner.ran[id]++
}

// reset resets the connection instead of an answer.
func (runner *runner) reset(writer http.ResponseWriter) {
	runner.mutex.Lock()
	runner.lost++
	runner.mutex.Unlock()
	hijacker, ok := writer.(http.Hijacker)
	if !ok {
		return
	}
	conn, _, err := hijacker.Hijack()
	if err != nil {
		return
	}
	if socket, ok := conn.(*net.TCPConn); ok {
		_ = socket.SetLinger(0)
	}
	_ = conn.Close()
}

func (runner *runner) stop() {
	close(runner.ended)
	_ = runner.server.Close()
}
