package document

import (
	"crypto/sha256"
	"encoding/binary"
	"encoding/json"
	"errors"
	"fmt"
	"reflect"
	"sort"
)

// Patch is the difference between two versions of a document: the rows that were
// added or changed, and the names of those that were removed. A change usually touches
// one or two rows of thousands, so a patch has a few hundred bytes where the document
// has hundreds of thousands. From is the version of the document that the patch applies
// to, Version and Sum are those of the document after the patch.
type Patch struct {
	From             uint64             `json:"from"`
	Version          uint64             `json:"version"`
	RepeatWindow     Duration           `json:"repeat-window"`
	Classes          RowsDiff[Class]    `json:"classes"`
	Accounts         RowsDiff[Account]  `json:"accounts"`
	Upstreams        RowsDiff[Upstream] `json:"upstreams"`
	Pools            RowsDiff[Pool]     `json:"pools,omitzero"`
	SelfRegistration bool               `json:"upstreams-listed,omitempty"`
	Limits           Limits             `json:"limits,omitzero"`
	Sum              Sum                `json:"sum"`
}

// RowsDiff is the difference in one list of a document: rows added or changed, and
// names of rows removed.
type RowsDiff[R any] struct {
	Put     []R      `json:"put,omitempty"`
	Removed []string `json:"gone,omitempty"`
}

// ErrPatchMismatch is returned for a patch from another version than the document's,
// or one that results in another document than its sender has.
var ErrPatchMismatch = errors.New("the patch does not match the document")

// Diff returns the patch from one document to the other.
func Diff(from, to Document) Patch {
	return Patch{
		From:             from.Version,
		Version:          to.Version,
		RepeatWindow:     to.RepeatWindow,
		Classes:          diffRows(from.Classes, to.Classes, className),
		Accounts:         diffRows(from.Accounts, to.Accounts, accountName),
		Upstreams:        diffRows(from.Upstreams, to.Upstreams, upstreamName),
		Pools:            diffRows(from.Pools, to.Pools, poolName),
		SelfRegistration: to.SelfRegistration,
		Limits:           to.Limits,
		Sum:              to.sum,
	}
}

// Apply returns the document after the patch, validated like a parsed one. It returns
// ErrPatchMismatch if the patch does not match, else the validation errors, if any. The
// cost is one pass over the rows and hashes of the changed rows only.
func (document Document) Apply(patch Patch) (applied Document, err error) {
	defer func() {
		if err != nil {
			err = fmt.Errorf("patch from version %d to %d: %w", patch.From, patch.Version, err)
		}
	}()
	if document.Version != patch.From {
		return Document{}, fmt.Errorf("%w of version %d", ErrPatchMismatch, document.Version)
	}
	applied = Document{
		Version: patch.Version, RepeatWindow: patch.RepeatWindow, SelfRegistration: patch.SelfRegistration, Limits: patch.Limits, sum: document.sum,
	}
	applied.Classes = applyRows(&applied.sum, document.Classes, patch.Classes, className)
	applied.Accounts = applyRows(&applied.sum, document.Accounts, patch.Accounts, accountName)
	applied.Upstreams = applyRows(&applied.sum, document.Upstreams, patch.Upstreams, upstreamName)
	applied.Pools = applyRows(&applied.sum, document.Pools, patch.Pools, poolName)
	if applied.sum != patch.Sum {
		return Document{}, fmt.Errorf("%w: got sum %x, want %x", ErrPatchMismatch, applied.sum, patch.Sum)
	}
	return applied, errors.Join(applied.validationErrors()...)
}

func className(class Class) string          { return class.Name }
func accountName(account Account) string    { return account.Name }
func upstreamName(upstream Upstream) string { return upstream.Name }
func poolName(pool Pool) string             { return pool.Name }

// diffRows returns the difference between two lists of rows.
func diffRows[R any](from, to []R, name func(R) string) RowsDiff[R] {
	before := make(map[string]R, len(from))
	for _, row := range from {
		before[name(row)] = row
	}
	var rows RowsDiff[R]
	for _, row := range to {
		old, ok := before[name(row)]
		if !ok || !reflect.DeepEqual(old, row) {
			rows.Put = append(rows.Put, row)
		}
		delete(before, name(row))
	}
	for removed := range before {
		rows.Removed = append(rows.Removed, removed)
	}
	sort.Strings(rows.Removed)
	return rows
}

// applyRows returns the rows after the difference and updates the sum. Changed rows
// keep their position, added rows go to the end.
func applyRows[R any](sum *Sum, current []R, rows RowsDiff[R], name func(R) string) []R {
	if len(rows.Put) == 0 && len(rows.Removed) == 0 {
		return current
	}
	put := make(map[string]R, len(rows.Put))
	for _, row := range rows.Put {
		put[name(row)] = row
	}
	removed := make(map[string]bool, len(rows.Removed))
	for _, row := range rows.Removed {
		removed[row] = true
	}
	applied := make([]R, 0, len(current)+len(rows.Put))
	for _, row := range current {
		changed, isChanged := put[name(row)]
		if isChanged || removed[name(row)] {
			*sum = sum.without(row)
		}
		if isChanged {
			delete(put, name(row))
			*sum = sum.with(changed)
			row = changed
		}
		if !removed[name(row)] {
			applied = append(applied, row)
		}
	}
	for _, row := range rows.Put {
		if _, added := put[name(row)]; added {
			*sum = sum.with(row)
			applied = append(applied, row)
		}
	}
	return applied
}

// Sum identifies the rows of a document regardless of their order. It is the sum of
// the hashes of the rows, so a changed row costs two hashes instead of a hash of the
// whole document. RepeatWindow, SelfRegistration and Limits are not in it.
type Sum [2]uint64

func (sum Sum) with(row any) Sum {
	hash := hashRow(row)
	return Sum{sum[0] + hash[0], sum[1] + hash[1]}
}

func (sum Sum) without(row any) Sum {
	hash := hashRow(row)
	return Sum{sum[0] - hash[0], sum[1] - hash[1]}
}

// hashRow returns the hash of a row. It covers the Go type of the row, as package and
// type name, so that rows of different lists differ. Processes compare the sums, so
// renaming the package or a row type would make old and new releases disagree.
func hashRow(row any) Sum {
	encoded, _ := json.Marshal(row)
	hash := sha256.Sum256(fmt.Appendf(encoded, "%T", row))
	return Sum{binary.BigEndian.Uint64(hash[:]), binary.BigEndian.Uint64(hash[8:])}
}

// withSum returns the document with the sum of all its rows.
func (document Document) withSum() Document {
	document.sum = Sum{}
	for _, class := range document.Classes {
		document.sum = document.sum.with(class)
	}
	for _, account := range document.Accounts {
		document.sum = document.sum.with(account)
	}
	for _, upstream := range document.Upstreams {
		document.sum = document.sum.with(upstream)
	}
	for _, pool := range document.Pools {
		document.sum = document.sum.with(pool)
	}
	return document
}
