package proof

import (
	"fmt"
	"testing"
	"time"

	"acaciavane/io/operator"
	"acaciavane/standin/lab"
)

// inForceTimeout is the time within which a published configuration must be in force on
// every instance that can be reached.
const inForceTimeout = 8 * time.Second

// newRequestsTimeout is how long a leaving upstream may still receive new requests after it
// was first reported as leaving.
const newRequestsTimeout = 3 * time.Second

// waitForVersion waits until the configuration version is in force on the instances, and
// returns the time that this took.
func waitForVersion(t *testing.T, cluster *lab.Cluster, version uint64, entries ...*lab.Entry) time.Duration {
	t.Helper()
	started := time.Now()
	must(t, lab.Eventually(inForceTimeout, func() error {
		for _, entry := range entries {
			state, err := cluster.State(entry)
			if err != nil {
				return err
			}
			if state.Configuration.Version != version {
				return fmt.Errorf("%s has version %d in force, want %d", entry.Name, state.Configuration.Version, version)
			}
		}
		return nil
	}))
	return time.Since(started)
}

// requireNoRollback polls the instances for the given duration. None may return to a version
// below newest. None may have put more than newest configurations in force, because only the
// versions 1 to newest exist.
func requireNoRollback(t *testing.T, cluster *lab.Cluster, newest uint64, duration time.Duration) {
	t.Helper()
	for started := time.Now(); time.Since(started) < duration; time.Sleep(20 * time.Millisecond) {
		for _, entry := range cluster.Entries {
			state, err := cluster.State(entry)
			must(t, err)
			if state.Configuration.Version < newest {
				t.Fatalf("%s returned to version %d", entry.Name, state.Configuration.Version)
			}
			if accepted := state.Counters["configurationsAccepted"]; accepted > int64(newest) {
				t.Fatalf("%s put %d configurations in force, but only %d exist", entry.Name, accepted, newest)
			}
		}
	}
}

// withVersion returns the configuration of the cluster with another version number.
func withVersion(cluster *lab.Cluster, number uint64) lab.ConfigurationFile {
	next := cluster.Configuration
	next.Version = number
	return next
}

// twoInstancesPerZone returns a small deployment with two instances in each zone.
func twoInstancesPerZone() lab.Deployment {
	deployment := lab.Small(2)
	deployment.InstancesPerZone = 2
	deployment.MaxInstances = 12
	return deployment
}

// TestConfigurationInForce tests that all instances agree on the newest valid configuration
// despite platform failures, restarts and isolated zones.
func TestConfigurationInForce(t *testing.T) {
	cluster := startCluster(t, lab.Options{Deployment: twoInstancesPerZone(), UpstreamsPerProcess: 7, Relay: true, DrainMillis: 100})
	waitForPeers(t, cluster)
	t.Run("in force on all instances within the timeout", func(t *testing.T) {
		must(t, cluster.Publish(withVersion(cluster, 2)))
		t.Logf("in force on %d instances after %v", len(cluster.Entries), waitForVersion(t, cluster, 2, cluster.Entries...))
	})
	t.Run("neither a stale platform nor a restart reverts it", func(t *testing.T) {
		must(t, cluster.Publish(withVersion(cluster, 1)))
		must(t, cluster.SetPlatformMode("stale"))
		cluster.Entries[0].Process().Kill()
		must(t, cluster.StartEntry(cluster.Entries[0]))
		must(t, cluster.WaitReady(cluster.Entries[0]))
		requireNoRollback(t, cluster, 2, 2*time.Second)
		must(t, cluster.SetPlatformMode("up"))
	})
	t.Run("an instance started while the platform is down gets it from peers before it is ready", func(t *testing.T) {
		must(t, cluster.Publish(withVersion(cluster, 3)))
		waitForVersion(t, cluster, 3, cluster.Entries...)
		must(t, cluster.SetPlatformMode("down"))
		for _, entry := range cluster.Entries {
			entry.Process().Kill()
			must(t, cluster.StartEntry(entry))
			must(t, cluster.WaitReady(entry))
			state, err := cluster.State(entry)
			must(t, err)
			if state.Configuration.Version != 3 {
				t.Errorf("%s is ready with version %d", entry.Name, state.Configuration.Version)
			}
		}
		must(t, cluster.SetPlatformMode("up"))
	})
	t.Run("an invalid configuration changes nothing and the refusal is reported", func(t *testing.T) {
		invalid := withVersion(cluster, 4)
		invalid.Services = append([]lab.ServiceConfig(nil), invalid.Services...)
		invalid.Services[0].Slots = -1
		must(t, cluster.Publish(invalid))
		must(t, lab.Eventually(inForceTimeout, func() error { return checkRefused(cluster) }))
		waitForVersion(t, cluster, 3, cluster.Entries...)
	})
	t.Run("of two configurations with the same version all instances choose one and report a conflict", func(t *testing.T) {
		first, second := withVersion(cluster, 5), withVersion(cluster, 5)
		second.Deployment = "another"
		must(t, cluster.IsolateZones(false, "north"))
		must(t, cluster.Publish(first))
		time.Sleep(time.Second)
		must(t, cluster.Publish(second))
		time.Sleep(time.Second)
		must(t, cluster.Heal())
		must(t, lab.Eventually(inForceTimeout, func() error { return checkSameConfiguration(cluster, 5) }))
	})
	t.Run("an isolated zone gets the newest version after the isolation ends", func(t *testing.T) {
		must(t, cluster.IsolateZones(true, "south"))
		must(t, cluster.Publish(withVersion(cluster, 6)))
		time.Sleep(4 * time.Second)
		for _, entry := range cluster.Entries {
			state, err := cluster.State(entry)
			must(t, err)
			if !state.Ready || (entry.Zone == "south") != (state.Configuration.Version == 5) {
				t.Errorf("%s: ready %t, version %d while zone south is isolated", entry.Name, state.Ready, state.Configuration.Version)
			}
		}
		must(t, cluster.Heal())
		t.Logf("in force on all instances %v after the isolation ended", waitForVersion(t, cluster, 6, cluster.Entries...))
	})
}

