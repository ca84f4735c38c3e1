// Package direct is the process that callers reach where upstreams have no
// sidecars: the shell of the dispatcher.
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
	"endivepost/internal/node/httpserver"
	"endivepost/internal/node/logevent"
	"endivepost/internal/node/loglimit"
	"endivepost/internal/node/loop"
	"endivepost/internal/node/telemetry"
	"endivepost/internal/policy/retrywindow"
	"endivepost/internal/policy/tiered"
	"endivepost/internal/wire/link"
	"endivepost/internal/wire/message"
)

// Entry moves bytes between callers, the dispatcher and upstreams.
type Entry struct {
	settings   Settings
	telemetry  *telemetry.Telemetry
	dispatcher *dispatch.Dispatcher
	loop       *loop.Loop
	board      *attainment.Counts
	limit      *loglimit.Limiter
	exchange   *exchange.Client
	index      atomic.Pointer[index.Index]
	ready      atomic.Bool
	draining   atomic.Bool
	storeLost  atomic.Bool
	// acceptedAt is when the document in force was accepted, in Unix nanoseconds.
	acceptedAt atomic.Int64
	sequence   atomic.Uint64
	mutex      sync.Mutex
	links      map[string]numbered
	calls      map[message.RequestID]*orders
}

// Settings of an Entry. Boot must be random: it makes request IDs unique.
type Settings struct {
	Name   string
	Domain string
	// CallerAddress takes callers, ReadyAddress questions at ReadyPath whether new
	// connections may come, PeerAddress other entries, MetricsAddress scrapes.
	CallerAddress  string
	ReadyAddress   string
	ReadyPath      string
	PeerAddress    string
	MetricsAddress string
	// Peers are addresses at which some other entries may be reached.
	Peers   []string
	Secret  string
	Boot    uint64
	Dialect dialect.Dialect
	Retries retrywindow.Settings
	// Grace is the time from SIGTERM until the process is killed.
	Grace time.Duration
	// DroppedLines returns how many lines of the log nobody read in time.
	DroppedLines func() int64
	// WatchStore tells of the document and the upstreams until the context ends.
	WatchStore func(ctx context.Context, tell func(event.Input))
}

type numbered struct {
	link   *link.Link
	number uint64
}

const (
	beatEvery       = 200 * time.Millisecond
	silenceLimit    = 2500 * time.Millisecond
	redialAfter     = 300 * time.Millisecond
	peerFanout      = 8
	waitForUpstream = 400 * time.Millisecond
	dialTimeout     = 350 * time.Millisecond
	upstreamIdle    = 4 * time.Second
	mostIdle        = 64
	pruneEvery      = time.Second
	// floorWait is the wait after which a class has a right to some of the room
	// that comes free, floorEvery the part of it as a divisor.
	floorWait  = time.Second
	floorEvery = 6
	// balancerLinger is how long new connections may still come after this
	// process says that it is not ready: two missed questions a second apart.
	balancerLinger = 2800 * time.Millisecond
	// mostLines is the number of lines a second on requests that went well.
	mostLines = 200
	// exitMargin is kept between our own end and the kill at the end of the grace,
	// and flushWithin bounds the wait for the last messages to other entries.
	exitMargin  = 500 * time.Millisecond
	flushWithin = 100 * time.Millisecond
)

// New returns an entry that is not running yet.
func New(settings Settings, observe *telemetry.Telemetry) *Entry {
	entry := &Entry{
		settings:  settings,
		telemetry: observe,
		board:     attainment.New(),
		limit:     loglimit.New(mostLines),
		exchange:  exchange.New(exchange.Settings{DialTimeout: dialTimeout, IdleTimeout: upstreamIdle, MaxIdle: mostIdle}),
		links:     make(map[string]numbered),
		calls:     make(map[message.RequestID]*orders),
	}
	random := rand.New(rand.NewPCG(settings.Boot, settings.Boot))
	entry.dispatcher = dispatch.New(dispatch.Settings{
		Domain: settings.Domain,
		Mesh: mesh.Settings{
			Self: settings.PeerAddress, Fanout: peerFanout, HeartbeatTimeout: silenceLimit, RedialDelay: redialAfter, Random: random,
		},
		Retries:           settings.Retries,
		Random:            random,
		Queue:             tiered.New[message.RequestID](tiered.Floor{Wait: floorWait, Every: floorEvery}),
		HeartbeatInterval: beatEvery,
		UpstreamWait:      waitForUpstream,
	})
	entry.loop = loop.New(entry.dispatcher, time.Now(), entry.perform)
	return entry
}

// Run serves until the context ends, then drains: it goes on taking what still
// comes until the balancer has let go, and ends what it has.
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
	go entry.settings.WatchStore(running, entry.follow)
	go entry.prune(running)
	entry.log(logevent.Started).WithFields(logrus.Fields{
		"domain": entry.settings.Domain, "listen": entry.settings.CallerAddress, "peers": len(entry.settings.Peers),
	}).Info()
	<-ctx.Done()
	entry.drain(callers)
	return nil
}

