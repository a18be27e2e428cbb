package reader

import (
	"fmt"
	"sync"

	"celeryvalve/identifier"
)

// Budget bounds the bytes that a process buffers of requests and their answers. It is safe for
// concurrent use.
//
// A draw may hold no more than it leaves free. The largest draws are refused first, and whatever
// they hold, something is left for others.
type Budget struct {
	limit int64

	mu   sync.Mutex
	used int64
	peak int64
}

// NewBudget returns a budget of limit bytes. One draw alone may hold half of them.
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

// Draw returns a draw that holds nothing yet.
func (b *Budget) Draw() *Draw {
	return &Draw{budget: b}
}

// Draw is what one request or one answer holds of a budget. It is safe for concurrent use.
type Draw struct {
	budget *Budget
	held   int64 // guarded by budget.mu, as is closed
	closed bool
}

// NoMemoryError says that a draw may not hold what it asked for.
type NoMemoryError struct {
	Held, Asked, Used, Limit int64
}

// Error says how much was asked for.
func (e *NoMemoryError) Error() string {
	return fmt.Sprintf("no memory for %d bytes beside %d held (%d of %d bytes are in use)", e.Asked, e.Held, e.Used, e.Limit)
}

// Grow takes n further bytes. It returns a NoMemoryError, and takes none, if the draw may not hold
// them or is closed.
func (d *Draw) Grow(n int) error {
	b := d.budget
	b.mu.Lock()
	defer b.mu.Unlock()
	if d.closed || d.held+int64(n) > b.limit-b.used-int64(n) {
		return &NoMemoryError{Held: d.held, Asked: int64(n), Used: b.used, Limit: b.limit}
	}
	d.held += int64(n)
	b.used += int64(n)
	b.peak = max(b.peak, b.used)
	return nil
}

// Shrink gives n bytes back.
func (d *Draw) Shrink(n int) {
	d.budget.mu.Lock()
	defer d.budget.mu.Unlock()
	given := min(int64(n), d.held)
	d.held -= given
	d.budget.used -= given
}

// Held returns how many bytes the draw holds.
func (d *Draw) Held() identifier.ByteCount {
	d.budget.mu.Lock()
	defer d.budget.mu.Unlock()
	return identifier.ByteCount(d.held)
}

// Close gives all bytes back. The draw gets none any more.
func (d *Draw) Close() {
	d.budget.mu.Lock()
	defer d.budget.mu.Unlock()
	d.budget.used -= d.held
	d.held, d.closed = 0, true
}
