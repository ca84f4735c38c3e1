// Package entry is the process that callers reach: the shell of the router.
package entry

import (
	"context"
	"fmt"
	"math/rand/v2"
	"sync"
	"sync/atomic"
	"time"

	"github.com/sirupsen/logrus"

	"endivepost/internal/config/document"
	"endivepost/internal/core/event"
	"endivepost/internal/core/router"
	"endivepost/internal/node/answer"
	"endivepost/internal/node/attainment"
	"endivepost/internal/node/httpserver"
	"endivepost/internal/node/loop"
	"endivepost/internal/node/platform"
	"endivepost/internal/node/telemetry"
	"endivepost/internal/policy/order"
	"endivepost/internal/policy/placement"
	"endivepost/internal/wire/link"
	"endivepost/internal/wire/message"
)

// Entry moves bytes between callers, the router and the sidecars.
type Entry struct {
	settings  Settings
	telemetry *telemetry.Telemetry
	self      link.Identity
	router    *router.Router
	loop      *loop.Loop
	platform  *platform.Client
	board     *attainment.Counts
	document  atomic.Pointer[document.Document]
	ready     atomic.Bool
	draining  atomic.Bool
	watching  atomic.Bool
	sequence  atomic.Uint64
	waiting   atomic.Int64
	drained   chan struct{}
	mutex     sync.Mutex
	links     map[string]numbered
	answers   map[message.RequestID]*answer.Queue
}

// Settings of an Entry. Boot must be random: it makes request IDs unique.
type Settings struct {
	Name              string
	Domain            string
	Listen            string
	Admin             string
	Platform          string
	Secret            string
	Boot              uint64
	Placement         placement.Policy
	Queue           order.Policy[message.RequestID]
	QueueCapacity      int
	ShedLate          bool
	SubsetSize        int
	WatchersPerDomain int
	HeartbeatInterval time.Duration
	HeartbeatTimeout  time.Duration
	ListInterval      time.Duration
	DrainTimeout      time.Duration
}

type numbered struct {
	link   *link.Link
	number uint64
}

const (
	pushLease     = 2 * time.Second
	attachFor     = 5 * time.Second
	readyGrace    = 2 * time.Second
	redialAfter   = 500 * time.Millisecond
	answerBytes   = 4 << 20
	watchWait     = 20 * time.Second
	seldomEvery   = 8 * time.Second
	retryReadAt   = time.Second
	shutdownGrace = 5 * time.Second
	flushWithin   = time.Second
)

// New returns an entry that is not running yet.
func New(settings Settings, observe *telemetry.Telemetry) *Entry {
	boot := time.Now()
	entry := &Entry{
		settings:  settings,
		telemetry: observe,
		self:      link.Identity{Name: settings.Name, Boot: settings.Boot},
		platform:  platform.New(settings.Platform),
		board:     attainment.New(),
		drained:   make(chan struct{}),
		links:     make(map[string]numbered),
		answers:   make(map[message.RequestID]*answer.Queue),
	}
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
		ReattachTimeout:   attachFor,
		ReadyGrace:        readyGrace,
		RedialDelay:       redialAfter,
	})
	entry.loop = loop.New(entry.router, boot, entry.perform)
	return entry
}

// Run serves until the context ends, then drains: requests in progress get
// their answers, at most for the drain timeout.
func (entry *Entry) Run(ctx context.Context) (err error) {
	defer func() {
		if err != nil {
			err = fmt.Errorf("entry %s: %w", entry.settings.Name, err)
		}
	}()
	running, stop := context.WithCancel(context.Background())
	defer stop()
	admin, err := httpserver.Listen(entry.settings.Admin, entry.adminRoutes(running), entry.serverFailed)
	if err != nil {
		return err
	}
	defer func() { _ = admin.Close() }()
	server, err := httpserver.Listen(entry.settings.Listen, entry.callerRoutes(), entry.serverFailed)
	if err != nil {
		return err
	}
	defer func() { _ = server.Close() }()
	go entry.loop.Run(running)
	go entry.readDocuments(running)
	go entry.readMembers(running)
	entry.log("started").WithFields(logrus.Fields{"listen": server.Address(), "admin": admin.Address()}).Info()
	<-ctx.Done()
	entry.drain(server)
	return nil
}

