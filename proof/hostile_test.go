package proof

import (
	"testing"
	"time"

	"acaciavane/core"
	"acaciavane/io/caller"
	"acaciavane/standin/hostile"
	"acaciavane/standin/lab"
)

const (
	// hostileMemoryMegabytes is little enough for a few hundred callers to exceed it.
	hostileMemoryMegabytes = 96
	// hostileHold is how long an instance is measured after a crowd has sent everything.
	hostileHold = 500 * time.Millisecond
)

// TestHostileCallersOfCollections guards against callers outside the published limits that end an
// instance with the collections interface, or that take its memory or its service for others.
func TestHostileCallersOfCollections(t *testing.T) {
	deployment := lab.Small(2)
	deployment.Zones = deployment.Zones[:1]
	cluster := startCluster(t, lab.Options{Deployment: deployment, UpstreamsPerProcess: 7, MemoryMegabytes: hostileMemoryMegabytes})
	entry := cluster.Entries[0]
	for _, crowd := range append(hostile.Bodies(600), hostile.Heads(600)[0]) {
		t.Run(crowd.Name, func(t *testing.T) {
			// A new process has a new peak.
			entry.Process().Kill()
			must(t, cluster.StartEntry(entry))
			must(t, cluster.WaitReady(entry))
			withstand(t, entry, crowd)
		})
	}
}

// withstand runs a crowd against the instance. It checks that the process lives, that its memory
// stays within its limit, and that it answers an ordinary request while the connections of the
// crowd are still open.
func withstand(t *testing.T, entry *lab.Entry, crowd hostile.Crowd) {
	meter := hostile.NewMeter(entry.Process().ID())
	connections := crowd.Run(hostile.Target{Address: entry.CallerAddress, Path: caller.PathQuery, BodyBytes: core.MaxBodyBytes})
	defer connections.Close()
	time.Sleep(hostileHold)
	if err := lab.Eventually(callTimeout, func() error { return sendFind(entry) }); err != nil {
		t.Errorf("no answer to an ordinary request: %v", err)
	}
	usage, err := meter.Stop()
	must(t, err)
	t.Logf("peak memory %d MB, at most %d open descriptors", usage.MemoryBytes>>20, usage.Descriptors)
	if usage.MemoryBytes > hostileMemoryMegabytes<<20 {
		t.Errorf("peak memory %d MB, at most %d allowed", usage.MemoryBytes>>20, hostileMemoryMegabytes)
	}
}

// sendFind sends a query and returns an error unless it gets a complete answer.
func sendFind(entry *lab.Entry) error {
	result := sendQuery(entry, findRequest(0))
	if result.err != nil {
		return result.err
	}
	if result.answer.Outcome != string(core.OutcomeAnswered) {
		return caller.ErrNoAnswer
	}
	return nil
}
