package main

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"strconv"
	"sync"
	"time"
)

// Runner is a stand-in of a runner. It may crash and start again under the same id and address.
type Runner struct {
	ID       string
	Service  string
	Address  string
	Zone     string
	Version  string
	Slots    int
	born     int64
	sequence int
	store    *Store
	record   *Record
	// handle answers one request; it returns false to have the connection closed.
	handle func(runner *Runner, conn net.Conn, request *http.Request, body []byte) bool
	// extraHeader is added to each answer.
	extraHeader string

	mutex    sync.Mutex
	listener net.Listener
	conns    map[net.Conn]bool
	running  int
}

// Start starts a process of the runner, which writes its entry into the store.
func (runner *Runner) Start() {
	listener, err := net.Listen("tcp", runner.Address)
	if err != nil {
		cannotRun("runner %s: %v", runner.ID, err)
	}
	runner.mutex.Lock()
	runner.listener, runner.conns, runner.running = listener, make(map[net.Conn]bool), 0
	runner.born, runner.sequence = time.Now().UnixMilli(), 0
	runner.mutex.Unlock()
	runner.record.Add("runner %s starts with version %s", runner.ID, runner.Version)
	runner.Write("ready")
	go func() {
		for {
			conn, err := listener.Accept()
			if err != nil {
				return
			}
			runner.mutex.Lock()
			runner.conns[conn] = true
			runner.mutex.Unlock()
			go runner.serve(conn)
		}
	}()
}

// Write writes the runner's entry into the store.
func (runner *Runner) Write(state string) {
	runner.mutex.Lock()
	runner.sequence++
	entry := map[string]any{
		"service": runner.Service, "address": runner.Address, "zone": runner.Zone, "version": runner.Version, "slots": runner.Slots,
		"state": state, "cold_remaining_ms": 0, "sequence": runner.sequence, "born": runner.born, "stage": "both",
		"models": []any{map[string]any{"name": "m", "version": 1, "adapters": []any{}}},
	}
	runner.mutex.Unlock()
	runner.store.Put("servers/"+runner.ID, entry)
}

// Crash ends the process: its connections are reset, and new ones refused.
func (runner *Runner) Crash() {
	runner.record.Add("runner %s (version %s) crashes", runner.ID, runner.Version)
	runner.mutex.Lock()
	defer runner.mutex.Unlock()
	_ = runner.listener.Close()
	for conn := range runner.conns {
		reset(conn)
	}
}

func (runner *Runner) serve(conn net.Conn) {
	defer func() {
		runner.mutex.Lock()
		delete(runner.conns, conn)
		runner.mutex.Unlock()
		_ = conn.Close()
	}()
	reader := bufio.NewReader(conn)
	for {
		request, err := http.ReadRequest(reader)
		if err != nil {
			return
		}
		body, err := io.ReadAll(request.Body)
		if err != nil {
			return
		}
		switch {
		case request.URL.Path == "/api/kv-list":
			writeAnswer(conn, 200, "Content-Type: application/json\r\n", `{"epoch":1,"next":1,"held":[]}`)
			continue
		case request.Header.Get("X-Expect-Instance") != runner.ID:
			writeAnswer(conn, 421, "X-Instance-Id: "+runner.ID+"\r\nX-Attempt-Id: "+request.Header.Get("X-Attempt-Id")+"\r\n", "")
			continue
		}
		runner.count(1)
		goOn := runner.handle(runner, conn, request, body)
		runner.count(-1)
		if !goOn {
			return
		}
	}
}

func (runner *Runner) count(change int) {
	runner.mutex.Lock()
	defer runner.mutex.Unlock()
	runner.running += change
}

// Running returns how many requests run.
func (runner *Runner) Running() int {
	runner.mutex.Lock()
	defer runner.mutex.Unlock()
	return runner.running
}

// writeAnswer writes an answer with a length.
func writeAnswer(conn net.Conn, status int, header, body string) {
	_, _ = fmt.Fprintf(conn, "HTTP/1.1 %d %s\r\n%sContent-Length: %d\r\n\r\n%s", status, http.StatusText(status), header, len(body), body)
}

// answerHeader returns the header lines of the runner's own answers to the request.
func (runner *Runner) answerHeader(request *http.Request) string {
	id := request.Header.Get("X-Attempt-Id")
	return fmt.Sprintf("X-Attempt-Id: %s\r\nX-Server-Seal: %s.%s\r\n%s", id, runner.ID, id, runner.extraHeader)
}

// streamHandler returns a handler that answers with a stream of events, each of which names the
// runner and its version. A stream that is taken up goes on behind Last-Event-Id.
func streamHandler(events int, pause time.Duration) func(*Runner, net.Conn, *http.Request, []byte) bool {
	return func(runner *Runner, conn net.Conn, request *http.Request, _ []byte) bool {
		last, _ := strconv.Atoi(request.Header.Get("Last-Event-Id"))
		version := runner.Version
		runner.record.Add("runner %s (version %s) runs %s behind event %d", runner.ID, version, request.Header.Get("X-Attempt-Id"), last)
		_, err := fmt.Fprintf(conn, "HTTP/1.1 200 OK\r\n%sContent-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\n", runner.answerHeader(request))
		for number := last + 1; err == nil && number <= events; number++ {
			event := fmt.Sprintf("id: %d\ndata: %s %s\n\n", number, version, runner.ID)
			_, err = fmt.Fprintf(conn, "%x\r\n%s\r\n", len(event), event)
			time.Sleep(pause)
		}
		if err == nil {
			_, err = io.WriteString(conn, "0\r\n\r\n")
		}
		return err == nil
	}
}
