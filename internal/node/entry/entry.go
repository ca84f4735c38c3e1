// Package entry is the entry process for upstreams with sidecars: it accepts callers'
// requests and sends them to upstreams through their sidecars. It is the shell, with
// sockets and clocks, around the deterministic core of package router.
package entry

import (
	"context"
	"errors"
	"fmt"
	"math/rand/v2"
	"net"
	"sync"
	"sync/atomic"
	"time"

	"github.com/sirupsen/logrus"

	"endivepost/internal/config/document"
	"endivepost/internal/core/event"
	"endivepost/internal/core/router"
	"endivepost/internal/node/answer"
	"endivepost/internal/node/answerset"
	"endivepost/internal/node/attainment"
	"endivepost/internal/node/caller"
	"endivepost/internal/node/guard"
	"endivepost/internal/node/httpserver"
	"endivepost/internal/node/loop"
	"endivepost/internal/node/platform"
	"endivepost/internal/node/telemetry"
	"endivepost/internal/policy/order"
	"endivepost/internal/policy/placement"
	"endivepost/internal/wire/link"
	"endivepost/internal/wire/message"
)

// Entry connects callers, the router and the sidecars. Drained is closed once the router
// has no work left in flight. The mutex guards links.
type Entry struct {
	settings   Settings
	telemetry  *telemetry.Telemetry
	guard      *guard.Guard
	rejections guard.LogLimit
	self       link.Identity
	router     *router.Router
	loop       *loop.Loop
	platform   *platform.Client
	counts     *attainment.Counts
	document   atomic.Pointer[document.Document]
	ready      atomic.Bool
	draining   atomic.Bool
	watching   atomic.Bool
	sequence   atomic.Uint64
	inFlight   atomic.Int64
	drained    chan struct{}
	mutex      sync.Mutex
	links      map[string]numberedLink
	responses  *answerset.Set
}

// Settings of an Entry. Listen and Admin are listen addresses for callers and for
// operators, Platform is the base URL of the configuration service. Secret is shared with
// the sidecars. Boot must be random: it makes request IDs unique. ListInterval is the time
// between reads of the list of VMs, DrainTimeout the longest wait for requests in flight
// and for their callers when the entry stops. The other settings are those of router.Settings.
type Settings struct {
	Name              string
	Domain            string
	Listen            string
	Admin             string
	Platform          string
	Secret            string
	Boot              uint64
	Placement         placement.Policy
	Queue             order.Policy[message.RequestID]
	QueueCapacity     int
	ShedLate          bool
	SubsetSize        int
	WatchersPerDomain int
	HeartbeatInterval time.Duration
	HeartbeatTimeout  time.Duration
	ListInterval      time.Duration
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
	// pushLease is the maximum age of a sidecar's load report on which a request's body is
	// pushed to it. On an older report the request is only reserved there.
	pushLease = 2 * time.Second
	// reattachTimeout is how long the router waits for a lost link to a sidecar to be
	// re-established before it ends the requests that run there.
	reattachTimeout = 5 * time.Second
	// readyGrace is how long after the first read of the list of VMs a starting router
	// waits until enough sidecars have reported their configuration versions.
	readyGrace = 2 * time.Second
	// redialDelay is the mean delay before the first redial. It doubles with each failure,
	// up to a maximum.
	redialDelay = 500 * time.Millisecond
	// maxUnreadBytes bounds the part of a streamed response that its caller has not read yet.
	maxUnreadBytes = 4 << 20
	// responsesShare is the part of the VM's memory that all responses in progress may take: the
	// buffer of one grows by copying it.
	responsesShare = 8
	// watchTimeout is how long the configuration service may hold a watch request open.
	watchTimeout = 20 * time.Second
	// pollInterval is the mean time between two reads of the document by an entry that
	// does not watch it.
	pollInterval = 8 * time.Second
	// pollRetryDelay is an extra pause after a failed read of the document.
	pollRetryDelay = time.Second
	// keepAliveLinger is how long a drained entry still answers on kept connections, so that
	// callers who use one are told that it closes before it does.
	keepAliveLinger = time.Second
	// minShutdownTimeout is the time that the HTTP server has to shut down after a drain that
	// took the whole drain timeout.
	minShutdownTimeout = 5 * time.Second
	// flushTimeout bounds the writing of the queued messages of each link at exit.
	flushTimeout = time.Second
)

