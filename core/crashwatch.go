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
//
// Verdicts are reached on the content of requests, and on the content with the caller's header
// fields: a request may crash upstreams for one caller only. The answers of the others then clear
// the content, but not that caller's requests.
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
	for _, fingerprint := range request.fingerprints.all() {
		losses, ok := w.unconfirmed[fingerprint]
		if !ok {
			losses = &lostConnections{}
			w.unconfirmed[fingerprint] = losses
		}
		losses.count++
	}
	w.mu.Unlock()
	w.clock.AfterFunc(CrashConfirmMillis, func() {
		crashed := w.fleet.Unreachable(upstream)
		for _, fingerprint := range request.fingerprints.all() {
			survived := w.survivedSince(fingerprint, lostAt)
			if !crashed {
				continue
			}
			verdict := w.recordCrash(fingerprint, survived, sent, lostAt)
			w.log.Info("upstream crashed", "request", request.ID, "upstream", upstream, "fingerprint", fingerprint,
				"sent", int64(sent), "lost", int64(lostAt), "survivedElsewhere", survived,
				"verdict", verdict, "crashes", w.quarantine.Crashes(fingerprint))
		}
	})
}

// recordCrash counts the crash of an upstream against a fingerprint, unless a request with it has
// survived since, and returns the verdict.
func (w *crashDetector) recordCrash(fingerprint string, survived bool, sent, lostAt Millis) Verdict {
	before := w.quarantine.Verdict(fingerprint)
	if survived {
		return before
	}
	verdict := w.quarantine.RecordSharedCrash(fingerprint, sent, lostAt)
	if verdict == VerdictConvicted && before != VerdictConvicted {
		w.counters.Add(CountConvictions, 1)
	}
	return verdict
}

// survivedSince reports whether an upstream has replied to a request with the fingerprint since the
// connection to another one was lost, and removes this loss from the unconfirmed ones.
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
func (w *crashDetector) survived(request RoutedRequest) {
	for _, fingerprint := range request.fingerprints.all() {
		w.mu.Lock()
		if losses, ok := w.unconfirmed[fingerprint]; ok {
			losses.survivedAt = w.clock.Now()
		}
		w.mu.Unlock()
		w.quarantine.MarkCleared(fingerprint)
	}
}

// convicted reports whether the request was found to crash upstreams.
func (w *crashDetector) convicted(request RoutedRequest) bool {
	return len(w.convictions(request)) > 0
}

// convictions returns the fingerprints of the request that are convicted.
func (w *crashDetector) convictions(request RoutedRequest) []string {
	var convicted []string
	for _, fingerprint := range request.fingerprints.all() {
		if w.quarantine.Verdict(fingerprint) == VerdictConvicted {
			convicted = append(convicted, fingerprint)
		}
	}
	return convicted
}

// trialDue returns when the convicted request may be tried again, or none if it is not tried before
// its verdict expires.
func (w *crashDetector) trialDue(request RoutedRequest) Option[Millis] {
	var latest Millis
	for _, fingerprint := range w.convictions(request) {
		due, ok := w.quarantine.TrialDue(fingerprint).Get()
		if !ok {
			return None[Millis]()
		}
		latest = max(latest, due)
	}
	return Some(latest)
}

// beginTrial reports whether the convicted request may be tried now.
func (w *crashDetector) beginTrial(request RoutedRequest) bool {
	due, ok := w.trialDue(request).Get()
	if !ok || due > w.clock.Now() {
		return false
	}
	for _, fingerprint := range w.convictions(request) {
		if !w.quarantine.BeginTrial(fingerprint) {
			return false
		}
	}
	return true
}
