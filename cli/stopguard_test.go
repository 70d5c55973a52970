package cli

import (
	"strings"
	"testing"
	"time"

	"github.com/go-logr/logr/funcr"

	"acaciavane/core"
)

// TestGuardOfPlannedStop guards against a process that hangs during a planned stop until it is killed, and
// leaves nothing in its log that tells why.
func TestGuardOfPlannedStop(t *testing.T) {
	for name, hangs := range map[string]bool{"a stop that hangs": true, "a stop that ends": false} {
		t.Run(name, func(t *testing.T) {
			lines := ""
			log := funcr.New(func(_, line string) { lines += line }, funcr.Options{})
			exited := make(chan struct{})
			end := guardStop(core.NewClock(), stopGuardMargin+100, log, func() { close(exited) })
			if !hangs {
				end()
				time.Sleep(300 * time.Millisecond)
				if lines != "" {
					t.Errorf("the process was ended: %s", lines)
				}
				return
			}
			select {
			case <-exited:
			case <-time.After(5 * time.Second):
				t.Fatal("the process was not ended")
			}
			if !strings.Contains(lines, "TestGuardOfPlannedStop") {
				t.Errorf("the log does not show what the goroutines do: %s", lines)
			}
		})
	}
}
