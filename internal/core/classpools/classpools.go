// Package classpools knows which pools served each class lately, and so which of them may have
// begun a stream.
package classpools

import (
	"maps"
	"slices"
	"time"

	"endivepost/internal/config/document"
	"endivepost/internal/policy/trafficsplit"
)

// History is which pools served the classes of one document after the other. A change counts
// for the retention.
type History struct {
	retention time.Duration
	classes   map[string]servedRow
}

// servedRow is by what shares a class is served, and the pools that served it by other shares
// before, with the time until which they did.
type servedRow struct {
	shares []document.Share
	former map[string]time.Duration
}

// New returns a history without any class. The retention is the longest time from the begin of
// a stream until it may be taken up.
func New(retention time.Duration) *History {
	return &History{retention: retention, classes: make(map[string]servedRow)}
}

// Observe records the classes of a document that is now in force. What served a class before
// its first document is not known, and the class counts as unchanged.
func (history *History) Observe(now time.Duration, classes []document.Class) {
	present := make(map[string]bool, len(classes))
	for _, class := range classes {
		present[class.Name] = true
		history.classes[class.Name] = history.classes[class.Name].withShares(now, class.Split)
	}
	for name, row := range history.classes {
		if !present[name] {
			row = row.withShares(now, nil)
		}
		row = row.without(now - history.retention)
		if len(row.shares) == 0 && len(row.former) == 0 {
			delete(history.classes, name)
			continue
		}
		history.classes[name] = row
	}
}

// withShares returns the row of a class that is now served by the shares.
func (row servedRow) withShares(now time.Duration, shares []document.Share) servedRow {
	if slices.Equal(row.shares, shares) {
		return row
	}
	former := make(map[string]time.Duration, len(row.former)+len(row.shares))
	maps.Copy(former, row.former)
	for _, share := range row.shares {
		if share.Weight > 0 {
			former[share.Pool] = now
		}
	}
	return servedRow{shares: shares, former: former}
}

// without returns the row without the pools that served before the time only.
func (row servedRow) without(before time.Duration) servedRow {
	if len(row.former) == 0 {
		return row
	}
	former := make(map[string]time.Duration, len(row.former))
	for pool, until := range row.former {
		if until >= before {
			former[pool] = until
		}
	}
	row.former = former
	return row
}

// Candidates returns the pools that may have begun the stream of the class within the
// retention: the one that all entries draw for it, unless the class was served by other shares
// in that time.
func (history *History) Candidates(now time.Duration, class document.Class, stream uint64) []string {
	former := history.classes[class.Name].without(now - history.retention).former
	if len(former) == 0 && stream != 0 {
		return []string{trafficsplit.New(class.Split).DrawFor(stream)}
	}
	var pools []string
	for pool := range former {
		pools = append(pools, pool)
	}
	for _, share := range class.Split {
		if share.Weight > 0 {
			pools = append(pools, share.Pool)
		}
	}
	slices.Sort(pools)
	return slices.Compact(pools)
}
