package overload

// Defaults of a RetryBudget.
const (
	// DefaultRetryRatio is the number of retries that each request adds to the budget.
	DefaultRetryRatio = 0.1
	// DefaultRetryReserve is the maximum number of retries that can accumulate. It covers
	// the requests that fail at once when a failure domain is lost.
	DefaultRetryReserve = 1000
	// DefaultInitialRetries is the number of retries available to a new instance.
	DefaultInitialRetries = 50
)

// RetryBudget limits retries to a fraction of the requests. Without it, every request to a
// failed domain would be retried several times, and the load of the retries would make the
// remaining domains fail too. It is not safe for concurrent use.
type RetryBudget struct {
	ratio     float64
	reserve   float64
	available float64
}

// NewRetryBudget returns a budget to which each request adds ratio retries, up to reserve.
// It starts with initial retries.
func NewRetryBudget(ratio, reserve, initial float64) *RetryBudget {
	return &RetryBudget{ratio: ratio, reserve: reserve, available: min(initial, reserve)}
}

// SetReserve changes the maximum number of accumulated retries, for example when the fleet
// that shares a limit changes its size.
func (b *RetryBudget) SetReserve(reserve float64) {
	b.reserve = reserve
	b.available = min(b.available, reserve)
}

// AddRequest counts the first attempt of a request.
func (b *RetryBudget) AddRequest() { b.available = min(b.reserve, b.available+b.ratio) }

// TakeRetry takes one retry from the budget. It returns false if none is available; the
// request must then not be retried.
func (b *RetryBudget) TakeRetry() bool {
	if b.available < 1 {
		return false
	}
	b.available--
	return true
}

// TakeRetryAbove takes one retry if at least reserve retries remain afterwards.
func (b *RetryBudget) TakeRetryAbove(reserve float64) bool {
	return b.available >= reserve+1 && b.TakeRetry()
}

// Available returns the number of retries available.
func (b *RetryBudget) Available() float64 { return b.available }
