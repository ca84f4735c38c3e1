package guard

import (
	"time"

	"github.com/sirupsen/logrus"

	"endivepost/internal/node/logevent"
	"endivepost/internal/node/loglimit"
	"endivepost/internal/node/telemetry"
)

// LogLimit allows one log line a second for each reason.
type LogLimit map[Reason]*loglimit.Limiter

// NewLogLimit returns a LogLimit.
func NewLogLimit() LogLimit {
	limit := make(LogLimit)
	for _, reason := range Reasons {
		limit[reason] = loglimit.New(1)
	}
	return limit
}

// Record counts a rejection of the named process, and logs it unless a line of that reason was
// logged within the last second.
func (limit LogLimit) Record(observe *telemetry.Telemetry, process string, reason Reason, address string) {
	observe.Metrics.Tagged(map[string]string{"reason": string(reason)}).Counter("callers_rejected").Inc(1)
	if allowed, suppressed := limit[reason].Allow(time.Now()); allowed {
		observe.Log.WithFields(logrus.Fields{
			"event": string(logevent.CallerRejected), "process": process,
			"reason": string(reason), "address": address, "not-logged": suppressed,
		}).Warn()
	}
}
