package dispatch

import (
	"time"

	"endivepost/internal/core/crashcause"
	"endivepost/internal/core/event"
	"endivepost/internal/wire/message"
)

// crashReports are the reports of crashes that the next heartbeat carries.
type crashReports struct {
	interruptions []message.Interruption
	refuted       []message.RequestID
	// everything is true if a link has opened since the last heartbeat: the peer gets all
	// that this entry knows.
	everything bool
}

// crashAttributes returns what the request may have in common with others that crash
// upstreams: its prompt parts, from the most to the least shared, and its fingerprint.
func crashAttributes(request event.Request) []uint64 {
	attributes := make([]uint64, 0, len(request.Prompt.Parts)+1)
	for _, part := range request.Prompt.Parts {
		attributes = append(attributes, part.ID)
	}
	return append(attributes, request.Fingerprint)
}

// reportInterruption records an interrupted attempt. A response that had been under way
// for crashcause.SurvivalTime did not cause a crash.
func (dispatcher *Dispatcher) reportInterruption(now time.Duration, row requestRow) {
	if row.firstByteReceived && now-row.firstByteAt >= crashcause.SurvivalTime {
		return
	}
	report := message.Interruption{
		Attempt: row.request.ID.WithAttempt(row.attemptNumber), Upstream: row.upstream, SentAge: now - row.sentAt, Attributes: row.attributes,
	}
	if dispatcher.crashCauses.Interrupted(now, report) {
		dispatcher.forwardInterruption(now, report)
	}
}

func (dispatcher *Dispatcher) forwardInterruption(now time.Duration, report message.Interruption) {
	dispatcher.crashReports.interruptions = append(dispatcher.crashReports.interruptions, report)
	dispatcher.heartbeatDue = min(dispatcher.heartbeatDue, now)
}

// reportSurvival records that the upstream survived the response of the request.
func (dispatcher *Dispatcher) reportSurvival(row requestRow) {
	dispatcher.crashCauses.Survived(row.attributes, len(row.request.Prompt.Shared()), row.sentAt)
}

// refuteInterruptions records that the upstream has sent data, and so did not crash just
// before.
func (dispatcher *Dispatcher) refuteInterruptions(now time.Duration, upstream string) {
	dispatcher.crashReports.refuted = append(dispatcher.crashReports.refuted, dispatcher.crashCauses.Alive(now, upstream)...)
}

// handleCrashReports adds the reports of a peer. An entry that is not connected to all
// others forwards what is new to it.
func (dispatcher *Dispatcher) handleCrashReports(now time.Duration, heartbeat message.EntryHeartbeat) {
	forwards := !dispatcher.mesh.FullyConnected()
	for _, report := range heartbeat.Interruptions {
		if dispatcher.crashCauses.Interrupted(now, report) && forwards {
			dispatcher.forwardInterruption(now, report)
		}
	}
	for _, attempt := range heartbeat.Refuted {
		if dispatcher.crashCauses.Refuted(now, attempt) && forwards {
			dispatcher.crashReports.refuted = append(dispatcher.crashReports.refuted, attempt)
		}
	}
	for _, report := range heartbeat.Survivals {
		dispatcher.crashCauses.PeerSurvived(now, report, forwards)
	}
}

// addCrashReports adds the reports of crashes to a heartbeat.
func (dispatcher *Dispatcher) addCrashReports(now time.Duration, heartbeat message.EntryHeartbeat) message.EntryHeartbeat {
	reports := dispatcher.crashReports
	dispatcher.crashReports = crashReports{}
	heartbeat.Survivals = dispatcher.crashCauses.TakeSurvivals()
	heartbeat.Interruptions, heartbeat.Refuted = reports.interruptions, reports.refuted
	if reports.everything {
		heartbeat.Interruptions, heartbeat.Refuted, heartbeat.Survivals = dispatcher.crashCauses.Report(now)
	}
	return heartbeat
}

// reviewCrashCauses finds the causes of crashes anew after reports of crashes, at most every
// crashReviewInterval, and rejects the waiting requests that would cause more.
func (dispatcher *Dispatcher) reviewCrashCauses(now time.Duration) {
	if now < dispatcher.crashReviewDue || !dispatcher.crashCauses.Changed() {
		return
	}
	dispatcher.crashReviewDue = now + crashReviewInterval
	blamed, cleared := dispatcher.crashCauses.Review(now)
	for _, attribute := range blamed {
		dispatcher.reportSuspicion(event.Blamed, attribute, 0)
	}
	for _, attribute := range cleared {
		dispatcher.reportSuspicion(event.BlameCleared, attribute, 0)
	}
	if len(blamed) > 0 {
		dispatcher.rejectBlamed(now)
	}
}

// rejectBlamed rejects the waiting requests with an attribute that is blamed for crashes.
func (dispatcher *Dispatcher) rejectBlamed(now time.Duration) {
	for _, id := range dispatcher.requests.Keys() {
		row, ok := dispatcher.requests.Get(id)
		if !ok || row.state != waiting {
			continue
		}
		if _, blamed := dispatcher.crashCauses.Cause(now, row.attributes); blamed {
			dispatcher.abort(now, row, message.Suspect)
		}
	}
}
