// Package direct is the entry process for upstreams without sidecars: it accepts
// callers' requests and sends them to upstreams itself. It is the shell, with sockets
// and clocks, around the deterministic core of package dispatch.
package direct

import (
	"context"
	"fmt"
	"math/rand/v2"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"github.com/sirupsen/logrus"

	"endivepost/internal/config/index"
	"endivepost/internal/core/dispatch"
	"endivepost/internal/core/event"
	"endivepost/internal/core/mesh"
	"endivepost/internal/node/attainment"
	"endivepost/internal/node/dialect"
	"endivepost/internal/node/exchange"
	"endivepost/internal/node/guard"
	"endivepost/internal/node/httpserver"
	"endivepost/internal/node/logevent"
	"endivepost/internal/node/loglimit"
	"endivepost/internal/node/loop"
	"endivepost/internal/node/telemetry"
	"endivepost/internal/policy/coldrate"
	"endivepost/internal/policy/retrywindow"
	"endivepost/internal/policy/tiered"
	"endivepost/internal/wire/link"
	"endivepost/internal/wire/message"
)

// Entry connects callers, the dispatcher, other entries and upstreams.
type Entry struct {
	settings         Settings
	telemetry        *telemetry.Telemetry
	dispatcher       *dispatch.Dispatcher
	loop             *loop.Loop
	counts           *attainment.Counts
	limiter          *loglimit.Limiter
	guard            *guard.Guard
	rejections       guard.LogLimit
	exchange         *exchange.Client
	index            atomic.Pointer[index.Index]
	ready            atomic.Bool
	draining         atomic.Bool
	storeUnreachable atomic.Bool
	// reading is the number of requests of which the body is being read.
	reading atomic.Int64
	// released is set once the load balancer of a stopping entry sends requests elsewhere,
	// earlier counts the requests in flight that arrived before.
	released atomic.Bool
	earlier  atomic.Int64
	// acceptedAt is when the active document was accepted, in Unix nanoseconds.
	acceptedAt atomic.Int64
	sequence   atomic.Uint64
	// listReads has the newest read of the upstream list that was asked for.
	listReads chan event.ReadUpstreamChanges
	mutex     sync.Mutex
	links     map[string]numberedLink
	active    map[message.RequestID]*commands
	// limited has the upstreams of which a rate limit is known.
	limited map[string]bool
	// invalidBackoffs has the upstreams that asked for an invalid backoff.
	invalidBackoffs map[string]bool
}

// Settings of an Entry. Boot must be random: it makes request IDs unique. Secret is
// shared by all entries.
type Settings struct {
	// Name is the name of the process in logs.
	Name string
	// Domain is the failure domain of the entry.
	Domain string
	// The listen addresses: CallerAddress for callers, ReadyAddress for readiness
	// probes at ReadyPath, PeerAddress for other entries, and MetricsAddress for
	// metrics scrapes and operators ("" for none).
	CallerAddress  string
	ReadyAddress   string
	ReadyPath      string
	PeerAddress    string
	MetricsAddress string
	// Peers are the addresses of some other entries.
	Peers   []string
	Secret  string
	Boot    uint64
	Dialect dialect.Dialect
	Retries retrywindow.Settings
	// MemoryBytes is the VM's memory, MaxDescriptors the number of files and connections
	// that the process may have open; 0 for no limit.
	MemoryBytes    int64
	MaxDescriptors int
	// Grace is the time from SIGTERM until the process is killed.
	Grace time.Duration
	// ListExpiry is how long an upstream that is gone stays in the published list.
	ListExpiry time.Duration
	// Cold bounds what is sent to cold upstreams.
	Cold dispatch.ColdBounds
	// DroppedLines returns the number of log lines that were dropped because the log
	// was not read fast enough.
	DroppedLines func() int64
	// WatchStore posts changes of the document and of the upstream list until the
	// context is done, those of the list at once when asked.
	WatchStore func(ctx context.Context, asked <-chan event.ReadUpstreamChanges, post func(event.Input))
}

