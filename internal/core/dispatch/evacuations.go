package dispatch

import (
	"slices"
	"time"

	"endivepost/internal/core/evacuation"
	"endivepost/internal/core/event"
	"endivepost/internal/wire/message"
)

const (
	// After a pause of this process of evacuationPause or more, nothing is sent for the
	// resume hold. A shorter pause leaves enough of the 5 s within which an evacuation takes
	// effect.
	evacuationPause = 2 * time.Second
	// evacuatedRetryAfter is the least Retry-After of a request whose upstreams are all in
	// evacuated domains. Up to as much again is added at random. It is not known when the
	// operator restores a domain.
	evacuatedRetryAfter = time.Second
)

// handleEvacuationsRead applies the published list of evacuated domains.
func (dispatcher *Dispatcher) handleEvacuationsRead(now time.Duration, input event.EvacuationsRead) {
	dispatcher.reportEvacuations(now, event.FullList, dispatcher.evacuations.Replace(now, input.Domains, input.Revision))
}

// handleEvacuationChanged applies a change of one domain.
func (dispatcher *Dispatcher) handleEvacuationChanged(now time.Duration, input event.EvacuationChanged) {
	source := event.PublishedRow
	if !input.Evacuated {
		source = event.RowRemoved
	}
	dispatcher.reportEvacuations(now, source, dispatcher.evacuations.Update(now, input.Domain, input.Evacuated, input.Revision))
}

// handlePeerEvacuations applies the evacuations that a peer knows.
func (dispatcher *Dispatcher) handlePeerEvacuations(now time.Duration, reports []message.Evacuation) {
	dispatcher.reportEvacuations(now, event.PeerEntry, dispatcher.evacuations.Merge(now, reports))
}

// reportEvacuations reports the changes for the log, has the shell withdraw the attempts of
// which nothing was sent yet, and schedules a heartbeat and another pass over the waiting
// requests.
func (dispatcher *Dispatcher) reportEvacuations(now time.Duration, source event.Source, changes []evacuation.Change) {
	if len(changes) == 0 {
		return
	}
	clear(dispatcher.pools)
	dispatcher.upstreamsChanged = true
	dispatcher.capacityFreed = true
	dispatcher.heartbeatDue = min(dispatcher.heartbeatDue, now)
	for _, change := range changes {
		state := event.DomainRestored
		if change.Evacuated {
			state = event.DomainEvacuated
			dispatcher.uncheckedDomains = append(dispatcher.uncheckedDomains, change)
		} else {
			dispatcher.observeRestored(now, change.Domain)
		}
		dispatcher.emit(event.StateChanged{
			State: state, Source: source, Name: change.Domain, Version: change.Revision.Number, Era: change.Revision.Era,
		})
	}
}

// checkEvacuations ends the evacuations that a restored store lacks and the hold after a
// pause, and rejects the queued requests that no upstream can serve any more.
func (dispatcher *Dispatcher) checkEvacuations(now time.Duration) {
	dispatcher.reportEvacuations(now, event.FullList, dispatcher.evacuations.Settle(now))
	if dispatcher.holdUntil > 0 && now >= dispatcher.holdUntil {
		dispatcher.holdUntil = 0
		dispatcher.upstreamsChanged = true
		dispatcher.capacityFreed = true
	}
	if dispatcher.upstreamsChanged {
		dispatcher.rejectEvacuated(now)
	}
	dispatcher.reportUnmatched()
}

// reportUnmatched reports evacuated domains in which no upstream is listed, once a list is
// known: the operator may have misspelled them.
func (dispatcher *Dispatcher) reportUnmatched() {
	if !dispatcher.listKnown || len(dispatcher.uncheckedDomains) == 0 {
		return
	}
	listed := make(map[string]bool)
	for _, upstream := range dispatcher.membership.Rows() {
		listed[upstream.Domain] = true
	}
	for _, change := range dispatcher.uncheckedDomains {
		if !listed[change.Domain] {
			dispatcher.emit(event.StateChanged{
				State: event.EvacuationUnmatched, Source: event.FullList, Name: change.Domain, Version: change.Revision.Number, Era: change.Revision.Era,
			})
		}
	}
	dispatcher.uncheckedDomains = nil
}

