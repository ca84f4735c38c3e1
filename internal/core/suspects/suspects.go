// Package suspects records crash suspects: requests that were running when
// upstreams crashed ("queries of death"). They are identified by a fingerprint and
// rejected after too many crashes, before they crash further upstreams.
package suspects

import (
	"time"

	"endivepost/internal/data/table"
	"endivepost/internal/wire/message"
)

// Table holds suspicions as soft state: they are bounded in number, expire, and are
// cleared when the request completes. A process reports to its peers only
// suspicions from its own upstreams, so a suspicion cannot circulate for ever.
type Table struct {
	rows     *table.Table[uint64, row]
	capacity int
}

// row counts the crashes, the latest of them at crashedAt.
type row struct {
	crashes   int
	crashedAt time.Duration
	expires   time.Duration
}

const (
	// CrashLimit is the number of crashes from which an entry with sidecars, or a
	// sidecar, rejects a request. Entries without sidecars have a limit of their own.
	CrashLimit = 2
	// TTL is how long a suspicion lasts after the latest crash.
	TTL = 5 * time.Minute
	// minRestartTime is the least time in which an upstream crashes and restarts.
	minRestartTime = time.Second
)

// New returns an empty table that holds at most capacity suspicions. When it is
// full, a new suspicion replaces the one that was added first.
func New(capacity int) *Table {
	return &Table{rows: table.New[uint64, row](), capacity: capacity}
}

// AddCrash adds a crash of this process's upstream to the fingerprint. The suspicion lasts for
// TTL from now on. Equal requests that one crash broke off count once.
func (suspects *Table) AddCrash(now time.Duration, fingerprint uint64) {
	found, _ := suspects.rows.Get(fingerprint)
	if found.crashedAt > 0 && now-found.crashedAt < minRestartTime {
		return
	}
	suspects.put(fingerprint, row{crashes: found.crashes + 1, crashedAt: now, expires: now + TTL})
}

// Merge applies a suspicion that a peer reported. The peer's count may include crashes
// that this process reported to it, so the counts are not added up: the larger one is
// kept.
func (suspects *Table) Merge(now time.Duration, reported message.Suspicion) {
	found, _ := suspects.rows.Get(reported.Fingerprint)
	if found.crashes > reported.Crashes && found.expires > now {
		return
	}
	expires := max(found.expires, now+min(reported.Remaining, TTL))
	suspects.put(reported.Fingerprint, row{crashes: reported.Crashes, crashedAt: found.crashedAt, expires: expires})
}

// Raise sets the number of crashes to at least the given one. If it was not higher
// before, the suspicion lasts for TTL from now on.
func (suspects *Table) Raise(now time.Duration, fingerprint uint64, crashes int) {
	suspects.Merge(now, message.Suspicion{Fingerprint: fingerprint, Crashes: crashes, Remaining: TTL})
}

// Clear removes the suspicion of a request that completed.
func (suspects *Table) Clear(fingerprint uint64) {
	suspects.rows.Delete(fingerprint)
}

// Crashes returns how many crashes the fingerprint is suspected of, and how long
// the suspicion still lasts; zeros without a suspicion.
func (suspects *Table) Crashes(now time.Duration, fingerprint uint64) (int, time.Duration) {
	found, ok := suspects.rows.Get(fingerprint)
	if !ok || found.expires <= now {
		return 0, 0
	}
	return found.crashes, found.expires - now
}

// Report returns the suspicions that were added last, up to limit and in that order,
// for a heartbeat. It deletes expired ones.
func (suspects *Table) Report(now time.Duration, limit int) []message.Suspicion {
	var reported []message.Suspicion
	for _, fingerprint := range suspects.rows.Keys() {
		found, _ := suspects.rows.Get(fingerprint)
		if found.expires <= now {
			suspects.rows.Delete(fingerprint)
			continue
		}
		reported = append(reported, message.Suspicion{Fingerprint: fingerprint, Crashes: found.crashes, Remaining: found.expires - now})
	}
	if len(reported) > limit {
		reported = reported[len(reported)-limit:]
	}
	return reported
}

func (suspects *Table) put(fingerprint uint64, added row) {
	if _, known := suspects.rows.Get(fingerprint); !known && suspects.rows.Len() >= suspects.capacity {
		suspects.rows.DeleteOldest()
	}
	suspects.rows.Put(fingerprint, added)
}
