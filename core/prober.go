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
	first Set[string]
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
		first:  NewSet[string](),
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
	var group errgroup.Group
	probing := map[string]bool{}
	pauses := map[string]Millis{}
	done := make(chan string)
	ticker := time.NewTicker(SuspectScanMillis.Duration())
	defer ticker.Stop()
	scanned := p.clock.Now()
	for {
		suspects := p.fleet.Suspects()
		maps.DeleteFunc(pauses, func(name string, _ Millis) bool {
			return !slices.ContainsFunc(suspects, func(t Target) bool { return t.Name == name })
		})
		for _, target := range suspects {
			if probing[target.Name] || target.Lanes < 1 {
				continue
			}
			probing[target.Name] = true
			pause := max(ProbeReturnMillis, pauses[target.Name])
			pauses[target.Name] = min(2*pause, ProbeBackoffMaxMillis)
			group.Go(func() error {
				p.probe(ctx, target)
				_ = p.clock.Sleep(ctx, jitter(pause))
				select {
				case done <- target.Name:
				case <-ctx.Done():
				}
				return nil
			})
		}
		select {
		case name := <-done:
			delete(probing, name)
		case <-ticker.C:
			// A process that is behind has not read the replies that are there.
			if p.clock.Since(scanned)-SuspectScanMillis < TimerSlackMillis {
				p.fleet.CheckZones()
			}
			scanned = p.clock.Now()
		case <-ctx.Done():
			return group.Wait()
		}
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
			p.follow(taskCtx, target)
			return nil
		})
	}
}

func (p *Prober) follow(ctx context.Context, target Target) {
	for ctx.Err() == nil {
		if p.fleet.ProbeDue(target.Name) {
			p.probe(ctx, target)
		}
		_ = p.clock.Sleep(ctx, jitter(p.fleet.ProbePause(target.Name)))
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
	p.first.Add(target.Name)
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
		if !p.first.Has(name) {
			return false
		}
	}
	return len(p.tasks) > 0
}
