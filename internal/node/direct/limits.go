package direct

import (
	"endivepost/internal/core/event"
	"endivepost/internal/node/dialect"
	"endivepost/internal/node/logevent"
)

// reportLimit reports the rate limit in a response to the dispatcher. Responses without one
// are reported only after one with it. An invalid limit is logged and changes nothing.
func (entry *Entry) reportLimit(upstream string, limit dialect.RateLimit) {
	if limit.Err != nil {
		entry.log(logevent.FieldIgnored).WithField("request", "").WithField("detail", limit.Err.Error()).Info()
		return
	}
	if !limit.Named && !entry.isLimited(upstream) {
		return
	}
	entry.setLimited(upstream, limit.Named)
	entry.loop.Post(event.LimitReported{Upstream: upstream, Limited: limit.Named, PerSecond: limit.PerSecond})
}

func (entry *Entry) isLimited(upstream string) bool {
	entry.mutex.Lock()
	defer entry.mutex.Unlock()
	return entry.limited[upstream]
}

// setLimited records whether the upstream is limited, by its own responses or those to
// other entries.
func (entry *Entry) setLimited(upstream string, limited bool) {
	entry.mutex.Lock()
	defer entry.mutex.Unlock()
	if !limited {
		delete(entry.limited, upstream)
		return
	}
	entry.limited[upstream] = true
}
