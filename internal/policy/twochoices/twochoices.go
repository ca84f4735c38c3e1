// Package twochoices is a baseline placement: of two random sidecars it picks the
// one with fewer outstanding requests (power of two choices).
package twochoices

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

// Choose implements placement.Policy.
func (*Policy) Choose(_ time.Duration, random *rand.Rand, candidates []placement.Candidate) placement.Choice {
	if len(candidates) == 0 {
		return placement.Choice{}
	}
	first := candidates[random.IntN(len(candidates))]
	second := candidates[random.IntN(len(candidates))]
	if second.Outstanding() < first.Outstanding() {
		first = second
	}
	return placement.Choice{Names: []string{first.Name}, Push: true}
}
