package admission

import (
	"time"

	"endivepost/internal/core/event"
	"endivepost/internal/core/idempotency"
	"endivepost/internal/core/suspects"
	"endivepost/internal/policy/order"
	"endivepost/internal/wire/message"
)

// reservationRow is a request that is queued or holds a claimed slot. Until it
// becomes a run nothing was sent to the upstream, so it can be refused as not run.
// The field deadline is the request's deadline or, once a slot is claimed, the end of
// the claim's lease. The field repetitions holds the later requests with the same
// idempotency key.
type reservationRow struct {
	peer        string
	reserve     message.Reserve
	claimed     bool
	deadline    time.Duration
	repetitions []repetitionRow
}

// repetitionRow is a later request with the idempotency key of a reservation or run. It
// gets the response of that request, which holds the key.
type repetitionRow struct {
	peer string
	id   message.RequestID
}

// WithClaim returns the row with a claimed slot, held until the deadline.
func (row reservationRow) WithClaim(deadline time.Duration) reservationRow {
	row.claimed = true
	row.deadline = deadline
	return row
}

// WithRepetition returns the row with one more repetition.
func (row reservationRow) WithRepetition(repetition repetitionRow) reservationRow {
	row.repetitions = append(row.repetitions[:len(row.repetitions):len(row.repetitions)], repetition)
	return row
}

// handleReserve queues a request or refuses it. A stored refusal is repeated, and a
// request that is already queued or was already started is ignored.
func (controller *Controller) handleReserve(now time.Duration, peer string, reserve message.Reserve) {
	if reason, ok := controller.refusals.Get(reserve.ID); ok {
		controller.replyRefused(now, peer, reserve.ID, reason)
		return
	}
	if controller.isKnown(reserve.ID) {
		return
	}
	crashes, _ := controller.suspects.Crashes(now, reserve.Fingerprint)
	reserve.Crashes = max(reserve.Crashes, crashes)
	row := reservationRow{peer: peer, reserve: reserve, deadline: now + reserve.Timeout}
	if reason := controller.refusalReason(now, reserve); reason != message.NoReason {
		controller.replyRefused(now, peer, reserve.ID, reason)
		return
	}
	if !controller.ensureCapacity(now, row) {
		controller.replyRefused(now, peer, reserve.ID, message.QueueFull)
		return
	}
	if reserve.Key != (message.Digest{}) && !controller.admitKey(now, row) {
		return
	}
	controller.reservations.Put(reserve.ID, row)
	controller.reservationDue.Set(reserve.ID, row.deadline)
	controller.settings.Order.Add(now, row.item())
}

func (row reservationRow) item() order.Item[message.RequestID] {
	return order.Item[message.RequestID]{
		Key:     row.reserve.ID,
		Tier:    row.reserve.Tier,
		Class:   row.reserve.Class,
		Account: row.reserve.Account,
		Work:    1,
	}
}

func (controller *Controller) isKnown(id message.RequestID) bool {
	if _, ok := controller.reservations.Get(id); ok {
		return true
	}
	_, ok := controller.findRun(id)
	return ok
}

// refusalReason returns why a new request is refused, or NoReason. The age of a
// pushed request is measured by this process's clock: its Echo is a reading of this
// clock that the entry received before it sent the request.
func (controller *Controller) refusalReason(now time.Duration, reserve message.Reserve) message.Reason {
	switch {
	case controller.draining:
		return message.Draining
	case !controller.admits():
		return controller.upstreamRefusal()
	case reserve.Payload != nil && now-reserve.Echo > controller.settings.PushLease:
		return message.LeaseExpired
	case reserve.Key != (message.Digest{}) && controller.config.Version() == 0:
		return message.NotReady
	case reserve.Crashes >= suspects.CrashLimit:
		return message.Suspect
	}
	return message.NoReason
}

// ensureCapacity evicts a queued request of a lower tier if the queue is full. It
// reports whether the request fits into the queue.
func (controller *Controller) ensureCapacity(now time.Duration, row reservationRow) bool {
	if controller.settings.Order.Fits(row.item(), controller.settings.QueueCapacity) {
		return true
	}
	victim, ok := controller.settings.Order.Victim(row.reserve.Tier)
	if !ok {
		return false
	}
	evicted, _ := controller.reservations.Get(victim.Key)
	controller.refuse(now, evicted, message.QueueFull)
	return true
}

// admitKey looks the key up in the idempotency table. It reports whether the request
// may be queued. If not, it has joined the request that holds the key, or a reply was
// sent.
func (controller *Controller) admitKey(now time.Duration, row reservationRow) bool {
	reserve := row.reserve
	query := idempotency.Query{
		RequestID: reserve.ID, Class: reserve.Class, Key: reserve.Key, KeyCreatedAt: reserve.KeyCreatedAt, BodyDigest: reserve.BodyDigest,
	}
	decision, held := controller.keys.Admit(now, query)
	switch decision {
	case idempotency.Admit:
		return true
	case idempotency.Duplicate:
		controller.joinDuplicate(row.peer, reserve.ID, held.RequestID)
	case idempotency.Conflict:
		controller.replyRefused(now, row.peer, reserve.ID, message.KeyConflict)
	case idempotency.NotOwner:
		controller.replyRefused(now, row.peer, reserve.ID, message.NotKeyOwner)
	case idempotency.TableFull:
		controller.replyRefused(now, row.peer, reserve.ID, message.KeyTableFull)
	case idempotency.Unverifiable:
		controller.send(row.peer, message.End{
			ID: reserve.ID, Outcome: message.Unknown, Reason: message.KeyUnverifiable, RetryAfter: controller.keys.VerifiableIn(now, query),
		})
	}
	return false
}

