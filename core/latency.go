package core

import "slices"

// latencyWindow keeps the last latencies of a service for its quantiles.
type latencyWindow struct {
	values []Millis
	next   int
	// sorted is rebuilt after a number of new values.
	sorted []Millis
	unsorted  int
}

func (w *latencyWindow) add(latency Millis) {
	if len(w.values) < LatencyWindow {
		w.values = append(w.values, latency)
	} else {
		w.values[w.next] = latency
		w.next = (w.next + 1) % LatencyWindow
	}
	w.unsorted++
}

// quantile returns the given quantile, and nothing before 20 values.
func (w *latencyWindow) quantile(q float64) Option[Millis] {
	const leastValues, rebuildEvery = 20, 16
	if len(w.values) < leastValues {
		return None[Millis]()
	}
	if w.sorted == nil || w.unsorted >= rebuildEvery {
		w.sorted = append(w.sorted[:0], w.values...)
		slices.Sort(w.sorted)
		w.unsorted = 0
	}
	index := int(q * float64(len(w.sorted)-1))
	return Some(w.sorted[index])
}
