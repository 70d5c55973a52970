package core

// UpstreamSignals is what an upstream states about itself in a response to a request or to a health
// check. A response from another upstream states nothing.
type UpstreamSignals struct {
	Cold ColdStatement
	// Invalid names the header fields that were ignored because they can't be read.
	Invalid []string
}

// OnInvalidSignals registers a function that is called with the name of an upstream and the header
// fields of its response that can't be read.
func (f *Fleet) OnInvalidSignals(report func(name string, fields []string)) {
	f.onInvalidSignals = report
}

// reportInvalidSignals calls the OnInvalidSignals function if there are such fields.
func (f *Fleet) reportInvalidSignals(name string, fields []string) {
	if len(fields) > 0 && f.onInvalidSignals != nil {
		f.onInvalidSignals(name, fields)
	}
}

// RecordSignals applies what an incarnation of an upstream states in the response to a request that
// was sent at sentAt.
func (f *Fleet) RecordSignals(name string, incarnation uint64, signals UpstreamSignals, sentAt Millis) {
	f.reportInvalidSignals(name, signals.Invalid)
	f.recordCold(name, incarnation, signals.Cold, coldFromUpstream, sentAt)
}

// RecordSignals records what the reply states about the upstream.
func (p *Permit) RecordSignals(signals UpstreamSignals) {
	p.fleet.RecordSignals(p.target.Name, p.target.Incarnation, signals, p.since)
}
