package core

import "slices"

// latencyWindow keeps the last LatencyWindow latencies of a service or a
// route to compute quantiles.
type latencyWindow struct {
	// values is a ring buffer once it is full. next is the index of its oldest value.
	values []Millis
	next   int
	// sorted is a sorted copy of values. unsorted counts the values added since it was
	// built.
	sorted   []Millis
	unsorted int
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

// quantile returns the quantile q, from 0 to 1. It returns nothing while there are too few
// values, and may miss the latest ones, because sorted is not rebuilt for each value.
func (w *latencyWindow) quantile(q float64) Option[Millis] {
	const minValues, rebuildEvery = 20, 16
	if len(w.values) < minValues {
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
