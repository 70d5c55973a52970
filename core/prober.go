package core

import (
	"context"
	"errors"
	"maps"
	"slices"
	"sync"
	"time"

	"golang.org/x/sync/errgroup"
)

// Prober probes upstreams to update the state of those that get few requests.
type Prober struct {
	clock  Clock
	fleet  *Fleet
	client ProbeClient
	wake   chan struct{}

	mu sync.Mutex
	// tasks holds the probe tasks that Run has started, by name of the upstream.
	tasks map[string]probeTask
	// probed names the upstreams that were probed at least once.
	probed Set[string]
}

type probeTask struct {
	target Target
	cancel context.CancelFunc
}

// NewProber returns a prober of the fleet's upstreams.
func NewProber(clock Clock, fleet *Fleet, client ProbeClient) *Prober {
	return &Prober{
		clock:  clock,
		fleet:  fleet,
		client: client,
		wake:   make(chan struct{}, 1),
		tasks:  map[string]probeTask{},
		probed: NewSet[string](),
	}
}

// Wake makes Run compare its tasks with the fleet's upstreams again.
func (p *Prober) Wake() {
	select {
	case p.wake <- struct{}{}:
	default:
	}
}

// Run probes all upstreams, with one task for each, until ctx ends.
func (p *Prober) Run(ctx context.Context) error {
	var group errgroup.Group
	for {
		p.reconcile(ctx, &group)
		select {
		case <-p.wake:
		case <-ctx.Done():
			return group.Wait()
		}
	}
}

// RunSuspects probes only the upstreams that may be unreachable, until ctx ends.
func (p *Prober) RunSuspects(ctx context.Context) error {
	scan := &suspectScan{prober: p, probing: NewSet[string](), pauses: map[string]Millis{}, done: make(chan string)}
	for {
		scan.startProbes(ctx)
		timer, alerts := scan.next()
		select {
		case name := <-scan.done:
			delete(scan.probing, name)
		case <-alerts:
		case <-timer:
			scan.checkZones()
		case <-ctx.Done():
			return scan.group.Wait()
		}
	}
}

// suspectScan starts a probe task for each suspect. It scans for suspects at an interval of
// SuspectScanMillis while there are any, and otherwise waits for an alert.
type suspectScan struct {
	prober *Prober
	group  errgroup.Group
	// probing names the suspects that have a running task. pauses holds the pause after the
	// next probe of each suspect. It doubles with each probe, up to ProbeBackoffMaxMillis.
	probing Set[string]
	pauses  map[string]Millis
	// done receives the name of each suspect whose task has ended.
	done chan string
	// timer signals the next scan, which is due at due.
	timer <-chan time.Time
	due   Millis
}

// next returns the channels that trigger the next scan. A nil channel never does.
func (s *suspectScan) next() (timer <-chan time.Time, alerts <-chan struct{}) {
	if s.timer == nil && s.prober.fleet.HasSuspects() {
		s.timer = s.prober.clock.After(SuspectScanMillis)
		s.due = s.prober.clock.Now() + SuspectScanMillis
	}
	if s.timer != nil {
		return s.timer, nil
	}
	return nil, s.prober.fleet.Alerts()
}

// checkZones checks for zones that are cut off. It skips the check if the timer fired late:
// the process then lags and has not yet read all replies that have arrived.
func (s *suspectScan) checkZones() {
	s.timer = nil
	if s.prober.clock.Since(s.due) < TimerSlackMillis {
		s.prober.fleet.CheckZones()
	}
}

// startProbes starts a task for each suspect that has none, and forgets the pauses of
// upstreams that are no longer suspects.
func (s *suspectScan) startProbes(ctx context.Context) {
	suspects := s.prober.fleet.Suspects()
	maps.DeleteFunc(s.pauses, func(name string, _ Millis) bool {
		return !slices.ContainsFunc(suspects, func(t Target) bool { return t.Name == name })
	})
	for _, target := range suspects {
		if s.probing.Has(target.Name) || target.MaxConnections < 1 {
			continue
		}
		s.probing.Add(target.Name)
		pause := max(ProbeReturnMillis, s.pauses[target.Name])
		s.pauses[target.Name] = min(2*pause, ProbeBackoffMaxMillis)
		s.group.Go(func() error {
			s.prober.probe(ctx, target)
			_ = s.prober.clock.Sleep(ctx, jitter(pause))
			select {
			case s.done <- target.Name:
			case <-ctx.Done():
			}
			return nil
		})
	}
}

