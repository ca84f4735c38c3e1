package direct

import (
	"time"

	"endivepost/internal/core/event"
	"endivepost/internal/node/dialect"
	"endivepost/internal/node/logevent"
)

// reportCold reports to the dispatcher for how much longer an upstream is cold, as it said in
// the response to a request sent at the given uptime. An invalid time is logged and changes
// nothing.
func (entry *Entry) reportCold(upstream string, sentAt time.Duration, cold dialect.ColdTime) {
	switch {
	case cold.Err != nil:
		entry.log(logevent.FieldIgnored).WithField("request", "").WithField("detail", cold.Err.Error()).Info()
	case cold.Named:
		entry.loop.Post(event.ColdReported{Upstream: upstream, Remaining: cold.For, SentAt: sentAt})
	}
}
