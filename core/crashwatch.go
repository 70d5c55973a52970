package core

import (
	"sync"

	"github.com/go-logr/logr"
)

// crashDetector detects routed requests that crash upstreams. A crash means that an attempt
// lost its connection and that probes could not reach its upstream afterwards. A request
// is convicted when this happens again to an attempt that was sent after the first
// connection was lost.
//
// A request that crashes upstreams crashes each one that runs it. So a reply from any
// upstream shows that the request only happened to be in flight when another one crashed.
type crashDetector struct {
	clock      Clock
	fleet      *Fleet
	quarantine *Quarantine
	counters   *Counters
	log        logr.Logger

	mu sync.Mutex
	// unconfirmed holds, by fingerprint, the lost connections of the last CrashConfirmMillis.
	unconfirmed map[string]*lostConnections
}

// lostConnections are the connections that attempts of one request have lost, until it is known
// whether their upstreams have crashed.
type lostConnections struct {
	count int
	// survivedAt is when an upstream last replied to the request, or zero.
	survivedAt Millis
}

// newCrashDetector returns a detector that has seen no lost connections.
func newCrashDetector(config RouterConfig) *crashDetector {
	return &crashDetector{
		clock: config.Clock, fleet: config.Fleet, quarantine: config.Quarantine, counters: config.Counters, log: config.Log,
		unconfirmed: map[string]*lostConnections{},
	}
}

// connectionLost records that an attempt has just lost its connection. sent is when the
// attempt was sent. The loss counts as a crash if probes have found the upstream
// unreachable CrashConfirmMillis later and no upstream has replied to the request since.
func (w *crashDetector) connectionLost(request RoutedRequest, upstream string, sent Millis) {
	lostAt := w.clock.Now()
	w.mu.Lock()
	losses, ok := w.unconfirmed[request.fingerprint]
	if !ok {
		losses = &lostConnections{}
		w.unconfirmed[request.fingerprint] = losses
	}
	losses.count++
	w.mu.Unlock()
	w.clock.AfterFunc(CrashConfirmMillis, func() {
		survived := w.survivedSince(request.fingerprint, lostAt)
		if !w.fleet.Unreachable(upstream) {
			return
		}
		before := w.quarantine.Verdict(request.fingerprint)
		verdict := before
		if !survived {
			verdict = w.quarantine.RecordSharedCrash(request.fingerprint, sent, lostAt)
		}
		if verdict == VerdictConvicted && before != VerdictConvicted {
			w.counters.Add(CountConvictions, 1)
		}
		w.log.Info("upstream crashed", "request", request.ID, "upstream", upstream, "fingerprint", request.fingerprint,
			"sent", int64(sent), "lost", int64(lostAt), "survivedElsewhere", survived,
			"verdict", verdict, "crashes", w.quarantine.Crashes(request.fingerprint))
	})
}

// survivedSince reports whether an upstream has replied to the request since its connection to
// another one was lost, and removes this loss from the unconfirmed ones.
func (w *crashDetector) survivedSince(fingerprint string, lostAt Millis) bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	losses := w.unconfirmed[fingerprint]
	losses.count--
	if losses.count == 0 {
		delete(w.unconfirmed, fingerprint)
	}
	return losses.survivedAt >= lostAt
}

// survived records that an upstream has replied to the request, which clears it.
func (w *crashDetector) survived(fingerprint string) {
	w.mu.Lock()
	if losses, ok := w.unconfirmed[fingerprint]; ok {
		losses.survivedAt = w.clock.Now()
	}
	w.mu.Unlock()
	w.quarantine.MarkCleared(fingerprint)
}

// convicted reports whether the request was found to crash upstreams.
func (w *crashDetector) convicted(fingerprint string) bool {
	return w.quarantine.Verdict(fingerprint) == VerdictConvicted
}
