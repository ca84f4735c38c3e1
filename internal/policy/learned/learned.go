// Package learned finds an upstream's concurrency limit from what it measures.
package learned

import (
	"time"

	"endivepost/internal/policy/limit"
)

// Limit implements limit.Policy by additive increase and multiplicative
// decrease on the share of late samples. Targets are stated for 95 in 100, so a
// mean says nothing: a few long steps can miss the target while the mean is far
// below it. While few samples are late or close to it and the limit is in use,
// it grows by one for each window; when more are late than the target allows, it
// shrinks. No weight is set by anyone, at the price of probing: the limit
// saw-tooths just below the point where targets are missed.
type Limit struct {
	settings Settings
	limit    float64
	late     float64
	close    float64
	samples  int
	full     bool
	changed  time.Duration
}

// Settings bound the search. Window is the shortest time between two changes.
type Settings struct {
	Start  int
	Least  int
	Most   int
	Window time.Duration
}

const (
	smoothing    = 0.01
	closeRatio   = 0.95
	mostClose    = 0.02
	mostLate     = 0.03
	decrease     = 0.9
	leastSamples = 20
)

// New returns a limit that begins at settings.Start.
func New(settings Settings) *Limit {
	return &Limit{settings: settings, limit: float64(settings.Start)}
}

// Limit implements limit.Policy.
func (learned *Limit) Limit() int {
	return int(learned.limit)
}

// Observe implements limit.Policy.
func (learned *Limit) Observe(now time.Duration, sample limit.Sample) {
	learned.late += smoothing * (share(sample.Ratio > 1) - learned.late)
	learned.close += smoothing * (share(sample.Ratio > closeRatio) - learned.close)
	learned.samples++
	learned.full = learned.full || sample.Running >= learned.Limit()
	if learned.samples < leastSamples || now-learned.changed < learned.settings.Window {
		return
	}
	learned.adjust()
	learned.changed = now
	learned.samples = 0
	learned.full = false
}

func (learned *Limit) adjust() {
	switch {
	case learned.late > mostLate:
		learned.limit *= decrease
		learned.late = 0
	case learned.close < mostClose && learned.full:
		learned.limit++
	}
	learned.limit = min(max(learned.limit, float64(learned.settings.Least)), float64(learned.settings.Most))
}

func share(counts bool) float64 {
	if counts {
		return 1
	}
	return 0
}
