package direct

import (
	"endivepost/internal/core/event"
	"endivepost/internal/node/dialect"
	"endivepost/internal/node/logevent"
)

// reportLoad reports the load that a response states to the dispatcher. An invalid load is
// logged and changes nothing.
func (entry *Entry) reportLoad(upstream string, load dialect.Load) {
	if load.Err != nil {
		entry.log(logevent.FieldIgnored).WithField("request", "").WithField("detail", load.Err.Error()).Info()
		return
	}
	if load.Stated {
		entry.loop.Post(event.LoadReported{
			Upstream: upstream, Running: load.Running, Waiting: load.Waiting, Slots: load.Slots, Slowdown: load.Slowdown,
		})
	}
}
