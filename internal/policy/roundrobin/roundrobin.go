// Package roundrobin is a baseline placement: each sidecar in turn.
package roundrobin

import (
	"math/rand/v2"
	"time"

	"endivepost/internal/policy/placement"
)

// Policy implements placement.Policy.
type Policy struct {
	next int
}

// New returns the policy.
func New() *Policy {
	return &Policy{}
}

// Choose implements placement.Policy.
func (policy *Policy) Choose(_ time.Duration, _ *rand.Rand, candidates []placement.Candidate) placement.Choice {
	if len(candidates) == 0 {
		return placement.Choice{}
	}
	policy.next++
	chosen := candidates[policy.next%len(candidates)]
	return placement.Choice{Names: []string{chosen.Name}, Push: true}
}
