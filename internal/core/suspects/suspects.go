// Package suspects remembers which requests were running when upstreams crashed.
package suspects

import (
	"time"

	"endivepost/internal/data/table"
	"endivepost/internal/wire/message"
)

// Table holds suspicions as soft state: bounded, expiring, and cleared when the
// request completes. A process passes on only what its own upstream saw, so a
// suspicion cannot live for ever by going round.
type Table struct {
	rows     *table.Table[uint64, row]
	capacity int
}

type row struct {
	crashes int
	expires time.Duration
}

const (
	// RefuseFrom is the number of crashes after which a request is refused.
	RefuseFrom = 2
	// TTL is how long a suspicion lasts.
	TTL = 5 * time.Minute
)

// New returns a table of at most bound suspicions.
func New(bound int) *Table {
	return &Table{rows: table.New[uint64, row](), capacity: bound}
}

// AddCrash adds a crash to the fingerprint.
func (suspects *Table) AddCrash(now time.Duration, fingerprint uint64) {
	found, _ := suspects.rows.Get(fingerprint)
	suspects.put(fingerprint, row{crashes: found.crashes + 1, expires: now + TTL})
}

// Merge takes a suspicion that a peer reported. Crashes of different upstreams
// are counted by the peer that saw the later one, so the larger number holds.
func (suspects *Table) Merge(now time.Duration, reported message.Suspicion) {
	found, _ := suspects.rows.Get(reported.Fingerprint)
	if found.crashes > reported.Crashes && found.expires > now {
		return
	}
	expires := max(found.expires, now+min(reported.Remaining, TTL))
	suspects.put(reported.Fingerprint, row{crashes: reported.Crashes, expires: expires})
}

// Raise sets the number of crashes to at least the given one.
func (suspects *Table) Raise(now time.Duration, fingerprint uint64, crashes int) {
	suspects.Merge(now, message.Suspicion{Fingerprint: fingerprint, Crashes: crashes, Remaining: TTL})
}

// Clear drops the suspicion of a request that completed.
func (suspects *Table) Clear(fingerprint uint64) {
	suspects.rows.Delete(fingerprint)
}

// RemoveCrash takes one crash off the fingerprint: it was none.
func (suspects *Table) RemoveCrash(fingerprint uint64) {
	found, known := suspects.rows.Get(fingerprint)
	if !known {
		return
	}
	found.crashes--
	if found.crashes <= 0 {
		suspects.Clear(fingerprint)
		return
	}
	suspects.rows.Put(fingerprint, found)
}

// Crashes returns how many crashes the fingerprint is blamed for and how long
// the suspicion still lasts.
func (suspects *Table) Crashes(now time.Duration, fingerprint uint64) (int, time.Duration) {
	found, ok := suspects.rows.Get(fingerprint)
	if !ok || found.expires <= now {
		return 0, 0
	}
	return found.crashes, found.expires - now
}

// Report returns up to most suspicions, newest last, for a heartbeat.
func (suspects *Table) Report(now time.Duration, most int) []message.Suspicion {
	var reported []message.Suspicion
	for _, fingerprint := range suspects.rows.Keys() {
		found, _ := suspects.rows.Get(fingerprint)
		if found.expires <= now {
			suspects.rows.Delete(fingerprint)
			continue
		}
		reported = append(reported, message.Suspicion{Fingerprint: fingerprint, Crashes: found.crashes, Remaining: found.expires - now})
	}
	if len(reported) > most {
		reported = reported[len(reported)-most:]
	}
	return reported
}

func (suspects *Table) put(fingerprint uint64, added row) {
	if _, known := suspects.rows.Get(fingerprint); !known && suspects.rows.Len() >= suspects.capacity {
		suspects.rows.Delete(suspects.rows.Keys()[0])
	}
	suspects.rows.Put(fingerprint, added)
}
