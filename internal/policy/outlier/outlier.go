// Package outlier finds upstreams that fail far more often than the others.
package outlier

import (
	"math"
	"time"
)

// Detector follows the share of failures of each upstream. It answers the load in
// which an upstream fails at once what it is given: it looks idle, and so gets
// more than its part.
type Detector struct {
	rows map[string]row
}

type row struct {
	at       time.Duration
	answers  float64
	failures float64
}

const (
	// halfLife is the time after which an answer counts half.
	halfLife = 2 * time.Second
	// fewest is the number of answers, by their weight, below which nothing is
	// said of an upstream.
	fewest = 3.0
	// leastShare is the share of failures from which an upstream may be an
	// outlier, timesOthers how far it must be above the share of all the others.
	leastShare  = 0.25
	timesOthers = 2.5
)

// New returns rates without answers.
func New() *Detector {
	return &Detector{rows: make(map[string]row)}
}

// Observe records an answer of the upstream.
func (rates *Detector) Observe(now time.Duration, name string, failed bool) {
	held := rates.rows[name].aged(now)
	held.answers++
	if failed {
		held.failures++
	}
	rates.rows[name] = held
}

func (held row) aged(now time.Duration) row {
	factor := math.Exp2(-float64(now-held.at) / float64(halfLife))
	return row{at: now, answers: held.answers * factor, failures: held.failures * factor}
}

// Outliers returns those of the names that fail far more often than the rest,
// at most half of them.
func (rates *Detector) Outliers(now time.Duration, names []string) map[string]bool {
	var all row
	held := make(map[string]row, len(names))
	for _, name := range names {
		aged := rates.rows[name].aged(now)
		held[name] = aged
		all.answers += aged.answers
		all.failures += aged.failures
	}
	outliers := make(map[string]bool)
	for _, name := range names {
		if 2*(len(outliers)+1) <= len(names) && held[name].isOutlier(all) {
			outliers[name] = true
		}
	}
	return outliers
}

func (held row) isOutlier(all row) bool {
	if held.answers < fewest {
		return false
	}
	share := held.failures / held.answers
	others := 0.0
	if rest := all.answers - held.answers; rest > 0 {
		others = (all.failures - held.failures) / rest
	}
	return share >= leastShare && share >= timesOthers*others
}

// Forget drops an upstream that is gone.
func (rates *Detector) Forget(name string) {
	delete(rates.rows, name)
}
