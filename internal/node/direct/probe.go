package direct

import (
	"context"

	"endivepost/internal/core/event"
	"endivepost/internal/node/logevent"
)

// probe opens a connection to a silent upstream: whether it succeeds tells an upstream that
// is gone from one that is paused.
func (entry *Entry) probe(silent event.UpstreamSilent) {
	err := entry.exchange.Probe(context.Background(), silent.Address)
	if err != nil {
		entry.countBelief(logevent.UpstreamUnreachable)
		entry.log(logevent.UpstreamUnreachable).WithField("name", silent.Name).WithError(err).Info()
	}
	entry.loop.Post(event.UpstreamProbed{Name: silent.Name, Reachable: err == nil})
}
