// Package sidecar is the process beside one upstream, which queues and runs the requests
// that entries send it. It is the shell, with sockets and clocks, around the deterministic
// core of package admission.
package sidecar

import (
	"context"
	"encoding/json"
	"fmt"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"github.com/gorilla/mux"
	"github.com/sirupsen/logrus"

	"endivepost/internal/core/admission"
	"endivepost/internal/core/event"
	"endivepost/internal/core/idempotency"
	"endivepost/internal/node/backpressure"
	"endivepost/internal/node/guard"
	"endivepost/internal/node/httpserver"
	"endivepost/internal/node/logevent"
	"endivepost/internal/node/loop"
	"endivepost/internal/node/telemetry"
	"endivepost/internal/node/upstream"
	"endivepost/internal/policy/limit"
	"endivepost/internal/policy/order"
	"endivepost/internal/wire/link"
	"endivepost/internal/wire/message"
)

// Sidecar connects entries, the admission controller and the upstream. The mutex guards
// links, lastLink and up.
type Sidecar struct {
	settings   Settings
	telemetry  *telemetry.Telemetry
	guard      *guard.Guard
	rejections guard.LogLimit
	self       link.Identity
	controller *admission.Controller
	loop       *loop.Loop
	upstream   *upstream.Upstream
	pressure   *backpressure.Pressure
	drained    chan struct{}
	mutex      sync.Mutex
	links      map[string]numberedLink
	lastLink   uint64
	up         bool
	// inBackoff is set while the upstream wants nothing. It is not probed then.
	inBackoff atomic.Bool
}

// Settings of a Sidecar. Listen is its address for entries and operators, Upstream the
// host:port address of the VM's engine or service. Secret is shared with the entries. Boot
// must be random: it distinguishes incarnations of the process. KeyCapacity is the maximum
// number of idempotency keys, ClockSkew the maximum clock error of callers that create
// version 7 UUIDs. FirstByteTimeout and StallTimeout are those of upstream.Settings.
// DrainTimeout is the longest wait for requests in flight when the sidecar stops. The
// other settings are those of admission.Settings.
type Settings struct {
	Name              string
	Listen            string
	Upstream          string
	Secret            string
	Boot              uint64
	Order             order.Policy[message.RequestID]
	Limit             limit.Policy
	KeyCapacity       int
	ClockSkew         time.Duration
	HeartbeatInterval time.Duration
	HeartbeatTimeout  time.Duration
	FirstByteTimeout  time.Duration
	StallTimeout      time.Duration
	DrainTimeout      time.Duration
	// MemoryBytes is the VM's memory, MaxDescriptors the number of files and connections
	// that the process may have open; 0 for no limit.
	MemoryBytes    int64
	MaxDescriptors int
}

// numberedLink is a link and the number that distinguishes it from earlier links with
// the same peer.
type numberedLink struct {
	link   *link.Link
	number uint64
}

const (
	// queueCapacity is the maximum number of queued requests.
	queueCapacity = 1024
	// claimLease is how long a claimed slot waits for the entry's grant, and how long after
	// the grant the request may still be sent to the upstream.
	claimLease = 500 * time.Millisecond
	// pushLease is the maximum age of a pushed request: the time since this sidecar sent
	// the last heartbeat that the entry had received. It includes the transit of that
	// heartbeat and of the request.
	pushLease = 3 * time.Second
	// reattachTimeout is how long a response is stored for an entry whose link was lost,
	// and how long a run continues without its entry.
	reattachTimeout = 10 * time.Second
	// replayBytes bounds the latest part of a response that is stored to be sent again to
	// an entry that reattaches.
	replayBytes = 1 << 20
	// replayShare is the part of the VM's memory for what is stored of all responses.
	replayShare   = 8
	probeInterval = 500 * time.Millisecond
	// flushTimeout bounds the writing of the queued messages of each link at exit.
	flushTimeout = time.Second
)

// New returns a sidecar that is not running yet.
func New(settings Settings, observe *telemetry.Telemetry) *Sidecar {
	bootTime := time.Now()
	sidecar := &Sidecar{
		settings:   settings,
		telemetry:  observe,
		self:       link.Identity{Name: settings.Name, Boot: settings.Boot},
		drained:    make(chan struct{}),
		rejections: guard.NewLogLimit(),
		pressure:   backpressure.New(),
		links:      make(map[string]numberedLink),
		up:         true,
	}
	sidecar.guard = guard.New(guard.Settings{MemoryBytes: settings.MemoryBytes, MaxDescriptors: settings.MaxDescriptors, Rejected: sidecar.countRejection})
	sidecar.controller = admission.New(admission.Settings{
		Name:              settings.Name,
		Order:             settings.Order,
		Limit:             settings.Limit,
		Keys:              idempotency.Settings{BootTime: bootTime, ClockSkew: settings.ClockSkew, Capacity: settings.KeyCapacity},
		QueueCapacity:     queueCapacity,
		ClaimLease:        claimLease,
		PushLease:         pushLease,
		HeartbeatInterval: settings.HeartbeatInterval,
		HeartbeatTimeout:  settings.HeartbeatTimeout,
		ReattachTimeout:   reattachTimeout,
		ReplayBytes:       replayBytes,
		ReplayTotalBytes:  int(settings.MemoryBytes / replayShare),
	})
	sidecar.loop = loop.New(sidecar.pressure.Core(sidecar.controller), bootTime, sidecar.perform)
	sidecar.upstream = upstream.New(upstream.Settings{
		Address: settings.Upstream, Uptime: sidecar.loop.Uptime, FirstByteTimeout: settings.FirstByteTimeout, StallTimeout: settings.StallTimeout,
		Tracer: observe.Tracer(), Admit: sidecar.pressure.Admit, Failed: sidecar.countFailure,
	}, sidecar.loop.Post)
	return sidecar
}

