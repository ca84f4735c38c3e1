package direct

import (
	"time"

	"github.com/sirupsen/logrus"

	"endivepost/internal/node/guard"
	"endivepost/internal/node/logevent"
)

// countRejection counts and logs that a limit rejected a request or closed a connection.
func (entry *Entry) countRejection(reason guard.Reason, address string) {
	entry.telemetry.Metrics.Tagged(map[string]string{"reason": string(reason)}).Counter("callers_rejected").Inc(1)
	allowed, suppressed := entry.rejections.Allow(time.Now(), reason)
	if !allowed {
		return
	}
	entry.log(logevent.CallerRejected).WithFields(logrus.Fields{"reason": string(reason), "address": address, "not-logged": suppressed}).Warn()
}
