package overload

// Defaults of a Budget.
const (
	// DefaultRetryRatio is the attempts that each request adds to the budget.
	DefaultRetryRatio = 0.1
	// DefaultRetryReserve is the most attempts saved up. It pays for the requests
	// that a lost failure domain breaks all at once.
	DefaultRetryReserve = 1000
	// DefaultInitialRetries is what a fresh instance has.
	DefaultInitialRetries = 50
)

// RetryBudget bounds repeated attempts to a part of the requests. Without it every
// request to a failed domain would be tried several times, the rest of the
// fleet would get the load of all tries, and fail too. It is not safe for
// concurrent use.
type RetryBudget struct {
	ratio   float64
	reserve float64
	saved   float64
}

// NewRetryBudget makes a budget of ratio attempts a request, of which at most
// reserve are saved up; start is what it begins with.
func NewRetryBudget(ratio, reserve, start float64) *RetryBudget {
	return &RetryBudget{ratio: ratio, reserve: reserve, saved: min(start, reserve)}
}

// SetReserve changes the most that is saved up, as when the fleet that shares a
// bound grows or shrinks.
func (b *RetryBudget) SetReserve(reserve float64) {
	b.reserve = reserve
	b.saved = min(b.saved, reserve)
}

// AddRequest counts a request at its first attempt.
func (b *RetryBudget) AddRequest() { b.saved = min(b.reserve, b.saved+b.ratio) }

// TakeRetry takes one repeated attempt from the budget; false when it is spent.
// The request then gets its final answer.
func (b *RetryBudget) TakeRetry() bool {
	if b.saved < 1 {
		return false
	}
	b.saved--
	return true
}

// TakeRetryAbove takes one repeated attempt if at least a reserve is left then.
func (b *RetryBudget) TakeRetryAbove(reserve float64) bool {
	return b.saved >= reserve+1 && b.TakeRetry()
}

// Available is the attempts that could be repeated now.
func (b *RetryBudget) Available() float64 { return b.saved }
