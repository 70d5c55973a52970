package core

import (
	"fmt"
	"sync"
)

// maxRefusals is how many refused configurations are kept for operators.
const maxRefusals = 20

// Decoder turns published documents into domain values. Its errors name the
// field, the value and what is allowed.
type Decoder interface {
	Configuration(raw []byte) (Configuration, error)
	InstanceList(raw []byte) (InstanceList, error)
	// EncodeInstanceList returns a document that InstanceList reads.
	EncodeInstanceList(list InstanceList) ([]byte, error)
}

// Refusal is a published configuration that was not put in force.
type Refusal struct {
	At      Millis
	Source  string
	Version uint64
	Digest  string
	Reason  string
}

// InForce is the configuration in force with how it came to be so.
type InForce struct {
	Configuration Configuration
	Since         Millis
	Source        string
}

// Store holds what operators published: the configuration in force and the
// newest instance list. Both only move upwards.
type Store struct {
	clock    Clock
	decoder  Decoder
	counters *Counters

	mu         sync.RWMutex
	inForce    Option[InForce]
	list       InstanceList
	refusals   []Refusal
	conflicts  int
	heardAt    Millis
	listReadAt Millis
	missed     bool
	onConfig   []func(Configuration)
	onList     []func(InstanceList)
	wake       []chan struct{}
}

// NewStore returns a store with nothing in force.
func NewStore(clock Clock, decoder Decoder, counters *Counters) *Store {
	return &Store{clock: clock, decoder: decoder, counters: counters}
}

// OnConfiguration registers a function that is called, in order, with each
// configuration put in force. It must be called before the first offer.
func (s *Store) OnConfiguration(apply func(Configuration)) {
	s.onConfig = append(s.onConfig, apply)
}

// OnInstanceList registers a function that is called with each newer list.
func (s *Store) OnInstanceList(apply func(InstanceList)) {
	s.onList = append(s.onList, apply)
}

// Subscribe returns a channel that signals after each change.
func (s *Store) Subscribe() <-chan struct{} {
	s.mu.Lock()
	defer s.mu.Unlock()
	wake := make(chan struct{}, 1)
	s.wake = append(s.wake, wake)
	return wake
}

// OfferConfiguration puts a published configuration in force if it is valid and
// newer. It reports whether it did; an error says why it was refused.
func (s *Store) OfferConfiguration(raw []byte, source string) (bool, error) {
	candidate, err := s.decoder.Configuration(raw)
	if err != nil {
		s.refuse(Refusal{Source: source, Reason: err.Error()})
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
	s.signal()
	return true, nil
}

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

func (s *Store) refuse(refusal Refusal) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.counters.Add(CountConfigurationsRefused, 1)
	s.appendRefusal(refusal)
}

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

// OfferInstanceList takes in a newer instance list.
func (s *Store) OfferInstanceList(raw []byte) (bool, error) {
	candidate, err := s.decoder.InstanceList(raw)
	if err != nil {
		s.counters.Add(CountListsRefused, 1)
		return false, fmt.Errorf("instance list refused: %w", err)
	}
	return s.TakeInstanceList(candidate), nil
}

// TakeInstanceList takes in a list if it is newer, and reports whether it was.
func (s *Store) TakeInstanceList(candidate InstanceList) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if candidate.Revision <= s.list.Revision {
		return false
	}
	s.list = candidate
	for _, apply := range s.onList {
		apply(candidate)
	}
	s.signal()
	return true
}

// EncodedList returns the newest instance list as a document for peers.
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

func (s *Store) signal() {
	for _, wake := range s.wake {
		select {
		case wake <- struct{}{}:
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

// rawConfiguration returns the document of the configuration in force if it has the
// given version.
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

// HeardPlatform records that the platform, or a peer that had heard from it
// age ago, was heard now.
func (s *Store) HeardPlatform(age Millis) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.heardAt = max(s.heardAt, s.clock.Now()-age)
}

// ReadPlatform records that this instance has read a value of the platform now.
func (s *Store) ReadPlatform(key string) {
	s.HeardPlatform(0)
	s.mu.Lock()
	defer s.mu.Unlock()
	if key == KeyInstances {
		s.listReadAt = s.clock.Now()
		s.missed = false
	}
}

// MissPlatform records that this instance could not read the platform.
func (s *Store) MissPlatform() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.missed = true
}

// ListReadAge returns how long ago this instance last read the instance list itself. After
// a failed read it is more than ListSilenceMillis.
func (s *Store) ListReadAge() Millis {
	s.mu.RLock()
	defer s.mu.RUnlock()
	age := s.clock.Now() - s.listReadAt
	if s.missed {
		return max(age, ListSilenceMillis+1)
	}
	return age
}

// PlatformAge returns how long ago the platform was last heard, directly or
// through peers.
func (s *Store) PlatformAge() Millis {
	s.mu.RLock()
	defer s.mu.RUnlock()
	return s.clock.Now() - s.heardAt
}

// Refusals returns the last refused configurations, oldest first, and how many
// conflicts between operators were seen.
func (s *Store) Refusals() ([]Refusal, int) {
	s.mu.RLock()
	defer s.mu.RUnlock()
	return append([]Refusal(nil), s.refusals...), s.conflicts
}
