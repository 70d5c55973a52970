package core

import (
	"context"
	"errors"
	"math/rand/v2"
	"sync"

	"github.com/go-logr/logr"
	"golang.org/x/sync/errgroup"
)

// Keys of the values that operators publish.
const (
	KeyConfiguration = "configuration"
	KeyInstances     = "instances"
)

// restMillis is the longest pause between two checks whether to read the platform.
const restMillis = 1 * Second

// ErrPlatformUnavailable means that the platform gave no usable answer.
var ErrPlatformUnavailable = errors.New("platform unavailable")

// Published is a value as the platform holds it.
type Published struct {
	Raw []byte
	// List is the instance list where the platform's client has decoded it already.
	// Raw is then empty.
	List Option[InstanceList]
	// Revision is the platform's own count of changes to the value.
	Revision uint64
}

// Platform reads what operators published.
type Platform interface {
	// Read returns the value, waiting up to wait for a revision other than after.
	// Its errors wrap ErrPlatformUnavailable.
	Read(ctx context.Context, key string, after uint64, wait Millis) (Published, error)
}

// ReadCadence says how often the platform is read.
type ReadCadence struct {
	// Wait is how long a watch waits at the platform for a change, and Pause the
	// time between two watches of one value.
	Wait  Millis
	Pause Millis
	// SharedWait takes the place of Wait where most instances rely on a few readers.
	SharedWait Millis
	// Silence is how old the news of the platform may be before an instance that relies
	// on others reads it itself.
	Silence Millis
	// RetryMin and RetryMax are the first and the longest pause after failures.
	RetryMin Millis
	RetryMax Millis
}

// DefaultCadence spares a platform whose reads are scarce.
func DefaultCadence() ReadCadence {
	return ReadCadence{
		Wait:       WatchWaitMillis,
		SharedWait: WatchWaitMillis,
		Silence:    PlatformSilenceMillis,
		Pause:      WatchPauseMillis,
		RetryMin:   PlatformRetryMinMillis,
		RetryMax:   PlatformRetryMaxMillis,
	}
}

// PublicationsParts are what the reader of the platform is built from.
type PublicationsParts struct {
	Clock    Clock
	Platform Platform
	Store    *Store
	Peers    *Peers
	Counters *Counters
	Cadence  ReadCadence
	Log      logr.Logger
}

// Publications brings what operators publish into the store. A few instances in
// each zone watch the platform; the others hear of changes from their peers and
// read for themselves only when there is no news of the platform at all.
type Publications struct {
	PublicationsParts

	mu    sync.Mutex
	first Set[string]
}

// NewPublications returns a reader that has read nothing yet.
func NewPublications(parts PublicationsParts) *Publications {
	return &Publications{PublicationsParts: parts, first: NewSet[string]()}
}

// Run reads until ctx ends.
func (p *Publications) Run(ctx context.Context) error {
	var group errgroup.Group
	for _, key := range []string{KeyConfiguration, KeyInstances} {
		group.Go(func() error {
			p.follow(ctx, key)
			return nil
		})
	}
	return group.Wait()
}

// follow keeps one value current.
func (p *Publications) follow(ctx context.Context, key string) {
	var revision uint64
	pause := p.Cadence.RetryMin
	var lost Option[Millis]
	changes := p.Peers.SubscribeDelegation()
	for ctx.Err() == nil {
		if !p.due(key) {
			p.rest(ctx, key, changes)
			continue
		}
		wait := p.wait()
		if !p.tried(key) || !p.Peers.Reader() {
			wait = 0
		}
		published, err := p.read(ctx, key, revision, wait)
		lost = p.noteContact(key, lost, err)
		if err != nil {
			_ = p.Clock.Sleep(ctx, jitter(pause))
			pause = min(2*pause, p.Cadence.RetryMax)
			continue
		}
		pause = p.Cadence.RetryMin
		revision = published.Revision
		_ = p.Clock.Sleep(ctx, jitter(p.Cadence.Pause))
	}
}

