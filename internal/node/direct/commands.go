package direct

import (
	"context"
	"errors"
	"sync"

	"endivepost/internal/core/event"
)

// commands passes the dispatcher's outputs for one request to its goroutine.
type commands struct {
	queue chan event.Output
	mutex sync.Mutex
	// cancel cancels the attempt in progress, which has the number; nil if there is none.
	cancel context.CancelCauseFunc
	number int
	// stopped is the number of the latest attempt that was to be stopped.
	stopped int
	// upstream and domain are those of the latest attempt, withdrawn is set if it is not to be
	// sent any more.
	upstream  string
	domain    string
	withdrawn bool
}

// maxCommands bounds the outputs queued for a request's goroutine. The dispatcher
// emits one attempt at a time and one final outcome, so the queue never fills up.
const maxCommands = 4

// errStopped is the cause of a context that was cancelled by the dispatcher.
var errStopped = errors.New("stopped by the dispatcher")

// stop cancels the attempt with the number, in progress or yet to begin. It does nothing if
// that one has ended.
func (commands *commands) stop(number int) {
	commands.mutex.Lock()
	defer commands.mutex.Unlock()
	commands.stopped = number
	if commands.cancel != nil && commands.number == number {
		commands.cancel(errStopped)
	}
}

// begin sets the function that cancels the attempt with the number.
func (commands *commands) begin(number int, cancel context.CancelCauseFunc) {
	commands.mutex.Lock()
	defer commands.mutex.Unlock()
	commands.number = number
	commands.cancel = cancel
	if commands.stopped == number {
		cancel(errStopped)
	}
}

// end records that the attempt in progress has ended.
func (commands *commands) end() {
	commands.mutex.Lock()
	defer commands.mutex.Unlock()
	commands.cancel = nil
}