// numberedLink is a link and the number that distinguishes it from earlier links with
// the same peer.
type numberedLink struct {
	link   *link.Link
	number uint64
}

const (
	// Between entries: a link is closed after heartbeatTimeout without activity,
	// redialDelay is the mean delay before its first redial, and peerFanout bounds the
	// entries that this one dials.
	heartbeatInterval = 200 * time.Millisecond
	heartbeatTimeout  = 2500 * time.Millisecond
	redialDelay       = 300 * time.Millisecond
	peerFanout        = 8
	// upstreamWait is how long a request waits for a usable upstream.
	upstreamWait = 400 * time.Millisecond
	// dialTimeout and upstreamIdleTimeout are for connections to upstreams.
	dialTimeout         = coldrate.SendTime
	upstreamIdleTimeout = 4 * time.Second
	maxIdlePerUpstream  = 64
	pruneInterval       = time.Second
	// resumeHold is the time for reading what has arrived while this process was paused.
	resumeHold = 100 * time.Millisecond
	// floorWait and floorEvery are the anti-starvation floor: a class that has waited
	// for floorWait may take a freed slot ahead of higher tiers, but at most one in
	// floorEvery.
	floorWait  = time.Second
	floorEvery = 6
	// maxLinesPerSecond bounds the log lines on requests that completed at the first
	// attempt.
	maxLinesPerSecond = 200
)

// New returns an entry that is not running yet.
func New(settings Settings, observe *telemetry.Telemetry) *Entry {
	entry := &Entry{
		settings:  settings,
		telemetry: observe,
		counts:    attainment.New(),
		limiter:   loglimit.New(maxLinesPerSecond),
		links:     make(map[string]numberedLink),
		active:    make(map[message.RequestID]*commands),
		limited:   make(map[string]bool),

		invalidBackoffs: make(map[string]bool),
		listReads:       make(chan event.ReadUpstreamChanges, 1),
	}
	entry.rejections = guard.NewLogLimit()
	entry.guard = guard.New(guard.Settings{MemoryBytes: settings.MemoryBytes, MaxDescriptors: settings.MaxDescriptors, Rejected: entry.countRejection})
	entry.exchange = exchange.New(exchange.Settings{
		DialTimeout: dialTimeout, IdleTimeout: upstreamIdleTimeout, MaxIdle: maxIdlePerUpstream, MaxOpen: entry.guard.MaxUpstreams(),
	})
	random := rand.New(rand.NewPCG(settings.Boot, settings.Boot))
	entry.dispatcher = dispatch.New(dispatch.Settings{
		Domain: settings.Domain,
		Mesh: mesh.Settings{
			Self: settings.PeerAddress, Fanout: peerFanout, HeartbeatTimeout: heartbeatTimeout, RedialDelay: redialDelay, Random: random,
		},
		Retries:           settings.Retries,
		Random:            random,
		Queue:             tiered.New[message.RequestID](tiered.Floor{Wait: floorWait, Every: floorEvery}),
		HeartbeatInterval: heartbeatInterval,
		UpstreamWait:      upstreamWait,
		ListExpiry:        settings.ListExpiry,
		ResumeHold:        resumeHold,
		Cold:              settings.Cold,
	})
	entry.loop = loop.New(entry.dispatcher, time.Now(), entry.perform)
	return entry
}

// Run serves until the context is done, then drains: it still serves new requests
// until the load balancer has stopped sending them, and finishes the requests in
// flight. The error is that of opening the listeners.
func (entry *Entry) Run(ctx context.Context) (err error) {
	defer func() {
		if err != nil {
			err = fmt.Errorf("entry %s: %w", entry.settings.Name, err)
		}
	}()
	running, stop := context.WithCancel(context.Background())
	defer stop()
	callers, err := entry.listen(running)
	if err != nil {
		return err
	}
	go entry.loop.Run(running)
	entry.AddPeers(entry.settings.Peers)
	go entry.settings.WatchStore(running, entry.listReads, entry.handleStoreInput)
	go entry.prune(running)
	entry.log(logevent.Started).WithFields(logrus.Fields{
		"domain": entry.settings.Domain, "listen": entry.settings.CallerAddress, "peers": len(entry.settings.Peers),
	}).Info()
	<-ctx.Done()
	entry.drain(callers)
	return nil
}

