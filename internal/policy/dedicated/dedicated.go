// Package setapart sizes the part of an engine pool that is kept for streams with
// a short target between tokens.
package dedicated

import "time"

// Sizer follows how many engines the urgent streams need. It answers the load in
// which long prompts arrive among streams that show every pause: an engine reads
// a prompt in chunks between the tokens of all its streams, so long prompts and
// urgent streams are kept on different engines as far as there are enough.
type Sizer struct {
	size      int
	lowerFrom time.Duration
}

// Load is what is in progress in the pool, by all entries.
type Load struct {
	LatencySensitive int
	Engines          int
}

const (
	// streamsPerEngine is how many urgent streams an engine runs well within a
	// short target, with the reading of their own short prompts.
	streamsPerEngine = 24
	// mostShare bounds the engines that are set apart.
	mostShare = 0.5
	// fallAfter is how long fewer engines must suffice before one is given back.
	fallAfter = 2500 * time.Millisecond
)

// New returns a split that sets nothing apart.
func New() *Sizer {
	return &Sizer{}
}

// Size returns how many engines are set apart now. It rises at once and falls by
// one engine at a time, so that prefixes keep their homes.
func (split *Sizer) Size(now time.Duration, load Load) int {
	wanted := load.wanted()
	most := int(mostShare * float64(load.Engines))
	if wanted >= split.size {
		split.size = wanted
		split.lowerFrom = now + fallAfter
	} else if now >= split.lowerFrom {
		split.size--
		split.lowerFrom = now + fallAfter
	}
	return min(split.size, most)
}

func (load Load) wanted() int {
	if load.LatencySensitive == 0 {
		return 0
	}
	return 1 + (load.LatencySensitive+streamsPerEngine/2)/streamsPerEngine
}