// Run serves until the context is done, then drains: it finishes the requests in flight,
// at most for the drain timeout. The error is that of opening the listener.
func (sidecar *Sidecar) Run(ctx context.Context) (err error) {
	defer func() {
		if err != nil {
			err = fmt.Errorf("sidecar %s: %w", sidecar.settings.Name, err)
		}
	}()
	// The loop and the probes continue during the drain, so ctx does not end them.
	running, stop := context.WithCancel(context.Background())
	defer stop()
	server, err := httpserver.ListenIn(sidecar.guard.Callers, sidecar.settings.Listen, sidecar.routes(running), sidecar.serverFailed)
	if err != nil {
		return err
	}
	defer func() { _ = server.Close() }()
	go sidecar.loop.Run(running)
	go sidecar.probe(running)
	sidecar.log("started").WithField("listen", server.Address()).WithField("upstream", sidecar.settings.Upstream).Info()
	<-ctx.Done()
	sidecar.drain()
	return nil
}

func (sidecar *Sidecar) serverFailed(err error) {
	sidecar.log("server-failed").WithError(err).Error()
}

func (sidecar *Sidecar) drain() {
	sidecar.log("draining").Info()
	sidecar.loop.Post(event.DrainStarted{})
	select {
	case <-sidecar.drained:
	case <-time.After(sidecar.settings.DrainTimeout):
		sidecar.log("drain-timeout").Warn()
	}
	sidecar.closeLinks()
	sidecar.log("stopped").Info()
}

func (sidecar *Sidecar) closeLinks() {
	sidecar.mutex.Lock()
	defer sidecar.mutex.Unlock()
	for _, registered := range sidecar.links {
		registered.link.Flush(flushTimeout)
		registered.link.Close()
	}
}

func (sidecar *Sidecar) routes(ctx context.Context) http.Handler {
	router := mux.NewRouter()
	router.HandleFunc("/link", sidecar.acceptLink)
	router.HandleFunc("/healthz", func(writer http.ResponseWriter, _ *http.Request) { writer.WriteHeader(http.StatusOK) })
	router.HandleFunc("/readyz", sidecar.serveReady)
	router.Handle("/metrics", sidecar.telemetry.Handler)
	router.HandleFunc("/status", func(writer http.ResponseWriter, _ *http.Request) { sidecar.serveStatus(ctx, writer) })
	return router
}

func (sidecar *Sidecar) serveReady(writer http.ResponseWriter, _ *http.Request) {
	sidecar.mutex.Lock()
	defer sidecar.mutex.Unlock()
	if !sidecar.up {
		writer.WriteHeader(http.StatusServiceUnavailable)
	}
}

// Status is a sidecar's own state, for operators. Limit is the concurrency limit, Wait the
// expected wait in the queue, in JSON in nanoseconds.
type Status struct {
	Name          string        `json:"name"`
	ConfigVersion uint64        `json:"config-version"`
	Limit         int           `json:"limit"`
	Running       int           `json:"running"`
	Queued        int           `json:"queued"`
	Wait          time.Duration `json:"wait"`
}

func (sidecar *Sidecar) serveStatus(ctx context.Context, writer http.ResponseWriter) {
	status := Status{Name: sidecar.settings.Name}
	sidecar.loop.Inspect(ctx, func() {
		load := sidecar.controller.Load()
		status.ConfigVersion = sidecar.controller.ConfigVersion()
		status.Limit, status.Running, status.Queued, status.Wait = load.Limit, load.Running, load.Queued, load.Wait
	})
	writer.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(writer).Encode(status)
}

