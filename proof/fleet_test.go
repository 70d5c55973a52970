package proof

import (
	"fmt"
	"testing"
	"time"

	"acaciavane/io/operator"
	"acaciavane/standin/lab"
)

// inForceLimit is how long a published configuration may take to be in force
// on every instance that can be reached.
const inForceLimit = 8 * time.Second

// noNewWorkLimit is how long after the first signal a leaving upstream may
// still be given new work.
const noNewWorkLimit = 3 * time.Second

// waitVersion waits until the instances have the version in force and returns
// how long it took.
func waitVersion(t *testing.T, cluster *lab.Cluster, version uint64, entries ...*lab.Entry) time.Duration {
	t.Helper()
	started := time.Now()
	must(t, lab.Eventually(inForceLimit, func() error {
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

// neverBelow watches the instances for a while: none may go back behind the
// version, nor put more configurations in force than there are versions.
func neverBelow(t *testing.T, cluster *lab.Cluster, least uint64, watched time.Duration) {
	t.Helper()
	for started := time.Now(); time.Since(started) < watched; time.Sleep(20 * time.Millisecond) {
		for _, entry := range cluster.Entries {
			state, err := cluster.State(entry)
			must(t, err)
			if state.Configuration.Version < least {
				t.Fatalf("%s went back to version %d", entry.Name, state.Configuration.Version)
			}
			if accepted := state.Counters["configurationsAccepted"]; accepted > int64(least) {
				t.Fatalf("%s put %d configurations in force, there are %d", entry.Name, accepted, least)
			}
		}
	}
}

func version(cluster *lab.Cluster, number uint64) lab.ConfigurationFile {
	next := cluster.Configuration
	next.Version = number
	return next
}

func twoPerZone() lab.Deployment {
	deployment := lab.Small(2)
	deployment.InstancesPerZone = 2
	deployment.MaxInstances = 12
	return deployment
}

func TestConfigurationInForce(t *testing.T) {
	cluster := startCluster(t, lab.Options{Deployment: twoPerZone(), UpstreamsPerProcess: 7, Relay: true, DrainMillis: 100})
	waitForPeers(t, cluster)
	t.Run("in force everywhere within the limit", func(t *testing.T) {
		must(t, cluster.Publish(version(cluster, 2)))
		t.Logf("in force on %d instances after %v", len(cluster.Entries), waitVersion(t, cluster, 2, cluster.Entries...))
	})
	t.Run("a stale platform does not revert it, nor does a restart", func(t *testing.T) {
		must(t, cluster.Publish(version(cluster, 1)))
		must(t, cluster.SetPlatformMode("stale"))
		cluster.Entries[0].Process().Kill()
		must(t, cluster.StartEntry(cluster.Entries[0]))
		must(t, cluster.WaitReady(cluster.Entries[0]))
		neverBelow(t, cluster, 2, 2*time.Second)
		must(t, cluster.SetPlatformMode("up"))
	})
	t.Run("a cold start with the platform down asks the peers before it is ready", func(t *testing.T) {
		must(t, cluster.Publish(version(cluster, 3)))
		waitVersion(t, cluster, 3, cluster.Entries...)
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
	t.Run("an invalid one changes nothing and says why", func(t *testing.T) {
		broken := version(cluster, 4)
		broken.Services = append([]lab.ServiceConfig(nil), broken.Services...)
		broken.Services[0].Slots = -1
		must(t, cluster.Publish(broken))
		must(t, lab.Eventually(inForceLimit, func() error { return somebodyRefused(cluster) }))
		waitVersion(t, cluster, 3, cluster.Entries...)
	})
	t.Run("two published as the same version: one wins everywhere, loudly", func(t *testing.T) {
		first, second := version(cluster, 5), version(cluster, 5)
		second.Deployment = "another"
		must(t, cluster.IsolateZones(false, "north"))
		must(t, cluster.Publish(first))
		time.Sleep(time.Second)
		must(t, cluster.Publish(second))
		time.Sleep(time.Second)
		must(t, cluster.Heal())
		must(t, lab.Eventually(inForceLimit, func() error { return sameDigest(cluster, 5) }))
	})
	t.Run("a zone that was cut off agrees after it is healed", func(t *testing.T) {
		must(t, cluster.IsolateZones(true, "south"))
		must(t, cluster.Publish(version(cluster, 6)))
		time.Sleep(4 * time.Second)
		for _, entry := range cluster.Entries {
			state, err := cluster.State(entry)
			must(t, err)
			if !state.Ready || (entry.Zone == "south") != (state.Configuration.Version == 5) {
				t.Errorf("%s: ready %t, version %d while south is cut off", entry.Name, state.Ready, state.Configuration.Version)
			}
		}
		must(t, cluster.Heal())
		t.Logf("agreed %v after the cut", waitVersion(t, cluster, 6, cluster.Entries...))
	})
}

func somebodyRefused(cluster *lab.Cluster) error {
	for _, entry := range cluster.Entries {
		state, err := cluster.State(entry)
		if err != nil {
			return err
		}
		if len(state.Configuration.Refused) > 0 && state.Counters["configurationsRefused"] > 0 {
			return nil
		}
	}
	return fmt.Errorf("no instance shows a refused configuration")
}

func sameDigest(cluster *lab.Cluster, number uint64) error {
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
		if state.Configuration.Version != number || state.Configuration.Digest != states[0].Configuration.Digest {
			return fmt.Errorf("%s has %d %.8s", state.Instance, state.Configuration.Version, state.Configuration.Digest)
		}
	}
	if conflicts == 0 {
		return fmt.Errorf("no instance shows the conflict")
	}
	return nil
}

// TestLeavingUpstreamGetsNoNewWork signals in each way that an upstream leaves,
// under load, and reads in its ledger when the last run began.
func TestLeavingUpstreamGetsNoNewWork(t *testing.T) {
	cluster := startCluster(t, lab.Options{Deployment: twoPerZone(), Relay: true})
	waitForPeers(t, cluster)
	l := startLoad(120, inTurn(cluster), find)
	time.Sleep(2 * time.Second)
	signals := map[string]func(name string){
		"items-01a": func(name string) { must(t, cluster.Behave(lab.Behaviour{State: "leaving"}, name)) },
		"items-02b": func(name string) {
			must(t, cluster.PublishInstances(map[string]uint64{name: incarnation(t, cluster, name)}))
		},
	}
	signalled := map[string]time.Time{}
	for name, signal := range signals {
		signalled[name] = time.Now()
		signal(name)
	}
	time.Sleep(noNewWorkLimit + 2*time.Second)
	c := count(t, l.end())
	runs, err := cluster.Ledger()
	must(t, err)
	for name, at := range signalled {
		last := at
		for _, run := range runs {
			if began := time.UnixMilli(run.UnixMillis); run.Upstream == name && began.After(last) {
				last = began
			}
		}
		t.Logf("%s: last new work %v after the signal", name, last.Sub(at))
		if last.Sub(at) > noNewWorkLimit {
			t.Errorf("%s got new work %v after the signal", name, last.Sub(at))
		}
	}
	if c.whole < c.answered {
		t.Errorf("want all answers whole: each shard has a replica that stays")
	}
	t.Run("its successor gets work again", func(t *testing.T) {
		cluster.UpstreamProcess("items-01a").Kill()
		must(t, cluster.RestartUpstream("items-01a"))
		started := time.Now()
		l := startLoad(120, inTurn(cluster), find)
		time.Sleep(5 * time.Second)
		count(t, l.end())
		runs, err := cluster.Ledger()
		must(t, err)
		for _, run := range runs {
			if run.Upstream == "items-01a" && time.UnixMilli(run.UnixMillis).After(started) {
				return
			}
		}
		t.Errorf("the successor of a leaving upstream got no work")
	})
}

func incarnation(t *testing.T, cluster *lab.Cluster, name string) uint64 {
	t.Helper()
	state, err := cluster.State(cluster.Entries[0])
	must(t, err)
	for _, upstream := range state.Upstreams {
		if upstream.Name == name {
			return upstream.Incarnation
		}
	}
	t.Fatalf("no upstream %s", name)
	return 0
}

// TestWokenInstanceSendsNothingToUpstreamsThatLeft freezes an instance with
// requests queued, lets an upstream leave, and wakes the instance.
func TestWokenInstanceSendsNothingToUpstreamsThatLeft(t *testing.T) {
	deployment := twoPerZone()
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
		frozen := cluster.Entries[round]
		l := startLoad(150, func(int) *lab.Entry { return frozen }, find)
		time.Sleep(500 * time.Millisecond)
		frozen.Process().Freeze()
		must(t, cluster.Behave(lab.Behaviour{State: "leaving"}, name))
		time.Sleep(noNewWorkLimit + time.Second)
		woken := time.Now()
		frozen.Process().Thaw()
		time.Sleep(time.Second)
		count(t, l.end())
		runs, err := cluster.Ledger()
		must(t, err)
		late := 0
		for _, run := range runs {
			if run.Upstream == name && time.UnixMilli(run.UnixMillis).After(woken) {
				late++
			}
		}
		if late > 0 {
			t.Errorf("round %d: %d runs at %s began after the instance woke", round, late, name)
		}
	}
}

// TestConnectionsStayWithinTheLimit replaces and kills instances under load, and
// reads the most connections that were open at each upstream at once.
func TestConnectionsStayWithinTheLimit(t *testing.T) {
	deployment := twoPerZone()
	deployment.Groups[0].Connections = 6
	deployment.MaxInstances = 6
	cluster := startCluster(t, lab.Options{Deployment: deployment, UpstreamsPerProcess: 7, DrainMillis: 100, UpstreamArguments: []string{"--connect", "6ms"}})
	l := startLoad(150, inTurn(cluster), find)
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
	count(t, l.end())
	for _, name := range cluster.Upstreams("items") {
		most, err := cluster.PeakConnections(name)
		must(t, err)
		if limit := deployment.Groups[0].Connections; most > limit {
			t.Errorf("%s: %d connections open at once, limit %d", name, most, limit)
		}
	}
}
