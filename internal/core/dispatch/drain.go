package dispatch

import (
	"time"

	"endivepost/internal/core/event"
	"endivepost/internal/wire/message"
)

// startDrain shortens the wait of the queued requests: what cannot be answered before the
// process exits is refused while another entry can still take it.
func (dispatcher *Dispatcher) startDrain(now time.Duration, started event.DrainStarted) {
	dispatcher.draining = true
	if started.ExitIn <= 0 {
		return
	}
	dispatcher.exitAt = now + started.ExitIn
	dispatcher.releasedAt = now + started.ReleasedIn
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

// outlivesProcess returns whether the stop would cut off the response to a request of which
// nothing has been sent yet: probably, or, for one that arrives once the load balancer sends
// requests elsewhere, possibly. Another entry can take it at once.
func (dispatcher *Dispatcher) outlivesProcess(now time.Duration, row requestRow) bool {
	if dispatcher.exitAt == 0 || row.attemptsSent > 0 || row.deadline <= dispatcher.exitAt-lastAnswers {
		return false
	}
	return row.arrived >= dispatcher.releasedAt || now >= dispatcher.latestStart(row)
}

// lastAnswers is how long before the exit requests without any response are answered.
const lastAnswers = 400 * time.Millisecond

// exiting returns whether the process is about to exit.
func (dispatcher *Dispatcher) exiting(now time.Duration) bool {
	return dispatcher.exitAt > 0 && now >= dispatcher.exitAt-lastAnswers
}

// answerBeforeExit stops the attempts of which the caller has nothing yet right before the
// exit: an error tells the caller more than a closed connection.
func (dispatcher *Dispatcher) answerBeforeExit(now time.Duration) {
	if dispatcher.answered || !dispatcher.exiting(now) {
		return
	}
	dispatcher.answered = true
	for _, id := range dispatcher.requests.Keys() {
		row, _ := dispatcher.requests.Get(id)
		switch {
		case row.state == waiting:
			dispatcher.abort(now, row, message.Draining)
		case row.state == running && !row.firstByteReceived && !row.delivered:
			row.state = stopping
			dispatcher.requests.Put(id, row)
			dispatcher.emit(event.StopRun{ID: id, Number: row.attemptNumber})
		}
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
