// Package platform is a stand-in for the platform's configuration service and its
// list of VMs.
//
// GET /v1/config returns the published document. With the parameters after and wait
// it waits for a version newer than after, and answers 304 if there is none. GET
// /v1/vms returns the list of VMs. All readers together have a budget of calls per
// second, in which a watch counts as one call; calls above it get 429. The published
// values can be changed with the /control calls only, which stand for the operator.
package platform

import (
	"context"
	"encoding/json"
	"io"
	"net/http"
	"strconv"
	"sync"
	"time"

	"github.com/gorilla/mux"
)

// Platform holds the published document and list of VMs.
type Platform struct {
	rate          int
	mutex         sync.Mutex
	config        []byte
	version       uint64
	previous      []byte
	vms           []byte
	fault         Fault
	changed       chan struct{}
	calls         Calls
	currentSecond int64
	callsInSecond int
}

// Fault is the fault that a control call injects. In an Outage every reader gets 503.
// With Stale the service publishes the previous document, if there is one, and a watch
// finds no newer version.
type Fault struct {
	Outage bool `json:"outage"`
	Stale  bool `json:"stale"`
}

// Calls counts the calls of readers. Refused counts those above the rate.
type Calls struct {
	Config  int `json:"config"`
	Watch   int `json:"watch"`
	VMs     int `json:"vms"`
	Refused int `json:"refused"`
}

type documentVersion struct {
	Version uint64 `json:"version"`
}

const (
	maxValueBytes = 1 << 20
	maxWatchWait  = time.Minute
)

// New returns a service that publishes the document and the list of VMs, and allows
// rate calls per second.
func New(config, vms []byte, rate int) *Platform {
	platform := &Platform{rate: rate, vms: vms, changed: make(chan struct{})}
	platform.publish(config)
	return platform
}

// Handler returns the service's HTTP interface.
func (platform *Platform) Handler() http.Handler {
	router := mux.NewRouter()
	router.HandleFunc("/v1/config", platform.serveConfig).Methods(http.MethodGet)
	router.HandleFunc("/v1/vms", platform.serveVMs).Methods(http.MethodGet)
	router.HandleFunc("/control/config", platform.setConfig).Methods(http.MethodPost)
	router.HandleFunc("/control/vms", platform.setVMs).Methods(http.MethodPost)
	router.HandleFunc("/control/fault", platform.setFault).Methods(http.MethodPost)
	router.HandleFunc("/control/calls", platform.serveCalls).Methods(http.MethodGet)
	return router
}

func (platform *Platform) publish(config []byte) {
	var parsed documentVersion
	_ = json.Unmarshal(config, &parsed)
	platform.previous = platform.config
	platform.config = config
	platform.version = parsed.Version
	close(platform.changed)
	platform.changed = make(chan struct{})
}

// admit counts a call against the rate and reports whether to serve it. If not, it
// has written the error status.
func (platform *Platform) admit(writer http.ResponseWriter, count func(*Calls)) bool {
	platform.mutex.Lock()
	defer platform.mutex.Unlock()
	if platform.fault.Outage {
		writer.WriteHeader(http.StatusServiceUnavailable)
		return false
	}
	if currentSecond := time.Now().Unix(); currentSecond != platform.currentSecond {
		platform.currentSecond = currentSecond
		platform.callsInSecond = 0
	}
	platform.callsInSecond++
	if platform.callsInSecond > platform.rate {
		platform.calls.Refused++
		writer.WriteHeader(http.StatusTooManyRequests)
		return false
	}
	count(&platform.calls)
	return true
}

func (platform *Platform) serveConfig(writer http.ResponseWriter, request *http.Request) {
	after, err := strconv.ParseUint(request.URL.Query().Get("after"), 10, 64)
	if err != nil {
		if platform.admit(writer, func(calls *Calls) { calls.Config++ }) {
			_, _ = writer.Write(platform.current())
		}
		return
	}
	if !platform.admit(writer, func(calls *Calls) { calls.Watch++ }) {
		return
	}
	wait, _ := time.ParseDuration(request.URL.Query().Get("wait"))
	platform.watch(request.Context(), writer, after, min(wait, maxWatchWait))
}

func (platform *Platform) watch(ctx context.Context, writer http.ResponseWriter, after uint64, wait time.Duration) {
	timer := time.NewTimer(wait)
	defer timer.Stop()
	for {
		platform.mutex.Lock()
		newer := platform.version > after && !platform.fault.Stale
		changed := platform.changed
		platform.mutex.Unlock()
		if newer {
			_, _ = writer.Write(platform.current())
			return
		}
		select {
		case <-changed:
		case <-timer.C:
			writer.WriteHeader(http.StatusNotModified)
			return
		case <-ctx.Done():
			return
		}
	}
}

func (platform *Platform) current() []byte {
	platform.mutex.Lock()
	defer platform.mutex.Unlock()
	if platform.fault.Stale && platform.previous != nil {
		return platform.previous
	}
	return platform.config
}

func (platform *Platform) serveVMs(writer http.ResponseWriter, _ *http.Request) {
	if !platform.admit(writer, func(calls *Calls) { calls.VMs++ }) {
		return
	}
	platform.mutex.Lock()
	defer platform.mutex.Unlock()
	_, _ = writer.Write(platform.vms)
}

func (platform *Platform) setConfig(writer http.ResponseWriter, request *http.Request) {
	body, err := io.ReadAll(http.MaxBytesReader(writer, request.Body, maxValueBytes))
	if err != nil {
		http.Error(writer, "document is larger than 1 MiB or was not fully received", http.StatusRequestEntityTooLarge)
		return
	}
	platform.mutex.Lock()
	defer platform.mutex.Unlock()
	platform.publish(body)
}

func (platform *Platform) setVMs(_ http.ResponseWriter, request *http.Request) {
	body, err := io.ReadAll(request.Body)
	if err != nil {
		return
	}
	platform.mutex.Lock()
	defer platform.mutex.Unlock()
	platform.vms = body
}

func (platform *Platform) setFault(writer http.ResponseWriter, request *http.Request) {
	var fault Fault
	if err := json.NewDecoder(request.Body).Decode(&fault); err != nil {
		http.Error(writer, err.Error(), http.StatusBadRequest)
		return
	}
	platform.mutex.Lock()
	defer platform.mutex.Unlock()
	platform.fault = fault
}

func (platform *Platform) serveCalls(writer http.ResponseWriter, _ *http.Request) {
	platform.mutex.Lock()
	defer platform.mutex.Unlock()
	_ = json.NewEncoder(writer).Encode(platform.calls)
}
