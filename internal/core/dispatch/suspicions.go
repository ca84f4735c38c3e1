package dispatch

import (
	"fmt"
	"slices"
	"time"

	"endivepost/internal/core/event"
)

const (
	// lateDataWindow is how long after an interrupted response data may still arrive
	// that the upstream sent before the interruption. Only later data shows that it
	// did not crash.
	lateDataWindow = 50 * time.Millisecond
	// minRestartTime is the least time that an upstream takes to crash and restart:
	// data that arrives later may come from the restarted process.
	minRestartTime = time.Second
)

// crashSuspect is a request whose response an upstream interrupted, by crashing or
// because the connection was lost.
type crashSuspect struct {
	fingerprint uint64
	at          time.Duration
}

// WithCrashSuspect returns the row with a crash suspect added and without those
// that can no longer be cleared.
func (row upstreamRow) WithCrashSuspect(now time.Duration, fingerprint uint64) upstreamRow {
	suspects := []crashSuspect{{fingerprint: fingerprint, at: now}}
	for _, suspect := range row.crashSuspects {
		if now-suspect.at < minRestartTime {
			suspects = append(suspects, suspect)
		}
	}
	row.crashSuspects = suspects
	return row
}

// crashes returns how many upstream crashes the request is suspected of, by this
// entry's attempts or its peers', and how long the suspicion lasts.
func (dispatcher *Dispatcher) crashes(now time.Duration, row requestRow) (int, time.Duration) {
	local, localTime := dispatcher.localSuspects.Crashes(now, row.request.Fingerprint)
	peers, peersTime := dispatcher.peerSuspects.Crashes(now, row.request.Fingerprint)
	if peers > local {
		return peers, peersTime
	}
	return local, localTime
}

func (dispatcher *Dispatcher) suspected(now time.Duration, row requestRow) bool {
	crashes, _ := dispatcher.crashes(now, row)
	_, blamed := dispatcher.crashCauses.Cause(now, row.attributes)
	return blamed || crashes >= crashLimit
}

// addCrash counts an interrupted response as a crash of the upstream caused by the
// request. removeFalseCrashes removes it again if the upstream turns out not to have
// crashed.
func (dispatcher *Dispatcher) addCrash(now time.Duration, row requestRow) {
	dispatcher.reportInterruption(now, row)
	crashes, _ := dispatcher.crashes(now, row)
	dispatcher.localSuspects.Raise(now, row.request.Fingerprint, crashes+1)
	dispatcher.reportSuspicion(event.Suspected, row.request.Fingerprint, crashes+1)
	dispatcher.upstreams.Put(row.upstream, dispatcher.upstream(row.upstream).WithCrashSuspect(now, row.request.Fingerprint))
}

// removeFalseCrashes removes crashes after an upstream has sent data. Data that arrives
// between lateDataWindow and minRestartTime after an interruption shows that the
// response was lost with its connection and that the upstream did not crash.
func (dispatcher *Dispatcher) removeFalseCrashes(now time.Duration, name string) {
	dispatcher.crashCauses.Alive(now, name)
	upstream := dispatcher.upstream(name)
	if len(upstream.crashSuspects) == 0 {
		return
	}
	var unresolved []crashSuspect
	for _, suspect := range upstream.crashSuspects {
		switch since := now - suspect.at; {
		case since < lateDataWindow:
			unresolved = append(unresolved, suspect)
		case since < minRestartTime:
			dispatcher.localSuspects.RemoveCrash(suspect.fingerprint)
			dispatcher.announceCleared(suspect.fingerprint)
		}
	}
	upstream.crashSuspects = unresolved
	dispatcher.upstreams.Put(name, upstream)
}

// clearSuspicion clears the suspicion of a request whose response completed: it does
// not crash upstreams.
func (dispatcher *Dispatcher) clearSuspicion(now time.Duration, row requestRow) {
	if crashes, _ := dispatcher.crashes(now, row); crashes > 0 {
		dispatcher.announceCleared(row.request.Fingerprint)
	}
	dispatcher.localSuspects.Clear(row.request.Fingerprint)
	dispatcher.peerSuspects.Clear(row.request.Fingerprint)
}

// reportSuspicion reports a change of the suspicion for the log.
func (dispatcher *Dispatcher) reportSuspicion(state event.State, fingerprint uint64, crashes int) {
	dispatcher.emit(event.StateChanged{State: state, Name: fmt.Sprintf("%016x", fingerprint), Version: uint64(crashes)})
}

// announceCleared adds the fingerprint to those that the next heartbeat reports as
// cleared, up to maxSuspicionsPerHeartbeat. Peers suspect one that is left out until
// the suspicion expires.
func (dispatcher *Dispatcher) announceCleared(fingerprint uint64) {
	dispatcher.reportSuspicion(event.SuspicionCleared, fingerprint, 0)
	if len(dispatcher.cleared) < maxSuspicionsPerHeartbeat && !slices.Contains(dispatcher.cleared, fingerprint) {
		dispatcher.cleared = append(dispatcher.cleared, fingerprint)
	}
}
