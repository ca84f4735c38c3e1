package direct

import (
	"context"
	"time"

	"endivepost/internal/core/event"
	"endivepost/internal/node/logevent"
)

// probe opens a connection to a silent upstream: whether it succeeds tells an upstream that
// is gone from one that is paused. A failure that took much longer than it may is repeated,
// since this process was paused meanwhile.
func (entry *Entry) probe(silent event.UpstreamSilent) {
	started := time.Now()
	err := entry.exchange.Probe(context.Background(), silent.Address)
	for err != nil && time.Since(started) > 2*dialTimeout {
		started = time.Now()
		err = entry.exchange.Probe(context.Background(), silent.Address)
	}
	if err != nil {
		entry.countBelief(logevent.UpstreamUnreachable)
		entry.log(logevent.UpstreamUnreachable).WithField("name", silent.Name).WithError(err).Info()
	}
	entry.loop.Post(event.UpstreamProbed{Name: silent.Name, Reachable: err == nil})
}
