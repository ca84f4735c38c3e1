package entry

import "endivepost/internal/node/guard"

// countRejection counts and logs that a limit rejected a request or closed a connection.
func (entry *Entry) countRejection(reason guard.Reason, address string) {
	entry.rejections.Record(entry.telemetry, entry.settings.Name, reason, address)
}
