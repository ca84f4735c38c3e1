// Package retrywindow bounds the retries of all entries together without any
// shared state: each entry keeps to its own part of the bound.
package retrywindow

import "time"

// Window counts first sends and retries over a sliding time. An entry may retry
// a share of its own first sends, and an equal part of the slack that the fleet
// has in common. It answers the load in which upstreams fail or decline many
// requests at once and each retry adds to what is failing.
type Window struct {
	settings Settings
	slots    [slotCount]slot
}

// Settings of a Window. Ratio is retries to first sends; Slack is the number of
// retries beyond that for all entries within Span.
type Settings struct {
	Ratio float64
	Slack float64
	Span  time.Duration
}

type slot struct {
	number  int64
	sent    int
	retries int
}

const (
	slotCount = 20
	// safety keeps a part of the bound free for sends that peers make while
	// the number of entries is changing.
	safety = 0.7
)

// New returns a window without sends.
func New(settings Settings) *Window {
	return &Window{settings: settings}
}

// Sent records the first send of a request.
func (window *Window) Sent(now time.Duration) {
	window.at(now).sent++
}

// Take records a retry and says whether the bound leaves room for it among so
// many entries.
func (window *Window) Take(now time.Duration, entries int) bool {
	sent, retries := window.sums(now)
	room := safety * (window.settings.Ratio*float64(sent) + window.settings.Slack/float64(max(entries, 1)))
	if float64(retries+1) > room {
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
			retries += slot.retries
		}
	}
	return sent, retries
}

func (window *Window) at(now time.Duration) *slot {
	number := window.number(now)
	found := &window.slots[number%slotCount]
	if found.number != number {
		*found = slot{number: number}
	}
	return found
}

// number counts from slotCount on, so that an empty slot is always an old one.
func (window *Window) number(now time.Duration) int64 {
	return slotCount + int64(now)*slotCount/int64(window.settings.Span)
}
