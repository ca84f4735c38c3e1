package dispatch

import (
	"time"

	"endivepost/internal/core/event"
)

// startDrain shortens the wait of the queued requests: what cannot be answered before the
// process exits is refused while another entry can still take it.
func (dispatcher *Dispatcher) startDrain(now, exitIn time.Duration) {
	dispatcher.draining = true
	if exitIn <= 0 {
		return
	}
	dispatcher.exitAt = now + exitIn
	for _, id := range dispatcher.requests.Keys() {
		row, _ := dispatcher.requests.Get(id)
		if !row.queued {
			continue
		}
		row.queueDeadline = dispatcher.latestStart(row)
		dispatcher.requests.Put(id, row)
		dispatcher.requestDue.Set(id, row.queueDeadline)
	}
}

// reportDrained emits Drained once the draining entry has no request left.
func (dispatcher *Dispatcher) reportDrained() {
	if !dispatcher.draining || dispatcher.drained || dispatcher.requests.Len() > 0 {
		return
	}
	dispatcher.drained = true
	dispatcher.emit(event.Drained{})
}
