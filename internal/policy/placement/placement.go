// Package placement defines how an entry picks the sidecars for a request.
//
// With late binding the entry sends a reservation to several sidecars and the body
// to the first one that claims the request with a free slot. With early binding it
// pushes the body together with the reservation to one sidecar.
package placement

import (
	"math/rand/v2"
	"time"

	"endivepost/internal/wire/message"
)

// Policy picks among the candidates. Now is the uptime of the process.
type Policy interface {
	Choose(now time.Duration, random *rand.Rand, candidates []Candidate) Choice
}

// Candidate is a reachable sidecar. Load is its last report. InFlight counts this
// entry's own requests there that the report may not include yet.
type Candidate struct {
	Name     string
	Load     message.Load
	InFlight int
}

// Choice is the result of a Policy: the sidecars to send a reservation to, none if
// there was no candidate. Push is set if the body is sent with the reservation.
type Choice struct {
	Names []string
	Push  bool
}

// Outstanding returns the number of running, queued and in-flight requests, as far
// as the entry knows.
func (candidate Candidate) Outstanding() int {
	return candidate.Load.Running + candidate.Load.Queued + candidate.InFlight
}
