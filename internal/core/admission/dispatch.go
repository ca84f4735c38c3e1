package admission

import (
	"time"

	"endivepost/internal/core/event"
	"endivepost/internal/policy/order"
	"endivepost/internal/wire/message"
)

// dispatch fills free slots with the requests that the order policy picks.
func (gate *Controller) dispatch(now time.Duration) {
	for gate.upstreamUp && gate.running+gate.claimed < gate.settings.Limit.Limit() {
		item, ok := gate.settings.Order.Pick(now, gate.mustWait)
		if !ok {
			return
		}
		row, _ := gate.reservations.Get(item.Key)
		if row.reserve.Payload != nil {
			gate.reservations.Delete(item.Key)
			gate.waitDue.Remove(item.Key)
			gate.start(now, row, *row.reserve.Payload)
			continue
		}
		gate.claim(now, row)
	}
}

// mustWait keeps suspects apart: a second one waits until the first has ended,
// so that a further crash tells them from their innocent neighbours.
func (gate *Controller) mustWait(item order.Item[message.RequestID]) bool {
	row, _ := gate.reservations.Get(item.Key)
	return row.reserve.Crashes > 0 && gate.suspectInProgress()
}

func (gate *Controller) suspectInProgress() bool {
	for _, id := range gate.runs.Keys() {
		run, _ := gate.runs.Get(id)
		if !run.ended && run.reserve.Crashes > 0 {
			return true
		}
	}
	for _, id := range gate.reservations.Keys() {
		row, _ := gate.reservations.Get(id)
		if row.claimed && row.reserve.Crashes > 0 {
			return true
		}
	}
	return false
}

func (gate *Controller) claim(now time.Duration, row reservationRow) {
	claimed := row.WithClaim(now + gate.settings.ClaimLease)
	gate.reservations.Put(row.reserve.ID, claimed)
	gate.waitDue.Set(row.reserve.ID, claimed.deadline)
	gate.claimed++
	gate.send(row.peer, message.Claim{ID: row.reserve.ID})
}

func (gate *Controller) setUpstream(now time.Duration, up bool) {
	gate.upstreamUp = up
	if !up {
		gate.refuseWaiting(now, message.UpstreamDown)
	}
}

func (gate *Controller) refuseWaiting(now time.Duration, reason message.Reason) {
	for _, id := range gate.reservations.Keys() {
		row, _ := gate.reservations.Get(id)
		if !row.claimed {
			gate.refuse(now, row, reason)
		}
	}
}

func (gate *Controller) beginDrain(now time.Duration) {
	gate.draining = true
	gate.heartbeatDue = now
	gate.refuseWaiting(now, message.Draining)
}

func (gate *Controller) reportDrained(now time.Duration) {
	if !gate.draining || gate.drained || gate.running > 0 || gate.claimed > 0 || gate.owesAnswers(now) {
		return
	}
	gate.drained = true
	gate.emit(event.Drained{})
}

// owesAnswers says whether an entry may still come back for an answer: its end
// was written, but nothing says that it arrived; or its connection was lost, and
// only this process can tell it that a request lost with it did not run.
func (gate *Controller) owesAnswers(now time.Duration) bool {
	for _, peer := range gate.links.Keys() {
		if link, _ := gate.links.Get(peer); !link.open && !link.gone && now-link.heard < gate.settings.ReattachTimeout {
			return true
		}
	}
	for _, id := range gate.runs.Keys() {
		run, _ := gate.runs.Get(id)
		link, _ := gate.links.Get(run.peer)
		arrived := link.gone || link.open && link.echo > run.latest
		if !arrived && now-run.latest < gate.settings.ReattachTimeout {
			return true
		}
	}
	return false
}