// rejectEvacuated rejects the queued requests whose upstreams are all in evacuated domains.
// Those that wait for a usable upstream are placed again anyway.
func (dispatcher *Dispatcher) rejectEvacuated(now time.Duration) {
	for _, id := range dispatcher.requests.Keys() {
		if row, ok := dispatcher.requests.Get(id); ok && row.state == waiting && row.queued && dispatcher.poolEvacuated(now, row.pool) {
			dispatcher.abort(now, row, message.Evacuated)
		}
	}
}

// outsideEvacuated returns the upstreams that are in no evacuated domain.
func (dispatcher *Dispatcher) outsideEvacuated(upstreams []event.Upstream) []event.Upstream {
	return slices.DeleteFunc(upstreams, func(upstream event.Upstream) bool { return dispatcher.evacuations.Evacuated(upstream.Domain) })
}

// poolEvacuated returns whether the pool has usable upstreams, all in evacuated domains.
func (dispatcher *Dispatcher) poolEvacuated(now time.Duration, pool string) bool {
	return len(dispatcher.pool(now, pool).usable) == 0 && len(dispatcher.membership.InPool(now, pool)) > 0
}

// holdAfterPause has nothing sent for a moment after a long pause.
func (dispatcher *Dispatcher) holdAfterPause(now, late time.Duration) {
	if late >= evacuationPause && dispatcher.settings.ResumeHold > 0 {
		dispatcher.holdUntil = now + dispatcher.settings.ResumeHold
	}
}

// held returns whether nothing is to be sent now.
func (dispatcher *Dispatcher) held(now time.Duration) bool {
	return now < dispatcher.holdUntil
}

// holdRequest has the request wait until the hold after a pause is over.
func (dispatcher *Dispatcher) holdRequest(row requestRow) {
	row.state = waiting
	dispatcher.requests.Put(row.request.ID, row)
	dispatcher.requestDue.Remove(row.request.ID)
}

// evacuationsDue returns when an evacuation or the hold after a pause ends, and false if none
// does at a known time.
func (dispatcher *Dispatcher) evacuationsDue() (time.Duration, bool) {
	due, found := dispatcher.evacuations.NextDue()
	if dispatcher.holdUntil > 0 && (!found || dispatcher.holdUntil < due) {
		return dispatcher.holdUntil, true
	}
	return due, found
}

// evacuatedWait returns the Retry-After of a request whose upstreams are all in evacuated
// domains.
func (dispatcher *Dispatcher) evacuatedWait() time.Duration {
	return evacuatedRetryAfter + time.Duration(dispatcher.settings.Random.Int64N(int64(evacuatedRetryAfter)))
}

// EvacuatedDomain is an evacuated domain, for operators. Age is how long ago it was
// evacuated, as far as this entry knows, InFlight the number of this entry's requests that
// still run there.
type EvacuatedDomain struct {
	Domain   string
	Age      time.Duration
	InFlight int
}

// EvacuatedDomains returns the evacuated domains.
func (dispatcher *Dispatcher) EvacuatedDomains(now time.Duration) []EvacuatedDomain {
	inFlight := make(map[string]int)
	for _, id := range dispatcher.requests.Keys() {
		if row, _ := dispatcher.requests.Get(id); row.state != waiting {
			inFlight[row.domain]++
		}
	}
	var domains []EvacuatedDomain
	for _, state := range dispatcher.evacuations.States(now) {
		domains = append(domains, EvacuatedDomain{Domain: state.Domain, Age: state.Age, InFlight: inFlight[state.Domain]})
	}
	return domains
}
