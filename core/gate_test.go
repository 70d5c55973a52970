package core

import (
	"context"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"
)

// fullGate returns a gate that admits one request of 10 ms at a time and is full.
func fullGate(clock Clock) *Gate {
	gate := NewGate(clock, 1, 1)
	gate.Enter(context.Background(), 0, 1, 0)
	gate.Leave(10, false)
	for gate.Enter(context.Background(), 0, 1, 0) {
	}
	return gate
}

// TestGatePatience covers requests that find the gate full for a moment, as after a
// stall of the process: one that has time waits for a part of it.
func TestGatePatience(t *testing.T) {
	cases := []struct {
		name string
		left Millis
		room Millis
		want bool
	}{
		{"little time: as long as an answer takes", 100, 30, false},
		{"little time, room at once", 100, 5, true},
		{"a second: a twentieth of it", Second, 40, true},
		{"a second, but no room for longer", Second, 60, false},
	}
	for _, tc := range cases {
		t.Run(tc.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				clock := NewClockFrom(func() Millis { return Millis(time.Now().UnixMilli()) })
				gate := fullGate(clock)
				started := clock.Now()
				time.AfterFunc(tc.room.Duration(), func() { gate.Leave(10, false); gate.Leave(10, false) })
				if got := gate.Enter(context.Background(), 0, 1, tc.left); got != tc.want {
					t.Errorf("admitted %t after %d ms", got, clock.Since(started))
				}
				time.Sleep(time.Second)
			})
		})
	}
}

// TestGateAfterAStall covers a process that stalls while a request waits for room: its
// patience does not end before the answers that came meanwhile were read.
func TestGateAfterAStall(t *testing.T) {
	var now atomic.Int64
	now.Store(int64(Minute))
	gate := fullGate(NewClockFrom(func() Millis { return Millis(now.Load()) }))
	admitted := make(chan bool, 1)
	go func() { admitted <- gate.Enter(context.Background(), 0, 1, 0) }()
	// The clock moves on by far more than the timers: each of them seems to be late.
	for range 30 {
		time.Sleep(time.Millisecond)
		now.Add(20)
	}
	gate.Leave(10, false)
	gate.Leave(10, false)
	if !<-admitted {
		t.Error("refused after a stall")
	}
}
