package admission

import (
	"time"

	"endivepost/internal/core/event"
	"endivepost/internal/wire/message"
)

// trialTime is how long after the end of a backoff the first request is the only one that is
// started, unless a response begins before. An upstream that turns it away does so at once.
const trialTime = 250 * time.Millisecond

// backoff is the time for which the upstream asked to be sent nothing. Afterwards one request
// is started first.
type backoff struct {
	active     bool
	since      time.Duration
	until      time.Duration
	trial      bool
	trialUntil time.Duration
}

// admits returns whether the upstream may be sent new requests: it is up, has not announced
// that it leaves and has not asked for a backoff that lasts.
func (controller *Controller) admits() bool {
	return controller.upstreamUp && !controller.upstreamLeaving && !controller.backoff.active
}

// upstreamRefusal returns why the upstream may not be sent new requests, or NoReason.
func (controller *Controller) upstreamRefusal() message.Reason {
	switch {
	case !controller.upstreamUp:
		return message.UpstreamDown
	case controller.upstreamLeaving:
		return message.Draining
	case controller.backoff.active:
		return message.QueueFull
	}
	return message.NoReason
}

// handleLeavingAnnounced handles a response in which the upstream announces that it leaves. It
// gets nothing more until another process answers in its place, which is known from a check
// that failed meanwhile.
func (controller *Controller) handleLeavingAnnounced(now time.Duration) {
	if controller.upstreamLeaving {
		return
	}
	controller.upstreamLeaving = true
	controller.heartbeatDue = now
	controller.emit(event.StateChanged{State: event.AnnouncedLeaving, Source: event.OwnResponses, Name: controller.settings.Name})
	controller.refuseQueued(now, message.Draining)
}

// handleBackoff handles a response in which the upstream asks to be sent nothing for a time. Of
// several such responses the one counts that ends last.
func (controller *Controller) handleBackoff(now time.Duration, input event.BackoffRequested) {
	before := controller.backoff
	until := now + input.For
	if until <= now || before.active && until <= before.until {
		return
	}
	controller.backoff = backoff{active: true, since: now, until: until}
	controller.heartbeatDue = now
	if before.active {
		controller.backoff.since = before.since
		return
	}
	controller.emit(event.StateChanged{State: event.BackoffStarted, Source: event.OwnResponses, Name: controller.settings.Name, For: input.For})
	controller.refuseQueued(now, message.QueueFull)
}

// expireBackoff ends the backoff once its time is over.
func (controller *Controller) expireBackoff(now time.Duration) {
	if !controller.backoff.active || now < controller.backoff.until {
		return
	}
	controller.emit(event.StateChanged{
		State: event.BackoffEnded, Source: event.OwnResponses, Name: controller.settings.Name, For: now - controller.backoff.since,
	})
	controller.backoff = backoff{trial: true}
	controller.heartbeatDue = now
}

// backoffLeft returns for how long the upstream still wants nothing.
func (controller *Controller) backoffLeft(now time.Duration) time.Duration {
	if !controller.backoff.active {
		return 0
	}
	return max(controller.backoff.until-now, 0)
}

// awaitsTrial returns whether the first request after a backoff is the only one for now.
func (controller *Controller) awaitsTrial(now time.Duration) bool {
	return controller.backoff.trialUntil > now
}

// startTrial records that a slot is given to a request, which after a backoff is the first.
func (controller *Controller) startTrial(now time.Duration) {
	if controller.backoff.trial {
		controller.backoff.trial = false
		controller.backoff.trialUntil = now + trialTime
	}
}

// endTrial records that a response has begun.
func (controller *Controller) endTrial() {
	controller.backoff.trialUntil = 0
}

// nextBackoffDue returns when a backoff or a trial ends, 0 if there is none.
func (controller *Controller) nextBackoffDue() time.Duration {
	if controller.backoff.active {
		return controller.backoff.until
	}
	return controller.backoff.trialUntil
}
