package direct

import (
	"context"
	"time"

	"github.com/sirupsen/logrus"

	"endivepost/internal/core/event"
	"endivepost/internal/node/httpserver"
	"endivepost/internal/node/logevent"
)

const (
	// balancerDrainDelay is how long the load balancer may still open connections
	// after this process reports not ready: it stops after two failed probes, which
	// are one second apart.
	balancerDrainDelay = 2800 * time.Millisecond
	// earlierPoll is the time between two checks whether earlier requests are in flight, and
	// closeMargin the time for the last responses before the drain ends.
	earlierPoll = 20 * time.Millisecond
	closeMargin = 300 * time.Millisecond
	// exitMargin is the time between the end of the drain and the kill at the end of
	// the grace period; flushTimeout bounds the flush of the links to other entries.
	exitMargin   = 500 * time.Millisecond
	flushTimeout = 100 * time.Millisecond
)

// drain serves new requests until the load balancer has stopped sending them, and then, as
// long as earlier ones are in flight, those that certainly end before the exit: while other
// entries stop too, there may be none to take them. Then it closes the callers' listener
// and idle connections.
func (entry *Entry) drain(callers *httpserver.Server) {
	ctx, cancel := context.WithTimeout(context.Background(), entry.settings.Grace-exitMargin)
	defer cancel()
	entry.log(logevent.Draining).WithField("in-progress", entry.inProgress()).Info()
	entry.draining.Store(true)
	exitIn := entry.settings.Grace - exitMargin
	releasedIn := min(balancerDrainDelay, exitIn)
	entry.loop.Post(event.DrainStarted{ExitIn: exitIn, ReleasedIn: releasedIn})
	time.Sleep(releasedIn)
	entry.released.Store(true)
	entry.awaitEarlier(exitIn - releasedIn - closeMargin)
	if err := callers.Shutdown(ctx); err != nil {
		connections := callers.Connections()
		entry.log(logevent.ShutdownCutOff).WithError(err).WithFields(logrus.Fields{
			"in-progress": entry.inProgress(), "reading": entry.reading.Load(), "connections-new": connections.New, "connections-active": connections.Active,
		}).Warn()
	}
	entry.closeLinks()
	entry.log(logevent.Stopped).Info()
}

// awaitEarlier waits for the requests that arrived before the load balancer sent them
// elsewhere, at most for the given time.
func (entry *Entry) awaitEarlier(limit time.Duration) {
	deadline := time.Now().Add(limit)
	for time.Now().Before(deadline) && entry.earlier.Load() > 0 {
		time.Sleep(earlierPoll)
	}
}

func (entry *Entry) inProgress() int {
	entry.mutex.Lock()
	defer entry.mutex.Unlock()
	return len(entry.active)
}