// Retain closes the connections to upstreams that are not in the fleet.
func (p *Prober) Retain() {
	names := NewSet[string]()
	for _, target := range p.fleet.Targets() {
		names.Add(target.Name)
	}
	p.client.Retain(names)
}

// reconcile starts a task for each new upstream, stops the tasks of upstreams that were
// removed or changed, and closes the connections to removed ones.
func (p *Prober) reconcile(ctx context.Context, group *errgroup.Group) {
	p.mu.Lock()
	defer p.mu.Unlock()
	wanted := map[string]Target{}
	names := NewSet[string]()
	for _, target := range p.fleet.Targets() {
		wanted[target.Name] = target
		names.Add(target.Name)
	}
	for name, task := range p.tasks {
		if wanted[name] != task.target {
			task.cancel()
			delete(p.tasks, name)
		}
	}
	p.client.Retain(names)
	for name, target := range wanted {
		if _, ok := p.tasks[name]; ok || target.MaxConnections < 1 {
			continue
		}
		taskCtx, cancel := context.WithCancel(ctx)
		p.tasks[name] = probeTask{target: target, cancel: cancel}
		group.Go(func() error {
			p.probePeriodically(taskCtx, target)
			return nil
		})
	}
}

// probePeriodically probes an upstream whenever a probe is due, until ctx ends.
func (p *Prober) probePeriodically(ctx context.Context, target Target) {
	for ctx.Err() == nil {
		if p.fleet.ProbeDue(target.Name) {
			p.probe(ctx, target)
		}
		_ = p.clock.Sleep(ctx, jitter(p.fleet.ProbeInterval(target.Name)))
	}
}

// probe sends one probe and passes its result to the fleet. It sends none to an upstream that is
// at its request limit.
func (p *Prober) probe(ctx context.Context, target Target) {
	if !p.fleet.AdmitProbe(target.Name) {
		return
	}
	limited, cancel := p.clock.WithDeadline(ctx, p.clock.Now()+ProbeTimeoutMillis)
	defer cancel()
	sentAt := p.clock.Now()
	status, err := p.client.Probe(limited, target)
	p.recordSignals(target, status, err, sentAt)
	switch {
	case err == nil:
		p.fleet.Observe(target.Name, status)
	case !inconclusive(err):
		p.fleet.ProbeFailed(target.Name)
	}
	p.mu.Lock()
	p.probed.Add(target.Name)
	p.mu.Unlock()
}

// recordSignals passes what the response to a probe states about the upstream to the fleet. An error of
// the probe may hold a response, too.
func (p *Prober) recordSignals(target Target, status UpstreamStatus, err error, sentAt Millis) {
	var failure *AttemptError
	if errors.As(err, &failure) {
		status, _ = failure.Status.Get()
	}
	p.fleet.RecordSignals(target.Name, target.Incarnation, status.Signals, sentAt)
}

// inconclusive reports whether the error of a probe leaves open if the upstream can be
// reached: the probe was not sent, or the connection was open and then broke.
func inconclusive(err error) bool {
	var failure *AttemptError
	return errors.Is(err, ErrNoFreeConnection) || (errors.As(err, &failure) && failure.Kind == FailureLost)
}

// ProbeAll probes all upstreams concurrently and waits for the results.
func (p *Prober) ProbeAll(ctx context.Context) {
	var group errgroup.Group
	for _, target := range p.fleet.Targets() {
		group.Go(func() error {
			p.probe(ctx, target)
			return nil
		})
	}
	_ = group.Wait()
}

// AllProbed reports whether Run has started tasks and each of their upstreams was probed at
// least once.
func (p *Prober) AllProbed() bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	for name := range p.tasks {
		if !p.probed.Has(name) {
			return false
		}
	}
	return len(p.tasks) > 0
}
