// Package revision orders positions in the history of a store that may be restored from a
// copy. Revisions are then given out again, in a new era.
package revision

// Revision is a position in a store's history: the number that the store gave a change, and
// the era in which it did. Numbers of different eras cannot be compared.
type Revision struct {
	Era    uint64
	Number uint64
}

// New returns the revision with the number in the era.
func New(era, number uint64) Revision {
	return Revision{Era: era, Number: number}
}

// After returns whether the revision is later than the other: in a later era, or later in
// the same one.
func (revision Revision) After(other Revision) bool {
	if revision.Era != other.Era {
		return revision.Era > other.Era
	}
	return revision.Number > other.Number
}
