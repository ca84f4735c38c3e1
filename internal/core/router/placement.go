package router

import (
	"slices"
	"time"

	"endivepost/internal/core/event"
	"endivepost/internal/policy/placement"
	"endivepost/internal/policy/rendezvous"
	"endivepost/internal/wire/message"
)

// place pushes the request to one sidecar or reserves queue slots for it at several.
// Without a sidecar left to ask, or after maxRefusals refusals, deferPlacement decides
// whether the request waits or fails.
func (router *Router) place(now time.Duration, row requestRow) {
	router.requests.Put(row.request.ID, row)
	if row.state == waiting {
		router.requestDue.Set(row.request.ID, row.nextCheck(now))
	}
	candidates := router.untried(row)
	if len(candidates) == 0 || len(row.refused) >= maxRefusals {
		router.deferPlacement(now, row)
		return
	}
	choice := router.settings.Placement.Choose(now, router.settings.Random, candidates)
	if choice.Push && router.mayPush(now, choice.Names[0]) {
		router.push(now, row, choice.Names[0])
		return
	}
	for _, name := range choice.Names {
		row = row.WithReserved(name)
		router.send(name, router.reservation(now, row))
	}
	router.requests.Put(row.request.ID, row)
}

// nextCheck returns the next due time of a waiting request: its latest send time,
// then its deadline.
func (row requestRow) nextCheck(now time.Duration) time.Duration {
	if now < row.sendBy {
		return row.sendBy
	}
	return row.deadline
}

// deferPlacement leaves a request with reservations as it is and fails a refused one
// at once. Any other request waits if awaitsSidecars reports that a sidecar may accept
// it later, and fails otherwise.
func (router *Router) deferPlacement(now time.Duration, row requestRow) {
	if len(row.reserved) > 0 {
		return
	}
	if len(row.refused) > 0 {
		router.failQueued(now, row, row.refusal.Reason)
		return
	}
	if !router.awaitsSidecars(row.request) {
		router.failQueued(now, row, message.NoUpstream)
		return
	}
	router.unplaced = append(router.unplaced, row.request.ID)
}

// retryUnplaced tries again to place the requests that no sidecar could accept.
func (router *Router) retryUnplaced(now time.Duration) {
	unplaced := router.unplaced
	router.unplaced = nil
	for _, id := range unplaced {
		row, ok := router.requests.Get(id)
		if ok && row.state == waiting && len(row.reserved) == 0 {
			router.place(now, row)
		}
	}
}

// awaitsSidecars reports whether a sidecar that may run the request is listed but
// not connected, or has an upstream that is down.
func (router *Router) awaitsSidecars(request event.Request) bool {
	for _, name := range router.connectable(request) {
		peer, ok := router.peers.Get(name)
		if ok && peer.listed && !peer.leaving && !peer.serves() {
			return true
		}
	}
	return false
}

// eligible returns the upstreams that may run the request according to the active
// document: all of its class or, for a request with an idempotency key, the owner
// of the key only.
func (router *Router) eligible(request event.Request) []string {
	names := router.config.Document().UpstreamsFor(request.Class)
	if request.Key == (message.Digest{}) || len(names) == 0 {
		return names
	}
	return []string{rendezvous.Top(request.Key[:], names)}
}

// connectable returns the eligible upstreams that this entry keeps connections to,
// a subset of bounded size for any fleet size.
func (router *Router) connectable(request event.Request) []string {
	if request.Key != (message.Digest{}) {
		return router.eligible(request)
	}
	return router.subsets[request.Class.Name]
}

func (router *Router) candidates(request event.Request) []placement.Candidate {
	var candidates []placement.Candidate
	for _, name := range router.connectable(request) {
		peer, ok := router.peers.Get(name)
		if !ok || !peer.serves() {
			continue
		}
		candidates = append(candidates, placement.Candidate{Name: name, Load: peer.load, InFlight: peer.sentSince})
	}
	return candidates
}

func (router *Router) untried(row requestRow) []placement.Candidate {
	var candidates []placement.Candidate
	for _, candidate := range router.candidates(row.request) {
		resumable := row.resumeFrom == 0 || router.buildOf(candidate.Name) == row.build
		if resumable && !slices.Contains(row.refused, candidate.Name) && !slices.Contains(row.reserved, candidate.Name) {
			candidates = append(candidates, candidate)
		}
	}
	return candidates
}

// mayPush reports whether the sidecar's load report is recent enough to push the
// body. The sidecar checks the age again by its own clock.
func (router *Router) mayPush(now time.Duration, name string) bool {
	peer, _ := router.peers.Get(name)
	return peer.loadKnown && now-peer.loadAt < router.settings.PushLease
}

func (router *Router) reservation(now time.Duration, row requestRow) message.Reserve {
	request := row.request
	crashes, _ := router.suspects.Crashes(now, request.Fingerprint)
	reserve := message.Reserve{
		ID:            row.attemptID,
		Class:         request.Class.Name,
		Account:       request.Account,
		Tier:          request.Class.Tier,
		Timeout:       row.deadline - now,
		Fingerprint:   request.Fingerprint,
		NonIdempotent: row.nonIdempotent(),
		ResumeFrom:    row.resumeFrom,
		Crashes:       crashes,
		Attributes:    request.CrashAttributes(),
	}
	if request.Key != (message.Digest{}) {
		reserve.Key = request.Key
		reserve.KeyCreatedAt = request.KeyCreatedAt
		reserve.BodyDigest = request.BodyDigest
	}
	return reserve
}

