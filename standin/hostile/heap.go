package hostile

import (
	"runtime"
	"time"
)

// heapInterval is how often the heap is read.
const heapInterval = 2 * time.Millisecond

// HeapPeak samples the heap of this process until the returned function is called. That function
// returns the largest number of bytes in use.
func HeapPeak() func() uint64 {
	// The second collection frees what a sync.Pool held.
	runtime.GC()
	runtime.GC()
	done, result := make(chan struct{}), make(chan uint64)
	go func() {
		var peak uint64
		for {
			var stats runtime.MemStats
			runtime.ReadMemStats(&stats)
			peak = max(peak, stats.HeapAlloc)
			select {
			case <-done:
				result <- peak
				return
			case <-time.After(heapInterval):
			}
		}
	}()
	return func() uint64 { close(done); return <-result }
}
