package direct

import (
	"endivepost/internal/core/event"
	"endivepost/internal/node/dialect"
	"endivepost/internal/node/logevent"
)

// reportBackoff reports to the dispatcher for how long an upstream wants nothing. An invalid
// time changes nothing; it is logged once for each upstream.
func (entry *Entry) reportBackoff(upstream string, backoff dialect.Backoff) {
	switch {
	case backoff.Err != nil:
		if entry.isFirstInvalidBackoff(upstream) {
			entry.log(logevent.FieldIgnored).WithField("request", "").WithField("detail", backoff.Err.Error()).Info()
		}
	case backoff.For > 0:
		entry.loop.Post(event.BackoffRequested{Upstream: upstream, For: backoff.For})
	}
}

func (entry *Entry) isFirstInvalidBackoff(upstream string) bool {
	entry.mutex.Lock()
	defer entry.mutex.Unlock()
	first := !entry.invalidBackoffs[upstream]
	entry.invalidBackoffs[upstream] = true
	return first
}

// forgetInvalidBackoffs forgets an upstream that left.
func (entry *Entry) forgetInvalidBackoffs(upstream string) {
	entry.mutex.Lock()
	defer entry.mutex.Unlock()
	delete(entry.invalidBackoffs, upstream)
}
