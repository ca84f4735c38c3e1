// Package freshread paces the reads that an entry asks for when what it has read of the
// published upstream list may be older than an event that depends on it. A read that was asked
// for after the event answers it.
package freshread

import "time"

// Reads is what is known of the reads that one entry asks for. All times are uptimes of the
// entry. The zero value has asked for none.
type Reads struct {
	// neededSince is the newest event that a read must follow, neededUntil when nothing
	// depends on it any more.
	neededSince time.Duration
	neededUntil time.Duration
	askedAt     time.Duration
	// answeredFor is when the newest read that was answered was asked for.
	answeredFor time.Duration
}

const (
	// minInterval is the least time between two reads of one entry.
	minInterval = 100 * time.Millisecond
	// intervalPerEntry keeps the reads of all entries together to one in this time: the
	// configuration service limits the calls of the fleet.
	intervalPerEntry = time.Millisecond
)

// WithNeed returns the reads after an event at since, for which a later read is of use until
// the given time.
func (reads Reads) WithNeed(since, until time.Duration) Reads {
	reads.neededSince = max(reads.neededSince, since)
	reads.neededUntil = max(reads.neededUntil, until)
	return reads
}

// WithAsked returns the reads after one was asked for.
func (reads Reads) WithAsked(now time.Duration) Reads {
	reads.askedAt = now
	return reads
}

// WithAnswer returns the reads after the one that was asked for at askedAt was answered. 0
// stands for a read that nobody asked for.
func (reads Reads) WithAnswer(askedAt time.Duration) Reads {
	reads.answeredFor = max(reads.answeredFor, askedAt)
	return reads
}

// Since returns whether a read that was asked for after the event at that time was answered.
func (reads Reads) Since(event time.Duration) bool {
	return reads.answeredFor > 0 && reads.answeredFor >= event
}

// Due returns when the next read is to be asked for in a fleet with that many entries, if one
// is needed. A read that is not answered is asked for again.
func (reads Reads) Due(now time.Duration, entries int) (due time.Duration, needed bool) {
	if now > reads.neededUntil || reads.neededSince == 0 || reads.Since(reads.neededSince) {
		return 0, false
	}
	if reads.askedAt == 0 {
		return now, true
	}
	return reads.askedAt + max(minInterval, time.Duration(entries)*intervalPerEntry), true
}
