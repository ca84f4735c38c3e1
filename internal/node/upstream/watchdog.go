package upstream

import (
	"math"
	"time"
)

// watchdog calls a function after a timeout without a reset.
type watchdog struct {
	timer *time.Timer
}

// never is the timeout of a timer that does not expire.
const never = time.Duration(math.MaxInt64)

// newWatchdog starts a watchdog with the timeout, 0 for none.
func newWatchdog(timeout time.Duration, expired func()) *watchdog {
	watchdog := &watchdog{timer: time.AfterFunc(never, expired)}
	watchdog.reset(timeout)
	return watchdog
}

// reset starts the timeout, 0 for none, in place of the current one.
func (watchdog *watchdog) reset(timeout time.Duration) {
	if timeout > 0 {
		watchdog.timer.Reset(timeout)
		return
	}
	watchdog.timer.Stop()
}
