package router

import (
	"slices"
	"time"

	"endivepost/internal/core/suspects"
	"endivepost/internal/policy/placement"
)

// awaitsSilent reports whether a detached request is left with its sidecar for another
// ReattachTimeout. A sidecar that is silent may be paused and have the response: only a
// refused dial, a restart, or the list of VMs says that it is gone. So its idempotent
// requests go on elsewhere if they can at once, and otherwise wait for it.
func (router *Router) awaitsSilent(now time.Duration, row requestRow) bool {
	peer, ok := router.peers.Get(row.peer)
	return ok && peer.silent && peer.listed && !row.nonIdempotent() && !router.movable(now, row)
}

// movable reports whether a request may be retried, and another sidecar has a free slot for it.
func (router *Router) movable(now time.Duration, row requestRow) bool {
	crashes, _ := router.suspects.Crashes(now, row.request.Fingerprint)
	_, blamed := router.crashCauses.Cause(now, row.request.CrashAttributes())
	if blamed || crashes >= suspects.CrashLimit || !router.retries.Available() {
		return false
	}
	return slices.ContainsFunc(router.untried(row.WithRetry(row.peer)), hasFreeSlot)
}

func hasFreeSlot(candidate placement.Candidate) bool {
	return candidate.Outstanding() < candidate.Load.Limit
}
