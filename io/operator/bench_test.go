package operator

import (
	"io"
	"testing"

	"acaciavane/core"
)

// BenchmarkLogLine measures the cost of a log line about a request: of a line that is
// written, and of one below the current log level.
func BenchmarkLogLine(b *testing.B) {
	output := NewLogWriter(core.NewClock(), io.Discard, "n1")
	defer output.Close()
	log, _, err := NewLog(output, "n1", "info")
	if err != nil {
		b.Fatal(err)
	}
	keysAndValues := []any{"request", "9c41d07be2a35f68", "route", "r-gwqfuzn", "configuration", uint64(18), "attempts", 31,
		"elapsedMillis", int64(85), "shards", "s1:sent s2:waiting", "missing", 2}
	b.Run("written", func(b *testing.B) {
		for b.Loop() {
			log.Info("answered in part", keysAndValues...)
		}
	})
	b.Run("belowTheLevel", func(b *testing.B) {
		for b.Loop() {
			log.V(1).Info("answered", keysAndValues...)
		}
	})
}
