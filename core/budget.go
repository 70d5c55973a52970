package core

import "sync"

// TokenBudget limits extra attempts to a fraction of the first attempts. It holds a token for
// each extra attempt that may be sent.
type TokenBudget struct {
	mu     sync.Mutex
	ratio  float64
	burst  float64
	tokens float64
}

// NewTokenBudget returns a TokenBudget that gains ratio tokens with each first attempt and holds
// at most burst tokens. It starts with half of burst.
func NewTokenBudget(ratio, burst float64) *TokenBudget {
	return &TokenBudget{ratio: ratio, burst: burst, tokens: burst / 2}
}

// Earn records a number of first attempts.
func (b *TokenBudget) Earn(attempts int) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.tokens = min(b.burst, b.tokens+b.ratio*float64(attempts))
}

// Spend takes a token and reports whether there was one.
func (b *TokenBudget) Spend() bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.tokens < 1 {
		return false
	}
	b.tokens--
	return true
}

// Refund puts back the token of an extra attempt that was not sent.
func (b *TokenBudget) Refund() {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.tokens = min(b.burst, b.tokens+1)
}

// Tokens returns the number of extra attempts that may be sent now.
func (b *TokenBudget) Tokens() float64 {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.tokens
}
