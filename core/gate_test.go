package core

import (
	"context"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"
)

// fullGate returns a gate that is full. Its baseline latency is 10 ms.
func fullGate(clock Clock) *Gate {
	gate := NewGate(clock, 1, 1)
	gate.Enter(context.Background(), 0, 1, 0)
	gate.Leave(10, false)
	for gate.Enter(context.Background(), 0, 1, 0) {
	}
	return gate
}

// TestGateWait checks how long a request waits at a gate that is full for a moment, as
// after a stall of the process: for the baseline latency or a twentieth of its remaining
// time, whichever is longer.
func TestGateWait(t *testing.T) {
	cases := []struct {
		name      string
		remaining Millis
		freeAfter Millis
		want      bool
	}{
		{"little time left: waits for the baseline latency", 100, 30, false},
		{"little time left, but capacity is free in time", 100, 5, true},
		{"a second left: waits for a twentieth of it", Second, 40, true},
		{"a second left, but capacity is free too late", Second, 60, false},
	}
	for _, tc := range cases {
		t.Run(tc.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				clock := NewClockFrom(func() Millis { return Millis(time.Now().UnixMilli()) })
				gate := fullGate(clock)
				started := clock.Now()
				time.AfterFunc(tc.freeAfter.Duration(), func() { gate.Leave(10, false); gate.Leave(10, false) })
				if got := gate.Enter(context.Background(), 0, 1, tc.remaining); got != tc.want {
					t.Errorf("admitted %t after %d ms", got, clock.Since(started))
				}
				time.Sleep(time.Second)
			})
		})
	}
}

// TestGateAfterAStall checks that a request is not refused when its process stalls while it
// waits: the wait goes on until the answers that arrived during the stall were read.
func TestGateAfterAStall(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		var now atomic.Int64
		now.Store(int64(Minute))
		gate := fullGate(NewClockFrom(func() Millis { return Millis(now.Load()) }))
		admitted := make(chan bool, 1)
		go func() { admitted <- gate.Enter(context.Background(), 0, 1, 0) }()
		// The clock advances much faster than the timers, so that each timer seems to fire late.
		for range 30 {
			time.Sleep(time.Millisecond)
			now.Add(20)
		}
		gate.Leave(10, false)
		gate.Leave(10, false)
		if !<-admitted {
			t.Error("refused after a stall")
		}
	})
}
