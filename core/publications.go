package core

import (
	"context"
	"errors"
	"math/rand/v2"
	"sync"

	"github.com/go-logr/logr"
	"golang.org/x/sync/errgroup"
)

// Keys of the published values.
const (
	KeyConfiguration = "configuration"
	KeyInstances     = "instances"
)

// maxCheckDelayMillis is the maximum delay, before jitter, between two checks whether to
// read the platform.
const maxCheckDelayMillis = 1 * Second

// ErrPlatformUnavailable reports that the platform could not be reached or that its
// reply was invalid.
var ErrPlatformUnavailable = errors.New("platform unavailable")

// PublishedValue is a value that was read from the platform.
type PublishedValue struct {
	// Raw is the published document.
	Raw []byte
	// List is the instance list if the platform's client has already decoded it.
	// Raw is then empty.
	List Option[InstanceList]
	// Revision is the platform's revision number of the value.
	Revision Revision
}

// Platform reads published values.
type Platform interface {
	// Read returns the value. It waits up to wait for a revision other than after,
	// then returns the current one. Its errors wrap ErrPlatformUnavailable.
	Read(ctx context.Context, key string, after Revision, wait Millis) (PublishedValue, error)
}

// ReadIntervals sets how often the platform is read.
type ReadIntervals struct {
	// Wait is how long a watch waits for a change before the platform replies.
	Wait Millis
	// Pause is the mean delay between two watches of one value.
	Pause Millis
	// SharedWait replaces Wait when other instances rely on this one to read the
	// platform.
	SharedWait Millis
	// MaxAge is the time without contact with the platform, directly or through
	// peers, after which an instance that relies on others reads the platform itself.
	MaxAge Millis
	// RetryMin is the mean delay after the first failure. It doubles with each further
	// failure, up to RetryMax.
	RetryMin Millis
	RetryMax Millis
}

// DefaultReadIntervals returns the values for a platform that serves few reads per second.
func DefaultReadIntervals() ReadIntervals {
	return ReadIntervals{
		Wait:       WatchWaitMillis,
		SharedWait: WatchWaitMillis,
		MaxAge:     PlatformMaxAgeMillis,
		Pause:      WatchPauseMillis,
		RetryMin:   PlatformRetryMinMillis,
		RetryMax:   PlatformRetryMaxMillis,
	}
}

// PlatformWatcherConfig holds the dependencies and settings of PlatformWatcher.
type PlatformWatcherConfig struct {
	Clock     Clock
	Platform  Platform
	Store     *Store
	Peers     *Peers
	Counters  *Counters
	Intervals ReadIntervals
	Log       logr.Logger
}

// PlatformWatcher copies published values from the platform to the store. Only the
// instances for which Peers.ReadsPlatform is true watch the platform. The others learn of
// changes from their peers, and read the platform only at the start and when neither they
// nor their peers have had contact with it for Intervals.MaxAge.
type PlatformWatcher struct {
	PlatformWatcherConfig

	mu sync.Mutex
	// attemptedKeys are the keys that were read at least once, even if the read failed.
	attemptedKeys Set[string]
}

// NewPlatformWatcher returns a PlatformWatcher that has read nothing yet.
func NewPlatformWatcher(config PlatformWatcherConfig) *PlatformWatcher {
	return &PlatformWatcher{PlatformWatcherConfig: config, attemptedKeys: NewSet[string]()}
}

// Run watches all values until ctx ends.
func (p *PlatformWatcher) Run(ctx context.Context) error {
	var group errgroup.Group
	for _, key := range []string{KeyConfiguration, KeyInstances} {
		group.Go(func() error {
			p.watch(ctx, key)
			return nil
		})
	}
	return group.Wait()
}

// watch reads one value whenever it is due, until ctx ends.
func (p *PlatformWatcher) watch(ctx context.Context, key string) {
	var revision Revision
	retryDelay := p.Intervals.RetryMin
	var lostAt Option[Millis]
	changes := p.Peers.SubscribeDelegation()
	for ctx.Err() == nil {
		if !p.due(key) {
			p.waitUntilDue(ctx, key, changes)
			continue
		}
		wait := p.watchTimeout()
		if !p.attempted(key) || !p.Peers.ReadsPlatform() {
			wait = 0
		}
		published, err := p.read(ctx, key, revision, wait)
		lostAt = p.logContact(key, lostAt, err)
		if err != nil {
			_ = p.Clock.Sleep(ctx, jitter(retryDelay))
			retryDelay = min(2*retryDelay, p.Intervals.RetryMax)
			continue
		}
		retryDelay = p.Intervals.RetryMin
		revision = published.Revision
		_ = p.Clock.Sleep(ctx, jitter(p.Intervals.Pause))
	}
}

