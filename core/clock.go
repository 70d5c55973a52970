package core

import (
	"context"
	"math/rand/v2"
	"sync/atomic"
	"time"

	"golang.org/x/sys/unix"
)

// Millis is a duration, or a point in time since the Unix epoch, in milliseconds.
type Millis int64

// Common durations in milliseconds.
const (
	Second Millis = 1000
	Minute Millis = 60 * Second
	Hour   Millis = 60 * Minute
)

// Duration converts m to the standard library's duration.
func (m Millis) Duration() time.Duration {
	return time.Duration(m) * time.Millisecond
}

// Clock returns the time in milliseconds. It never goes backwards. The time for which
// the process was suspended is added by Resync.
type Clock struct {
	read   func() Millis
	resync func()
}

// NewClock returns a clock that starts at the wall time of the call and follows
// the monotonic clock from then on.
func NewClock() Clock {
	started := time.Now()
	startedBoot := bootTime()
	base := Millis(started.UnixMilli())
	var suspended atomic.Int64
	return Clock{
		read: func() Millis {
			return base + Millis(time.Since(started).Milliseconds()+suspended.Load())
		},
		resync: func() {
			gap := int64(bootTime()-startedBoot) - time.Since(started).Milliseconds()
			if known := suspended.Load(); gap > known+suspensionToleranceMillis {
				suspended.CompareAndSwap(known, gap)
			}
		},
	}
}

// suspensionToleranceMillis is the maximum difference between the monotonic clock and
// the boot clock that does not count as a suspension. They are read one after the other.
const suspensionToleranceMillis = 100

// bootTime reads the boot clock, which continues while the machine is suspended. It
// returns 0 if the clock can't be read.
func bootTime() Millis {
	var now unix.Timespec
	if err := unix.ClockGettime(unix.CLOCK_BOOTTIME, &now); err != nil {
		return 0
	}
	return Millis(now.Nano() / int64(time.Millisecond))
}

// Resync adds the time for which the process was suspended, which the monotonic
// clock does not count.
func (c Clock) Resync() {
	if c.resync != nil {
		c.resync()
	}
}

// NewClockFrom returns a clock whose time is the result of read.
func NewClockFrom(read func() Millis) Clock {
	return Clock{read: read}
}

// Now returns the current time.
func (c Clock) Now() Millis {
	return c.read()
}

// NewIncarnation returns an incarnation number that is greater than those of all
// processes that started at least one millisecond earlier. A random part tells apart
// processes that start within the same millisecond.
func (c Clock) NewIncarnation() uint64 {
	const perMilli = 1000
	return uint64(c.read())*perMilli + uint64(rand.IntN(perMilli))
}

// Since returns the time elapsed since the given time.
func (c Clock) Since(at Millis) Millis {
	return c.read() - at
}

// Sleep waits for the given time or until ctx ends, and returns the error of ctx.
func (c Clock) Sleep(ctx context.Context, wait Millis) error {
	timer := time.NewTimer(wait.Duration())
	defer timer.Stop()
	select {
	case <-timer.C:
		return nil
	case <-ctx.Done():
		return ctx.Err()
	}
}

// WithDeadline returns a context that ends when the clock reaches the given time.
func (c Clock) WithDeadline(ctx context.Context, at Millis) (context.Context, context.CancelFunc) {
	return context.WithTimeout(ctx, (at - c.read()).Duration())
}

// AfterFunc calls callback after the given time, unless the returned function is called
// before then.
func (c Clock) AfterFunc(wait Millis, callback func()) (stop func() bool) {
	return time.AfterFunc(wait.Duration(), callback).Stop
}

// After returns a channel that is signalled after the given time.
func (c Clock) After(wait Millis) <-chan time.Time {
	return time.After(wait.Duration())
}
