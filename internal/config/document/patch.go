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

// Patch is the difference between two versions of a document: the rows that
// were added or changed, and the names of those that are gone. A change touches
// a row or two of thousands, so a patch costs a few hundred bytes where the
// document costs hundreds of thousands. Sum is of the document after it.
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

// RowsDiff is the difference in one list of a document.
type RowsDiff[R any] struct {
	Put     []R      `json:"put,omitempty"`
	Removed []string `json:"gone,omitempty"`
}

// ErrPatchMismatch is returned for a patch that does not fit the document.
var ErrPatchMismatch = errors.New("the patch does not fit the document")

// Diff returns the patch that leads from one document to the other.
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

// Apply returns the document after the patch, checked like any other. It returns
// ErrPatch if the patch is for another version or does not lead to the document
// that its sender has. It costs a pass over the rows, and hashes the changed
// ones only.
func (document Document) Apply(patch Patch) (applied Document, err error) {
	defer func() {
		if err != nil {
			err = fmt.Errorf("patch from version %d to %d: %w", patch.From, patch.Version, err)
		}
	}()
	if document.Version != patch.From {
		return Document{}, ErrPatchMismatch
	}
	applied = Document{
		Version: patch.Version, RepeatWindow: patch.RepeatWindow, SelfRegistration: patch.SelfRegistration, Limits: patch.Limits, sum: document.sum,
	}
	applied.Classes = applyRows(&applied.sum, document.Classes, patch.Classes, className)
	applied.Accounts = applyRows(&applied.sum, document.Accounts, patch.Accounts, accountName)
	applied.Upstreams = applyRows(&applied.sum, document.Upstreams, patch.Upstreams, upstreamName)
	applied.Pools = applyRows(&applied.sum, document.Pools, patch.Pools, poolName)
	if applied.sum != patch.Sum {
		return Document{}, ErrPatchMismatch
	}
	return applied, errors.Join(applied.faults()...)
}

func className(class Class) string          { return class.Name }
func accountName(account Account) string    { return account.Name }
func upstreamName(upstream Upstream) string { return upstream.Name }
func poolName(pool Pool) string             { return pool.Name }

func diffRows[R any](from, to []R, name func(R) string) RowsDiff[R] {
	before := make(map[string]R, len(from))
	for _, row := range from {
		before[name(row)] = row
	}
	var rows RowsDiff[R]
	for _, row := range to {
		held, ok := before[name(row)]
		if !ok || !reflect.DeepEqual(held, row) {
			rows.Put = append(rows.Put, row)
		}
		delete(before, name(row))
	}
	for gone := range before {
		rows.Removed = append(rows.Removed, gone)
	}
	sort.Strings(rows.Removed)
	return rows
}

func applyRows[R any](sum *Sum, held []R, rows RowsDiff[R], name func(R) string) []R {
	if len(rows.Put) == 0 && len(rows.Removed) == 0 {
		return held
	}
	put := make(map[string]R, len(rows.Put))
	for _, row := range rows.Put {
		put[name(row)] = row
	}
	gone := make(map[string]bool, len(rows.Removed))
	for _, row := range rows.Removed {
		gone[row] = true
	}
	applied := make([]R, 0, len(held)+len(rows.Put))
	for _, row := range held {
		changed, isChanged := put[name(row)]
		if isChanged || gone[name(row)] {
			*sum = sum.without(row)
		}
		if isChanged {
			delete(put, name(row))
			*sum = sum.with(changed)
			row = changed
		}
		if !gone[name(row)] {
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

// Sum identifies the content of a document, whatever the order of its rows. It
// is the sum of the rows' hashes, so a changed row costs two hashes and not one
// of the whole document.
type Sum [2]uint64

func (sum Sum) with(row any) Sum {
	hash := hashRow(row)
	return Sum{sum[0] + hash[0], sum[1] + hash[1]}
}

func (sum Sum) without(row any) Sum {
	hash := hashRow(row)
	return Sum{sum[0] - hash[0], sum[1] - hash[1]}
}

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