// checkRefused returns an error unless an instance reports a refused configuration.
func checkRefused(cluster *lab.Cluster) error {
	for _, entry := range cluster.Entries {
		state, err := cluster.State(entry)
		if err != nil {
			return err
		}
		if len(state.Configuration.Refused) > 0 && state.Counters["configurationsRefused"] > 0 {
			return nil
		}
	}
	return fmt.Errorf("no instance reports a refused configuration")
}

// checkSameConfiguration returns an error unless all instances have the same configuration of
// the given version in force and at least one of them reports a conflict.
func checkSameConfiguration(cluster *lab.Cluster, version uint64) error {
	var states []operator.StateBody
	conflicts := 0
	for _, entry := range cluster.Entries {
		state, err := cluster.State(entry)
		if err != nil {
			return err
		}
		states = append(states, state)
		conflicts += state.Configuration.Conflicts
	}
	for _, state := range states {
		if state.Configuration.Version != version || state.Configuration.Digest != states[0].Configuration.Digest {
			return fmt.Errorf("%s has version %d with digest %.8s", state.Instance, state.Configuration.Version, state.Configuration.Digest)
		}
	}
	if conflicts == 0 {
		return fmt.Errorf("no instance reports a conflict")
	}
	return nil
}

// TestLeavingUpstreamReceivesNoNewRequests makes two upstreams leave under load: one reports
// it in its status, the other is marked as leaving in the list of instances. The ledgers
// show when their last runs began.
func TestLeavingUpstreamReceivesNoNewRequests(t *testing.T) {
	cluster := startCluster(t, lab.Options{Deployment: twoInstancesPerZone(), Relay: true})
	waitForPeers(t, cluster)
	l := startLoad(120, roundRobin(cluster), findRequest)
	time.Sleep(2 * time.Second)
	leave := map[string]func(name string){
		"items-01a": func(name string) { must(t, cluster.SetBehaviour(lab.Behaviour{State: "leaving"}, name)) },
		"items-02b": func(name string) {
			must(t, cluster.PublishInstances(map[string]uint64{name: incarnation(t, cluster, name)}))
		},
	}
	leaveTimes := map[string]time.Time{}
	for name, report := range leave {
		leaveTimes[name] = time.Now()
		report(name)
	}
	time.Sleep(newRequestsTimeout + 2*time.Second)
	c := checkAnswers(t, l.finish())
	runs, err := cluster.Ledger()
	must(t, err)
	for name, at := range leaveTimes {
		last := at
		for _, run := range runs {
			if began := time.UnixMilli(run.UnixMillis); run.Upstream == name && began.After(last) {
				last = began
			}
		}
		t.Logf("%s: last new request %v after it was reported as leaving", name, last.Sub(at))
		if last.Sub(at) > newRequestsTimeout {
			t.Errorf("%s received a new request %v after it was reported as leaving", name, last.Sub(at))
		}
	}
	if c.complete < c.answered {
		t.Errorf("want all answers complete: each shard has a replica that is not leaving")
	}
	t.Run("the restarted upstream receives requests", func(t *testing.T) {
		cluster.UpstreamProcess("items-01a").Kill()
		must(t, cluster.RestartUpstream("items-01a"))
		started := time.Now()
		l := startLoad(120, roundRobin(cluster), findRequest)
		time.Sleep(5 * time.Second)
		checkAnswers(t, l.finish())
		runs, err := cluster.Ledger()
		must(t, err)
		for _, run := range runs {
			if run.Upstream == "items-01a" && time.UnixMilli(run.UnixMillis).After(started) {
				return
			}
		}
		t.Errorf("the restarted upstream received no requests")
	})
}

