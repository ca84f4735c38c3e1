// Package latebinding places a request by reservations at several sidecars; the
// first with a free slot gets the body. A wrong or lagging view then costs a
// message and not a wrong placement. The idea is Sparrow's (SOSP 2013).
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

// New returns a policy that makes so many reservations for each request.
func New(reservations int) *Policy {
	return &Policy{reservations: reservations}
}

// Choose implements placement.Policy. A candidate known to be idle is pushed to
// at once, which saves a round trip. Idle leaves half of the slots as margin,
// since other entries see the same load.
func (policy *Policy) Choose(_ time.Duration, random *rand.Rand, candidates []placement.Candidate) placement.Choice {
	if len(candidates) == 0 {
		return placement.Choice{}
	}
	order := random.Perm(len(candidates))
	if idle, ok := pickIdle(candidates, order); ok {
		return placement.Choice{Names: []string{idle}, Push: true}
	}
	names := make([]string, 0, policy.reservations)
	for _, place := range order[:min(policy.reservations, len(order))] {
		names = append(names, candidates[place].Name)
	}
	return placement.Choice{Names: names}
}

func pickIdle(candidates []placement.Candidate, order []int) (string, bool) {
	best, found := placement.Candidate{}, false
	for _, place := range order {
		candidate := candidates[place]
		if candidate.Load.Queued > 0 || 2*candidate.Outstanding() >= candidate.Load.Limit {
			continue
		}
		if !found || candidate.Outstanding() < best.Outstanding() {
			best, found = candidate, true
		}
	}
	return best.Name, found
}
