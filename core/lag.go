package core

import "sync"

const (
	// lagWeight is the weight of one reading.
	lagWeight = 0.4
	// OverloadLagMillis is the lateness of the process's own timers from which it
	// counts as overloaded.
	OverloadLagMillis = 15.0
	// OverloadHoldMillis is how long it counts as overloaded after the last such
	// reading, so that callers do not come back to a process that is still behind.
	OverloadHoldMillis = 1500 * Millis(1)
)

// LagMeter measures how far the process is behind with its own work, by how late
// a timer fires. A pause guard feeds it.
type LagMeter struct {
	clock Clock

	mu         sync.Mutex
	lag        float64
	overloaded Millis
	observed   bool
}

// NewLagMeter returns a meter that has seen no lag.
func NewLagMeter(clock Clock) *LagMeter {
	return &LagMeter{clock: clock}
}

// Observe takes in how late a timer fired. A suspension of the process is no lag.
func (m *LagMeter) Observe(lateness Millis) {
	if lateness > PauseThresholdMillis {
		return
	}
	m.mu.Lock()
	defer m.mu.Unlock()
	m.lag += lagWeight * (float64(max(0, lateness)) - m.lag)
	if m.lag >= OverloadLagMillis {
		m.overloaded = m.clock.Now()
		m.observed = true
	}
}

// Lag returns how late the process's timers are, in milliseconds.
func (m *LagMeter) Lag() float64 {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.lag
}

// Overloaded reports whether the process has been behind of late.
func (m *LagMeter) Overloaded() bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.observed && m.clock.Since(m.overloaded) < OverloadHoldMillis
}
