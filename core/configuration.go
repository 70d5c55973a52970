package core

import (
	"cmp"
	"slices"
	"strings"
)

// Configuration is what operators publish for one deployment.
type Configuration struct {
	// Version orders configurations; a higher one replaces a lower one.
	Version uint64
	// Digest is the hexadecimal SHA-256 of Raw. Of two configurations of the same
	// version, the one with the higher digest replaces the other.
	Digest string
	// Raw is the published document, passed on to peers unchanged.
	Raw []byte
	// Deployment is the name of the deployment.
	Deployment string
	// MaxInstances is the maximum number of entry instances that run at once. Each
	// may use an equal share of the connections of every upstream.
	MaxInstances int
	Services     []Service
	Collections  []Collection
	Routes       []Route
	Limits       CallerLimits
	// Invalid describes fields that are ignored because they can't be read.
	Invalid []string
}

// CallerLimits limits the size of a caller's requests and how long the caller may take.
type CallerLimits struct {
	HeaderBytes   int
	BodyBytes     int
	HeaderTimeout Millis
	IdleTimeout   Millis
}

// Service serves one shard. Its upstreams are replicas of each other.
type Service struct {
	Name string
	// Slots is the number of requests that one upstream runs at once.
	Slots int
	// Connections is the maximum number of connections that one upstream accepts from
	// all instances together.
	Connections int
	// HealthPath is the path of the upstreams' health check. It is empty if they have
	// none.
	HealthPath string
	// ColdStart is how long an upstream is cold after its start, or zero if it is not known.
	ColdStart Millis
	// ColdPerSecond is how many requests a second a cold upstream tolerates, or zero if the
	// service sets no bound.
	ColdPerSecond float64
	Upstreams     []Upstream
}

// Upstream is one replica of a service.
type Upstream struct {
	Name    string
	Address string
	Zone    string
	// Unlisted is set if the upstream is missing from the newest instance list. It is
	// then used only if its service has no other upstream.
	Unlisted bool
}

// Collection is a set of records that is searched as a whole.
type Collection struct {
	Name      string
	Snapshots []Snapshot
	Kinds     []Kind
}

// Snapshot is one version of the index of a collection.
type Snapshot struct {
	// ID orders the snapshots of a collection.
	ID uint64
	// Partitions cover the key space without overlap.
	Partitions []Partition
}

// Partition assigns a key range to a service.
type Partition struct {
	Range   KeyRange
	Service string
}

// Mode is the operation of a request kind.
type Mode string

// The modes of a request kind.
const (
	ModeSearch Mode = "search"
	ModeFetch  Mode = "fetch"
	ModeOrder  Mode = "order"
)

// Kind is a request kind and the rules for its answers.
type Kind struct {
	Name string
	Mode Mode
	// Timeout applies to requests whose caller sets no deadline.
	Timeout Millis
	// CloseAfter is the time after which an answer with at least MinCoverage is sent
	// without waiting for the missing shards. Zero means that it waits until the deadline.
	CloseAfter Millis
	// MinCoverage is the coverage, from 0 to 1, below which an answer is marked as
	// insufficient.
	MinCoverage float64
	// Priority is 0 or higher. Requests of a lower priority are refused first.
	Priority int
}

// Newer reports whether c replaces o: its version is higher, or two operators published
// the same version and its digest is higher.
func (c Configuration) Newer(o Configuration) bool {
	if c.Version != o.Version {
		return c.Version > o.Version
	}
	return c.Digest > o.Digest
}

// Collection returns the collection with the given name.
func (c Configuration) Collection(name string) (Collection, bool) {
	return find(c.Collections, func(o Collection) bool { return o.Name == name })
}

// Service returns the service with the given name.
func (c Configuration) Service(name string) (Service, bool) {
	return find(c.Services, func(s Service) bool { return s.Name == name })
}

// ConnectionsPerInstance returns the number of connections that one instance may open to
// each upstream of s.
func (c Configuration) ConnectionsPerInstance(s Service) int {
	return s.Connections / max(1, c.MaxInstances)
}

// Kind returns the request kind with the given name.
func (c Collection) Kind(name string) (Kind, bool) {
	return find(c.Kinds, func(k Kind) bool { return k.Name == name })
}

// SnapshotsNewestFirst returns the snapshots, newest first.
func (c Collection) SnapshotsNewestFirst() []Snapshot {
	sorted := slices.Clone(c.Snapshots)
	slices.SortFunc(sorted, func(a, b Snapshot) int { return cmp.Compare(b.ID, a.ID) })
	return sorted
}

// Owner returns the service whose partition contains the position in the key space.
func (s Snapshot) Owner(position uint64) (string, bool) {
	p, ok := find(s.Partitions, func(p Partition) bool { return p.Range.Contains(position) })
	return p.Service, ok
}

// find returns the first matching value and whether there is one.
func find[T any](values []T, match func(T) bool) (T, bool) {
	index := slices.IndexFunc(values, match)
	if index < 0 {
		var zero T
		return zero, false
	}
	return values[index], true
}

// InstanceList is the platform's list of live and leaving instances. It may be out of date.
type InstanceList struct {
	// Revision orders the lists; a higher one replaces a lower one.
	Revision Revision
	// Raw is the published document, passed on to peers unchanged.
	Raw     []byte
	Members []Member
	// Invalid describes entries that were left out because they can't be used.
	Invalid []string
	// Evacuated names the availability zones that are evacuated, in ascending order. It is nil if
	// they are unknown, because the instance that read the list did not read them.
	Evacuated []string
}

const (
	// maxInvalidEntries is how many invalid entries an InstanceList describes.
	maxInvalidEntries = 8
	// maxInvalidBytes limits the description of one of them.
	maxInvalidBytes = 300
)

// AddInvalid adds the description of an invalid entry, unless there are many already.
func (l *InstanceList) AddInvalid(err error) {
	if len(l.Invalid) >= maxInvalidEntries {
		return
	}
	text := err.Error()
	l.Invalid = append(l.Invalid, strings.ToValidUTF8(text[:min(len(text), maxInvalidBytes)], "?"))
}

// Role tells entry instances from upstreams.
type Role string

// The roles of an instance.
const (
	RoleEntry    Role = "entry"
	RoleUpstream Role = "upstream"
)

// Member is one instance in the platform's list.
type Member struct {
	Name        string
	Role        Role
	Zone        string
	Address     string
	Incarnation uint64
	Leaving     bool
	// Service and Slots are set only for an upstream that the configuration does not name.
	Service string
	Slots   int
	// SlowStartRemaining is how much longer the upstream will remain cold: it responds slowly and
	// tolerates few requests. It is negative if the entry does not state it in a valid way.
	SlowStartRemaining Millis
}