// incarnation returns the incarnation of an upstream that the first instance reports.
func incarnation(t *testing.T, cluster *lab.Cluster, name string) uint64 {
	t.Helper()
	state, err := cluster.State(cluster.Entries[0])
	must(t, err)
	for _, upstream := range state.Upstreams {
		if upstream.Name == name {
			return upstream.Incarnation
		}
	}
	t.Fatalf("no upstream %s in the state", name)
	return 0
}

// TestResumedInstanceSendsNothingToLeavingUpstream suspends an instance that has queued
// requests, makes an upstream leave, and resumes the instance. The instance must not send its
// queued requests to that upstream.
func TestResumedInstanceSendsNothingToLeavingUpstream(t *testing.T) {
	deployment := twoInstancesPerZone()
	cluster := startCluster(t, lab.Options{Deployment: deployment, UpstreamArguments: []string{"--median", "15ms"}})
	waitForPeers(t, cluster)
	for round := range 3 {
		name := fmt.Sprintf("items-%02da", round%2+1)
		if round == 2 {
			name = "items-01b"
			cluster.UpstreamProcess("items-01a").Kill()
			must(t, cluster.RestartUpstream("items-01a"))
			time.Sleep(2 * time.Second)
		}
		suspended := cluster.Entries[round]
		l := startLoad(150, func(int) *lab.Entry { return suspended }, findRequest)
		time.Sleep(500 * time.Millisecond)
		suspended.Process().Suspend()
		must(t, cluster.SetBehaviour(lab.Behaviour{State: "leaving"}, name))
		time.Sleep(newRequestsTimeout + time.Second)
		resumed := time.Now()
		suspended.Process().Resume()
		time.Sleep(time.Second)
		checkAnswers(t, l.finish())
		runs, err := cluster.Ledger()
		must(t, err)
		late := 0
		for _, run := range runs {
			if run.Upstream == name && time.UnixMilli(run.UnixMillis).After(resumed) {
				late++
			}
		}
		if late > 0 {
			t.Errorf("round %d: %d runs at %s began after the instance was resumed", round, late, name)
		}
	}
}

// TestConnectionsStayWithinTheLimit stops, kills and replaces instances under load. The number
// of connections to an upstream that instances hold open at the same time must not exceed the limit.
func TestConnectionsStayWithinTheLimit(t *testing.T) {
	deployment := twoInstancesPerZone()
	deployment.Groups[0].Connections = 6
	deployment.MaxInstances = 6
	cluster := startCluster(t, lab.Options{Deployment: deployment, UpstreamsPerProcess: 7, DrainMillis: 100, UpstreamArguments: []string{"--connect", "6ms"}})
	l := startLoad(150, roundRobin(cluster), findRequest)
	for round := range 6 {
		entry := cluster.Entries[round]
		if round%2 == 0 {
			entry.Process().Kill()
		} else {
			must(t, entry.Process().Stop(10*time.Second))
		}
		must(t, cluster.StartEntry(entry))
		time.Sleep(600 * time.Millisecond)
	}
	checkAnswers(t, l.finish())
	for _, name := range cluster.Upstreams("items") {
		peak, err := cluster.PeakConnections(name)
		must(t, err)
		if limit := deployment.Groups[0].Connections; peak > limit {
			t.Errorf("%s: %d connections open at the same time, limit %d", name, peak, limit)
		}
	}
}
