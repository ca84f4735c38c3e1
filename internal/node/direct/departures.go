package direct

import (
	"errors"

	"endivepost/internal/core/event"
)

// errWithdrawn means that the upstream of an attempt was found not to take requests any more
// before anything was sent.
var errWithdrawn = errors.New("the upstream takes no more requests")

// reportLeaving reports to the dispatcher that the response to an attempt announces the
// leaving of its upstream.
func (entry *Entry) reportLeaving(attempt event.Attempt, leaving bool) {
	if leaving {
		entry.loop.Post(event.LeavingAnnounced{Upstream: attempt.Upstream, Started: attempt.Started})
	}
}

// startAttempt passes an attempt to the goroutine of its request, if that still runs.
func (entry *Entry) startAttempt(attempt event.Attempt) {
	if found, ok := entry.findCommands(attempt.ID); ok {
		found.startAt(attempt.Upstream, attempt.Domain)
		found.queue <- attempt
	}
}

// withdrawAttempts withdraws the attempts at the upstream of which nothing was sent yet. The
// others go on.
func (entry *Entry) withdrawAttempts(upstream string) {
	entry.mutex.Lock()
	defer entry.mutex.Unlock()
	for _, commands := range entry.active {
		commands.withdraw(upstream)
	}
}

// startAt records the upstream of a new attempt and its domain.
func (commands *commands) startAt(upstream, domain string) {
	commands.mutex.Lock()
	defer commands.mutex.Unlock()
	commands.upstream = upstream
	commands.domain = domain
	commands.withdrawn = false
}

// withdraw withdraws the latest attempt if it is at the upstream.
func (commands *commands) withdraw(upstream string) {
	commands.mutex.Lock()
	defer commands.mutex.Unlock()
	commands.withdrawn = commands.withdrawn || commands.upstream == upstream
}

// isWithdrawn returns whether the latest attempt is not to be sent any more.
func (commands *commands) isWithdrawn() bool {
	commands.mutex.Lock()
	defer commands.mutex.Unlock()
	return commands.withdrawn
}
