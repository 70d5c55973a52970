// Package lab runs whole deployments as separate processes on loopback: entry
// instances, upstream stand-ins, the platform stand-in and a relay that cuts.
package lab

import (
	"encoding/json"
	"fmt"
	"strconv"
)

// Group is a collection over services of one kind.
type Group struct {
	Collection  string
	Services    int
	Replicas    int
	Slots       int
	Connections int
	Kinds       []KindFile
}

// Deployment is one user's deployment.
type Deployment struct {
	Name   string
	Zones  []string
	Groups []Group
	// InstancesPerZone is how many entry instances each zone has.
	InstancesPerZone int
	// MaxInstances leaves room for instances that are being replaced.
	MaxInstances int
}

const twoInstancesPerZone = 2

// HuronBay returns the deployment of Huron Bay Tag & Label Works at its full size.
func HuronBay() Deployment {
	return Deployment{
		Name:             "huron-bay",
		Zones:            []string{"saginaw", "toledo", "erie"},
		InstancesPerZone: twoInstancesPerZone,
		MaxInstances:     12,
		Groups: []Group{
			{Collection: "talker-desk", Services: 20, Replicas: 2, Slots: 2, Connections: 25, Kinds: []KindFile{
				{Name: "price-lookup", Mode: "search", TimeoutMillis: 400, CloseAfterMillis: 150, LeastCoverage: 0.95, Priority: 2},
			}},
			{Collection: "ledger-bridge", Services: 30, Replicas: 2, Slots: 2, Connections: 25, Kinds: []KindFile{
				{Name: "promo-match", Mode: "search", TimeoutMillis: 600, CloseAfterMillis: 250, LeastCoverage: 0.95, Priority: 1},
			}},
			{Collection: "prepress-desk", Services: 1, Replicas: 3, Slots: 6, Connections: 100, Kinds: []KindFile{
				{Name: "proof-fetch", Mode: "fetch", TimeoutMillis: 3000, LeastCoverage: 1, Priority: 0},
			}},
			{Collection: "route-board", Services: 1, Replicas: 3, Slots: 6, Connections: 100, Kinds: []KindFile{
				{Name: "talker-order", Mode: "order", TimeoutMillis: 3000, LeastCoverage: 1, Priority: 2},
			}},
		},
	}
}

// Bokveld returns the deployment of Bokveld Kode at its full size.
func Bokveld() Deployment {
	return Deployment{
		Name:             "bokveld",
		Zones:            []string{"wkaap-a", "wkaap-b", "wkaap-c"},
		InstancesPerZone: twoInstancesPerZone,
		MaxInstances:     12,
		Groups: []Group{
			{Collection: "toonbank", Services: 20, Replicas: 2, Slots: 2, Connections: 25, Kinds: []KindFile{
				{Name: "stock-search", Mode: "search", TimeoutMillis: 1000, LeastCoverage: 1, Priority: 2},
			}},
			{Collection: "voorman", Services: 30, Replicas: 2, Slots: 2, Connections: 25, Kinds: []KindFile{
				{Name: "open-bookings", Mode: "search", TimeoutMillis: 1000, LeastCoverage: 1, Priority: 2},
				{Name: "billing-run", Mode: "search", TimeoutMillis: 30000, LeastCoverage: 1, Priority: 0},
			}},
			{Collection: "rekening", Services: 1, Replicas: 3, Slots: 6, Connections: 50, Kinds: []KindFile{
				{Name: "hire-line", Mode: "order", TimeoutMillis: 3000, LeastCoverage: 1, Priority: 2},
			}},
			{Collection: "herstel", Services: 1, Replicas: 3, Slots: 6, Connections: 50, Kinds: []KindFile{
				{Name: "repair-fetch", Mode: "fetch", TimeoutMillis: 3000, LeastCoverage: 1, Priority: 1},
			}},
		},
	}
}

// Small returns a deployment for tests: a searched collection of the given
// number of services, one record store and one order book.
func Small(services int) Deployment {
	return Deployment{
		Name:             "small",
		Zones:            []string{"north", "south", "east"},
		InstancesPerZone: 1,
		MaxInstances:     6,
		Groups: []Group{
			{Collection: "items", Services: services, Replicas: 2, Slots: 2, Connections: 24, Kinds: []KindFile{
				{Name: "find", Mode: "search", TimeoutMillis: 1000, LeastCoverage: 1, Priority: 2},
				{Name: "get", Mode: "fetch", TimeoutMillis: 1000, LeastCoverage: 1, Priority: 1},
			}},
			{Collection: "book", Services: 1, Replicas: 3, Slots: 6, Connections: 48, Kinds: []KindFile{
				{Name: "order", Mode: "order", TimeoutMillis: 1500, LeastCoverage: 1, Priority: 2},
			}},
		},
	}
}

// ConfigurationFile is a published configuration.
type ConfigurationFile struct {
	Version      uint64           `json:"version"`
	Deployment   string           `json:"deployment"`
	MaxInstances int              `json:"maxInstances"`
	Services     []ServiceFile    `json:"services"`
	Collections  []CollectionFile `json:"collections"`
}

