package cli

import (
	"runtime"

	"github.com/go-logr/logr"

	"acaciavane/core"
)

const (
	// stopGuardMargin is how long before the end of a planned stop a process that still runs ends
	// itself. A stop that goes as planned has ended by then.
	stopGuardMargin = 50 * core.Millis(1)
	// maxDumpBytes bounds the dump of the goroutines in the log.
	maxDumpBytes = 64 << 10
)

// guardStop calls exit if the planned stop takes longer than the given time, after it has logged what
// all goroutines wait for. The returned function ends the guard.
func guardStop(clock core.Clock, timeout core.Millis, log logr.Logger, exit func()) (end func() bool) {
	return clock.AfterFunc(max(0, timeout-stopGuardMargin), func() {
		dump := make([]byte, maxDumpBytes)
		dump = dump[:runtime.Stack(dump, true)]
		log.Info("the planned stop has not ended in time: the process ends itself", "goroutines", string(dump))
		exit()
	})
}