// noteContact writes a line when the platform is lost or regained. lost is since
// when it has been lost; the return value is the same after err.
func (p *Publications) noteContact(key string, lost Option[Millis], err error) Option[Millis] {
	since, wasLost := lost.Get()
	switch {
	case err != nil && !wasLost:
		p.Log.Info("platform lost", "key", key, "error", err.Error())
		return Some(p.Clock.Now())
	case err == nil && wasLost:
		p.Log.Info("platform regained", "key", key, "lostMillis", int64(p.Clock.Since(since)))
		return None[Millis]()
	}
	return lost
}

func jitter(pause Millis) Millis {
	return pause/2 + Millis(rand.Int64N(int64(pause)))
}

// due reports whether this instance should read the platform itself.
func (p *Publications) due(key string) bool {
	delegating := len(p.Peers.Delegates()) > 0
	switch {
	case key == KeyInstances && (delegating || p.Peers.Joining()):
		return false
	case !p.tried(key):
		return true
	case p.Peers.Reader():
		return !p.Peers.Joining()
	}
	return p.Store.PlatformAge() > p.Cadence.Silence
}

// rest waits until this instance may have to read the platform itself: the news that others
// have of it grow old, or there are none to rely on any more.
func (p *Publications) rest(ctx context.Context, key string, changes <-chan struct{}) {
	pause := p.Cadence.RetryMin
	if p.tried(key) && !p.Peers.Joining() {
		pause = min(restMillis, max(pause, p.Cadence.Silence-p.Store.PlatformAge()))
	}
	select {
	case <-changes:
	case <-p.Clock.After(jitter(pause)):
	case <-ctx.Done():
	}
}

// wait returns how long a watch waits: less where other instances rely on it.
func (p *Publications) wait() Millis {
	if p.Peers.ReadForOthers() {
		return p.Cadence.SharedWait
	}
	return p.Cadence.Wait
}

func (p *Publications) tried(key string) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.first.Has(key)
}

// AllTried reports whether each value that is needed has been asked for at least once. An
// instance that delegates its requests does without the instance list.
func (p *Publications) AllTried() bool {
	return p.tried(KeyConfiguration) && (p.tried(KeyInstances) || len(p.Peers.Delegates()) > 0)
}

func (p *Publications) read(ctx context.Context, key string, after uint64, wait Millis) (Published, error) {
	p.Counters.Add(CountPlatformReads, 1)
	published, err := p.Platform.Read(ctx, key, after, wait)
	p.mu.Lock()
	p.first.Add(key)
	p.mu.Unlock()
	if err != nil {
		p.Store.MissPlatform()
		p.Counters.Add(CountPlatformFailures, 1)
		return Published{}, err
	}
	p.Store.ReadPlatform(key)
	if published.Revision != after {
		p.offer(key, published)
	}
	return published, nil
}

func (p *Publications) offerList(published Published) (bool, error) {
	if list, ok := published.List.Get(); ok {
		return p.Store.TakeInstanceList(list), nil
	}
	return p.Store.OfferInstanceList(published.Raw)
}

// Refresh reads all values at once.
func (p *Publications) Refresh(ctx context.Context) error {
	var group errgroup.Group
	for _, key := range []string{KeyConfiguration, KeyInstances} {
		group.Go(func() error {
			_, err := p.read(ctx, key, 0, 0)
			return err
		})
	}
	return group.Wait()
}

func (p *Publications) offer(key string, published Published) {
	var taken bool
	var err error
	if key == KeyConfiguration {
		taken, err = p.Store.OfferConfiguration(published.Raw, "platform")
	} else {
		taken, err = p.offerList(published)
	}
	if err != nil {
		p.Log.Error(err, "published value refused", "key", key, "revision", published.Revision)
		return
	}
	p.Log.V(1).Info("published value read", "key", key, "revision", published.Revision, "newer", taken)
}
