package core

// crashWatch detects routed requests that crash upstreams. A crash means that an attempt
// lost its connection and that probes could not reach its upstream afterwards. A request
// is convicted when this happens again to an attempt that was sent after the first
// connection was lost.
type crashWatch struct {
	clock      Clock
	fleet      *Fleet
	quarantine *Quarantine
}

// lost records that an attempt that was sent at sent has just lost its connection. It
// counts as a crash if the upstream is unreachable after CrashConfirmMillis.
func (w *crashWatch) lost(fingerprint, upstream string, sent Millis) {
	lost := w.clock.Now()
	w.clock.AfterFunc(CrashConfirmMillis, func() {
		if w.fleet.Unreachable(upstream) {
			w.quarantine.CrashInTurn(fingerprint, sent, lost)
		}
	})
}

// survived records that a request got a whole answer, which clears it.
func (w *crashWatch) survived(fingerprint string) {
	w.quarantine.Clear(fingerprint)
}

// convicted reports whether the request was found to crash upstreams.
func (w *crashWatch) convicted(fingerprint string) bool {
	return w.quarantine.Verdict(fingerprint) == VerdictConvicted
}
