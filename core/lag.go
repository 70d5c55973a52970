package core

import "sync"

const (
	// lagWeight is the weight of one reading in the moving average.
	lagWeight = 0.4
	// OverloadLagMillis is the average lateness of timers at which the process counts
	// as overloaded.
	OverloadLagMillis = 15.0
	// OverloadHoldMillis is how long the process still counts as overloaded after the
	// last such reading, so that callers do not return before it has caught up.
	OverloadHoldMillis = 1500 * Millis(1)
)

// LagMeter measures how far the process is behind with its work, as a moving average of
// how late its timers fire. A PauseGuard supplies the readings.
type LagMeter struct {
	clock Clock

	mu             sync.Mutex
	lag            float64
	overloadedAt   Millis
	everOverloaded bool
}

// NewLagMeter returns a LagMeter with a lag of zero.
func NewLagMeter(clock Clock) *LagMeter {
	return &LagMeter{clock: clock}
}

// Observe records how late a timer fired. It ignores lateness of more than
// PauseThresholdMillis, which is a suspension of the process and not lag.
func (m *LagMeter) Observe(lateness Millis) {
	if lateness > PauseThresholdMillis {
		return
	}
	m.mu.Lock()
	defer m.mu.Unlock()
	m.lag += lagWeight * (float64(max(0, lateness)) - m.lag)
	if m.lag >= OverloadLagMillis {
		m.overloadedAt = m.clock.Now()
		m.everOverloaded = true
	}
}

// Lag returns the moving average of the lateness of timers, in milliseconds.
func (m *LagMeter) Lag() float64 {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.lag
}

// Overloaded reports whether the lag reached OverloadLagMillis within the last
// OverloadHoldMillis.
func (m *LagMeter) Overloaded() bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.everOverloaded && m.clock.Since(m.overloadedAt) < OverloadHoldMillis
}
