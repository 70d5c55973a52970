package core

import "sync"

// Budget limits extra attempts to a share of the first attempts.
type Budget struct {
	mu     sync.Mutex
	share  float64
	burst  float64
	tokens float64
}

// NewBudget returns a budget that earns share tokens for each first attempt and
// saves up at most burst.
func NewBudget(share, burst float64) *Budget {
	return &Budget{share: share, burst: burst, tokens: burst / 2}
}

// Earn records a number of first attempts.
func (b *Budget) Earn(attempts int) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.tokens = min(b.burst, b.tokens+b.share*float64(attempts))
}

// Spend takes one token and reports whether there was one.
func (b *Budget) Spend() bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.tokens < 1 {
		return false
	}
	b.tokens--
	return true
}

// Refund returns the token of an extra attempt that was not sent.
func (b *Budget) Refund() {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.tokens = min(b.burst, b.tokens+1)
}

// Tokens returns how many extra attempts may be sent now.
func (b *Budget) Tokens() float64 {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.tokens
}
