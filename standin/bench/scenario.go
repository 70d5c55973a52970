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
	// sigma is the spread of the log-normal service times.
	sigma = 0.4
	// calmShare and busyShare are the loads without overload, as a part of what
	// the slots can carry.
	calmShare     = 0.2
	busyShare     = 0.3
	overloadShare = 1.2
	settle        = 1500 * time.Millisecond
	warm          = 2 * time.Second
	slowFactor    = 5
	drainMillis   = 300
)

// bench is one run of one variant over all scenarios.
type bench struct {
	options    options
	deployment lab.Deployment
	variant    variant
	binaries   lab.Binaries
	folder     string
	run        int

	cluster *lab.Cluster
	// searched is the collection of the high priority, and fetched that of the low.
	searched lab.Group
	fetched  lab.Group
}

// scenario is a state of the upstreams to measure under.
type scenario struct {
	name    string
	load    float64
	seconds float64
	// warm is how long the load runs before samples count.
	warm time.Duration
	// begin and end put the state in place and take it away.
	begin func(b *bench) error
	end   func(b *bench) error
	// during runs while the load runs.
	during func(b *bench, window time.Duration) error
}

func scenarios(seconds float64) []scenario {
	return []scenario{
		{name: "calm", load: calmShare, seconds: seconds},
		{name: "slowOnset", load: calmShare, seconds: seconds, begin: slowReplicas, end: soundReplicas},
		{name: "slowReplicas", load: calmShare, seconds: seconds, warm: warm, begin: slowReplicas, end: soundReplicas},
		{name: "slowBusy", load: busyShare, seconds: seconds, warm: warm, begin: slowReplicas, end: soundReplicas},
		{name: "calmBusy", load: busyShare, seconds: seconds},
		{name: "lostReplica", load: calmShare, seconds: seconds, during: loseReplica, end: restoreReplica},
		{name: "overload", load: overloadShare, seconds: seconds, warm: warm},
		{name: "versions", load: calmShare, seconds: seconds, during: changeVersions, end: restoreVersions},
		{name: "frozenInstance", load: calmShare, seconds: 2*seconds + 2, during: freezeInstance},
	}
}

func (b *bench) measure() ([]result, error) {
	folder, err := os.MkdirTemp(b.folder, "run-")
	if err != nil {
		return nil, err
	}
	b.searched, b.fetched = b.deployment.Groups[0], b.deployment.Groups[2]
	if b.fetched.Kinds[0].Mode != "fetch" {
		b.fetched = b.deployment.Groups[3]
	}
	deployment := b.deployment
	deployment.Groups = []lab.Group{b.searched, b.fetched}
	b.cluster, err = lab.Start(lab.Options{
		Deployment:  deployment,
		Binaries:    b.binaries,
		Folder:      folder,
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
		_ = os.RemoveAll(filepath.Clean(folder))
	}()
	time.Sleep(settle)
	// The first requests fill the latency windows and are not measured.
	if _, err := b.measureScenario(scenario{name: "warm", load: calmShare, seconds: 1}); err != nil {
		return nil, err
	}
	var results []result
	for _, s := range scenarios(b.options.seconds) {
		if !listed(b.options.scenarios, s.name) {
			continue
		}
		measured, err := b.measureScenario(s)
		if err != nil {
			return nil, fmt.Errorf("%s: %w", s.name, err)
		}
		results = append(results, measured)
		fmt.Fprintln(os.Stderr, measured)
	}
	return results, nil
}

func (b *bench) seed() uint64 { return b.options.seed + uint64(b.run) }

func (b *bench) measureScenario(s scenario) (result, error) {
	if s.begin != nil {
		if err := s.begin(b); err != nil {
			return result{}, err
		}
	}
	window := time.Duration(s.seconds * float64(time.Second))
	failed := make(chan error, 1)
	go func() {
		if s.during == nil {
			failed <- nil
			return
		}
		failed <- s.during(b, window)
	}()
	measured := b.load(s, window)
	if err := <-failed; err != nil {
		return result{}, err
	}
	if s.end != nil {
		if err := s.end(b); err != nil {
			return result{}, err
		}
		time.Sleep(settle)
	}
	return measured, nil
}

// capacity returns how many searches a second the slots of one service carry.
func (b *bench) capacity() float64 {
	mean := b.options.median.Seconds() * math.Exp(sigma*sigma/2)
	return float64(b.searched.Replicas*b.searched.Slots) / mean
}

// firsts returns the first replica of each searched service.
func (b *bench) firsts() []string {
	var names []string
	for i, name := range b.cluster.Upstreams(b.searched.Collection) {
		if i%b.searched.Replicas == 0 {
			names = append(names, name)
		}
	}
	return names
}

func slowReplicas(b *bench) error {
	delay := (slowFactor - 1) * b.options.median.Milliseconds()
	return b.cluster.Behave(lab.Behaviour{DelayMillis: delay}, b.firsts()...)
}

func soundReplicas(b *bench) error {
	return b.cluster.Behave(lab.Behaviour{}, b.firsts()...)
}

func loseReplica(b *bench, window time.Duration) error {
	time.Sleep(window / 4)
	b.cluster.UpstreamProcess(b.firsts()[0]).Kill()
	return nil
}

func restoreReplica(b *bench) error {
	return b.cluster.RestartUpstream(b.firsts()[0])
}

// changeVersions withdraws the newest snapshot from one upstream after the other,
// and brings it back.
func changeVersions(b *bench, window time.Duration) error {
	names := b.cluster.Upstreams(b.searched.Collection)
	pause := window / time.Duration(2*len(names)+1)
	for _, served := range []bool{false, true} {
		for _, name := range names {
			if err := b.cluster.Serve(b.searched.Collection, 2, served, name); err != nil {
				return err
			}
			time.Sleep(pause)
		}
	}
	return nil
}

func restoreVersions(b *bench) error {
	return b.cluster.Serve(b.searched.Collection, 2, true, b.cluster.Upstreams(b.searched.Collection)...)
}

func freezeInstance(b *bench, window time.Duration) error {
	const frozen = 5 * time.Second
	time.Sleep(window / 10)
	process := b.cluster.Entries[0].Process()
	process.Freeze()
	time.Sleep(min(frozen, window*6/10))
	process.Thaw()
	return nil
}
