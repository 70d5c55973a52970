package proof

import (
	"fmt"
	"sync"
	"testing"
	"time"

	"acaciavane/io/caller"
	"acaciavane/standin/lab"
)

// balancer chooses among the instances that said they were ready when it last asked.
type balancer struct {
	stop chan struct{}
	done chan struct{}

	mu    sync.Mutex
	ready []*lab.Entry
}

// balancerInterval is how often the balancer asks.
const balancerInterval = 100 * time.Millisecond

func startBalancer(cluster *lab.Cluster) *balancer {
	b := &balancer{stop: make(chan struct{}), done: make(chan struct{}), ready: cluster.Entries}
	go func() {
		defer close(b.done)
		for {
			var ready []*lab.Entry
			for _, entry := range cluster.Entries {
				if cluster.Ready(entry) {
					ready = append(ready, entry)
				}
			}
			b.mu.Lock()
			b.ready = ready
			b.mu.Unlock()
			select {
			case <-time.After(balancerInterval):
			case <-b.stop:
				return
			}
		}
	}()
	return b
}

func (b *balancer) pick(i int) *lab.Entry {
	b.mu.Lock()
	defer b.mu.Unlock()
	if len(b.ready) == 0 {
		return nil
	}
	return b.ready[i%len(b.ready)]
}

func (b *balancer) end() {
	close(b.stop)
	<-b.done
}

// TestRollingRestartOfInstances stops and replaces every instance in turn under load.
func TestRollingRestartOfInstances(t *testing.T) {
	cluster := startCluster(t, lab.Options{Deployment: twoPerZone(), UpstreamsPerProcess: 7, DrainMillis: 1000, UpstreamArguments: []string{"--median", "10ms"}})
	b := startBalancer(cluster)
	defer b.end()
	l := startLoad(200, b.pick, findOrGet)
	for _, entry := range cluster.Entries {
		must(t, entry.Process().Stop(10*time.Second))
		must(t, cluster.StartEntry(entry))
		must(t, cluster.WaitReady(entry))
	}
	results := l.end()
	c := count(t, results)
	if c.lost+c.notRun+c.unknown > 0 || c.whole < len(results) {
		t.Errorf("want every request answered whole")
	}
}

// findOrGet asks for all records now and then, and for single ones in between.
func findOrGet(i int) caller.RequestBody {
	const getsPerFind = 3
	if i%(getsPerFind+1) == 0 {
		return find(i)
	}
	return caller.RequestBody{Collection: "items", Kind: "get", Key: fmt.Sprintf("item-%05d", i%recordCount)}
}

// TestRollingRestartOfUpstreams drains and replaces one upstream of each shard
// in turn under load, then the other.
func TestRollingRestartOfUpstreams(t *testing.T) {
	cluster := startCluster(t, lab.Options{Deployment: lab.Small(2), DrainMillis: 100})
	l := startLoad(60, inTurn(cluster), find)
	for _, name := range cluster.Upstreams("items") {
		must(t, cluster.UpstreamProcess(name).Stop(20*time.Second))
		must(t, cluster.RestartUpstream(name))
		must(t, lab.Eventually(callTimeout, func() error {
			_, err := cluster.PeakConnections(name)
			return err
		}))
		time.Sleep(2 * time.Second)
	}
	results := l.end()
	c := count(t, results)
	if c.lost+c.notRun+c.unknown > 0 || c.whole < len(results) {
		t.Errorf("want every request answered whole")
		for _, s := range results {
			if s.err != nil || s.answer.Reason != "" {
				t.Logf("%s after %v: %s %s %v", s.entry, s.started.Sub(results[0].started), s.answer.Outcome, s.answer.Reason, s.err)
			}
		}
	}
}

// TestZoneCutOffGoesOnServing cuts a zone off in both ways, and requires both
// sides to serve what they reach with true coverage.
func TestZoneCutOffGoesOnServing(t *testing.T) {
	for name, silent := range map[string]bool{"reset": false, "silent": true} {
		t.Run(name, func(t *testing.T) {
			cluster := startCluster(t, lab.Options{Deployment: lab.Small(3), UpstreamsPerProcess: 9, Relay: true})
			waitForPeers(t, cluster)
			l := startLoad(60, inTurn(cluster), find)
			time.Sleep(time.Second)
			must(t, cluster.IsolateZones(silent, "north"))
			time.Sleep(5 * time.Second)
			must(t, cluster.Heal())
			time.Sleep(4 * time.Second)
			healed := time.Now()
			time.Sleep(2 * time.Second)
			results := l.end()
			count(t, results)
			var after, afterWhole int
			for _, s := range results {
				if s.started.After(healed) {
					after++
					if s.answer.Coverage != nil && s.answer.Coverage.Covered == s.answer.Coverage.Total {
						afterWhole++
					}
				}
			}
			if afterWhole < after {
				t.Errorf("%d of %d answers whole after the cut was healed", afterWhole, after)
			}
			must(t, servedWhileCut(results))
		})
	}
}

func servedWhileCut(results []sent) error {
	for _, s := range results {
		if s.err != nil {
			return s.err
		}
	}
	return nil
}

// TestPlatformReadsGrowWithZones counts the reads of the platform for growing
// numbers of instances in three zones.
func TestPlatformReadsGrowWithZones(t *testing.T) {
	const watched = 12 * time.Second
	rates := map[int]float64{}
	for _, perZone := range []int{2, 4} {
		deployment := lab.Small(2)
		deployment.InstancesPerZone = perZone
		deployment.MaxInstances = 24
		cluster := startCluster(t, lab.Options{Deployment: deployment, UpstreamsPerProcess: 7})
		waitForPeers(t, cluster)
		time.Sleep(2 * time.Second)
		before, err := cluster.PlatformReads()
		must(t, err)
		time.Sleep(watched)
		after, err := cluster.PlatformReads()
		must(t, err)
		rates[perZone] = float64(after-before) / watched.Seconds()
		t.Logf("%d instances: %.2f reads/s", 3*perZone, rates[perZone])
		cluster.Close()
	}
	if rates[4] > 1.5*rates[2] {
		t.Errorf("twice the instances read %.2f times as often", rates[4]/rates[2])
	}
}

// TestCallerThatGoesAway cancels requests midway; the instance must end them.
func TestCallerThatGoesAway(t *testing.T) {
	cluster := startCluster(t, lab.Options{Deployment: lab.Small(2), UpstreamsPerProcess: 7, UpstreamArguments: []string{"--median", "20s"}})
	for i := range 20 {
		cancelledAsk(cluster.Entries[0], caller.RequestBody{Collection: "items", Kind: "find", Body: string(rune('a' + i))})
	}
	must(t, lab.Eventually(2*time.Second, func() error {
		state, err := cluster.State(cluster.Entries[0])
		if err == nil && state.RequestsInFlight > 0 {
			return errInFlight
		}
		return err
	}))
}