// logContact logs when contact with the platform is lost or regained. lostAt is when
// contact was lost, or none. The result is its new value after a read that returned err.
func (p *PlatformWatcher) logContact(key string, lostAt Option[Millis], err error) Option[Millis] {
	since, wasLost := lostAt.Get()
	switch {
	case err != nil && !wasLost:
		p.Log.Info("platform lost", "key", key, "error", err.Error())
		return Some(p.Clock.Now())
	case err == nil && wasLost:
		p.Log.Info("platform regained", "key", key, "lostMillis", int64(p.Clock.Since(since)))
		return None[Millis]()
	}
	return lostAt
}

// jitter returns a random delay from half to one and a half times the given one.
func jitter(delay Millis) Millis {
	return delay/2 + Millis(rand.Int64N(int64(delay)))
}

// due reports whether this instance should read the value from the platform now.
func (p *PlatformWatcher) due(key string) bool {
	delegating := len(p.Peers.Delegates()) > 0
	switch {
	case key == KeyInstances && (delegating || p.Peers.Joining()):
		return false
	case !p.attempted(key):
		return true
	case p.Peers.ReadsPlatform():
		return !p.Peers.Joining()
	}
	return p.Store.PlatformAge() > p.Intervals.MaxAge
}

// waitUntilDue waits until the value may be due: the last contact with the platform may
// have become too old, or the delegation has changed.
func (p *PlatformWatcher) waitUntilDue(ctx context.Context, key string, changes <-chan struct{}) {
	delay := p.Intervals.RetryMin
	if p.attempted(key) && !p.Peers.Joining() {
		delay = min(maxCheckDelayMillis, max(delay, p.Intervals.MaxAge-p.Store.PlatformAge()))
	}
	select {
	case <-changes:
	case <-p.Clock.After(jitter(delay)):
	case <-ctx.Done():
	}
}

// watchTimeout returns how long a watch waits for a change. SharedWait applies if other
// instances rely on this one.
func (p *PlatformWatcher) watchTimeout() Millis {
	if p.Peers.HasDelegatingPeers() {
		return p.Intervals.SharedWait
	}
	return p.Intervals.Wait
}

// attempted reports whether the value was read at least once, even if the read failed.
func (p *PlatformWatcher) attempted(key string) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.attemptedKeys.Has(key)
}

// AllTried reports whether each value that is needed was read at least once, successfully or
// not. An instance that delegates its requests needs no instance list.
func (p *PlatformWatcher) AllTried() bool {
	return p.attempted(KeyConfiguration) && (p.attempted(KeyInstances) || len(p.Peers.Delegates()) > 0)
}

// read reads the value and updates the store if the revision differs from after.
func (p *PlatformWatcher) read(ctx context.Context, key string, after Revision, wait Millis) (PublishedValue, error) {
	p.Counters.Add(CountPlatformReads, 1)
	published, err := p.Platform.Read(ctx, key, after, wait)
	p.mu.Lock()
	p.attemptedKeys.Add(key)
	p.mu.Unlock()
	if err != nil {
		p.Store.RecordPlatformFailure(key)
		p.Counters.Add(CountPlatformFailures, 1)
		return PublishedValue{}, err
	}
	p.Store.RecordPlatformRead(key)
	if published.Revision != after {
		p.update(key, published)
	}
	return published, nil
}

// updateList updates the instance list and reports whether it was newer.
func (p *PlatformWatcher) updateList(published PublishedValue) (bool, error) {
	if list, ok := published.List.Get(); ok {
		return p.Store.UpdateInstanceList(list), nil
	}
	return p.Store.UpdateEncodedInstanceList(published.Raw)
}

// Refresh reads all values concurrently, without waiting for changes.
func (p *PlatformWatcher) Refresh(ctx context.Context) error {
	var group errgroup.Group
	for _, key := range []string{KeyConfiguration, KeyInstances} {
		group.Go(func() error {
			_, err := p.read(ctx, key, 0, 0)
			return err
		})
	}
	return group.Wait()
}

// update updates the value in the store and logs the result.
func (p *PlatformWatcher) update(key string, published PublishedValue) {
	var updated bool
	var err error
	if key == KeyConfiguration {
		updated, err = p.Store.UpdateConfiguration(published.Raw, "platform")
	} else {
		updated, err = p.updateList(published)
	}
	if err != nil {
		p.Log.Error(err, "published value refused", "key", key, "revision", published.Revision.String())
		return
	}
	p.Log.V(1).Info("published value read", "key", key, "revision", published.Revision.String(), "newer", updated)
}
