package dispatch

import (
	"time"

	"endivepost/internal/core/event"
)

// handleInput handles one input of the shell.
func (dispatcher *Dispatcher) handleInput(now time.Duration, input event.Input) {
	switch input := input.(type) {
	case event.Submitted:
		dispatcher.submit(now, input.Request)
	case event.AttemptFirstByte:
		dispatcher.handleFirstByte(now, input)
	case event.AttemptProgressed:
		dispatcher.handleProgress(now, input)
	case event.AttemptActive:
		dispatcher.handleActive(input)
	case event.LimitReported:
		dispatcher.handleLimit(now, input)
	case event.LoadReported:
		dispatcher.handleLoad(now, input)
	case event.LeavingAnnounced:
		dispatcher.handleLeavingAnnounced(now, input)
	case event.ColdReported:
		dispatcher.handleColdReport(now, input)
	case event.BackoffRequested:
		dispatcher.handleBackoff(now, input)
	case event.AttemptEnded:
		dispatcher.handleAttemptEnd(now, input)
	case event.CallerDisconnected:
		dispatcher.cancel(now, input.ID)
	case event.DocumentRead:
		dispatcher.emitConfig(now, dispatcher.config.Offer(input.Raw))
	case event.DrainStarted:
		dispatcher.startDrain(now, input)
	default:
		dispatcher.handleFleetInput(now, input)
	}
}

// handleFleetInput handles inputs about upstreams and other entries.
func (dispatcher *Dispatcher) handleFleetInput(now time.Duration, input event.Input) {
	switch input := input.(type) {
	case event.UpstreamUpdated:
		dispatcher.updateUpstream(now, event.PublishedRow, input.Upstream)
	case event.UpstreamRemoved:
		dispatcher.reportUpstreamChange(now, input.Name, event.RowRemoved, dispatcher.membership.Remove(now, input.Name, input.Revision))
	case event.UpstreamListRead:
		dispatcher.listKnown = true
		dispatcher.readColdList(now, input.Upstreams)
		dispatcher.forgetIfRestarted(input.Upstreams...)
		for _, name := range dispatcher.membership.Replace(now, input.Upstreams, input.Revision) {
			dispatcher.reportUpstreamChange(now, name, event.FullList, true)
		}
		dispatcher.confirmList(now)
	case event.UpstreamListConfirmed:
		dispatcher.listReads = dispatcher.listReads.WithAnswer(input.AskedAt)
		dispatcher.confirmList(now)
		dispatcher.adoptListed(now)
	case event.EvacuationsRead:
		dispatcher.handleEvacuationsRead(now, input)
	case event.EvacuationChanged:
		dispatcher.handleEvacuationChanged(now, input)
	case event.UpstreamProbed:
		dispatcher.handleProbe(now, input)
	case event.CacheReported:
		dispatcher.handleCacheReport(now, input)
	case event.StoreUnreachable:
		dispatcher.membership.HandleStoreUnreachable()
	case event.StoreReachable:
		dispatcher.membership.HandleStoreReachable(now)
	case event.PeerDiscovered:
		dispatcher.mesh.AddPeer(now, input.Address)
	case event.LinkOpened:
		dispatcher.openLink(now, input)
	case event.LinkClosed:
		dispatcher.mesh.HandleClosed(now, input)
		delete(dispatcher.originsAnswers, input.Peer)
	case event.Received:
		dispatcher.handleMessage(now, input)
	}
}

// updateUpstream applies a row that was written to the upstream list. The other entries are told of a
// restart. They are not told what a whole list says: it may be that of an older copy.
func (dispatcher *Dispatcher) updateUpstream(now time.Duration, source event.Source, upstream event.Upstream) {
	if source == event.PublishedRow {
		dispatcher.readColdItem(now, upstream)
	}
	if dispatcher.showsRestart(upstream) {
		dispatcher.restarts = dispatcher.restarts.With(now, upstream)
	}
	dispatcher.forgetIfRestarted(upstream)
	dispatcher.origins.Observe(now, upstream.Pool, upstream.Build)
	dispatcher.reportUpstreamChange(now, upstream.Name, source, dispatcher.membership.Update(now, upstream))
}

// reportUpstreamChange reports a changed row for the log and schedules a heartbeat and
// another pass over the waiting requests. It discards the recorded results and the
// cached prefixes of an upstream that left.
func (dispatcher *Dispatcher) reportUpstreamChange(now time.Duration, name string, source event.Source, changed bool) {
	if !changed {
		return
	}
	dispatcher.upstreamsChanged = true
	dispatcher.capacityFreed = true
	clear(dispatcher.pools)
	upstream, _ := dispatcher.membership.Find(name)
	state := event.Usable
	if !dispatcher.membership.Usable(now, name) {
		state = event.Leaving
		dispatcher.outliers.Forget(name)
		dispatcher.forgetCache(name)
	}
	dispatcher.emit(event.StateChanged{State: state, Source: source, Name: name, Version: upstream.Revision, Era: upstream.Era})
	dispatcher.heartbeatDue = min(dispatcher.heartbeatDue, now)
}

// adoptListed uses the upstreams that a restored list contains although they were known to
// have left, once it is certain that they run.
func (dispatcher *Dispatcher) adoptListed(now time.Duration) {
	for _, name := range dispatcher.membership.AdoptListed(now) {
		dispatcher.reportUpstreamChange(now, name, event.FullList, true)
	}
}

// emitConfig emits the outputs of the configuration distribution. After a new
// document was accepted, its classes are recorded and a heartbeat with its version is sent at once.
func (dispatcher *Dispatcher) emitConfig(now time.Duration, outputs []event.Output) {
	dispatcher.emit(outputs...)
	for _, output := range outputs {
		if accepted, ok := output.(event.DocumentAccepted); ok {
			dispatcher.classPools.Observe(now, accepted.Document.Classes)
			dispatcher.heartbeatDue = min(dispatcher.heartbeatDue, now)
		}
	}
}
