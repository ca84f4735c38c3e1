package evenload

import (
	"math"
	"time"
)

// arrivalWindow is the span over which arrivals are averaged. With hundreds of entries, each
// gets less than one request per second of a pool.
const arrivalWindow = 5 * time.Second

// Arrivals estimates the rate of the requests that one entry sends, as an average that decays.
// The zero value has seen none.
type Arrivals struct {
	count float64
	at    time.Duration
}

// With returns the estimate after a request.
func (arrivals Arrivals) With(now time.Duration) Arrivals {
	return Arrivals{count: arrivals.decayed(now) + 1, at: now}
}

// PerSecond returns the rate of the requests until now.
func (arrivals Arrivals) PerSecond(now time.Duration) float64 {
	return arrivals.decayed(now) / arrivalWindow.Seconds()
}

func (arrivals Arrivals) decayed(now time.Duration) float64 {
	return arrivals.count * math.Exp(-max(now-arrivals.at, 0).Seconds()/arrivalWindow.Seconds())
}