// handleStoreInput posts an input from the store to the dispatcher, and records whether
// the store is reachable.
func (entry *Entry) handleStoreInput(input event.Input) {
	switch input.(type) {
	case event.StoreUnreachable:
		entry.storeUnreachable.Store(true)
	case event.StoreReachable:
		entry.storeUnreachable.Store(false)
	}
	entry.loop.Post(input)
}

// AddPeers posts the addresses of other entries to the dispatcher.
func (entry *Entry) AddPeers(addresses []string) {
	for _, address := range addresses {
		entry.loop.Post(event.PeerDiscovered{Address: address})
	}
}

// listen opens all listeners and returns the server for callers.
func (entry *Entry) listen(ctx context.Context) (*httpserver.Server, error) {
	callers, err := httpserver.ListenIn(entry.guard.Callers, entry.settings.CallerAddress, http.HandlerFunc(entry.serve), entry.serverFailed)
	if err != nil {
		return nil, err
	}
	if _, err := httpserver.ListenIn(entry.guard.Operators, entry.settings.ReadyAddress, http.HandlerFunc(entry.serveReady), entry.serverFailed); err != nil {
		return nil, err
	}
	if _, err := httpserver.ListenIn(entry.guard.Peers, entry.settings.PeerAddress, entry.peerRoutes(), entry.serverFailed); err != nil {
		return nil, err
	}
	if entry.settings.MetricsAddress == "" {
		return callers, nil
	}
	_, err = httpserver.ListenIn(entry.guard.Operators, entry.settings.MetricsAddress, entry.operatorRoutes(ctx), entry.serverFailed)
	return callers, err
}

func (entry *Entry) serverFailed(err error) {
	entry.log(logevent.ServerFailed).WithError(err).Error()
}

// prune closes idle connections to upstreams that are too old to be reused.
func (entry *Entry) prune(ctx context.Context) {
	ticker := time.NewTicker(pruneInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case now := <-ticker.C:
			entry.exchange.Prune(now)
		}
	}
}

// perform carries out one output of the dispatcher. It runs in the goroutine of the
// loop.
func (entry *Entry) perform(output event.Output) {
	switch output := output.(type) {
	case event.Attempt:
		entry.startAttempt(output)
	case event.Finish:
		entry.sendCommand(output.ID, output)
	case event.StopRun:
		if found, ok := entry.findCommands(output.ID); ok {
			found.stop(output.Number)
		}
	case event.QueryCache:
		go entry.queryCache(output)
	case event.ReadUpstreamChanges:
		entry.readList(output)
	case event.Send:
		if found, ok := entry.findLink(output.Peer, output.Link); ok {
			found.Send(output.Message)
		}
	case event.Dial:
		go entry.dial(output)
	case event.CloseLink:
		if found, ok := entry.findLink(output.Peer, output.Link); ok {
			found.Close()
		}
	default:
		entry.handleStateChange(output)
	}
}

// readList has the changes of the upstream list read at once. A read that was asked for before
// and has not begun is dropped: this one serves for both.
func (entry *Entry) readList(asked event.ReadUpstreamChanges) {
	entry.telemetry.Metrics.Counter("list_reads").Inc(1)
	select {
	case <-entry.listReads:
	default:
	}
	entry.listReads <- asked
}

