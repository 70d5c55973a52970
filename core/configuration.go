package core

import (
	"cmp"
	"slices"
)

// Configuration is what operators publish for one deployment.
type Configuration struct {
	// Version orders configurations; a higher one replaces a lower one.
	Version uint64
	// Digest is the hexadecimal SHA-256 of Raw. It decides between two
	// configurations of the same version.
	Digest string
	// Raw is the published document, passed on to peers unchanged.
	Raw []byte
	// Deployment names the user's deployment.
	Deployment string
	// MaxInstances is the most entry instances that ever run at once. Each
	// takes an equal share of the connections of every upstream.
	MaxInstances int
	Services     []Service
	Collections  []Collection
	Routes       []Route
	Limits       CallerLimits
}

// CallerLimits bound what a caller may send, and how long it may take.
type CallerLimits struct {
	HeaderBytes   int
	BodyBytes     int
	HeaderTimeout Millis
	IdleTimeout   Millis
}

// Service is one shard server with its replicas.
type Service struct {
	Name string
	// Slots is how many requests one upstream runs at once.
	Slots int
	// Connections is the most connections that one upstream accepts from all instances.
	Connections int
	// HealthPath is where an upstream says whether it is healthy, if there is one.
	HealthPath string
	Upstreams  []Upstream
}

// Upstream is one replica of a service.
type Upstream struct {
	Name    string
	Address string
	Zone    string
	// Unlisted upstreams are missing from the newest instance list. They are
	// used only where their service has no other.
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

// Mode is what a request kind does.
type Mode string

// The modes of a request kind.
const (
	ModeSearch Mode = "search"
	ModeFetch  Mode = "fetch"
	ModeOrder  Mode = "order"
)

// Kind is a request kind with its answer policy.
type Kind struct {
	Name string
	Mode Mode
	// Timeout is the deadline of a request whose caller sets none.
	Timeout Millis
	// CloseAfter is when an answer that has LeastCoverage is closed although
	// shards are still missing. Zero waits until the deadline.
	CloseAfter Millis
	// LeastCoverage is the coverage, from 0 to 1, below which an answer is
	// marked as insufficient.
	LeastCoverage float64
	// Priority is 0 for the lowest; requests of a lower priority are refused first.
	Priority int
}

// Newer reports whether c replaces o: by version, and by digest where two
// operators published the same version.
func (c Configuration) Newer(o Configuration) bool {
	if c.Version != o.Version {
		return c.Version > o.Version
	}
	return c.Digest > o.Digest
}

// Collection returns the collection of that name.
func (c Configuration) Collection(name string) (Collection, bool) {
	return find(c.Collections, func(o Collection) bool { return o.Name == name })
}

// Service returns the service of that name.
func (c Configuration) Service(name string) (Service, bool) {
	return find(c.Services, func(s Service) bool { return s.Name == name })
}

// Share returns how many connections one instance may open to each upstream of s.
func (c Configuration) Share(s Service) int {
	return s.Connections / max(1, c.MaxInstances)
}

// Kind returns the request kind of that name.
func (c Collection) Kind(name string) (Kind, bool) {
	return find(c.Kinds, func(k Kind) bool { return k.Name == name })
}

// Newest returns the snapshots, newest first.
func (c Collection) Newest() []Snapshot {
	sorted := slices.Clone(c.Snapshots)
	slices.SortFunc(sorted, func(a, b Snapshot) int { return cmp.Compare(b.ID, a.ID) })
	return sorted
}

// Owner returns the service that holds the position in this snapshot.
func (s Snapshot) Owner(position uint64) (string, bool) {
	p, ok := find(s.Partitions, func(p Partition) bool { return p.Range.Contains(position) })
	return p.Service, ok
}

func find[T any](values []T, match func(T) bool) (T, bool) {
	index := slices.IndexFunc(values, match)
	if index < 0 {
		var zero T
		return zero, false
	}
	return values[index], true
}

// InstanceList is the platform's list of live and leaving instances. It lags.
type InstanceList struct {
	// Revision orders the lists; a higher one replaces a lower one.
	Revision uint64
	// Raw is the published document, passed on to peers unchanged.
	Raw     []byte
	Members []Member
}

// Role is what an instance in the list does.
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
	// Service and Slots are set for an upstream that the configuration does not name.
	Service string
	Slots   int
	// Cold is how much longer an upstream is slow after its start.
	Cold Millis
}
