package sidecar

import "endivepost/internal/node/guard"

// countRejection counts and logs that a limit rejected a request or closed a connection.
func (sidecar *Sidecar) countRejection(reason guard.Reason, address string) {
	sidecar.rejections.Record(sidecar.telemetry, sidecar.settings.Name, reason, address)
}
