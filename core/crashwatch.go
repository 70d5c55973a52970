package core

// crashWatch recognises routed requests that crash the upstreams which run them: an
// attempt lost its connection, the upstream could not be reached afterwards, and the
// same happened to an attempt that was sent after that.
type crashWatch struct {
	clock      Clock
	fleet      *Fleet
	quarantine *Quarantine
}

// lost takes in an attempt that was sent at a time and lost its connection now. The
// verdict follows once it is known whether its upstream is gone.
func (w *crashWatch) lost(fingerprint, upstream string, sent Millis) {
	lost := w.clock.Now()
	w.clock.AfterFunc(CrashConfirmMillis, func() {
		if w.fleet.Unreachable(upstream) {
			w.quarantine.CrashInTurn(fingerprint, sent, lost)
		}
	})
}

// survived takes in a whole answer to a request.
func (w *crashWatch) survived(fingerprint string) {
	w.quarantine.Clear(fingerprint)
}

// convicted reports whether the request is known to crash upstreams.
func (w *crashWatch) convicted(fingerprint string) bool {
	return w.quarantine.Verdict(fingerprint) == VerdictConvicted
}