func (entry *Entry) drain(server *httpserver.Server) {
	entry.log("draining").Info()
	entry.draining.Store(true)
	entry.loop.Post(event.DrainStarted{})
	select {
	case <-entry.drained:
	case <-time.After(entry.settings.DrainTimeout):
		entry.log("drain-timeout").Warn()
	}
	ctx, cancel := context.WithTimeout(context.Background(), shutdownGrace)
	defer cancel()
	if err := server.Shutdown(ctx); err != nil {
		entry.log("shutdown-cut-off").WithError(err).Warn()
	}
	entry.closeLinks()
	entry.log("stopped").Info()
}

func (entry *Entry) closeLinks() {
	entry.mutex.Lock()
	defer entry.mutex.Unlock()
	for _, held := range entry.links {
		held.link.Flush(flushWithin)
		held.link.Close()
	}
}

func (entry *Entry) perform(output event.Output) {
	switch output := output.(type) {
	case event.Send:
		entry.send(output)
	case event.Deliver:
		entry.deliver(output)
	case event.Finish:
		entry.finish(output)
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

func (entry *Entry) deliver(delivered event.Deliver) {
	entry.mutex.Lock()
	parts, ok := entry.answers[delivered.ID]
	entry.mutex.Unlock()
	if ok && !parts.Push(delivered.Chunk) {
		go entry.loop.Post(event.CallerDisconnected{ID: delivered.ID})
	}
}

func (entry *Entry) finish(finished event.Finish) {
	entry.mutex.Lock()
	parts, ok := entry.answers[finished.ID]
	delete(entry.answers, finished.ID)
	entry.mutex.Unlock()
	if ok {
		parts.Finish(finished)
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
	held, ok := entry.links[peer]
	return held.link, ok && held.number == number
}

// dial opens a link and serves it for as long as it lives. A process of another
// name at the address is not the sidecar that the list means.
func (entry *Entry) dial(wanted event.Dial) {
	dialled, err := link.Dial(wanted.Address, entry.settings.Secret, entry.self)
	if err == nil && dialled.Peer().Name != wanted.Peer {
		dialled.Close()
		err = fmt.Errorf("%s answered as %q", wanted.Address, dialled.Peer().Name)
	}
	if err != nil {
		entry.log("dial-failed").WithField("peer", wanted.Peer).WithError(err).Warn()
		entry.loop.Post(event.LinkClosed{Peer: wanted.Peer, Link: wanted.Link})
		return
	}
	entry.mutex.Lock()
	entry.links[wanted.Peer] = numbered{link: dialled, number: wanted.Link}
	entry.mutex.Unlock()
	entry.loop.Post(event.LinkOpened{Peer: wanted.Peer, Link: wanted.Link, Boot: dialled.Peer().Boot})
	entry.log("link-opened").WithField("peer", wanted.Peer).Info()
	err = dialled.Run(func(body message.Message) {
		entry.loop.Post(event.Received{Peer: wanted.Peer, Link: wanted.Link, Message: body})
	})
	entry.loop.Post(event.LinkClosed{Peer: wanted.Peer, Link: wanted.Link})
	entry.log("link-closed").WithField("peer", wanted.Peer).WithError(err).Info()
}

// newRequest registers an answer under a fresh ID.
func (entry *Entry) newRequest() (message.RequestID, *answer.Queue) {
	id := message.NewRequestID(entry.settings.Boot, entry.sequence.Add(1))
	parts := answer.New(answerBytes)
	entry.mutex.Lock()
	defer entry.mutex.Unlock()
	entry.answers[id] = parts
	return id, parts
}

func (entry *Entry) serverFailed(err error) {
	entry.log("server-failed").WithError(err).Error()
}

func (entry *Entry) log(name string) *logrus.Entry {
	return entry.telemetry.Log.WithFields(logrus.Fields{"event": name, "process": entry.settings.Name})
}
