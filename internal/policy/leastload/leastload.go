// Package leastload is a baseline placement: the sidecar with the least reported
// load. It does not count the entry's own requests in flight.
package leastload

import (
	"math/rand/v2"
	"time"

	"endivepost/internal/policy/placement"
)

// Policy implements placement.Policy.
type Policy struct{}

// New returns the policy.
func New() *Policy {
	return &Policy{}
}

// Choose implements placement.Policy. Ties are broken at random.
func (*Policy) Choose(_ time.Duration, random *rand.Rand, candidates []placement.Candidate) placement.Choice {
	if len(candidates) == 0 {
		return placement.Choice{}
	}
	start := random.IntN(len(candidates))
	best := candidates[start]
	for i := range candidates {
		candidate := candidates[(start+i)%len(candidates)]
		if candidate.Load.Running+candidate.Load.Queued < best.Load.Running+best.Load.Queued {
			best = candidate
		}
	}
	return placement.Choice{Names: []string{best.Name}, Push: true}
}
