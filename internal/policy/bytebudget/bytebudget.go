// Package bytebudget divides a number of bytes of memory among holders, none of which can
// take all of it. A weighted semaphore alone does not bound single holders.
package bytebudget

import "sync"

// One holder may take shareNumerator / shareDenominator of the bytes.
const (
	shareNumerator   = 3
	shareDenominator = 4
	// Bodies leave one byte in headroom for header sections, so that the class of a request
	// can be read, and an urgent one can displace others.
	headroom = 8
)

// Budget is a number of bytes and who holds how many of them. A holder is a caller's address
// or account.
type Budget struct {
	mutex   sync.Mutex
	total   int64
	used    int64
	holders map[string]int64
	// released is closed at the next release.
	released chan struct{}
}

// New returns a budget of total bytes, without a bound for 0.
func New(total int64) *Budget {
	return &Budget{total: total, holders: make(map[string]int64), released: make(chan struct{})}
}

// TryTake takes the bytes for all holders if the budget and the share of each of them allow
// it.
func (budget *Budget) TryTake(count int64, holders ...string) bool {
	return budget.tryTake(count, 0, holders)
}

// TryTakeBody does the same, and leaves the headroom of the budget and of each share.
func (budget *Budget) TryTakeBody(count int64, holders ...string) bool {
	return budget.tryTake(count, budget.total/headroom, holders)
}

func (budget *Budget) tryTake(count, left int64, holders []string) bool {
	budget.mutex.Lock()
	defer budget.mutex.Unlock()
	if budget.total > 0 {
		if budget.used+count+left > budget.total {
			return false
		}
		for _, holder := range holders {
			if budget.holders[holder]+count+left > budget.total*shareNumerator/shareDenominator {
				return false
			}
		}
	}
	budget.take(count, holders)
	return true
}

// Take takes bytes that are already in use, beyond the bounds too. Later calls of TryTake then
// fail.
func (budget *Budget) Take(count int64, holders ...string) {
	budget.mutex.Lock()
	defer budget.mutex.Unlock()
	budget.take(count, holders)
}

func (budget *Budget) take(count int64, holders []string) {
	budget.used += count
	for _, holder := range holders {
		budget.holders[holder] += count
	}
}

// Release gives back bytes that the holders have taken.
func (budget *Budget) Release(count int64, holders ...string) {
	if count == 0 {
		return
	}
	budget.mutex.Lock()
	defer budget.mutex.Unlock()
	budget.used -= count
	for _, holder := range holders {
		budget.holders[holder] -= count
		if budget.holders[holder] <= 0 {
			delete(budget.holders, holder)
		}
	}
	close(budget.released)
	budget.released = make(chan struct{})
}

// Released returns a channel that is closed at the next release.
func (budget *Budget) Released() <-chan struct{} {
	budget.mutex.Lock()
	defer budget.mutex.Unlock()
	return budget.released
}

// Used returns the number of bytes taken.
func (budget *Budget) Used() int64 {
	budget.mutex.Lock()
	defer budget.mutex.Unlock()
	return budget.used
}

// Total returns the number of bytes of the budget, 0 for no bound.
func (budget *Budget) Total() int64 { return budget.total }
