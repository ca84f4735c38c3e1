// Package retrybudget limits retries to a share of the successful requests.
package retrybudget

// Budget is a token bucket that successes fill and retries drain, so that retries
// cannot amplify an overload.
type Budget struct {
	tokens   float64
	share    float64
	capacity float64
}

// New returns a full budget. Each success adds share retries, up to capacity.
func New(share, capacity float64) *Budget {
	return &Budget{tokens: capacity, share: share, capacity: capacity}
}

// Succeeded records a successful request.
func (budget *Budget) Succeeded() {
	budget.tokens = min(budget.tokens+budget.share, budget.capacity)
}

// Available returns whether a retry is left.
func (budget *Budget) Available() bool {
	return budget.tokens >= 1
}

// Take takes one retry from the budget and returns false if none is left.
func (budget *Budget) Take() bool {
	if !budget.Available() {
		return false
	}
	budget.tokens--
	return true
}
