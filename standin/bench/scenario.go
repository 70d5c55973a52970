package main

import (
	"fmt"
	"math"
	"os"
	"path/filepath"
	"time"

	"acaciavane/standin/lab"
)

const (
	// sigma is the standard deviation of the logarithm of the service times, which are
	// log-normal.
	sigma = 0.4
	// lowLoadRatio, highLoadRatio and overloadRatio are request rates as a fraction of
	// the capacity.
	lowLoadRatio  = 0.2
	highLoadRatio = 0.3
	overloadRatio = 1.2
	// settleDelay is the pause after the start of a cluster and after tearDown.
	settleDelay = 1500 * time.Millisecond
	warmup      = 2 * time.Second
	// slowFactor is the median service time of slow replicas as a multiple of the
	// usual one.
	slowFactor  = 5
	drainMillis = 300
)

// bench is one run of one variant with all selected scenarios.
type bench struct {
	options    options
	deployment lab.Deployment
	variant    variant
	binaries   lab.Binaries
	directory  string
	run        int

	cluster *lab.Cluster
	// searchGroup is the collection with the high priority, and fetchGroup the one with
	// the low priority.
	searchGroup lab.Group
	fetchGroup  lab.Group
}

// scenario is a load and a state of the deployment to measure.
type scenario struct {
	name string
	// load is the request rate as a fraction of the capacity.
	load    float64
	seconds float64
	// warmup is how long requests are sent before the measurement starts.
	warmup time.Duration
	// setUp creates the state, and tearDown removes it.
	setUp    func(b *bench) error
	tearDown func(b *bench) error
	// during runs concurrently with the load.
	during func(b *bench, window time.Duration) error
}

func scenarios(seconds float64) []scenario {
	return []scenario{
		{name: "calm", load: lowLoadRatio, seconds: seconds},
		{name: "slowOnset", load: lowLoadRatio, seconds: seconds, setUp: slowReplicas, tearDown: restoreSpeed},
		{name: "slowReplicas", load: lowLoadRatio, seconds: seconds, warmup: warmup, setUp: slowReplicas, tearDown: restoreSpeed},
		{name: "slowBusy", load: highLoadRatio, seconds: seconds, warmup: warmup, setUp: slowReplicas, tearDown: restoreSpeed},
		{name: "calmBusy", load: highLoadRatio, seconds: seconds},
		{name: "lostReplica", load: lowLoadRatio, seconds: seconds, during: killReplica, tearDown: restartReplica},
		{name: "overload", load: overloadRatio, seconds: seconds, warmup: warmup},
		{name: "versions", load: lowLoadRatio, seconds: seconds, during: cycleSnapshot, tearDown: restoreSnapshot},
		{name: "frozenInstance", load: lowLoadRatio, seconds: 2*seconds + 2, during: suspendInstance},
	}
}

// measure starts a cluster and runs the selected scenarios one after another.
func (b *bench) measure() ([]result, error) {
	directory, err := os.MkdirTemp(b.directory, "run-")
	if err != nil {
		return nil, err
	}
	b.searchGroup, b.fetchGroup = b.deployment.Groups[0], b.deployment.Groups[2]
	if b.fetchGroup.Kinds[0].Mode != "fetch" {
		b.fetchGroup = b.deployment.Groups[3]
	}
	deployment := b.deployment
	deployment.Groups = []lab.Group{b.searchGroup, b.fetchGroup}
	b.cluster, err = lab.Start(lab.Options{
		Deployment:  deployment,
		Binaries:    b.binaries,
		Directory:   directory,
		Snapshots:   2,
		NoLedger:    true,
		DrainMillis: drainMillis,
		LogLevel:    "warn",
		Policy:      b.variant.policy,
		UpstreamArguments: []string{
			"--median", b.options.median.String(), "--sigma", fmt.Sprint(sigma),
			"--connect", "6ms", "--records", "400",
			"--seed", fmt.Sprint(b.seed()),
		},
	})
	if err != nil {
		return nil, err
	}
	defer func() {
		b.cluster.Close()
		_ = os.RemoveAll(filepath.Clean(directory))
	}()
	time.Sleep(settleDelay)
	// The first requests fill the latency windows. Their result is discarded.
	if _, err := b.runScenario(scenario{name: "warm", load: lowLoadRatio, seconds: 1}); err != nil {
		return nil, err
	}
	var results []result
	for _, s := range scenarios(b.options.seconds) {
		if !inList(b.options.scenarios, s.name) {
			continue
		}
		measured, err := b.runScenario(s)
		if err != nil {
			return nil, fmt.Errorf("%s: %w", s.name, err)
		}
		results = append(results, measured)
		fmt.Fprintln(os.Stderr, measured)
	}
	return results, nil
}

