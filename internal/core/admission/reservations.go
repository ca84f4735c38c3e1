package admission

import (
	"time"

	"endivepost/internal/core/event"
	"endivepost/internal/core/idempotency"
	"endivepost/internal/core/suspects"
	"endivepost/internal/policy/order"
	"endivepost/internal/wire/message"
)

// reservationRow is a request that waits here, or holds a claimed slot. Until
// its row becomes a run nothing was handed over, so its refusal is true.
type reservationRow struct {
	peer     string
	reserve  message.Reserve
	claimed  bool
	deadline time.Duration
	joined   []joinRow
}

// joinRow is a repeated request that waits for the row which holds its key.
type joinRow struct {
	peer string
	id   message.RequestID
}

// WithClaim returns the row as one that holds a slot until the deadline.
func (row reservationRow) WithClaim(deadline time.Duration) reservationRow {
	row.claimed = true
	row.deadline = deadline
	return row
}

// WithJoined returns the row with one more repeated request.
func (row reservationRow) WithJoined(join joinRow) reservationRow {
	row.joined = append(row.joined[:len(row.joined):len(row.joined)], join)
	return row
}

func (gate *Controller) reserve(now time.Duration, peer string, reserve message.Reserve) {
	if reason, ok := gate.refusals.Get(reserve.ID); ok {
		gate.answerRefused(now, peer, reserve.ID, reason)
		return
	}
	if gate.knows(reserve.ID) {
		return
	}
	crashes, _ := gate.suspects.Crashes(now, reserve.Fingerprint)
	reserve.Crashes = max(reserve.Crashes, crashes)
	row := reservationRow{peer: peer, reserve: reserve, deadline: now + reserve.Timeout}
	if reason := gate.unwelcome(now, reserve); reason != message.NoReason {
		gate.answerRefused(now, peer, reserve.ID, reason)
		return
	}
	if !gate.makeRoom(now, row) {
		gate.answerRefused(now, peer, reserve.ID, message.QueueFull)
		return
	}
	if reserve.Key != (message.Digest{}) && !gate.admitKey(now, row) {
		return
	}
	gate.reservations.Put(reserve.ID, row)
	gate.waitDue.Set(reserve.ID, row.deadline)
	gate.settings.Order.Add(now, row.item())
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

func (gate *Controller) knows(id message.RequestID) bool {
	if _, ok := gate.reservations.Get(id); ok {
		return true
	}
	_, ok := gate.findRun(id)
	return ok
}

// unwelcome returns why the request cannot wait here, if so. A pushed request
// is bounded in age by this process's own clock: its Echo is a reading that
// this process sent before the entry sent the request.
func (gate *Controller) unwelcome(now time.Duration, reserve message.Reserve) message.Reason {
	switch {
	case gate.draining:
		return message.Draining
	case !gate.upstreamUp:
		return message.UpstreamDown
	case reserve.Payload != nil && now-reserve.Echo > gate.settings.PushLease:
		return message.LeaseExpired
	case reserve.Key != (message.Digest{}) && gate.config.Version() == 0:
		return message.NotReady
	case reserve.Crashes >= suspects.RefuseFrom:
		return message.Suspect
	}
	return message.NoReason
}

// makeRoom gives up a waiting request of a lower tier if the queue is full.
func (gate *Controller) makeRoom(now time.Duration, row reservationRow) bool {
	if gate.settings.Order.Fits(row.item(), gate.settings.QueueCapacity) {
		return true
	}
	victim, ok := gate.settings.Order.Victim(row.reserve.Tier)
	if !ok {
		return false
	}
	evicted, _ := gate.reservations.Get(victim.Key)
	gate.refuse(now, evicted, message.QueueFull)
	return true
}

// admitKey asks the at-most-once table and says whether the request may wait.
func (gate *Controller) admitKey(now time.Duration, row reservationRow) bool {
	reserve := row.reserve
	query := idempotency.Query{
		RequestID: reserve.ID, Class: reserve.Class, Key: reserve.Key, KeyCreatedAt: reserve.KeyCreatedAt, BodyDigest: reserve.BodyDigest,
	}
	verdict, held := gate.keys.Admit(now, query)
	switch verdict {
	case idempotency.Admit:
		return true
	case idempotency.Duplicate:
		gate.join(row.peer, reserve.ID, held.RequestID)
	case idempotency.Conflict:
		gate.answerRefused(now, row.peer, reserve.ID, message.KeyConflict)
	case idempotency.NotOwner:
		gate.answerRefused(now, row.peer, reserve.ID, message.WrongHome)
	case idempotency.TableFull:
		gate.answerRefused(now, row.peer, reserve.ID, message.KeyTableFull)
	case idempotency.Unverifiable:
		gate.send(row.peer, message.End{
			ID: reserve.ID, Outcome: message.Unknown, Reason: message.KeyUnprovable, RetryAfter: gate.keys.VerifiableIn(now, query),
		})
	}
	return false
}

// join lets a repeated request wait for, or replay, the answer of its key.
func (gate *Controller) join(peer string, id, holder message.RequestID) {
	if row, ok := gate.reservations.Get(holder); ok {
		gate.reservations.Put(holder, row.WithJoined(joinRow{peer: peer, id: id}))
		return
	}
	run, ok := gate.findRun(holder)
	if !ok {
		gate.send(peer, message.End{ID: id, Outcome: message.Unknown, Reason: message.Gap})
		return
	}
	gate.subscribe(run, peer, id)
	gate.replay(run, peer, id, 0)
}

func (gate *Controller) grant(now time.Duration, peer string, grant message.Grant) {
	row, ok := gate.reservations.Get(grant.ID)
	if !ok || !row.claimed || row.peer != peer || now >= row.deadline {
		gate.refuseLateGrant(now, peer, row, ok, grant.ID)
		return
	}
	gate.dropReservation(grant.ID, row)
	gate.start(now, row, grant.Payload)
}

func (gate *Controller) refuseLateGrant(now time.Duration, peer string, row reservationRow, known bool, id message.RequestID) {
	if _, running := gate.findRun(id); running {
		return
	}
	if known && row.claimed {
		gate.refuse(now, row, message.LeaseExpired)
		return
	}
	gate.answerRefused(now, peer, id, message.LeaseExpired)
}

func (gate *Controller) withdraw(now time.Duration, peer string, id message.RequestID) {
	if row, ok := gate.reservations.Get(id); ok {
		gate.takeBack(now, row)
		return
	}
	run, ok := gate.findRun(id)
	if !ok {
		gate.answerUnknown(now, peer, id)
		return
	}
	if run.ended || run.reserve.NonIdempotent || run.reserve.ID != id {
		return
	}
	gate.emit(event.StopRun{ID: run.reserve.ID})
}

// takeBack drops a waiting request. An entry that never sent the body expects
// no answer, which saves a message for each spare reservation.
func (gate *Controller) takeBack(now time.Duration, row reservationRow) {
	if row.reserve.Payload != nil || len(row.joined) > 0 {
		gate.refuse(now, row, message.Withdrawn)
		return
	}
	gate.dropReservation(row.reserve.ID, row)
	if row.reserve.Key != (message.Digest{}) {
		gate.keys.Release(row.reserve.Key)
	}
}

// answerUnknown tells what is known of a request that has no row: a remembered
// refusal is repeated; of anything else nobody can say whether it ran.
func (gate *Controller) answerUnknown(now time.Duration, peer string, id message.RequestID) {
	if reason, ok := gate.refusals.Get(id); ok {
		gate.answerRefused(now, peer, id, reason)
		return
	}
	gate.send(peer, message.End{ID: id, Outcome: message.Unknown, Reason: message.Lost})
}

// refuse removes a row that was not handed over and tells all who wait for it.
func (gate *Controller) refuse(now time.Duration, row reservationRow, reason message.Reason) {
	gate.dropReservation(row.reserve.ID, row)
	if row.reserve.Key != (message.Digest{}) {
		gate.keys.Release(row.reserve.Key)
	}
	gate.answerRefused(now, row.peer, row.reserve.ID, reason)
	for _, joined := range row.joined {
		gate.answerRefused(now, joined.peer, joined.id, reason)
	}
}

func (gate *Controller) dropReservation(id message.RequestID, row reservationRow) {
	if row.claimed {
		gate.claimed--
	} else {
		gate.settings.Order.Remove(id)
	}
	gate.reservations.Delete(id)
	gate.waitDue.Remove(id)
}

func (gate *Controller) answerRefused(now time.Duration, peer string, id message.RequestID, reason message.Reason) {
	if gate.refusals.Len() < refusalBound {
		gate.refusals.Put(id, reason)
		gate.refusalDue.Set(id, now+refusalMemory)
	}
	gate.send(peer, message.Refused{ID: id, Reason: reason, RetryAfter: gate.Load().Wait})
}

// expireReservations refuses requests past their deadline and claims past their
// lease.
func (gate *Controller) expireReservations(now time.Duration) {
	for _, id := range gate.waitDue.PopDue(now) {
		row, ok := gate.reservations.Get(id)
		if !ok {
			continue
		}
		reason := message.DeadlinePassed
		if row.claimed {
			reason = message.LeaseExpired
		}
		gate.refuse(now, row, reason)
	}
}

func (gate *Controller) expireRefusals(now time.Duration) {
	for _, id := range gate.refusalDue.PopDue(now) {
		gate.refusals.Delete(id)
	}
}
