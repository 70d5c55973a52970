package core

import "github.com/go-logr/logr"

// crashDetector detects routed requests that crash upstreams. A crash means that an attempt
// lost its connection and that probes could not reach its upstream afterwards. A request
// is convicted when this happens again to an attempt that was sent after the first
// connection was lost.
type crashDetector struct {
	clock      Clock
	fleet      *Fleet
	quarantine *Quarantine
	log        logr.Logger
}

// connectionLost records that an attempt has just lost its connection. sent is when the
// attempt was sent. The loss counts as a crash if probes have found the upstream
// unreachable CrashConfirmMillis later.
func (w *crashDetector) connectionLost(request RoutedRequest, upstream string, sent Millis) {
	lostAt := w.clock.Now()
	w.clock.AfterFunc(CrashConfirmMillis, func() {
		if !w.fleet.Unreachable(upstream) {
			return
		}
		verdict := w.quarantine.RecordSharedCrash(request.fingerprint, sent, lostAt)
		w.log.Info("upstream crashed", "request", request.ID, "upstream", upstream, "fingerprint", request.fingerprint,
			"sent", int64(sent), "lost", int64(lostAt), "verdict", verdict, "crashes", w.quarantine.Crashes(request.fingerprint))
	})
}

// survived records that a request got a whole answer, which clears it.
func (w *crashDetector) survived(fingerprint string) {
	w.quarantine.MarkCleared(fingerprint)
}

// convicted reports whether the request was found to crash upstreams.
func (w *crashDetector) convicted(fingerprint string) bool {
	return w.quarantine.Verdict(fingerprint) == VerdictConvicted
}
