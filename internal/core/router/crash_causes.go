package router

import (
	"time"

	"endivepost/internal/wire/message"
)

// crashReviewInterval is the least time between two reviews of what crashes upstreams.
const crashReviewInterval = 50 * time.Millisecond

// reviewCrashCauses passes new reports of crashes on at once. It finds the causes of crashes
// anew, and rejects the waiting requests that would cause more.
func (router *Router) reviewCrashCauses(now time.Duration) {
	if router.crashCauses.Urgent() {
		router.heartbeatDue = min(router.heartbeatDue, now)
	}
	if due, found := router.crashCauses.ReviewDue(); !found || now < max(due, router.crashReviewDue) {
		return
	}
	router.crashReviewDue = now + crashReviewInterval
	if blamed, _ := router.crashCauses.Review(now); len(blamed) == 0 {
		return
	}
	for _, id := range router.requests.Keys() {
		row, ok := router.requests.Get(id)
		if !ok || row.state != waiting || row.trial {
			continue
		}
		if remaining, blamed := router.crashCauses.Cause(now, row.request.CrashAttributes()); blamed {
			row.refusal.RetryAfter = remaining
			router.failQueued(now, row, message.Suspect)
		}
	}
}
