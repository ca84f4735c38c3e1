package main

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"time"
)

const (
	heartbeat = 1200 * time.Millisecond
	leaseTime = 3 * heartbeat
)

// Runner is a stand-in for a model runner or a service. Each start is a process of its own:
// it holds nothing of before, and has its own start time and software version.
type Runner struct {
	ID      string
	Service string
	Zone    string
	Slots   int
	Record  *Record
	Store   *Store
	// EventGap is the time between two events of a stream, Events their number if the request
	// names none.
	EventGap time.Duration
	Events   int

	// Crashes is how many times this runner still crashes: each time CrashAfter behind the first
	// request that it gets. It is back after Down.
	Crashes    int
	CrashAfter time.Duration
	Down       time.Duration

	address string
	mutex   sync.Mutex
	process *process
	// crashing is true from the request that is followed by a crash until the runner is back.
	crashing bool
	// starts counts the processes.
	starts int
}

// process is one start of a runner.
type process struct {
	runner   *Runner
	version  string
	born     int64
	sequence int
	server   *http.Server
	stopped  context.Context
	stop     context.CancelFunc
	seal     string
}

// Start starts a process of the runner with the software version. Each one has the runner's
// address and ID.
func (runner *Runner) Start(version string) {
	// No connection of the machines is opened from this address, so that the port stays free
	// while the runner is down.
	if runner.address == "" {
		runner.address = "127.0.0.2:0"
	}
	listener := listen(runner.address)
	runner.address = listener.Addr().String()
	stopped, stop := context.WithCancel(context.Background())
	runner.mutex.Lock()
	defer runner.mutex.Unlock()
	runner.starts++
	started := &process{
		runner: runner, version: version, born: time.Now().UnixMilli(), stopped: stopped, stop: stop,
		seal: fmt.Sprintf("seal.%s.%d", runner.ID, runner.starts),
	}
	started.server = &http.Server{Handler: started}
	runner.process = started
	runner.Record.Add("runner %s starts as version %s at %s", runner.ID, version, runner.address)
	go started.server.Serve(listener)
	go started.beat()
}

// Crash ends the process at once: its connections break and it tells nobody.
func (runner *Runner) Crash() {
	runner.mutex.Lock()
	crashed := runner.process
	runner.process = nil
	runner.mutex.Unlock()
	if crashed == nil {
		return
	}
	runner.Record.Add("runner %s of version %s crashes", runner.ID, crashed.version)
	crashed.stop()
	_ = crashed.server.Close()
}

// beat writes to the store at the start and every heartbeat, as long as the process lives. The
// item changes when more than the sequence does, or if it is missing.
func (process *process) beat() {
	key := "servers/" + process.runner.ID
	written := false
	for {
		if !written || !process.runner.Store.Touch(key, leaseTime) {
			process.sequence++
			written = process.runner.Store.Put(key, map[string]any{
				"service": process.runner.Service, "address": process.runner.address, "zone": process.runner.Zone, "version": process.version,
				"slots": process.runner.Slots, "state": "ready", "cold_remaining_ms": 0, "stage": "both",
				"models": []any{map[string]any{"name": "m", "version": 1, "adapters": []any{}}}, "sequence": process.sequence, "born": process.born,
			}, leaseTime)
		}
		pause := heartbeat
		if !written {
			pause = heartbeat / 4
		}
		select {
		case <-process.stopped.Done():
			return
		case <-time.After(pause):
		}
	}
}

// ServeHTTP implements http.Handler.
func (process *process) ServeHTTP(writer http.ResponseWriter, request *http.Request) {
	switch request.URL.Path {
	case "/api/kv-list":
		_ = json.NewEncoder(writer).Encode(map[string]any{"epoch": process.born, "next": 1, "held": []any{}})
		return
	case "/api/report":
		_ = json.NewEncoder(writer).Encode(map[string]any{"stage": "both", "born": process.born, "running": 0, "queued": 0})
		return
	case "/health":
		writer.Header().Set("X-Instance-Id", process.runner.ID)
		return
	}
	body, err := io.ReadAll(request.Body)
	id := request.Header.Get("X-Attempt-Id")
	if err != nil {
		return
	}
	writer.Header().Set("X-Attempt-Id", id)
	if expected := request.Header.Get("X-Expect-Instance"); expected != "" && expected != process.runner.ID {
		writer.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	process.runner.Record.Ran(Run{
		At: time.Now(), Attempt: id, Runner: process.runner.ID, Version: process.version, After: request.Header.Get("Last-Event-Id"),
		Prefix: request.Header.Get("X-Prompt-Prefix"), Bytes: len(body),
	})
	process.runner.crashLater(process.version)
	writer.Header().Set("X-Server-Seal", process.seal)
	if request.Method == http.MethodGet || !strings.HasPrefix(request.URL.Path, "/chat") {
		writer.Header().Set("Content-Type", "application/octet-stream")
		time.Sleep(20 * time.Millisecond)
		_, _ = writer.Write([]byte("done " + id))
		return
	}
	process.stream(writer, request)
}

// crashLater has the process crash soon, if the runner is to crash.
func (runner *Runner) crashLater(version string) {
	runner.mutex.Lock()
	defer runner.mutex.Unlock()
	if runner.Crashes == 0 || runner.crashing {
		return
	}
	runner.Crashes--
	runner.crashing = true
	time.AfterFunc(runner.CrashAfter, func() {
		runner.Crash()
		time.Sleep(runner.Down)
		runner.mutex.Lock()
		runner.crashing = false
		runner.mutex.Unlock()
		runner.Start(version)
	})
}

// CrashFrom has the runner crash with the next requests, as often as given.
func (runner *Runner) CrashFrom(times int) {
	runner.mutex.Lock()
	defer runner.mutex.Unlock()
	runner.Crashes = times
}

// LeftToCrash returns how many crashes are still to come, and whether the runner is up.
func (runner *Runner) LeftToCrash() (int, bool) {
	runner.mutex.Lock()
	defer runner.mutex.Unlock()
	return runner.Crashes, !runner.crashing && runner.process != nil
}

// stream writes the events of a stream behind the last one that the caller has.
func (process *process) stream(writer http.ResponseWriter, request *http.Request) {
	writer.Header().Set("Content-Type", "text/event-stream")
	writer.Header().Set("X-Weight-Versions", "1")
	after, _ := strconv.Atoi(request.Header.Get("Last-Event-Id"))
	events := process.runner.Events
	controller := http.NewResponseController(writer)
	for number := after + 1; number <= events; number++ {
		select {
		case <-process.stopped.Done():
			panic(http.ErrAbortHandler)
		case <-request.Context().Done():
			return
		case <-time.After(process.runner.EventGap):
		}
		if _, err := fmt.Fprintf(writer, "id: %d\ndata: {\"by\":%q,\"software\":%q}\n\n", number, process.runner.ID, process.version); err != nil {
			return
		}
		_ = controller.Flush()
	}
}
