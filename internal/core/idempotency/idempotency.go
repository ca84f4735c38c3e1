// Package idempotency holds the idempotency keys of one upstream, so that a request
// with a key runs at most once.
package idempotency

import (
	"time"

	"endivepost/internal/config/document"
	"endivepost/internal/data/timerqueue"
	"endivepost/internal/policy/rendezvous"
	"endivepost/internal/wire/message"
)

// Table holds every key that was admitted at this upstream within the repeat
// window. It does not cover the time before the process started or before this
// upstream became the owner of a key: a run before that is not in the table. So a key
// is admitted only if it was created after that time, or if such a run would be older
// than the repeat window.
//
// The table has a fixed capacity. When it is full new keys are refused; a key is
// never evicted before its repeat window has passed.
type Table struct {
	settings  Settings
	rows      map[message.Digest]Row
	expiry    *timerqueue.Queue[message.Digest]
	documents []activeDocument
	window    time.Duration
}

// Settings of a Table. Name is the upstream's name, BootTime the wall clock at
// uptime zero, ClockSkew the maximum difference between a caller's clock and the one
// of BootTime, and Capacity the maximum number of keys.
type Settings struct {
	Name      string
	BootTime  time.Time
	ClockSkew time.Duration
	Capacity  int
}

// Row is one stored key. RequestID is the request that holds it, BodyDigest the
// digest of that request's body.
type Row struct {
	RequestID  message.RequestID
	BodyDigest message.Digest
}

// Decision is how to handle a request with a key.
type Decision uint8

// The decisions.
const (
	// Admit means that no request with the key has run and that this one now holds it.
	Admit Decision = iota + 1
	// Duplicate means that the request Row.RequestID already holds the key.
	Duplicate
	// Conflict means that the key was used with another body.
	Conflict
	// NotOwner means that another upstream owns the key.
	NotOwner
	// Unverifiable means that a request with the key may have run at a time that the
	// table does not cover, or so long ago that the key's row has expired.
	Unverifiable
	// TableFull means that the table has no capacity for a new key.
	TableFull
)

// activeDocument is a class document and the uptime at which it became active. Its
// upstreams determine the owner of each key.
type activeDocument struct {
	since    time.Duration
	document document.Document
}

// Query is a request with a key. KeyCreatedAt is zero if the key has no creation
// time.
type Query struct {
	RequestID    message.RequestID
	Class        string
	Key          message.Digest
	KeyCreatedAt time.Time
	BodyDigest   message.Digest
}

// New returns an empty table. Before SetDocument its decision on every key is
// NotOwner.
func New(settings Settings) *Table {
	return &Table{
		settings: settings,
		rows:     make(map[message.Digest]Row),
		expiry:   timerqueue.New[message.Digest](),
	}
}

// SetDocument makes the document the active one from now on. The first document
// counts as active since the process started.
func (table *Table) SetDocument(now time.Duration, accepted document.Document) {
	table.window = time.Duration(accepted.RepeatWindow)
	if len(table.documents) == 0 {
		table.documents = append(table.documents, activeDocument{document: accepted})
		return
	}
	table.documents = append(table.documents, activeDocument{since: now, document: accepted})
	table.dropOldDocuments(now)
}

// dropOldDocuments drops the documents that were replaced before the repeat window
// began.
func (table *Table) dropOldDocuments(now time.Duration) {
	for len(table.documents) > 1 && table.documents[1].since+table.window <= now {
		table.documents = table.documents[1:]
	}
}

// Admit decides on a request with a key and, if the decision is Admit, stores the
// key. Row is set for Admit, Duplicate and Conflict.
func (table *Table) Admit(now time.Duration, query Query) (Decision, Row) {
	table.expireKeys(now)
	if row, ok := table.rows[query.Key]; ok {
		if row.BodyDigest != query.BodyDigest {
			return Conflict, row
		}
		return Duplicate, row
	}
	since, owned := table.ownedSince(query)
	if !owned {
		return NotOwner, Row{}
	}
	if !table.verifiable(now, since, query.KeyCreatedAt) {
		return Unverifiable, Row{}
	}
	if len(table.rows) >= table.settings.Capacity {
		return TableFull, Row{}
	}
	row := Row{RequestID: query.RequestID, BodyDigest: query.BodyDigest}
	table.rows[query.Key] = row
	return Admit, row
}

// Release removes a key whose request was refused before it ran.
func (table *Table) Release(key message.Digest) {
	delete(table.rows, key)
	table.expiry.Remove(key)
}

// RunEnded starts the repeat window of a key after its run has ended.
func (table *Table) RunEnded(now time.Duration, key message.Digest) {
	if _, ok := table.rows[key]; ok {
		table.expiry.Set(key, now+table.window)
	}
}

// Len returns the number of stored keys.
func (table *Table) Len() int {
	return len(table.rows)
}

// Window returns the repeat window of the active document, 0 before the first.
func (table *Table) Window() time.Duration {
	return table.window
}

func (table *Table) expireKeys(now time.Duration) {
	for _, key := range table.expiry.PopDue(now) {
		delete(table.rows, key)
	}
}

// ownedSince returns the uptime since which this upstream has owned the key without
// interruption, and whether it owns it now.
func (table *Table) ownedSince(query Query) (time.Duration, bool) {
	since := time.Duration(0)
	owned := false
	for _, active := range table.documents {
		if !table.isOwner(active.document, query) {
			owned = false
			continue
		}
		if !owned {
			since = active.since
		}
		owned = true
	}
	return since, owned
}

func (table *Table) isOwner(published document.Document, query Query) bool {
	class, ok := published.Class(query.Class)
	if !ok {
		return false
	}
	return rendezvous.Top(query.Key[:], published.UpstreamsFor(class)) == table.settings.Name
}

// verifiable reports whether an earlier run of the key would still be in the table.
// A key with a creation time must have been created after this upstream became its
// owner, or the whole repeat window must have passed since. It must also be younger
// than the repeat window, because its request may have been delayed in a paused
// process until an earlier run's row expired. Both comparisons of creation times allow
// for ClockSkew. A key without a creation time is verifiable only after the whole
// repeat window.
func (table *Table) verifiable(now, since time.Duration, createdAt time.Time) bool {
	if createdAt.IsZero() {
		return now-since >= table.window
	}
	if table.wallClock(now).Sub(createdAt) > table.window-table.settings.ClockSkew {
		return false
	}
	return now-since >= table.window || createdAt.After(table.wallClock(since).Add(table.settings.ClockSkew))
}

func (table *Table) wallClock(uptime time.Duration) time.Time {
	return table.settings.BootTime.Add(uptime)
}

// VerifiableIn returns the time until a key without a creation time is verifiable, 0 if
// it is now.
func (table *Table) VerifiableIn(now time.Duration, query Query) time.Duration {
	since, _ := table.ownedSince(query)
	return max(since+table.window-now, 0)
}
