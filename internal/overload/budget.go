package overload

// Defaults of a Budget.
const (
	// DefaultRatio is the attempts that each request adds to the budget.
	DefaultRatio = 0.1
	// DefaultReserve is the most attempts saved up. It pays for the requests
	// that a lost failure domain breaks all at once.
	DefaultReserve = 1000
	// DefaultStart is what a fresh instance has.
	DefaultStart = 50
)

// Budget bounds repeated attempts to a part of the requests. Without it every
// request to a failed domain would be tried several times, the rest of the
// fleet would get the load of all tries, and fail too. It is not safe for
// concurrent use.
type Budget struct {
	ratio   float64
	reserve float64
	saved   float64
}

// NewBudget makes a budget of ratio attempts a request, of which at most
// reserve are saved up; start is what it begins with.
func NewBudget(ratio, reserve, start float64) *Budget {
	return &Budget{ratio: ratio, reserve: reserve, saved: min(start, reserve)}
}

// SetReserve changes the most that is saved up, as when the fleet that shares a
// bound grows or shrinks.
func (b *Budget) SetReserve(reserve float64) {
	b.reserve = reserve
	b.saved = min(b.saved, reserve)
}

// Request counts a request at its first attempt.
func (b *Budget) Request() { b.saved = min(b.reserve, b.saved+b.ratio) }

// Repeat takes one repeated attempt from the budget; false when it is spent.
// The request then gets its final answer.
func (b *Budget) Repeat() bool {
	if b.saved < 1 {
		return false
	}
	b.saved--
	return true
}

// RepeatAbove takes one repeated attempt if at least a reserve is left then.
func (b *Budget) RepeatAbove(reserve float64) bool {
	return b.saved >= reserve+1 && b.Repeat()
}

// Saved is the attempts that could be repeated now.
func (b *Budget) Saved() float64 { return b.saved }
