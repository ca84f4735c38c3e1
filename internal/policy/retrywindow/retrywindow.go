// Package retrywindow limits the retries of all entries together without shared
// state: each entry keeps to its own part of the limit.
package retrywindow

import "time"

// Window counts first attempts and retries in a sliding window. Within it, an entry
// may make Settings.Ratio retries per first attempt of its own, plus an equal part of
// Settings.Slack, the retry allowance of all entries. At least one retry is
// allowed. The limit matters when upstreams fail or decline many requests at once,
// because each retry then adds to the load on those that are failing.
//
// A restarted process does not know how many retries its predecessor made. Until
// those are out of the window it gets no part of the allowance.
type Window struct {
	settings Settings
	slots    [storedSlots]slot
}

// Settings of a Window. Ratio is the number of retries per first attempt. Slack is
// the retry allowance: the number of retries beyond the ratio that all entries
// together may make within Span, the length of the sliding window.
type Settings struct {
	Ratio float64
	Slack float64
	Span  time.Duration
}

// slot counts what was sent in one part of the window.
type slot struct {
	number  int64
	sent    int
	retries int
}

const (
	// slotCount is the number of slots in a window. One more is stored, so that
	// retries are counted over at least a window and first attempts over at most one.
	slotCount   = 20
	storedSlots = slotCount + 1
	// ratioFactor and slackFactor are the parts of Ratio and Slack that are used.
	// What is left of Ratio covers first attempts that are counted here but do not
	// reach an upstream, what is left of Slack the retries of restarted processes.
	ratioFactor = 0.85
	slackFactor = 0.7
)

// New returns an empty window.
func New(settings Settings) *Window {
	return &Window{settings: settings}
}

// Sent records the first attempt of a request. Now is the uptime of the process.
func (window *Window) Sent(now time.Duration) {
	window.at(now).sent++
}

// Take records a retry and returns true if the limit allows it with the given
// number of entries, 0 counting as 1. Otherwise it returns false and records nothing.
// Now is the uptime of the process.
func (window *Window) Take(now time.Duration, entries int) bool {
	sent, retries := window.sums(now)
	allowed := ratioFactor * window.settings.Ratio * float64(sent)
	if now >= window.settings.Span {
		allowed += slackFactor * window.settings.Slack / float64(max(entries, 1))
	}
	if float64(retries+1) > max(allowed, 1) {
		return false
	}
	window.at(now).retries++
	return true
}

func (window *Window) sums(now time.Duration) (sent, retries int) {
	newest := window.number(now)
	for _, slot := range window.slots {
		if slot.number > newest-slotCount {
			sent += slot.sent
		}
		if slot.number > newest-storedSlots {
			retries += slot.retries
		}
	}
	return sent, retries
}

// at returns the slot of the given time, emptied if it held an older one.
func (window *Window) at(now time.Duration) *slot {
	number := window.number(now)
	found := &window.slots[number%storedSlots]
	if found.number != number {
		*found = slot{number: number}
	}
	return found
}

// number returns the slot number of the given time. Numbers start at storedSlots,
// so that an unused slot, which has number 0, is always outside the window.
func (window *Window) number(now time.Duration) int64 {
	return storedSlots + int64(now)*slotCount/int64(window.settings.Span)
}