// acceptLink accepts a link from an entry and posts its messages to the admission controller
// until the link is closed. A peer's key is its name and boot number, so that a restarted
// entry is another peer.
func (sidecar *Sidecar) acceptLink(writer http.ResponseWriter, request *http.Request) {
	accepted, err := link.Accept(writer, request, sidecar.settings.Secret, sidecar.self)
	if err != nil {
		sidecar.log("link-refused").WithError(err).Warn()
		return
	}
	peer := fmt.Sprintf("%s/%x", accepted.Peer().Name, accepted.Peer().Boot)
	number := sidecar.registerLink(peer, accepted)
	sidecar.loop.Post(event.LinkOpened{Peer: peer, Link: number, Boot: accepted.Peer().Boot})
	sidecar.log("link-opened").WithField("peer", peer).Info()
	err = accepted.Run(func(body message.Message) {
		sidecar.loop.Post(event.Received{Peer: peer, Link: number, Message: body})
	})
	sidecar.removeLink(peer, number)
	sidecar.loop.Post(event.LinkClosed{Peer: peer, Link: number})
	sidecar.log("link-closed").WithField("peer", peer).WithError(err).Info()
}

func (sidecar *Sidecar) registerLink(peer string, accepted *link.Link) uint64 {
	sidecar.mutex.Lock()
	defer sidecar.mutex.Unlock()
	sidecar.lastLink++
	sidecar.links[peer] = numberedLink{link: accepted, number: sidecar.lastLink}
	return sidecar.lastLink
}

func (sidecar *Sidecar) removeLink(peer string, number uint64) {
	sidecar.mutex.Lock()
	defer sidecar.mutex.Unlock()
	if sidecar.links[peer].number == number {
		delete(sidecar.links, peer)
	}
}

func (sidecar *Sidecar) findLink(peer string, number uint64) (*link.Link, bool) {
	sidecar.mutex.Lock()
	defer sidecar.mutex.Unlock()
	registered, ok := sidecar.links[peer]
	return registered.link, ok && registered.number == number
}

// perform executes an output of the admission controller. It runs on the loop's goroutine
// and must not block.
func (sidecar *Sidecar) perform(output event.Output) {
	switch output := output.(type) {
	case event.Send:
		if found, ok := sidecar.findLink(output.Peer, output.Link); ok {
			if chunk, isChunk := output.Message.(message.Chunk); isChunk {
				sidecar.pressure.Carry(chunk.ID, found)
			}
			found.Send(output.Message)
		}
	case event.CloseLink:
		if found, ok := sidecar.findLink(output.Peer, output.Link); ok {
			found.Close()
		}
	case event.StartRun:
		sidecar.upstream.Start(output)
	case event.StopRun:
		sidecar.upstream.Stop(output.ID)
	case event.DocumentAccepted:
		sidecar.log("config-accepted").WithField("version", output.Document.Version).Info()
	case event.DocumentRejected:
		sidecar.log("config-rejected").WithError(output.Err).Error()
	case event.Drained:
		close(sidecar.drained)
	case event.StateChanged:
		sidecar.handleStateChange(output)
	}
}

// stateEvents maps what the upstream asks for to log events.
var stateEvents = map[event.State]logevent.Name{
	event.AnnouncedLeaving: logevent.UpstreamAnnouncedLeaving, event.BackoffStarted: logevent.UpstreamBackoff,
	event.BackoffEnded: logevent.UpstreamBackoffEnded,
}

// handleStateChange logs and counts what the upstream asks for, and stops the probes while it
// wants nothing.
func (sidecar *Sidecar) handleStateChange(change event.StateChanged) {
	switch change.State {
	case event.BackoffStarted:
		sidecar.inBackoff.Store(true)
	case event.BackoffEnded:
		sidecar.inBackoff.Store(false)
	}
	name := stateEvents[change.State]
	sidecar.telemetry.Metrics.Tagged(map[string]string{"belief": string(name)}).Counter("beliefs").Inc(1)
	sidecar.log(string(name)).WithFields(logrus.Fields{"source": change.Source.String(), "for-ms": change.For.Milliseconds()}).Info()
}

// probe checks the upstream at every probe interval.
func (sidecar *Sidecar) probe(ctx context.Context) {
	ticker := time.NewTicker(probeInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
			if !sidecar.inBackoff.Load() {
				sidecar.setUpstreamUp(sidecar.upstream.Check())
			}
		}
	}
}

// setUpstreamUp posts the result of a probe to the admission controller and logs a change.
func (sidecar *Sidecar) setUpstreamUp(up bool) {
	sidecar.mutex.Lock()
	changed := sidecar.up != up
	sidecar.up = up
	sidecar.mutex.Unlock()
	if changed {
		sidecar.log("upstream-checked").WithField("up", up).Info()
	}
	sidecar.loop.Post(event.UpstreamChecked{Up: up})
}

// countFailure counts and logs why a run has no complete response.
func (sidecar *Sidecar) countFailure(id message.RequestID, reason message.Reason, err error) {
	sidecar.telemetry.Metrics.Tagged(map[string]string{"reason": reason.String()}).Counter("attempt_failures").Inc(1)
	sidecar.log("attempt-failed").WithFields(logrus.Fields{"request": id.String(), "reason": reason.String(), "cause": err.Error()}).Info()
}

func (sidecar *Sidecar) log(name string) *logrus.Entry {
	return sidecar.telemetry.Log.WithFields(logrus.Fields{"event": name, "process": sidecar.settings.Name})
}
