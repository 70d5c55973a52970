package core

import (
	"fmt"
	"sync"
)

// maxRefusals is how many refused configurations are kept for operators.
const maxRefusals = 20

// Decoder decodes published documents. Its errors name the field, the invalid value
// and the allowed values.
type Decoder interface {
	Configuration(raw []byte) (Configuration, error)
	InstanceList(raw []byte) (InstanceList, error)
	// EncodeInstanceList returns a document that InstanceList decodes to the same list.
	EncodeInstanceList(list InstanceList) ([]byte, error)
}

// Refusal is a published configuration that was invalid or in conflict with another
// one. Version and Digest are set only for a conflict.
type Refusal struct {
	At      Millis
	Source  string
	Version uint64
	Digest  string
	Reason  string
}

// InForce is the configuration in force.
type InForce struct {
	Configuration Configuration
	// Since is when it was put in force.
	Since Millis
	// Source is where it was received from: the platform or a peer.
	Source string
}

// Store holds the configuration in force and the newest instance list. Neither is
// ever replaced by an older one.
type Store struct {
	clock    Clock
	decoder  Decoder
	counters *Counters

	mu      sync.RWMutex
	inForce Option[InForce]
	list    InstanceList
	// ownReadPending is set while lists of peers are held back. heldList is the newest of them.
	ownReadPending  bool
	heldList        InstanceList
	refusals        []Refusal
	conflicts       int
	platformHeardAt Millis
	// listReadAt is when this instance last read the instance list from the platform.
	listReadAt Millis
	// lastReadFailed is set after a failed read of the platform, until the instance
	// list is read again.
	lastReadFailed bool
	onConfig       []func(Configuration)
	onList         []func(InstanceList)
	subscribers    []chan struct{}
}

// NewStore returns a store without a configuration or an instance list.
func NewStore(clock Clock, decoder Decoder, counters *Counters) *Store {
	return &Store{clock: clock, decoder: decoder, counters: counters}
}

// OnConfiguration registers a function that is called with each configuration when it is
// put in force. Functions are called in the order of their registration. OnConfiguration
// must be called before the first UpdateConfiguration.
func (s *Store) OnConfiguration(apply func(Configuration)) {
	s.onConfig = append(s.onConfig, apply)
}

// OnInstanceList registers a function that is called with each newer instance list. It
// must be called before the first list is stored.
func (s *Store) OnInstanceList(apply func(InstanceList)) {
	s.onList = append(s.onList, apply)
}

// Subscribe returns a channel that is signalled after each change of the configuration
// or the instance list.
func (s *Store) Subscribe() <-chan struct{} {
	s.mu.Lock()
	defer s.mu.Unlock()
	subscriber := make(chan struct{}, 1)
	s.subscribers = append(s.subscribers, subscriber)
	return subscriber
}

// UpdateConfiguration puts a published configuration in force if it is valid and
// newer than the current one. It reports whether it did so. It returns an error if the
// configuration is invalid.
func (s *Store) UpdateConfiguration(raw []byte, source string) (bool, error) {
	candidate, err := s.decoder.Configuration(raw)
	if err != nil {
		s.recordRefusal(Refusal{Source: source, Reason: err.Error()})
		return false, fmt.Errorf("configuration from %s refused: %w", source, err)
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	current, some := s.inForce.Get()
	if some && candidate.Version == current.Configuration.Version &&
		candidate.Digest != current.Configuration.Digest {
		s.recordConflict(candidate, current.Configuration, source)
	}
	if some && !candidate.Newer(current.Configuration) {
		return false, nil
	}
	s.inForce = Some(InForce{Configuration: candidate, Since: s.clock.Now(), Source: source})
	s.counters.Add(CountConfigurationsAccepted, 1)
	for _, apply := range s.onConfig {
		apply(candidate)
	}
	s.notifySubscribers()
	return true, nil
}

// recordConflict records that two different configurations have the same version. The
// caller holds the lock.
func (s *Store) recordConflict(candidate, current Configuration, source string) {
	s.conflicts++
	s.counters.Add(CountConfigurationConflicts, 1)
	kept := current
	if candidate.Newer(current) {
		kept = candidate
	}
	s.appendRefusal(Refusal{
		Source:  source,
		Version: candidate.Version,
		Digest:  candidate.Digest,
		Reason: fmt.Sprintf("two configurations were published as version %d; the one with digest %.12s is kept everywhere",
			candidate.Version, kept.Digest),
	})
}

// recordRefusal records a refused configuration and counts it.
func (s *Store) recordRefusal(refusal Refusal) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.counters.Add(CountConfigurationsRefused, 1)
	s.appendRefusal(refusal)
}

