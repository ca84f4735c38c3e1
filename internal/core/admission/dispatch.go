package admission

import (
	"time"

	"endivepost/internal/core/event"
	"endivepost/internal/policy/order"
	"endivepost/internal/wire/message"
)

// dispatch fills free slots with the requests that the order policy picks. Pushed
// requests start at once, others are claimed from their entry.
func (controller *Controller) dispatch(now time.Duration) {
	for controller.admits() && !controller.awaitsTrial(now) && controller.running+controller.claimed < controller.settings.Limit.Limit() {
		item, ok := controller.settings.Order.Pick(now, controller.mustWait)
		if !ok {
			return
		}
		controller.startTrial(now)
		row, _ := controller.reservations.Get(item.Key)
		if row.reserve.Payload != nil {
			controller.reservations.Delete(item.Key)
			controller.reservationDue.Remove(item.Key)
			controller.startRun(now, row, *row.reserve.Payload)
			continue
		}
		controller.claim(now, row)
	}
}

// mustWait makes a crash suspect wait while another one is in flight. With one
// suspect in flight at a time, a further crash can be attributed to it alone.
func (controller *Controller) mustWait(item order.Item[message.RequestID]) bool {
	row, _ := controller.reservations.Get(item.Key)
	return row.reserve.Crashes > 0 && controller.suspectInFlight()
}

func (controller *Controller) suspectInFlight() bool {
	for _, id := range controller.runs.Keys() {
		run, _ := controller.runs.Get(id)
		if !run.ended && run.reserve.Crashes > 0 {
			return true
		}
	}
	for _, id := range controller.reservations.Keys() {
		row, _ := controller.reservations.Get(id)
		if row.claimed && row.reserve.Crashes > 0 {
			return true
		}
	}
	return false
}

func (controller *Controller) claim(now time.Duration, row reservationRow) {
	claimed := row.WithClaim(now + controller.settings.ClaimLease)
	controller.reservations.Put(row.reserve.ID, claimed)
	controller.reservationDue.Set(row.reserve.ID, claimed.deadline)
	controller.claimed++
	controller.send(row.peer, message.Claim{ID: row.reserve.ID})
}

func (controller *Controller) setUpstreamUp(now time.Duration, up bool) {
	controller.upstreamUp = up
	if !up {
		controller.upstreamLeaving = false
		controller.refuseQueued(now, message.UpstreamDown)
	}
}

func (controller *Controller) refuseQueued(now time.Duration, reason message.Reason) {
	for _, id := range controller.reservations.Keys() {
		row, _ := controller.reservations.Get(id)
		if !row.claimed {
			controller.refuse(now, row, reason)
		}
	}
}

func (controller *Controller) startDrain(now time.Duration) {
	controller.draining = true
	controller.heartbeatDue = now
	controller.refuseQueued(now, message.Draining)
}

func (controller *Controller) reportDrained(now time.Duration) {
	if !controller.draining || controller.drained || controller.running > 0 || controller.claimed > 0 || controller.hasUndelivered(now) {
		return
	}
	controller.drained = true
	controller.emit(event.Drained{})
}

// hasUndelivered reports whether a drain must wait for an entry: until an echo
// acknowledges the end of its response or, after its connection was lost, until it
// reconnects. A request may be lost with a connection, and only this process knows
// that such a request did not run. The wait ends after ReattachTimeout, or when the
// entry announces that it is leaving.
func (controller *Controller) hasUndelivered(now time.Duration) bool {
	for _, peer := range controller.links.Keys() {
		if link, _ := controller.links.Get(peer); !link.open && !link.leaving && now-link.heardAt < controller.settings.ReattachTimeout {
			return true
		}
	}
	for _, id := range controller.runs.Keys() {
		run, _ := controller.runs.Get(id)
		link, _ := controller.links.Get(run.peer)
		arrived := link.leaving || link.open && link.echo > run.updatedAt
		if !arrived && now-run.updatedAt < controller.settings.ReattachTimeout {
			return true
		}
	}
	return false
}
