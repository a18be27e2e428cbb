package reader

import (
	"fmt"
	"sync"

	"celeryvalve/identifier"
)

// Budget bounds the bytes that a process buffers of requests and their answers. It is safe for
// concurrent use.
//
// A reservation may hold no more than it leaves free. The largest ones are refused first, and
// whatever they hold, something is left for others.
type Budget struct {
	limit int64

	mu   sync.Mutex
	used int64
	peak int64
}

// NewBudget returns a budget of limit bytes. One reservation alone may hold half of them.
func NewBudget(limit identifier.ByteCount) *Budget {
	return &Budget{limit: int64(limit)}
}

// BudgetUse says how much of a budget is in use.
type BudgetUse struct {
	Limit, Used, Peak identifier.ByteCount
}

// Use returns how much of the budget is in use.
func (b *Budget) Use() BudgetUse {
	b.mu.Lock()
	defer b.mu.Unlock()
	return BudgetUse{
		Limit: identifier.ByteCount(b.limit),
		Used:  identifier.ByteCount(b.used),
		Peak:  identifier.ByteCount(b.peak),
	}
}

// Reserve returns a reservation that holds nothing yet.
func (b *Budget) Reserve() *Reservation {
	return &Reservation{budget: b}
}

// Reservation is what one request or one answer holds of a budget. It is safe for concurrent use.
type Reservation struct {
	budget *Budget
	held   int64 // guarded by budget.mu, as is closed
	closed bool
}

// NoMemoryError says that a reservation may not hold what it asked for.
type NoMemoryError struct {
	Held, Asked, Used, Limit int64
}

// Error says how much was asked for.
func (e *NoMemoryError) Error() string {
	return fmt.Sprintf("no memory for %d bytes beside %d held (%d of %d bytes are in use)", e.Asked, e.Held, e.Used, e.Limit)
}

// Grow takes n further bytes. It returns a NoMemoryError, and takes none, if the reservation may not
// hold them or is closed.
func (r *Reservation) Grow(n int) error {
	b := r.budget
	b.mu.Lock()
	defer b.mu.Unlock()
	if r.closed || r.held+int64(n) > b.limit-b.used-int64(n) {
		return &NoMemoryError{Held: r.held, Asked: int64(n), Used: b.used, Limit: b.limit}
	}
	r.held += int64(n)
	b.used += int64(n)
	b.peak = max(b.peak, b.used)
	return nil
}

// Shrink gives n bytes back.
func (r *Reservation) Shrink(n int) {
	r.budget.mu.Lock()
	defer r.budget.mu.Unlock()
	given := min(int64(n), r.held)
	r.held -= given
	r.budget.used -= given
}

// Held returns how many bytes the reservation holds.
func (r *Reservation) Held() identifier.ByteCount {
	r.budget.mu.Lock()
	defer r.budget.mu.Unlock()
	return identifier.ByteCount(r.held)
}

// Close gives all bytes back. The reservation gets none any more.
func (r *Reservation) Close() {
	r.budget.mu.Lock()
	defer r.budget.mu.Unlock()
	r.budget.used -= r.held
	r.held, r.closed = 0, true
}