// appendRefusal appends a refusal unless it repeats the last one. It drops the oldest
// beyond maxRefusals. The caller holds the lock.
func (s *Store) appendRefusal(refusal Refusal) {
	last := len(s.refusals) - 1
	if last >= 0 && s.refusals[last].Reason == refusal.Reason && s.refusals[last].Digest == refusal.Digest {
		return
	}
	refusal.At = s.clock.Now()
	s.refusals = append(s.refusals, refusal)
	if len(s.refusals) > maxRefusals {
		s.refusals = s.refusals[1:]
	}
}

// UpdateEncodedInstanceList decodes an instance list and stores it if it is newer. It reports
// whether it was. A list that AwaitOwnRead holds back is stored later.
func (s *Store) UpdateEncodedInstanceList(raw []byte) (bool, error) {
	candidate, err := s.decoder.InstanceList(raw)
	if err != nil {
		s.counters.Add(CountInstanceListsRefused, 1)
		return false, fmt.Errorf("instance list refused: %w", err)
	}
	if s.holdList(candidate) {
		return false, nil
	}
	return s.UpdateInstanceList(candidate), nil
}

// UpdateInstanceList stores an instance list if it is newer, and reports whether it was.
func (s *Store) UpdateInstanceList(candidate InstanceList) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if candidate.Revision <= s.list.Revision {
		return false
	}
	candidate.keepEvacuated(s.list)
	s.list = candidate
	for _, apply := range s.onList {
		apply(candidate)
	}
	s.notifySubscribers()
	return true
}

// EncodedList returns the document of the newest instance list, to be sent to peers.
func (s *Store) EncodedList() ([]byte, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.list.Raw == nil {
		raw, err := s.decoder.EncodeInstanceList(s.list)
		if err != nil {
			return nil, fmt.Errorf("encode instance list: %w", err)
		}
		s.list.Raw = raw
	}
	return s.list.Raw, nil
}

// notifySubscribers signals all subscribers. The caller holds the lock.
func (s *Store) notifySubscribers() {
	for _, subscriber := range s.subscribers {
		select {
		case subscriber <- struct{}{}:
		default:
		}
	}
}

// Current returns the configuration in force, if there is one.
func (s *Store) Current() (InForce, bool) {
	s.mu.RLock()
	defer s.mu.RUnlock()
	return s.inForce.Get()
}

// rawConfiguration returns the document of the configuration in force, or nil if it
// does not have the given version.
func (s *Store) rawConfiguration(version uint64) []byte {
	inForce, _ := s.Current()
	if inForce.Configuration.Version != version {
		return nil
	}
	return inForce.Configuration.Raw
}

// List returns the newest instance list.
func (s *Store) List() InstanceList {
	s.mu.RLock()
	defer s.mu.RUnlock()
	return s.list
}

// RecordPlatformContact records that this instance or a peer had contact with the
// platform age ago.
func (s *Store) RecordPlatformContact(age Millis) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.platformHeardAt = max(s.platformHeardAt, s.clock.Now()-age)
}

// RecordPlatformRead records that this instance has just read a value from the platform.
func (s *Store) RecordPlatformRead(key string) {
	s.RecordPlatformContact(0)
	s.mu.Lock()
	defer s.mu.Unlock()
	if key == KeyInstances {
		s.ownReadPending, s.heldList = false, InstanceList{}
		s.listReadAt = s.clock.Now()
		s.lastReadFailed = false
	}
}

// RecordPlatformFailure records that this instance failed to read a value from the platform. After
// a failed read of the instance list, the list that AwaitOwnRead has held back is stored.
func (s *Store) RecordPlatformFailure(key string) {
	s.mu.Lock()
	s.lastReadFailed = true
	held := s.heldList
	if key == KeyInstances {
		s.ownReadPending, s.heldList = false, InstanceList{}
	}
	s.mu.Unlock()
	if key == KeyInstances && held.Revision > 0 {
		s.UpdateInstanceList(held)
	}
}

// ListReadAge returns how long ago this instance last read the instance list from the
// platform. After a failed read of any value, it returns more than ListMaxAgeMillis until
// the list is read again.
func (s *Store) ListReadAge() Millis {
	s.mu.RLock()
	defer s.mu.RUnlock()
	age := s.clock.Now() - s.listReadAt
	if s.lastReadFailed {
		return max(age, ListMaxAgeMillis+1)
	}
	return age
}

// PlatformAge returns how long ago this instance or one of its peers last had contact
// with the platform.
func (s *Store) PlatformAge() Millis {
	s.mu.RLock()
	defer s.mu.RUnlock()
	return s.clock.Now() - s.platformHeardAt
}

// Refusals returns the last refusals, oldest first, and the total number of conflicts
// between configurations of the same version.
func (s *Store) Refusals() ([]Refusal, int) {
	s.mu.RLock()
	defer s.mu.RUnlock()
	return append([]Refusal(nil), s.refusals...), s.conflicts
}