func (router *Router) push(now time.Duration, row requestRow, name string) {
	row = router.bind(row, name)
	peer, _ := router.peers.Get(name)
	reserve := router.reservation(now, row)
	reserve.Payload = &row.request.Payload
	reserve.Echo = peer.uptime
	router.requestDue.Remove(row.request.ID)
	router.send(name, reserve)
}

// handleClaim grants the first claim of an attempt and withdraws the request from
// the other sidecars.
func (router *Router) handleClaim(now time.Duration, name string, claim message.Claim) {
	row, ok := router.currentAttempt(claim.ID)
	if !ok || row.state != waiting || !slices.Contains(row.reserved, name) {
		router.send(name, message.Withdraw(claim))
		return
	}
	if now >= row.deadline {
		router.failQueued(now, row, message.DeadlinePassed)
		return
	}
	for _, other := range row.reserved {
		if other != name {
			router.send(other, message.Withdraw(claim))
		}
	}
	row = router.bind(row, name)
	router.requestDue.Remove(row.request.ID)
	router.send(name, message.Grant{ID: claim.ID, Payload: row.request.Payload})
}

// currentAttempt returns the request whose current attempt has the given ID.
func (router *Router) currentAttempt(attemptID message.RequestID) (requestRow, bool) {
	row, ok := router.requests.Get(attemptID.WithAttempt(0))
	return row, ok && row.attemptID == attemptID
}

// handleRefused handles a sidecar's reply that it did not run the request. The
// request is placed again unless the reason is final or its deadline has passed. The
// same sidecar may be asked again if its upstream is down or, once it got the body, for
// any transient reason. Other refusals exclude the sidecar from this request.
func (router *Router) handleRefused(now time.Duration, name string, refused message.Refused) {
	row, ok := router.currentAttempt(refused.ID)
	if !ok {
		return
	}
	switch {
	case row.state == waiting && slices.Contains(row.reserved, name) && refused.Reason == message.UpstreamDown:
		router.invalidateLoad(name, refused.Reason)
		row = row.WithoutReserved(name)
		if len(row.reserved) == 0 {
			row = row.WithAttempt()
		}
	case row.state == waiting && slices.Contains(row.reserved, name):
		row = row.WithoutReserved(name).WithRefused(name, refused)
	case row.peer != name:
		return
	case row.state == cancelled:
		router.finish(now, row, row.refusalOutcome(), message.Cancelled)
		return
	case transient(refused.Reason):
		router.unbind(row)
		router.invalidateLoad(name, refused.Reason)
		row = row.WithAttempt()
	default:
		router.unbind(row)
		row = row.WithAttempt().WithRefused(name, refused)
	}
	router.requests.Put(row.request.ID, row)
	if final(refused.Reason) || now >= row.deadline {
		router.failQueued(now, row, refused.Reason)
		return
	}
	if len(row.reserved) == 0 {
		router.place(now, row)
	}
}

// invalidateLoad stops pushes to the sidecar until its next heartbeat. If its
// upstream is down, the sidecar gets no work at all until then.
func (router *Router) invalidateLoad(name string, reason message.Reason) {
	peer, ok := router.peers.Get(name)
	if !ok {
		return
	}
	peer.loadKnown = false
	if reason == message.UpstreamDown {
		peer.load.Limit = 0
		peer.loadKnown = true
	}
	router.peers.Put(name, peer)
}

// refusalOutcome returns the outcome of a request after a refusal: not run, unless
// an earlier attempt may have run.
func (row requestRow) refusalOutcome() message.Outcome {
	if row.mayHaveRun {
		return row.partialOutcome()
	}
	return message.NotRun
}

// transient reports whether the same sidecar may accept the request if it is sent
// again.
func transient(reason message.Reason) bool {
	return reason == message.LeaseExpired || reason == message.UpstreamDown || reason == message.Lost
}

// final reports whether any other sidecar would refuse for the same reason.
func final(reason message.Reason) bool {
	switch reason {
	case message.KeyConflict, message.KeyTableFull, message.Suspect, message.DeadlinePassed:
		return true
	}
	return false
}

// withdrawFrom withdraws all reservations at a sidecar. Requests without another
// reservation are placed again.
func (router *Router) withdrawFrom(now time.Duration, name string) {
	for _, id := range router.requests.Keys() {
		row, ok := router.requests.Get(id)
		if !ok || row.state != waiting || !slices.Contains(row.reserved, name) {
			continue
		}
		router.send(name, message.Withdraw{ID: row.attemptID})
		row = row.WithoutReserved(name)
		router.requests.Put(id, row)
		if len(row.reserved) == 0 {
			router.place(now, row.WithAttempt())
		}
	}
}
