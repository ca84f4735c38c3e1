package dispatch

import (
	"fmt"
	"slices"
	"time"

	"endivepost/internal/core/crashcause"
	"endivepost/internal/core/event"
	"endivepost/internal/wire/message"
)

// reportInterruption records an interrupted attempt. A response that had been under way
// for crashcause.SurvivalTime did not cause a crash, so it is reported without attributes.
func (dispatcher *Dispatcher) reportInterruption(now time.Duration, row requestRow) {
	attributes := row.attributes
	if row.firstByteReceived && now-row.firstByteAt >= crashcause.SurvivalTime {
		attributes = nil
	}
	dispatcher.crashCauses.Interrupted(now, message.Interruption{
		Attempt: row.request.ID.WithAttempt(row.attemptNumber), Upstream: row.upstream, SentAge: now - row.sentAt, Attributes: attributes,
	})
}

// reportSurvival records that the upstream survived the response of the request, and returns
// its row.
func (dispatcher *Dispatcher) reportSurvival(now time.Duration, row requestRow) requestRow {
	dispatcher.crashCauses.Survived(row.upstream, row.attributes, len(row.request.Prompt.Shared()), row.sentAt)
	return dispatcher.endTrial(now, row)
}

// sendTrial sends a request with a blamed attribute to find out whether upstreams survive
// it, and returns whether one has capacity for it. What speaks most clearly is one that
// crashed under the attribute and is sound again; one that has survived it says least.
func (dispatcher *Dispatcher) sendTrial(now time.Duration, row requestRow) bool {
	crashed, survived := dispatcher.crashCauses.Evidence(row.attributes)
	avoided := func(name string) bool { return now < dispatcher.upstream(name).avoidUntil }
	sound := func(name string) bool { return !avoided(name) && dispatcher.upstream(name).failures == 0 }
	for _, eligible := range []func(name string) bool{
		func(name string) bool { return sound(name) && slices.Contains(crashed, name) },
		func(name string) bool { return sound(name) && !slices.Contains(survived, name) },
		func(name string) bool { return !avoided(name) && !slices.Contains(survived, name) },
		func(name string) bool { return !avoided(name) },
	} {
		chosen, found := dispatcher.chooseFrom(now, row, func(upstream event.Upstream) bool { return eligible(upstream.Name) })
		if !found || !dispatcher.hasCapacity(now, row, chosen) {
			continue
		}
		row.trial = true
		dispatcher.crashCauses.Try(now, row.request.ID.WithAttempt(row.attemptNumber+1), row.attributes)
		dispatcher.send(now, row, chosen)
		return true
	}
	return false
}

// endTrial records that the request's attempt, if it is a trial, was not interrupted. It
// changes nothing for one that was. It returns the row without the trial.
func (dispatcher *Dispatcher) endTrial(now time.Duration, row requestRow) requestRow {
	if row.trial {
		dispatcher.crashCauses.EndTrial(now, row.request.ID.WithAttempt(row.attemptNumber), row.attributes)
		row.trial = false
	}
	return row
}

// reviewCrashCauses has new interruptions told to the peers at once. It finds the causes of
// crashes anew, at most every crashReviewInterval, and rejects the waiting requests that
// would cause more.
func (dispatcher *Dispatcher) reviewCrashCauses(now time.Duration) {
	if dispatcher.crashCauses.Urgent() {
		dispatcher.heartbeatDue = min(dispatcher.heartbeatDue, now)
	}
	if due, found := dispatcher.crashCauses.ReviewDue(); !found || now < max(due, dispatcher.crashReviewDue) {
		return
	}
	dispatcher.crashReviewDue = now + crashReviewInterval
	blamed, cleared := dispatcher.crashCauses.Review(now)
	for _, cause := range blamed {
		dispatcher.emit(cause)
	}
	for _, attribute := range cleared {
		dispatcher.emit(event.StateChanged{State: event.BlameCleared, Name: fmt.Sprintf("%016x", attribute)})
	}
	if len(blamed) > 0 {
		dispatcher.rejectBlamed(now)
	}
}

// blamed returns whether the request has an attribute that is blamed for crashes.
func (dispatcher *Dispatcher) blamed(now time.Duration, row requestRow) bool {
	_, blamed := dispatcher.crashCauses.Cause(now, row.attributes)
	return blamed
}

// rejectBlamed rejects the waiting requests with an attribute that is blamed for crashes.
func (dispatcher *Dispatcher) rejectBlamed(now time.Duration) {
	for _, id := range dispatcher.requests.Keys() {
		row, ok := dispatcher.requests.Get(id)
		if !ok || row.state != waiting {
			continue
		}
		if dispatcher.blamed(now, row) {
			dispatcher.abort(now, row, message.Suspect)
		}
	}
}
