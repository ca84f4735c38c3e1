// Package keyring is the at-most-once table of one upstream.
package idempotency

import (
	"time"

	"endivepost/internal/config/document"
	"endivepost/internal/data/timerqueue"
	"endivepost/internal/policy/rendezvous"
	"endivepost/internal/wire/message"
)

// Table remembers every key that was admitted here within the repeat window. It
// is complete for its own incarnation only: of keys older than the boot, or
// older than the time at which this upstream became their home, it knows
// nothing, and such a key is admitted only if it proves itself younger.
//
// The table is bounded. When it is full new keys are refused; a young key is
// never forgotten to make room.
type Table struct {
	settings Settings
	rows     map[message.Digest]Row
	expiry   *timerqueue.Queue[message.Digest]
	homes    []homeChange
	window   time.Duration
}

// Settings of a Ring. BootWall is the wall clock at uptime zero, and ClockSkew
// the largest difference that a caller's clock may have.
type Settings struct {
	Name      string
	BootTime  time.Time
	ClockSkew time.Duration
	Capacity  int
}

// Row is one remembered key. Run is the request that holds it.
type Row struct {
	RequestID  message.RequestID
	BodyDigest message.Digest
}

// Decision says what to do with a keyed request.
type Decision uint8

// The verdicts.
const (
	// Admit means that the key never ran and is now held by the request.
	Admit Decision = iota + 1
	// Duplicate means that the key is held by Row.Run already.
	Duplicate
	// Conflict means that the key came with another body before.
	Conflict
	// NotOwner means that another upstream is the home of the key.
	NotOwner
	// Unverifiable means that the key may have run before our time, or so long
	// ago that its row was forgotten.
	Unverifiable
	// TableFull means that no further key can be remembered.
	TableFull
)

// homeChange is a published set of upstreams that took effect at a time.
type homeChange struct {
	since    time.Duration
	document document.Document
}

// Query is a keyed request that asks for admission.
type Query struct {
	RequestID    message.RequestID
	Class        string
	Key          message.Digest
	KeyCreatedAt time.Time
	BodyDigest   message.Digest
}

// New returns an empty ring.
func New(settings Settings) *Table {
	return &Table{
		settings: settings,
		rows:     make(map[message.Digest]Row),
		expiry:   timerqueue.New[message.Digest](),
	}
}

// SetDocument tells the ring of the published set now in force.
func (ring *Table) SetDocument(now time.Duration, accepted document.Document) {
	ring.window = time.Duration(accepted.RepeatWindow)
	if len(ring.homes) == 0 {
		ring.homes = append(ring.homes, homeChange{document: accepted})
		return
	}
	ring.homes = append(ring.homes, homeChange{since: now, document: accepted})
	ring.dropOldHomes(now)
}

// dropOldHomes forgets the sets that were replaced before the repeat window.
func (ring *Table) dropOldHomes(now time.Duration) {
	for len(ring.homes) > 1 && ring.homes[1].since+ring.window <= now {
		ring.homes = ring.homes[1:]
	}
}

// Admit decides on a keyed request and, with the verdict Admit, remembers it.
func (ring *Table) Admit(now time.Duration, query Query) (Decision, Row) {
	ring.forget(now)
	if row, ok := ring.rows[query.Key]; ok {
		if row.BodyDigest != query.BodyDigest {
			return Conflict, row
		}
		return Duplicate, row
	}
	since, home := ring.homeSince(query)
	if !home {
		return NotOwner, Row{}
	}
	if !ring.provable(now, since, query.KeyCreatedAt) {
		return Unverifiable, Row{}
	}
	if len(ring.rows) >= ring.settings.Capacity {
		return TableFull, Row{}
	}
	row := Row{RequestID: query.RequestID, BodyDigest: query.BodyDigest}
	ring.rows[query.Key] = row
	return Admit, row
}

// Release forgets a key whose request was refused before it ran.
func (ring *Table) Release(key message.Digest) {
	delete(ring.rows, key)
	ring.expiry.Remove(key)
}

// RunEnded starts the repeat window of a key whose run ended.
func (ring *Table) RunEnded(now time.Duration, key message.Digest) {
	if _, ok := ring.rows[key]; ok {
		ring.expiry.Set(key, now+ring.window)
	}
}

// Len returns the number of keys remembered.
func (ring *Table) Len() int {
	return len(ring.rows)
}

// Window returns the repeat window in force.
func (ring *Table) Window() time.Duration {
	return ring.window
}

func (ring *Table) forget(now time.Duration) {
	for _, key := range ring.expiry.PopDue(now) {
		delete(ring.rows, key)
	}
}

// homeSince returns the time since which this upstream has been the key's home
// without a break, and whether it is now.
func (ring *Table) homeSince(query Query) (time.Duration, bool) {
	since := time.Duration(0)
	home := false
	for _, change := range ring.homes {
		if !ring.isHome(change.document, query) {
			home = false
			continue
		}
		if !home {
			since = change.since
		}
		home = true
	}
	return since, home
}

func (ring *Table) isHome(published document.Document, query Query) bool {
	class, ok := published.Class(query.Class)
	if !ok {
		return false
	}
	return rendezvous.Top(query.Key[:], published.UpstreamsFor(class)) == ring.settings.Name
}

// provable says whether the key cannot have run before. A key that carries its
// time of birth must be younger than our knowledge of it and than the repeat
// window: its request may have lain in a paused process since. Of another key
// nothing is known before the whole repeat window has passed.
func (ring *Table) provable(now, since time.Duration, born time.Time) bool {
	if born.IsZero() {
		return now-since >= ring.window
	}
	if ring.wall(now).Sub(born) > ring.window-ring.settings.ClockSkew {
		return false
	}
	return now-since >= ring.window || born.After(ring.wall(since).Add(ring.settings.ClockSkew))
}

func (ring *Table) wall(uptime time.Duration) time.Time {
	return ring.settings.BootTime.Add(uptime)
}

// VerifiableIn returns how long it takes until a key without a time of birth is
// admitted here.
func (ring *Table) VerifiableIn(now time.Duration, query Query) time.Duration {
	since, _ := ring.homeSince(query)
	return max(since+ring.window-now, 0)
}
