package dispatch

import "time"

// NextDue returns the uptime at which the next step is due if no input arrives.
func (dispatcher *Dispatcher) NextDue() time.Duration {
	next := min(dispatcher.heartbeatDue, dispatcher.lastStep+maxStepInterval)
	if due, ok := dispatcher.requestDue.Next(); ok {
		next = min(next, due)
	}
	if due, ok := dispatcher.mesh.NextDue(); ok {
		next = min(next, due)
	}
	if dispatcher.capacityFreed && len(dispatcher.queuedTokens) > 0 {
		next = min(next, max(dispatcher.admitDue, dispatcher.holdUntil))
	}
	if dispatcher.limitDue > 0 && len(dispatcher.queuedTokens) > 0 {
		next = min(next, dispatcher.limitDue)
	}
	if dispatcher.backoffDue > 0 {
		next = min(next, dispatcher.backoffDue)
	}
	if due, found := dispatcher.evacuationsDue(); found {
		next = min(next, due)
	}
	if dispatcher.exitAt > 0 && !dispatcher.answered {
		next = min(next, dispatcher.exitAt-lastAnswers)
	}
	if dispatcher.originsDue > 0 {
		next = min(next, dispatcher.originsDue)
	}
	if due, needed := dispatcher.listReads.Due(dispatcher.lastStep, dispatcher.mesh.KnownCount()); needed {
		next = min(next, due)
	}
	if dispatcher.requests.Len() > 0 {
		next = min(next, dispatcher.livenessCheckDue)
	}
	if due, found := dispatcher.crashCauses.ReviewDue(); found {
		next = min(next, max(due, dispatcher.crashReviewDue))
	}
	return next
}