// stateEvents maps the states of an upstream or request to log events.
var stateEvents = map[event.State]logevent.Name{
	event.Usable: logevent.UpstreamUsable, event.Leaving: logevent.UpstreamLeft,
	event.BlameCleared: logevent.CrashCauseCleared,
	event.Limited:      logevent.UpstreamLimited, event.LimitEnded: logevent.UpstreamUnlimited,
	event.AnnouncedLeaving: logevent.UpstreamAnnouncedLeaving,
	event.BackoffStarted:   logevent.UpstreamBackoff, event.BackoffEnded: logevent.UpstreamBackoffEnded,
	event.DomainEvacuated: logevent.DomainEvacuated, event.DomainRestored: logevent.DomainRestored,
	event.EvacuationUnmatched: logevent.EvacuationUnmatched,
	event.TurnedCold:          logevent.UpstreamCold, event.TurnedWarm: logevent.UpstreamWarm,
	event.TurnedSlow: logevent.UpstreamSlow, event.SlowEnded: logevent.UpstreamSlowEnded,
}

// handleStateChange handles the outputs that report a change of the entry's state: log
// and metrics, the active document and readiness.
func (entry *Entry) handleStateChange(output event.Output) {
	switch output := output.(type) {
	case event.DocumentAccepted:
		entry.index.Store(index.New(output.Document))
		entry.guard.Callers.SetLimits(guard.Limits{
			HeaderBytes:   output.Document.Limits.HeaderBytes,
			HeaderTimeout: time.Duration(output.Document.Limits.HeaderTimeout),
			IdleTimeout:   time.Duration(output.Document.Limits.IdleTimeout),
		})
		entry.acceptedAt.Store(time.Now().UnixNano())
		entry.log(logevent.ConfigAccepted).WithFields(logrus.Fields{
			"version": output.Document.Version, "classes": len(output.Document.Classes), "accounts": len(output.Document.Accounts),
		}).Info()
	case event.DocumentRejected:
		entry.log(logevent.ConfigRejected).WithError(output.Err).Error()
	case event.UpstreamSilent:
		entry.exchange.Drop(output.Address)
		go entry.probe(output)
		entry.countBelief(logevent.UpstreamSilent)
		entry.log(logevent.UpstreamSilent).WithFields(logrus.Fields{
			"name": output.Name, "silent-ms": output.Silence.Milliseconds(), "expected-ms": output.Expected.Milliseconds(),
			"since-step-ms": output.SinceStep.Milliseconds(), "running": output.Running,
		}).Info()
	case event.CrashCause:
		entry.logCrashCause(output)
	case event.StateChanged:
		switch output.State {
		case event.Limited, event.LimitEnded, event.Leaving:
			entry.setLimited(output.Name, output.State == event.Limited)
		}
		switch output.State {
		case event.Leaving:
			entry.withdrawAttempts(output.Name)
			entry.forgetInvalidBackoffs(output.Name)
		case event.BackoffStarted, event.TurnedCold:
			entry.withdrawAttempts(output.Name)
		case event.DomainEvacuated:
			entry.withdrawDomain(output.Name)
		}
		entry.countBelief(stateEvents[output.State])
		line := entry.log(stateEvents[output.State]).WithFields(logrus.Fields{
			"name": output.Name, "source": output.Source.String(), "version": output.Version,
		})
		switch output.State {
		case event.Usable, event.Leaving, event.DomainEvacuated, event.DomainRestored, event.EvacuationUnmatched:
			line = line.WithField("era", output.Era)
		case event.AnnouncedLeaving:
			line = line.WithFields(logrus.Fields{"era": output.Era, "age-ms": output.Age.Milliseconds()})
		case event.BackoffStarted, event.BackoffEnded:
			line = line.WithField("for-ms", output.For.Milliseconds())
		case event.TurnedCold:
			line = line.WithField("remaining-ms", output.For.Milliseconds())
		}
		line.Info()
	case event.Ready:
		entry.ready.Store(true)
		entry.log(logevent.Ready).Info()
	case event.Drained:
		entry.log(logevent.Drained).Info()
	}
}

// sendCommand passes an output to the goroutine of its request, if that still runs.
func (entry *Entry) sendCommand(id message.RequestID, output event.Output) {
	if found, ok := entry.findCommands(id); ok {
		found.queue <- output
	}
}

func (entry *Entry) findCommands(id message.RequestID) (*commands, bool) {
	entry.mutex.Lock()
	defer entry.mutex.Unlock()
	found, ok := entry.active[id]
	return found, ok
}