func (b *bench) seed() uint64 { return b.options.seed + uint64(b.run) }

func (b *bench) runScenario(s scenario) (result, error) {
	if s.setUp != nil {
		if err := s.setUp(b); err != nil {
			return result{}, err
		}
	}
	window := time.Duration(s.seconds * float64(time.Second))
	duringErr := make(chan error, 1)
	go func() {
		if s.during == nil {
			duringErr <- nil
			return
		}
		duringErr <- s.during(b, window)
	}()
	measured := b.generateLoad(s, window)
	if err := <-duringErr; err != nil {
		return result{}, err
	}
	if s.tearDown != nil {
		if err := s.tearDown(b); err != nil {
			return result{}, err
		}
		time.Sleep(settleDelay)
	}
	return measured, nil
}

// capacity returns the number of searches per second that the slots of one service
// can run, from the mean of the log-normal service time.
func (b *bench) capacity() float64 {
	mean := b.options.median.Seconds() * math.Exp(sigma*sigma/2)
	return float64(b.searchGroup.Replicas*b.searchGroup.Slots) / mean
}

// firstReplicas returns the names of the first replicas of all services in
// searchGroup.
func (b *bench) firstReplicas() []string {
	var names []string
	for i, name := range b.cluster.Upstreams(b.searchGroup.Collection) {
		if i%b.searchGroup.Replicas == 0 {
			names = append(names, name)
		}
	}
	return names
}

func slowReplicas(b *bench) error {
	delay := (slowFactor - 1) * b.options.median.Milliseconds()
	return b.cluster.SetBehaviour(lab.Behaviour{DelayMillis: delay}, b.firstReplicas()...)
}

func restoreSpeed(b *bench) error {
	return b.cluster.SetBehaviour(lab.Behaviour{}, b.firstReplicas()...)
}

func killReplica(b *bench, window time.Duration) error {
	time.Sleep(window / 4)
	b.cluster.UpstreamProcess(b.firstReplicas()[0]).Kill()
	return nil
}

func restartReplica(b *bench) error {
	return b.cluster.RestartUpstream(b.firstReplicas()[0])
}

// cycleSnapshot makes one upstream after the other stop serving the newest snapshot,
// and then serve it again.
func cycleSnapshot(b *bench, window time.Duration) error {
	names := b.cluster.Upstreams(b.searchGroup.Collection)
	pause := window / time.Duration(2*len(names)+1)
	for _, served := range []bool{false, true} {
		for _, name := range names {
			if err := b.cluster.SetSnapshotServed(b.searchGroup.Collection, 2, served, name); err != nil {
				return err
			}
			time.Sleep(pause)
		}
	}
	return nil
}

func restoreSnapshot(b *bench) error {
	return b.cluster.SetSnapshotServed(b.searchGroup.Collection, 2, true, b.cluster.Upstreams(b.searchGroup.Collection)...)
}

// suspendInstance suspends the process of the first instance for 60 percent of the
// window, at most maxSuspension.
func suspendInstance(b *bench, window time.Duration) error {
	const maxSuspension = 5 * time.Second
	time.Sleep(window / 10)
	process := b.cluster.Entries[0].Process()
	process.Suspend()
	time.Sleep(min(maxSuspension, window*6/10))
	process.Resume()
	return nil
}
