// Package placement defines how an entry picks the sidecars for a request.
package placement

import (
	"math/rand/v2"
	"time"

	"endivepost/internal/wire/message"
)

// Policy picks among the candidates. Choice.Push means that the body goes along
// at once (early binding); otherwise a reservation goes to each (late binding).
type Policy interface {
	Choose(now time.Duration, random *rand.Rand, candidates []Candidate) Choice
}

// Candidate is a reachable sidecar as the entry sees it. InFlight counts this
// entry's own requests there that the reported Load may not show yet.
type Candidate struct {
	Name     string
	Load     message.Load
	InFlight int
}

// Choice is the result of a Policy.
type Choice struct {
	Names []string
	Push  bool
}

// Outstanding returns the candidate's runs and waiting requests, as far as known.
func (candidate Candidate) Outstanding() int {
	return candidate.Load.Running + candidate.Load.Queued + candidate.InFlight
}
