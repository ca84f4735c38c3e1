package entry

import (
	"context"
	"errors"
	"math/rand/v2"
	"time"

	"endivepost/internal/core/event"
	"endivepost/internal/node/platform"
)

// readDocuments follows the class document. Chosen entries watch; the others
// hear of changes from their sidecars and read only now and then, at random
// times, so that the calls of the fleet grow with its failure domains and not
// with its entries.
func (entry *Entry) readDocuments(ctx context.Context) {
	version := uint64(0)
	raw, err := entry.platform.Document(ctx)
	for ctx.Err() == nil {
		switch {
		case err == nil:
			entry.loop.Post(event.DocumentRead{Raw: raw})
		case !errors.Is(err, platform.ErrNotModified):
			entry.log("config-unavailable").WithError(err).Warn()
			entry.loop.Post(event.DocumentUnavailable{})
			sleep(ctx, retryReadAt)
		}
		if !entry.watching.Load() {
			sleep(ctx, seldomEvery/2+rand.N(seldomEvery))
			raw, err = entry.platform.Document(ctx)
			continue
		}
		entry.loop.Inspect(ctx, func() { version = entry.router.ConfigVersion() })
		raw, err = entry.platform.Watch(ctx, version, watchWait)
	}
}

// readMembers follows the published list of VMs.
func (entry *Entry) readMembers(ctx context.Context) {
	for ctx.Err() == nil {
		members, err := entry.platform.Members(ctx)
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