// New returns an entry that is not running yet.
func New(settings Settings, observe *telemetry.Telemetry) *Entry {
	bootTime := time.Now()
	entry := &Entry{
		settings:   settings,
		telemetry:  observe,
		self:       link.Identity{Name: settings.Name, Boot: settings.Boot},
		platform:   platform.New(settings.Platform),
		counts:     attainment.New(),
		drained:    make(chan struct{}),
		rejections: guard.NewLogLimit(),
		links:      make(map[string]numberedLink),
		responses:  answerset.New(settings.MemoryBytes / responsesShare),
	}
	entry.guard = guard.New(guard.Settings{MemoryBytes: settings.MemoryBytes, MaxDescriptors: settings.MaxDescriptors, Rejected: entry.countRejection})
	entry.router = router.New(router.Settings{
		Name:              settings.Name,
		Domain:            settings.Domain,
		Placement:         settings.Placement,
		Queue:             settings.Queue,
		Random:            rand.New(rand.NewPCG(settings.Boot, settings.Boot)),
		QueueCapacity:     settings.QueueCapacity,
		ShedLate:          settings.ShedLate,
		SubsetSize:        settings.SubsetSize,
		WatchersPerDomain: settings.WatchersPerDomain,
		PushLease:         pushLease,
		HeartbeatInterval: settings.HeartbeatInterval,
		HeartbeatTimeout:  settings.HeartbeatTimeout,
		ReattachTimeout:   reattachTimeout,
		ReadyGrace:        readyGrace,
		RedialDelay:       redialDelay,
	})
	entry.loop = loop.New(entry.router, bootTime, entry.perform)
	return entry
}

// Run serves until the context is done, then drains: it finishes the requests in flight,
// at most for the drain timeout. The error is that of opening the listeners.
func (entry *Entry) Run(ctx context.Context) (err error) {
	defer func() {
		if err != nil {
			err = fmt.Errorf("entry %s: %w", entry.settings.Name, err)
		}
	}()
	// The loop and the polling continue during the drain, so ctx does not end them.
	running, stop := context.WithCancel(context.Background())
	defer stop()
	admin, err := httpserver.ListenIn(entry.guard.Operators, entry.settings.Admin, entry.adminRoutes(running), entry.serverFailed)
	if err != nil {
		return err
	}
	defer func() { _ = admin.Close() }()
	server, err := httpserver.ListenIn(entry.guard.Callers, entry.settings.Listen, entry.callerRoutes(), entry.serverFailed)
	if err != nil {
		return err
	}
	defer func() { _ = server.Close() }()
	go entry.loop.Run(running)
	go entry.pollDocument(running)
	go entry.pollMembers(running)
	entry.log("started").WithFields(logrus.Fields{"listen": server.Address(), "admin": admin.Address()}).Info()
	<-ctx.Done()
	entry.drain(server)
	return nil
}

func (entry *Entry) drain(server *httpserver.Server) {
	deadline := time.Now().Add(entry.settings.DrainTimeout)
	entry.log("draining").Info()
	entry.draining.Store(true)
	entry.loop.Post(event.DrainStarted{})
	select {
	case <-entry.drained:
		time.Sleep(min(keepAliveLinger, time.Until(deadline)))
	case <-time.After(time.Until(deadline)):
		entry.log("drain-timeout").Warn()
	}
	entry.shutDown(server, max(time.Until(deadline), minShutdownTimeout))
	entry.closeLinks()
	entry.log("stopped").Info()
}

// shutDown waits until no connection of a caller is in use, at most for the timeout. The
// router may have drained before: it knows neither the requests that are still arriving nor
// how much of an answer its caller has read.
func (entry *Entry) shutDown(server *httpserver.Server, timeout time.Duration) {
	ctx, cancel := context.WithTimeout(context.Background(), timeout)
	defer cancel()
	if err := server.Shutdown(ctx); err != nil {
		connections := server.Connections()
		entry.log("shutdown-cut-off").WithFields(logrus.Fields{
			"connections-new": connections.New, "connections-active": connections.Active, "in-flight": entry.inFlight.Load(),
		}).WithError(err).Warn()
	}
}

func (entry *Entry) closeLinks() {
	entry.mutex.Lock()
	defer entry.mutex.Unlock()
	for _, registered := range entry.links {
		registered.link.Flush(flushTimeout)
		registered.link.Close()
	}
}

