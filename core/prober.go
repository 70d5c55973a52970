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

// Prober keeps what is known of quiet upstreams current, with one task for each.
type Prober struct {
	clock  Clock
	fleet  *Fleet
	client ProbeClient
	wake   chan struct{}

	mu    sync.Mutex
	tasks map[string]probeTask
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
		probed:  NewSet[string](),
	}
}

// Wake makes the prober take in a change of the fleet's upstreams.
func (p *Prober) Wake() {
	select {
	case p.wake <- struct{}{}:
	default:
	}
}

// Run keeps a task for each upstream until ctx ends.
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

// RunSuspects probes only the upstreams that are suspected to be unreachable,
// until ctx ends.
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

// suspectScan looks for suspects, from time to time while anything is uncertain.
type suspectScan struct {
	prober *Prober
	group  errgroup.Group
	// probing names the suspects that have a task, and pauses is how long each one rests
	// after its next probe.
	probing Set[string]
	pauses  map[string]Millis
	done    chan string
	// timer signals the next scan, which is due at the given time.
	timer <-chan time.Time
	due   Millis
}

// next returns what the next scan waits for.
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

// checkZones looks for zones that are cut off, unless the process is behind: it has then
// not read the replies that are there.
func (s *suspectScan) checkZones() {
	s.timer = nil
	if s.prober.clock.Since(s.due) < TimerSlackMillis {
		s.prober.fleet.CheckZones()
	}
}

// startProbes starts a task for each suspect that has none.
func (s *suspectScan) startProbes(ctx context.Context) {
	suspects := s.prober.fleet.Suspects()
	maps.DeleteFunc(s.pauses, func(name string, _ Millis) bool {
		return !slices.ContainsFunc(suspects, func(t Target) bool { return t.Name == name })
	})
	for _, target := range suspects {
		if s.probing.Has(target.Name) || target.Lanes < 1 {
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

// Retain closes the connections to upstreams that the fleet does not name.
func (p *Prober) Retain() {
	names := NewSet[string]()
	for _, target := range p.fleet.Targets() {
		names.Add(target.Name)
	}
	p.client.Retain(names)
}

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
		if _, ok := p.tasks[name]; ok || target.Lanes < 1 {
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

func (p *Prober) probePeriodically(ctx context.Context, target Target) {
	for ctx.Err() == nil {
		if p.fleet.ProbeDue(target.Name) {
			p.probe(ctx, target)
		}
		_ = p.clock.Sleep(ctx, jitter(p.fleet.ProbeInterval(target.Name)))
	}
}

func (p *Prober) probe(ctx context.Context, target Target) {
	limited, cancel := p.clock.WithDeadline(ctx, p.clock.Now()+ProbeTimeoutMillis)
	defer cancel()
	status, err := p.client.Probe(limited, target)
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

// inconclusive reports whether a failed probe says nothing of whether the upstream
// can be reached: it was not made, or the connection was there and broke.
func inconclusive(err error) bool {
	var failure *AttemptError
	return errors.Is(err, ErrNoFreeConnection) || (errors.As(err, &failure) && failure.Kind == FailureLost)
}

// ProbeAll probes every upstream at once.
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

// AllTried reports whether every upstream has been probed at least once.
func (p *Prober) AllTried() bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	for name := range p.tasks {
		if !p.probed.Has(name) {
			return false
		}
	}
	return len(p.tasks) > 0
}
