// Package pace measures how fast the streams of an engine progress.
package pace

import (
	"math"
	"time"
)

// Pace is the progress of an engine's streams, in which older observations count less.
// The zero value has none.
type Pace struct {
	// took sums the time of the observations in seconds, events their events; both decay.
	took    float64
	events  float64
	updated time.Duration
}

const (
	// decayTime is the time in which the weight of an observation falls to 1/e. It covers
	// the prefill of a few long prompts.
	decayTime = time.Second
	// minObserved is the least weight, in seconds, from which the gap counts as known.
	minObserved = 0.02
)

// WithEvents returns the pace after the latest events of a stream took the time.
func (pace Pace) WithEvents(now time.Duration, took time.Duration, events int) Pace {
	if events <= 0 || took <= 0 {
		return pace
	}
	pace = pace.decayed(now)
	pace.took += took.Seconds()
	pace.events += float64(events)
	return pace
}

// Gap returns the mean time between two events of a stream, 0 if nothing was observed
// lately.
func (pace Pace) Gap(now time.Duration) time.Duration {
	pace = pace.decayed(now)
	if pace.took < minObserved {
		return 0
	}
	return time.Duration(pace.took / pace.events * float64(time.Second))
}

func (pace Pace) decayed(now time.Duration) Pace {
	factor := math.Exp(-(now - pace.updated).Seconds() / decayTime.Seconds())
	pace.took *= factor
	pace.events *= factor
	pace.updated = now
	return pace
}