// joinDuplicate lets a repetition wait for the response of the request that holds
// the key, or replays the stored response. If neither exists any more, the outcome
// of the repetition is unknown.
func (controller *Controller) joinDuplicate(peer string, id, holder message.RequestID) {
	if row, ok := controller.reservations.Get(holder); ok {
		controller.reservations.Put(holder, row.WithRepetition(repetitionRow{peer: peer, id: id}))
		return
	}
	run, ok := controller.findRun(holder)
	if !ok {
		controller.send(peer, message.End{ID: id, Outcome: message.Unknown, Reason: message.Gap})
		return
	}
	controller.subscribe(run, peer, id)
	controller.replay(run, peer, id, 0)
}

// handleGrant starts the claimed request, unless its claim has expired or the upstream has
// announced meanwhile that it takes no new requests.
func (controller *Controller) handleGrant(now time.Duration, peer string, grant message.Grant) {
	row, ok := controller.reservations.Get(grant.ID)
	if !ok || !row.claimed || row.peer != peer || now >= row.deadline {
		controller.refuseLateGrant(now, peer, row, ok, grant.ID)
		return
	}
	if reason := controller.upstreamRefusal(); reason == message.Draining || reason == message.QueueFull {
		controller.refuse(now, row, reason)
		return
	}
	controller.removeReservation(grant.ID, row)
	controller.startRun(now, row, grant.Payload)
}

// refuseLateGrant refuses a grant without a valid claim. A repeated grant of a
// request that was started is ignored.
func (controller *Controller) refuseLateGrant(now time.Duration, peer string, row reservationRow, known bool, id message.RequestID) {
	if _, running := controller.findRun(id); running {
		return
	}
	if known && row.claimed {
		controller.refuse(now, row, message.LeaseExpired)
		return
	}
	controller.replyRefused(now, peer, id, message.LeaseExpired)
}

// handleWithdraw removes a queued request or cancels its run. A non-idempotent run
// is never cancelled, and the withdrawal of a repetition does not cancel the run that
// it waits for.
func (controller *Controller) handleWithdraw(now time.Duration, peer string, id message.RequestID) {
	if row, ok := controller.reservations.Get(id); ok {
		controller.withdrawQueued(now, row)
		return
	}
	run, ok := controller.findRun(id)
	if !ok {
		controller.replyUnknown(now, peer, id)
		return
	}
	if run.ended || run.reserve.NonIdempotent || run.reserve.ID != id {
		return
	}
	controller.emit(event.StopRun{ID: run.reserve.ID})
}

// withdrawQueued removes a queued request. An entry that never sent the body
// expects no reply, which saves a message for each unused reservation.
func (controller *Controller) withdrawQueued(now time.Duration, row reservationRow) {
	if row.reserve.Payload != nil || len(row.repetitions) > 0 {
		controller.refuse(now, row, message.Withdrawn)
		return
	}
	controller.removeReservation(row.reserve.ID, row)
	if row.reserve.Key != (message.Digest{}) {
		controller.keys.Release(row.reserve.Key)
	}
}

// replyUnknown replies about a request that is neither queued nor running. A stored
// refusal is repeated. Otherwise the request may have run, so its outcome is
// unknown.
func (controller *Controller) replyUnknown(now time.Duration, peer string, id message.RequestID) {
	if reason, ok := controller.refusals.Get(id); ok {
		controller.replyRefused(now, peer, id, reason)
		return
	}
	controller.send(peer, message.End{ID: id, Outcome: message.Unknown, Reason: message.Lost})
}

// refuse removes a request that was not sent to the upstream, and refuses it and
// its repetitions.
func (controller *Controller) refuse(now time.Duration, row reservationRow, reason message.Reason) {
	controller.removeReservation(row.reserve.ID, row)
	if row.reserve.Key != (message.Digest{}) {
		controller.keys.Release(row.reserve.Key)
	}
	controller.replyRefused(now, row.peer, row.reserve.ID, reason)
	for _, repetition := range row.repetitions {
		controller.replyRefused(now, repetition.peer, repetition.id, reason)
	}
}

func (controller *Controller) removeReservation(id message.RequestID, row reservationRow) {
	if row.claimed {
		controller.claimed--
	} else {
		controller.settings.Order.Remove(id)
	}
	controller.reservations.Delete(id)
	controller.reservationDue.Remove(id)
}

func (controller *Controller) replyRefused(now time.Duration, peer string, id message.RequestID, reason message.Reason) {
	if controller.refusals.Len() < maxStoredRefusals {
		controller.refusals.Put(id, reason)
		controller.refusalDue.Set(id, now+refusalTTL)
	}
	controller.send(peer, message.Refused{ID: id, Reason: reason, RetryAfter: controller.load(now).Wait})
}

// expireReservations refuses queued requests past their deadline and claims past
// their lease.
func (controller *Controller) expireReservations(now time.Duration) {
	for _, id := range controller.reservationDue.PopDue(now) {
		row, ok := controller.reservations.Get(id)
		if !ok {
			continue
		}
		reason := message.DeadlinePassed
		if row.claimed {
			reason = message.LeaseExpired
		}
		controller.refuse(now, row, reason)
	}
}

func (controller *Controller) expireRefusals(now time.Duration) {
	for _, id := range controller.refusalDue.PopDue(now) {
		controller.refusals.Delete(id)
	}
}