// follow takes what is told of the document and the upstreams.
func (entry *Entry) follow(input event.Input) {
	switch input.(type) {
	case event.StoreUnreachable:
		entry.storeLost.Store(true)
	case event.StoreReachable:
		entry.storeLost.Store(false)
	}
	entry.loop.Post(input)
}

// AddPeers adds addresses at which other entries may be reached.
func (entry *Entry) AddPeers(addresses []string) {
	for _, address := range addresses {
		entry.loop.Post(event.PeerDiscovered{Address: address})
	}
}

// listen opens all listeners and returns that for callers.
func (entry *Entry) listen(ctx context.Context) (*httpserver.Server, error) {
	callers, err := httpserver.Listen(entry.settings.CallerAddress, http.HandlerFunc(entry.serve), entry.serverFailed)
	if err != nil {
		return nil, err
	}
	if _, err := httpserver.Listen(entry.settings.ReadyAddress, http.HandlerFunc(entry.serveReady), entry.serverFailed); err != nil {
		return nil, err
	}
	if _, err := httpserver.Listen(entry.settings.PeerAddress, entry.peerRoutes(), entry.serverFailed); err != nil {
		return nil, err
	}
	if entry.settings.MetricsAddress == "" {
		return callers, nil
	}
	_, err = httpserver.Listen(entry.settings.MetricsAddress, entry.operatorRoutes(ctx), entry.serverFailed)
	return callers, err
}

func (entry *Entry) serverFailed(err error) {
	entry.log(logevent.ServerFailed).WithError(err).Error()
}

// drain lets the balancer go, then closes what is idle and waits for what is in
// progress. A request that came later than that could not end within the grace.
func (entry *Entry) drain(callers *httpserver.Server) {
	ctx, cancel := context.WithTimeout(context.Background(), entry.settings.Grace-exitMargin)
	defer cancel()
	entry.log(logevent.Draining).WithField("in-progress", entry.inProgress()).Info()
	entry.draining.Store(true)
	entry.loop.Post(event.DrainStarted{})
	time.Sleep(min(balancerLinger, entry.settings.Grace-exitMargin))
	if err := callers.Shutdown(ctx); err != nil {
		entry.log(logevent.ShutdownCutOff).WithError(err).WithField("in-progress", entry.inProgress()).Warn()
	}
	entry.closeLinks()
	entry.log(logevent.Stopped).Info()
}

func (entry *Entry) inProgress() int {
	entry.mutex.Lock()
	defer entry.mutex.Unlock()
	return len(entry.calls)
}

// prune drops connections to upstreams that are too old to be used again.
func (entry *Entry) prune(ctx context.Context) {
	ticker := time.NewTicker(pruneEvery)
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

func (entry *Entry) perform(output event.Output) {
	switch output := output.(type) {
	case event.Attempt:
		entry.order(output.ID, output)
	case event.Finish:
		entry.order(output.ID, output)
	case event.StopRun:
		if found, ok := entry.findOrders(output.ID); ok {
			found.stop()
		}
	case event.QueryCache:
		go entry.askKept(output)
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
		entry.note(output)
	}
}

// beliefs names the events for what is believed.
var beliefs = map[event.State]logevent.Name{
	event.Usable: logevent.UpstreamUsable, event.Leaving: logevent.UpstreamLeft, event.Unresponsive: logevent.UpstreamSilent,
	event.Suspected: logevent.RequestSuspected, event.SuspicionCleared: logevent.RequestCleared,
}

// note takes what changes the belief of the process.
func (entry *Entry) note(output event.Output) {
	switch output := output.(type) {
	case event.DocumentAccepted:
		entry.index.Store(index.New(output.Document))
		entry.acceptedAt.Store(time.Now().UnixNano())
		entry.log(logevent.ConfigAccepted).WithFields(logrus.Fields{
			"version": output.Document.Version, "classes": len(output.Document.Classes), "accounts": len(output.Document.Accounts),
		}).Info()
	case event.DocumentRejected:
		entry.log(logevent.ConfigRejected).WithError(output.Err).Error()
	case event.StateChanged:
		if output.State == event.Unresponsive {
			entry.exchange.Drop(output.Address)
		}
		entry.telemetry.Metrics.Tagged(map[string]string{"belief": string(beliefs[output.State])}).Counter("beliefs").Inc(1)
		entry.log(beliefs[output.State]).WithFields(logrus.Fields{
			"name": output.Name, "source": output.Source.String(), "version": output.Version,
		}).Info()
	case event.Ready:
		entry.ready.Store(true)
		entry.log(logevent.Ready).Info()
	case event.Drained:
		entry.log(logevent.Drained).Info()
	}
}

func (entry *Entry) order(id message.RequestID, output event.Output) {
	if found, ok := entry.findOrders(id); ok {
		found.queue <- output
	}
}

func (entry *Entry) findOrders(id message.RequestID) (*orders, bool) {
	entry.mutex.Lock()
	defer entry.mutex.Unlock()
	found, ok := entry.calls[id]
	return found, ok
}
