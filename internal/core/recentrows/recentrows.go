// Package recentrows keeps the latest rows of upstreams with the time at which they were read.
package recentrows

import (
	"slices"
	"time"

	"endivepost/internal/core/event"
)

// Rows are the rows from the oldest on, one for each name. The zero value has none.
type Rows struct{ rows []row }

type row struct {
	upstream event.Upstream
	at       time.Duration
}

// With returns the rows with one that was read now, in place of an earlier one of its name.
func (rows Rows) With(now time.Duration, upstream event.Upstream) Rows {
	others := slices.DeleteFunc(slices.Clone(rows.rows), func(row row) bool { return row.upstream.Name == upstream.Name })
	return Rows{rows: append(others, row{upstream: upstream, at: now})}
}

// Without returns the rows without those that were read before the time.
func (rows Rows) Without(before time.Duration) Rows {
	return Rows{rows: rows.rows[rows.first(before):]}
}

// Since returns the rows that were read at the time or later, nil if there are none.
func (rows Rows) Since(at time.Duration) []event.Upstream {
	var upstreams []event.Upstream
	for _, row := range rows.rows[rows.first(at):] {
		upstreams = append(upstreams, row.upstream)
	}
	return upstreams
}

// first returns the index of the first row that was read at the time or later.
func (rows Rows) first(at time.Duration) int {
	index, _ := slices.BinarySearchFunc(rows.rows, at, func(row row, at time.Duration) int { return int(row.at - at) })
	return index
}
