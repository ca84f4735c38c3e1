package document

import (
	"crypto/sha256"
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
	From         uint64         `json:"from"`
	Version      uint64         `json:"version"`
	RepeatWindow Duration       `json:"repeat-window"`
	Classes      Rows[Class]    `json:"classes"`
	Accounts     Rows[Account]  `json:"accounts"`
	Upstreams    Rows[Upstream] `json:"upstreams"`
	Sum          []byte         `json:"sum"`
}

// Rows is the difference in one list of a document.
type Rows[R any] struct {
	Put  []R      `json:"put,omitempty"`
	Gone []string `json:"gone,omitempty"`
}

// ErrPatch is returned for a patch that does not fit the document.
var ErrPatch = errors.New("the patch does not fit the document")

// Diff returns the patch that leads from one document to the other.
func Diff(from, to Document) Patch {
	return Patch{
		From:         from.Version,
		Version:      to.Version,
		RepeatWindow: to.RepeatWindow,
		Classes:      diffRows(from.Classes, to.Classes, className),
		Accounts:     diffRows(from.Accounts, to.Accounts, accountName),
		Upstreams:    diffRows(from.Upstreams, to.Upstreams, upstreamName),
		Sum:          to.sum(),
	}
}

// Apply returns the text of the document after the patch, checked like any
// other. It returns ErrPatch if the patch is for another version or does not
// lead to the document that its sender has.
func (document Document) Apply(patch Patch) (raw []byte, err error) {
	defer func() {
		if err != nil {
			err = fmt.Errorf("patch from version %d to %d: %w", patch.From, patch.Version, err)
		}
	}()
	if document.Version != patch.From {
		return nil, ErrPatch
	}
	document.Version = patch.Version
	document.RepeatWindow = patch.RepeatWindow
	document.Classes = applyRows(document.Classes, patch.Classes, className)
	document.Accounts = applyRows(document.Accounts, patch.Accounts, accountName)
	document.Upstreams = applyRows(document.Upstreams, patch.Upstreams, upstreamName)
	if string(document.sum()) != string(patch.Sum) {
		return nil, ErrPatch
	}
	return json.Marshal(document)
}

func className(class Class) string          { return class.Name }
func accountName(account Account) string    { return account.Name }
func upstreamName(upstream Upstream) string { return upstream.Name }

func diffRows[R any](from, to []R, name func(R) string) Rows[R] {
	before := make(map[string]R, len(from))
	for _, row := range from {
		before[name(row)] = row
	}
	var rows Rows[R]
	for _, row := range to {
		held, ok := before[name(row)]
		if !ok || !reflect.DeepEqual(held, row) {
			rows.Put = append(rows.Put, row)
		}
		delete(before, name(row))
	}
	for gone := range before {
		rows.Gone = append(rows.Gone, gone)
	}
	sort.Strings(rows.Gone)
	return rows
}

func applyRows[R any](held []R, rows Rows[R], name func(R) string) []R {
	put := make(map[string]R, len(rows.Put))
	for _, row := range rows.Put {
		put[name(row)] = row
	}
	gone := make(map[string]bool, len(rows.Gone))
	for _, row := range rows.Gone {
		gone[row] = true
	}
	var applied []R
	for _, row := range held {
		if changed, ok := put[name(row)]; ok {
			row = changed
			delete(put, name(row))
		}
		if !gone[name(row)] {
			applied = append(applied, row)
		}
	}
	for _, row := range rows.Put {
		if _, added := put[name(row)]; added {
			applied = append(applied, row)
		}
	}
	return applied
}

// sum is the same for documents that differ in the order of their rows only.
func (document Document) sum() []byte {
	document.Classes = sorted(document.Classes, className)
	document.Accounts = sorted(document.Accounts, accountName)
	document.Upstreams = sorted(document.Upstreams, upstreamName)
	raw, _ := json.Marshal(document)
	sum := sha256.Sum256(raw)
	return sum[:]
}

func sorted[R any](rows []R, name func(R) string) []R {
	copied := append([]R{}, rows...)
	sort.Slice(copied, func(i, j int) bool { return name(copied[i]) < name(copied[j]) })
	return copied
}
