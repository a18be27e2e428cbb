package limiter

// RetryBudget allows retries in proportion to first sends, so that retries never
// multiply the load of a failing service.
type RetryBudget struct {
	ratio  float64
	burst  float64
	tokens float64
}

// NewRetryBudget returns a budget of ratio retries per first send. Unused retries
// accumulate up to burst, which is also what the budget starts with.
func NewRetryBudget(ratio, burst float64) *RetryBudget {
	return &RetryBudget{ratio: ratio, burst: burst, tokens: burst}
}

// SetRatio changes the number of retries per first send.
func (b *RetryBudget) SetRatio(ratio float64) {
	b.ratio = ratio
}

// SetBurst changes how many unused retries accumulate at most.
func (b *RetryBudget) SetBurst(burst float64) {
	b.burst = burst
	b.tokens = min(b.tokens, burst)
}

// RecordSend records one first send.
func (b *RetryBudget) RecordSend() {
	b.tokens = min(b.burst, b.tokens+b.ratio)
}

// Take reports whether one retry may be sent, and if so takes it from the budget.
func (b *RetryBudget) Take() bool {
	if b.tokens < 1 {
		return false
	}
	b.tokens--
	return true
}
