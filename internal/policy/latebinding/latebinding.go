// Package latebinding places a request by reservations at several sidecars. The
// first sidecar with a free slot claims the request and gets its body (late
// binding). A wrong or stale load report then costs a message instead of a bad
// placement. The method follows Sparrow (SOSP 2013).
package latebinding

import (
	"math/rand/v2"
	"time"

	"endivepost/internal/policy/placement"
)

// Policy implements placement.Policy.
type Policy struct {
	reservations int
}

// New returns a policy that makes the given number of reservations per request.
func New(reservations int) *Policy {
	return &Policy{reservations: reservations}
}

// Choose implements placement.Policy. The body is pushed at once to a candidate
// that is known to be idle, which saves a round trip. Idle means that no request is
// queued and more than half of the slots are free: other entries see the same load and
// may push too.
func (policy *Policy) Choose(_ time.Duration, random *rand.Rand, candidates []placement.Candidate) placement.Choice {
	if len(candidates) == 0 {
		return placement.Choice{}
	}
	order := random.Perm(len(candidates))
	if idle, ok := pickIdle(candidates, order); ok {
		return placement.Choice{Names: []string{idle}, Push: true}
	}
	names := make([]string, 0, policy.reservations)
	for _, index := range order[:min(policy.reservations, len(order))] {
		names = append(names, candidates[index].Name)
	}
	return placement.Choice{Names: names}
}

// pickIdle returns the idle candidate with the fewest outstanding requests, the
// first in the given order among equals, and false if none is idle.
func pickIdle(candidates []placement.Candidate, order []int) (string, bool) {
	best, found := placement.Candidate{}, false
	for _, index := range order {
		candidate := candidates[index]
		if candidate.Load.Queued > 0 || 2*candidate.Outstanding() >= candidate.Load.Limit {
			continue
		}
		if !found || candidate.Outstanding() < best.Outstanding() {
			best, found = candidate, true
		}
	}
	return best.Name, found
}
