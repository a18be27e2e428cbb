package limiter

// RetryBudget allows retries in proportion to first sends, so that retries can
// never multiply the load of a service that fails.
type RetryBudget struct {
	ratio  float64
	burst  float64
	tokens float64
}

// NewRetryBudget returns a budget of ratio retries per first send, of which at
// most burst can be saved up. It starts with its burst.
func NewRetryBudget(ratio, burst float64) *RetryBudget {
	return &RetryBudget{ratio: ratio, burst: burst, tokens: burst}
}

// SetRatio changes the retries per first send.
func (b *RetryBudget) SetRatio(ratio float64) {
	b.ratio = ratio
}

// Sent takes in one first send.
func (b *RetryBudget) Sent() {
	b.tokens = min(b.burst, b.tokens+b.ratio)
}

// Take reports whether one retry may be sent, and spends it.
func (b *RetryBudget) Take() bool {
	if b.tokens < 1 {
		return false
	}
	b.tokens--
	return true
}
