package dispatch

import (
	"math"
	"time"

	"endivepost/internal/core/event"
)

// handleLimit handles what a response says of its upstream's rate limit.
func (dispatcher *Dispatcher) handleLimit(_ time.Duration, input event.LimitReported) {
	upstream := dispatcher.upstream(input.Upstream)
	if upstream.limited == input.Limited && upstream.limitPerSecond == input.PerSecond {
		return
	}
	upstream.limited, upstream.limitPerSecond = input.Limited, input.PerSecond
	dispatcher.upstreams.Put(input.Upstream, upstream)
	state := event.LimitEnded
	if input.Limited {
		state = event.Limited
	}
	const seconds = 1000
	dispatcher.emit(event.StateChanged{State: state, Name: input.Upstream, Version: uint64(math.Round(seconds * input.PerSecond))})
}
