package entry

import (
	"context"
	"errors"
	"math/rand/v2"
	"time"

	"endivepost/internal/core/event"
	"endivepost/internal/node/platform"
)

// pollDocument reads the class document in a loop and posts it to the router. A few entries
// in each failure domain watch it: each of their requests waits for a newer version. The
// others receive changes from their sidecars and poll it rarely, at random times. So the
// load on the configuration service grows with the number of failure domains and not with
// the number of entries.
func (entry *Entry) pollDocument(ctx context.Context) {
	version := uint64(0)
	raw, err := entry.platform.Document(ctx)
	for ctx.Err() == nil {
		switch {
		case err == nil:
			entry.loop.Post(event.DocumentRead{Raw: raw})
		case !errors.Is(err, platform.ErrNotModified):
			entry.log("config-unavailable").WithError(err).Warn()
			entry.loop.Post(event.DocumentUnavailable{})
			sleep(ctx, pollRetryDelay)
		}
		if !entry.watching.Load() {
			sleep(ctx, pollInterval/2+rand.N(pollInterval))
			raw, err = entry.platform.Document(ctx)
			continue
		}
		entry.loop.Inspect(ctx, func() { version = entry.router.ConfigVersion() })
		raw, err = entry.platform.Watch(ctx, version, watchTimeout)
	}
}

// pollMembers posts the published list of VMs at every list interval.
func (entry *Entry) pollMembers(ctx context.Context) {
	for ctx.Err() == nil {
		members, rejected, err := entry.platform.Members(ctx)
		if rejected != nil {
			entry.log("list-entries-rejected").WithError(rejected).Warn()
		}
		if err != nil {
			entry.log("list-unavailable").WithError(err).Warn()
		} else {
			entry.loop.Post(event.MembersRead{Members: members})
		}
		sleep(ctx, entry.settings.ListInterval)
	}
}

func sleep(ctx context.Context, duration time.Duration) {
	timer := time.NewTimer(duration)
	defer timer.Stop()
	select {
	case <-ctx.Done():
	case <-timer.C:
	}
}
