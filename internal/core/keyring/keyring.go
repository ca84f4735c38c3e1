// Package keyring is the at-most-once table of one upstream.
package keyring

import (
	"time"

	"endivepost/internal/config/document"
	"endivepost/internal/data/agenda"
	"endivepost/internal/policy/rendezvous"
	"endivepost/internal/wire/message"
)

// Ring remembers every key that was admitted here within the repeat window. It
// is complete for its own incarnation only: of keys older than the boot, or
// older than the time at which this upstream became their home, it knows
// nothing, and such a key is admitted only if it proves itself younger.
//
// The table is bounded. When it is full new keys are refused; a young key is
// never forgotten to make room.
type Ring struct {
	settings Settings
	rows     map[message.Digest]Row
	expiry   *agenda.Agenda[message.Digest]
	homes    []homeChange
	window   time.Duration
}

// Settings of a Ring. BootWall is the wall clock at uptime zero, and ClockSkew
// the largest difference that a caller's clock may have.
type Settings struct {
	Name      string
	BootWall  time.Time
	ClockSkew time.Duration
	Bound     int
}

// Row is one remembered key. Run is the request that holds it.
type Row struct {
	Run     message.RequestID
	BodySum message.Digest
}

// Verdict says what to do with a keyed request.
type Verdict uint8

// The verdicts.
const (
	// Admit means that the key never ran and is now held by the request.
	Admit Verdict = iota + 1
	// Join means that the key is held by Row.Run already.
	Join
	// Conflict means that the key came with another body before.
	Conflict
	// NotHome means that another upstream is the home of the key.
	NotHome
	// Unprovable means that the key may have run before our time, or so long
	// ago that its row was forgotten.
	Unprovable
	// Full means that no further key can be remembered.
	Full
)

// homeChange is a published set of upstreams that took effect at a time.
type homeChange struct {
	since    time.Duration
	document document.Document
}

// Query is a keyed request that asks for admission.
type Query struct {
	Run     message.RequestID
	Class   string
	Key     message.Digest
	KeyBorn time.Time
	BodySum message.Digest
}

// New returns an empty ring.
func New(settings Settings) *Ring {
	return &Ring{
		settings: settings,
		rows:     make(map[message.Digest]Row),
		expiry:   agenda.New[message.Digest](),
	}
}

// SetDocument tells the ring of the published set now in force.
func (ring *Ring) SetDocument(now time.Duration, accepted document.Document) {
	ring.window = time.Duration(accepted.RepeatWindow)
	if len(ring.homes) == 0 {
		ring.homes = append(ring.homes, homeChange{document: accepted})
		return
	}
	ring.homes = append(ring.homes, homeChange{since: now, document: accepted})
	ring.dropOldHomes(now)
}

// dropOldHomes forgets the sets that were replaced before the repeat window.
func (ring *Ring) dropOldHomes(now time.Duration) {
	for len(ring.homes) > 1 && ring.homes[1].since+ring.window <= now {
		ring.homes = ring.homes[1:]
	}
}

// Admit decides on a keyed request and, with the verdict Admit, remembers it.
func (ring *Ring) Admit(now time.Duration, query Query) (Verdict, Row) {
	ring.forget(now)
	if row, ok := ring.rows[query.Key]; ok {
		if row.BodySum != query.BodySum {
			return Conflict, row
		}
		return Join, row
	}
	since, home := ring.homeSince(query)
	if !home {
		return NotHome, Row{}
	}
	if !ring.provable(now, since, query.KeyBorn) {
		return Unprovable, Row{}
	}
	if len(ring.rows) >= ring.settings.Bound {
		return Full, Row{}
	}
	row := Row{Run: query.Run, BodySum: query.BodySum}
	ring.rows[query.Key] = row
	return Admit, row
}

// Release forgets a key whose request was refused before it ran.
func (ring *Ring) Release(key message.Digest) {
	delete(ring.rows, key)
	ring.expiry.Remove(key)
}

// Ended starts the repeat window of a key whose run ended.
func (ring *Ring) Ended(now time.Duration, key message.Digest) {
	if _, ok := ring.rows[key]; ok {
		ring.expiry.Set(key, now+ring.window)
	}
}

// Len returns the number of keys remembered.
func (ring *Ring) Len() int {
	return len(ring.rows)
}

// Window returns the repeat window in force.
func (ring *Ring) Window() time.Duration {
	return ring.window
}

func (ring *Ring) forget(now time.Duration) {
	for _, key := range ring.expiry.PopDue(now) {
		delete(ring.rows, key)
	}
}

// homeSince returns the time since which this upstream has been the key's home
// without a break, and whether it is now.
func (ring *Ring) homeSince(query Query) (time.Duration, bool) {
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

func (ring *Ring) isHome(published document.Document, query Query) bool {
	class, ok := published.Class(query.Class)
	if !ok {
		return false
	}
	return rendezvous.Top(query.Key[:], published.Serves(class)) == ring.settings.Name
}

// provable says whether the key cannot have run before. A key that carries its
// time of birth must be younger than our knowledge of it and than the repeat
// window: its request may have lain in a paused process since. Of another key
// nothing is known before the whole repeat window has passed.
func (ring *Ring) provable(now, since time.Duration, born time.Time) bool {
	if born.IsZero() {
		return now-since >= ring.window
	}
	if ring.wall(now).Sub(born) > ring.window-ring.settings.ClockSkew {
		return false
	}
	return now-since >= ring.window || born.After(ring.wall(since).Add(ring.settings.ClockSkew))
}

func (ring *Ring) wall(uptime time.Duration) time.Time {
	return ring.settings.BootWall.Add(uptime)
}

// ProvableIn returns how long it takes until a key without a time of birth is
// admitted here.
func (ring *Ring) ProvableIn(now time.Duration, query Query) time.Duration {
	since, _ := ring.homeSince(query)
	return max(since+ring.window-now, 0)
}
