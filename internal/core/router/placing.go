package router

import (
	"slices"
	"time"

	"endivepost/internal/core/event"
	"endivepost/internal/policy/placement"
	"endivepost/internal/policy/rendezvous"
	"endivepost/internal/wire/message"
)

// place sends the request out: pushed to one sidecar, or as reservations. It is
// given up at once if every sidecar refused it; while a sidecar of its class is
// merely out of reach it waits for the connection until its deadline.
func (router *Router) place(now time.Duration, row requestRow) {
	router.requests.Put(row.request.ID, row)
	if row.state == waiting {
		router.requestDue.Set(row.request.ID, row.nextDue(now))
	}
	candidates := router.untried(row)
	if len(candidates) == 0 || len(row.refused) >= mostRefusals {
		router.placeLater(now, row)
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

// nextDue returns when a waiting request is looked at again.
func (row requestRow) nextDue(now time.Duration) time.Duration {
	if now < row.lateAt {
		return row.lateAt
	}
	return row.deadline
}

func (router *Router) placeLater(now time.Duration, row requestRow) {
	if len(row.reserved) > 0 {
		return
	}
	if len(row.refused) > 0 {
		router.giveUp(now, row, row.refusal.Reason)
		return
	}
	if !router.expectsPeers(row.request) {
		router.giveUp(now, row, message.NoUpstream)
		return
	}
	router.starving = append(router.starving, row.request.ID)
}

// placeStarving tries again for the requests that found no sidecar in reach.
func (router *Router) placeStarving(now time.Duration) {
	starving := router.starving
	router.starving = nil
	for _, id := range starving {
		row, ok := router.requests.Get(id)
		if ok && row.state == waiting && len(row.reserved) == 0 {
			router.place(now, row)
		}
	}
}

// expectsPeers says whether a listed sidecar of the class may still connect, or
// its upstream come up again.
func (router *Router) expectsPeers(request event.Request) bool {
	for _, name := range router.connectable(request) {
		peer, ok := router.peers.Get(name)
		if ok && peer.listed && !peer.leaving && !peer.serves() {
			return true
		}
	}
	return false
}

// eligible returns the upstreams that may run the request by the published
// document: all of its class, or the home alone if it carries a key.
func (router *Router) eligible(request event.Request) []string {
	names := router.config.Document().UpstreamsFor(request.Class)
	if request.Key == (message.Digest{}) || len(names) == 0 {
		return names
	}
	return []string{rendezvous.Top(request.Key[:], names)}
}

// connectable returns the eligible upstreams that this entry keeps connections
// to: a bounded subset, whatever the size of the fleet.
func (router *Router) connectable(request event.Request) []string {
	if request.Key != (message.Digest{}) {
		return router.eligible(request)
	}
	return router.serving[request.Class.Name]
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
		if !slices.Contains(row.refused, candidate.Name) && !slices.Contains(row.reserved, candidate.Name) {
			candidates = append(candidates, candidate)
		}
	}
	return candidates
}

// mayPush says whether the view of the sidecar is fresh enough to send the body
// unasked; the sidecar bounds the age again by its own clock.
func (router *Router) mayPush(now time.Duration, name string) bool {
	peer, _ := router.peers.Get(name)
	return peer.loadKnown && now-peer.loadAt < router.settings.PushLease
}

func (router *Router) reservation(now time.Duration, row requestRow) message.Reserve {
	request := row.request
	crashes, _ := router.suspects.Crashes(now, request.Fingerprint)
	reserve := message.Reserve{
		ID:            row.wire,
		Class:         request.Class.Name,
		Account:       request.Account,
		Tier:          request.Class.Tier,
		Timeout:       row.deadline - now,
		Fingerprint:   request.Fingerprint,
		NonIdempotent: row.guarded(),
		ResumeFrom:    row.base,
		Crashes:       crashes,
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

// takeClaim grants the first claim of an attempt and takes the rest back.
func (router *Router) takeClaim(now time.Duration, name string, claim message.Claim) {
	row, ok := router.current(claim.ID)
	if !ok || row.state != waiting || !slices.Contains(row.reserved, name) {
		router.send(name, message.Withdraw(claim))
		return
	}
	if now >= row.deadline {
		router.giveUp(now, row, message.DeadlinePassed)
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

// current returns the request whose present attempt has that wire ID.
func (router *Router) current(wire message.RequestID) (requestRow, bool) {
	row, ok := router.requests.Get(wire.WithAttempt(0))
	return row, ok && row.wire == wire
}

// takeRefused acts on the word that the request was not run at the sidecar.
func (router *Router) takeRefused(now time.Duration, name string, refused message.Refused) {
	row, ok := router.current(refused.ID)
	if !ok {
		return
	}
	switch {
	case row.state == waiting && slices.Contains(row.reserved, name) && refused.Reason == message.UpstreamDown:
		router.distrustLoad(name, refused.Reason)
		row = row.WithoutReserved(name)
		if len(row.reserved) == 0 {
			row = row.WithAttempt()
		}
	case row.state == waiting && slices.Contains(row.reserved, name):
		row = row.WithoutReserved(name).WithRefused(name, refused)
	case row.peer != name:
		return
	case row.state == recalled:
		router.finish(row, row.notRun(), message.Cancelled)
		return
	case transient(refused.Reason):
		router.unbind(row)
		router.distrustLoad(name, refused.Reason)
		row = row.WithAttempt()
	default:
		router.unbind(row)
		row = row.WithAttempt().WithRefused(name, refused)
	}
	router.requests.Put(row.request.ID, row)
	if final(refused.Reason) || now >= row.deadline {
		router.giveUp(now, row, refused.Reason)
		return
	}
	if len(row.reserved) == 0 {
		router.place(now, row)
	}
}

// distrustLoad stops pushes to the sidecar until its next heartbeat, or all
// work for it if its upstream is down.
func (router *Router) distrustLoad(name string, reason message.Reason) {
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

// notRun is the outcome after a refusal: true unless an earlier attempt ran.
func (row requestRow) notRun() message.Outcome {
	if row.mayHaveRun {
		return row.cutOff()
	}
	return message.NotRun
}

// transient says whether the same sidecar may take the request a moment later.
func transient(reason message.Reason) bool {
	return reason == message.LeaseExpired || reason == message.UpstreamDown || reason == message.Lost
}

// final says whether another sidecar would refuse for the same reason.
func final(reason message.Reason) bool {
	switch reason {
	case message.KeyConflict, message.KeyTableFull, message.Suspect, message.DeadlinePassed:
		return true
	}
	return false
}

// withdrawFrom takes the reservations at a sidecar back and places the requests
// elsewhere that have none left.
func (router *Router) withdrawFrom(now time.Duration, name string) {
	for _, id := range router.requests.Keys() {
		row, ok := router.requests.Get(id)
		if !ok || row.state != waiting || !slices.Contains(row.reserved, name) {
			continue
		}
		router.send(name, message.Withdraw{ID: row.wire})
		row = row.WithoutReserved(name)
		router.requests.Put(id, row)
		if len(row.reserved) == 0 {
			router.place(now, row.WithAttempt())
		}
	}
}