// ServiceFile is a service in a published configuration.
type ServiceFile struct {
	Name        string         `json:"name"`
	Slots       int            `json:"slots"`
	Connections int            `json:"connections"`
	Upstreams   []UpstreamFile `json:"upstreams"`
}

// UpstreamFile is an upstream in a published configuration.
type UpstreamFile struct {
	Name    string `json:"name"`
	Address string `json:"address"`
	Zone    string `json:"zone"`
}

// CollectionFile is a collection in a published configuration.
type CollectionFile struct {
	Name      string         `json:"name"`
	Snapshots []SnapshotFile `json:"snapshots"`
	Kinds     []KindFile     `json:"kinds"`
}

// SnapshotFile is a snapshot in a published configuration.
type SnapshotFile struct {
	ID         uint64          `json:"id"`
	Partitions []PartitionFile `json:"partitions"`
}

// PartitionFile is a partition in a published configuration.
type PartitionFile struct {
	Start   uint64 `json:"start"`
	End     uint64 `json:"end"`
	Service string `json:"service"`
}

// KindFile is a request kind in a published configuration.
type KindFile struct {
	Name             string  `json:"name"`
	Mode             string  `json:"mode"`
	TimeoutMillis    int64   `json:"timeoutMillis"`
	CloseAfterMillis int64   `json:"closeAfterMillis,omitempty"`
	LeastCoverage    float64 `json:"leastCoverage"`
	Priority         int     `json:"priority"`
}

const (
	keySpace          = uint64(1) << 32
	firstUpstreamPort = 8000
)

// Configuration returns the deployment's configuration with its upstreams at the
// given IP number. Each collection has the snapshots 1 to snapshots.
func (d Deployment) Configuration(ip string, version uint64, snapshots int) ConfigurationFile {
	file := ConfigurationFile{Version: version, Deployment: d.Name, MaxInstances: d.MaxInstances}
	port := firstUpstreamPort
	for _, group := range d.Groups {
		var names []string
		for i := range group.Services {
			service := ServiceFile{
				Name:        fmt.Sprintf("%s-%02d", group.Collection, i+1),
				Slots:       group.Slots,
				Connections: group.Connections,
			}
			for j := range group.Replicas {
				service.Upstreams = append(service.Upstreams, UpstreamFile{
					Name:    service.Name + string(rune('a'+j)),
					Address: ip + ":" + strconv.Itoa(port),
					Zone:    d.Zones[(i+j)%len(d.Zones)],
				})
				port++
			}
			names = append(names, service.Name)
			file.Services = append(file.Services, service)
		}
		collection := CollectionFile{Name: group.Collection, Kinds: group.Kinds}
		for id := range snapshots {
			collection.Snapshots = append(collection.Snapshots, SnapshotFile{
				ID:         uint64(id + 1),
				Partitions: evenPartitions(names),
			})
		}
		file.Collections = append(file.Collections, collection)
	}
	return file
}

func evenPartitions(services []string) []PartitionFile {
	var partitions []PartitionFile
	count := uint64(len(services))
	for i, service := range services {
		partitions = append(partitions, PartitionFile{
			Start:   keySpace * uint64(i) / count,
			End:     keySpace * uint64(i+1) / count,
			Service: service,
		})
	}
	return partitions
}

// JSON returns the document as operators publish it.
func (f ConfigurationFile) JSON() []byte {
	raw, err := json.MarshalIndent(f, "", " ")
	if err != nil {
		panic(err)
	}
	return append(raw, '\n')
}

// SettingsFile is the settings file of an entry instance.
type SettingsFile struct {
	Instance          string      `json:"instance"`
	Zone              string      `json:"zone"`
	CallerAddress     string      `json:"callerAddress"`
	PeerAddress       string      `json:"peerAddress"`
	OperatorAddress   string      `json:"operatorAddress"`
	ListenPeerAddress string      `json:"listenPeerAddress,omitempty"`
	PlatformAddress   string      `json:"platformAddress"`
	SourceAddress     string      `json:"sourceAddress,omitempty"`
	Peers             []string    `json:"peers"`
	DrainMillis       int64       `json:"drainMillis"`
	LogLevel          string      `json:"logLevel"`
	Policy            *PolicyFile `json:"policy,omitempty"`
}

// PolicyFile switches parts of the policy off.
type PolicyFile struct {
	NoHedge       bool `json:"noHedge,omitempty"`
	NoEarlyClose  bool `json:"noEarlyClose,omitempty"`
	RandomReplica bool `json:"randomReplica,omitempty"`
	NoGate        bool `json:"noGate,omitempty"`
}

// InstancesFile is the platform's list of instances.
type InstancesFile struct {
	Revision  uint64       `json:"revision"`
	Instances []MemberFile `json:"instances"`
}

// MemberFile is an instance in the platform's list.
type MemberFile struct {
	Name        string `json:"name"`
	Role        string `json:"role"`
	Zone        string `json:"zone"`
	Address     string `json:"address"`
	Incarnation uint64 `json:"incarnation,omitempty"`
	State       string `json:"state"`
}