// perform executes an output of the router. It runs on the loop's goroutine and must not
// block.
func (entry *Entry) perform(output event.Output) {
	switch output := output.(type) {
	case event.Send:
		entry.send(output)
	case event.Deliver:
		entry.deliver(output)
	case event.Finish:
		entry.responses.Finish(output)
	case event.Dial:
		go entry.dial(output)
	case event.CloseLink:
		if found, ok := entry.findLink(output.Peer, output.Link); ok {
			found.Close()
		}
	case event.DocumentAccepted:
		accepted := output.Document
		entry.document.Store(&accepted)
		entry.log("config-accepted").WithField("version", accepted.Version).Info()
	case event.DocumentRejected:
		entry.log("config-rejected").WithError(output.Err).Error()
	case event.SetWatch:
		entry.watching.Store(output.Watching)
	case event.Ready:
		entry.ready.Store(true)
		entry.log("ready").Info()
	case event.Drained:
		close(entry.drained)
	}
}

// deliver adds a chunk to the response. Requests that are not served any further count as
// abandoned by their callers. That input is posted from another goroutine: deliver runs
// on the goroutine of the loop, where a blocked Post would never return.
func (entry *Entry) deliver(delivered event.Deliver) {
	for _, ended := range entry.responses.Deliver(delivered) {
		go entry.loop.Post(event.CallerDisconnected{ID: ended})
	}
}

func (entry *Entry) send(output event.Send) {
	if found, ok := entry.findLink(output.Peer, output.Link); ok {
		found.Send(output.Message)
	}
}

func (entry *Entry) findLink(peer string, number uint64) (*link.Link, bool) {
	entry.mutex.Lock()
	defer entry.mutex.Unlock()
	registered, ok := entry.links[peer]
	return registered.link, ok && registered.number == number
}

// dial opens a link and posts its messages to the router until it is closed. A peer that
// does not have the requested name counts as a failed dial: another process has reused the
// address.
func (entry *Entry) dial(requested event.Dial) {
	dialled, err := link.Dial(requested.Address, entry.settings.Secret, entry.self)
	if err == nil && dialled.Peer().Name != requested.Peer {
		dialled.Close()
		err = fmt.Errorf("peer at %s: got name %q, want %q", requested.Address, dialled.Peer().Name, requested.Peer)
	}
	if err != nil {
		entry.log("dial-failed").WithField("peer", requested.Peer).WithError(err).Warn()
		entry.loop.Post(event.LinkClosed{Peer: requested.Peer, Link: requested.Link, TimedOut: isTimeout(err)})
		return
	}
	entry.mutex.Lock()
	entry.links[requested.Peer] = numberedLink{link: dialled, number: requested.Link}
	entry.mutex.Unlock()
	entry.loop.Post(event.LinkOpened{Peer: requested.Peer, Link: requested.Link, Boot: dialled.Peer().Boot})
	entry.log("link-opened").WithField("peer", requested.Peer).Info()
	err = dialled.Run(func(body message.Message) {
		entry.loop.Post(event.Received{Peer: requested.Peer, Link: requested.Link, Message: body})
	})
	entry.loop.Post(event.LinkClosed{Peer: requested.Peer, Link: requested.Link})
	entry.log("link-closed").WithField("peer", requested.Peer).WithError(err).Info()
}

func isTimeout(err error) bool {
	var failed net.Error
	return errors.As(err, &failed) && failed.Timeout()
}

// newRequest returns a new request ID and the registered queue for its response.
func (entry *Entry) newRequest(stream bool) (message.RequestID, *answer.Queue) {
	id := message.NewRequestID(entry.settings.Boot, entry.sequence.Add(1))
	return id, entry.responses.Add(id, queueCapacity(stream))
}

// queueCapacity returns how many bytes of a response may be unread. One that is not streamed is
// buffered until it is complete, so the speed of its caller does not bound it.
func queueCapacity(stream bool) int {
	if stream {
		return maxUnreadBytes
	}
	return caller.MaxAnswerBytes
}

func (entry *Entry) serverFailed(err error) {
	entry.log("server-failed").WithError(err).Error()
}

func (entry *Entry) log(name string) *logrus.Entry {
	return entry.telemetry.Log.WithFields(logrus.Fields{"event": name, "process": entry.settings.Name})
}
