// Package lab runs whole deployments as separate processes on loopback: entry
// instances, simulated upstreams and a simulated platform (the stand-ins), and
// a relay that can isolate zones.
package lab

import (
	"encoding/json"
	"fmt"
	"strconv"
)

// Group describes a collection and its services, which all have the same number of
// replicas, slots and connections.
type Group struct {
	Collection  string
	Services    int
	Replicas    int
	Slots       int
	Connections int
	Kinds       []KindConfig
}

// Deployment describes the deployment of an organisation.
type Deployment struct {
	Name   string
	Zones  []string
	Groups []Group
	// InstancesPerZone is the number of entry instances in each zone.
	InstancesPerZone int
	// MaxInstances is the largest number of entry instances. It leaves room for instances
	// that are being replaced.
	MaxInstances int
}

const fullSizeInstancesPerZone = 2

// HuronBay returns the full-size deployment of Huron Bay Tag & Label Works.
func HuronBay() Deployment {
	return Deployment{
		Name:             "huron-bay",
		Zones:            []string{"saginaw", "toledo", "erie"},
		InstancesPerZone: fullSizeInstancesPerZone,
		MaxInstances:     12,
		Groups: []Group{
			{Collection: "talker-desk", Services: 20, Replicas: 2, Slots: 2, Connections: 25, Kinds: []KindConfig{
				{Name: "price-lookup", Mode: "search", TimeoutMillis: 400, CloseAfterMillis: 150, MinCoverage: 0.95, Priority: 2},
			}},
			{Collection: "ledger-bridge", Services: 30, Replicas: 2, Slots: 2, Connections: 25, Kinds: []KindConfig{
				{Name: "promo-match", Mode: "search", TimeoutMillis: 600, CloseAfterMillis: 250, MinCoverage: 0.95, Priority: 1},
			}},
			{Collection: "prepress-desk", Services: 1, Replicas: 3, Slots: 6, Connections: 100, Kinds: []KindConfig{
				{Name: "proof-fetch", Mode: "fetch", TimeoutMillis: 3000, MinCoverage: 1, Priority: 0},
			}},
			{Collection: "route-board", Services: 1, Replicas: 3, Slots: 6, Connections: 100, Kinds: []KindConfig{
				{Name: "talker-order", Mode: "order", TimeoutMillis: 3000, MinCoverage: 1, Priority: 2},
			}},
		},
	}
}

// Bokveld returns the full-size deployment of Bokveld Kode.
func Bokveld() Deployment {
	return Deployment{
		Name:             "bokveld",
		Zones:            []string{"wkaap-a", "wkaap-b", "wkaap-c"},
		InstancesPerZone: fullSizeInstancesPerZone,
		MaxInstances:     12,
		Groups: []Group{
			{Collection: "toonbank", Services: 20, Replicas: 2, Slots: 2, Connections: 25, Kinds: []KindConfig{
				{Name: "stock-search", Mode: "search", TimeoutMillis: 1000, MinCoverage: 1, Priority: 2},
			}},
			{Collection: "voorman", Services: 30, Replicas: 2, Slots: 2, Connections: 25, Kinds: []KindConfig{
				{Name: "open-bookings", Mode: "search", TimeoutMillis: 1000, MinCoverage: 1, Priority: 2},
				{Name: "billing-run", Mode: "search", TimeoutMillis: 30000, MinCoverage: 1, Priority: 0},
			}},
			{Collection: "rekening", Services: 1, Replicas: 3, Slots: 6, Connections: 50, Kinds: []KindConfig{
				{Name: "hire-line", Mode: "order", TimeoutMillis: 3000, MinCoverage: 1, Priority: 2},
			}},
			{Collection: "herstel", Services: 1, Replicas: 3, Slots: 6, Connections: 50, Kinds: []KindConfig{
				{Name: "repair-fetch", Mode: "fetch", TimeoutMillis: 3000, MinCoverage: 1, Priority: 1},
			}},
		},
	}
}

// Small returns a deployment for tests. The collection items has the given number of
// services and takes searches and fetches; the collection book takes orders.
func Small(services int) Deployment {
	return Deployment{
		Name:             "small",
		Zones:            []string{"north", "south", "east"},
		InstancesPerZone: 1,
		MaxInstances:     6,
		Groups: []Group{
			{Collection: "items", Services: services, Replicas: 2, Slots: 2, Connections: 24, Kinds: []KindConfig{
				{Name: "find", Mode: "search", TimeoutMillis: 1000, MinCoverage: 1, Priority: 2},
				{Name: "get", Mode: "fetch", TimeoutMillis: 1000, MinCoverage: 1, Priority: 1},
			}},
			{Collection: "book", Services: 1, Replicas: 3, Slots: 6, Connections: 48, Kinds: []KindConfig{
				{Name: "order", Mode: "order", TimeoutMillis: 1500, MinCoverage: 1, Priority: 2},
			}},
		},
	}
}

// ConfigurationFile is a published configuration.
type ConfigurationFile struct {
	Version      uint64             `json:"version"`
	Deployment   string             `json:"deployment"`
	MaxInstances int                `json:"maxInstances"`
	Services     []ServiceConfig    `json:"services"`
	Collections  []CollectionConfig `json:"collections"`
}

// ServiceConfig is a service in a published configuration.
type ServiceConfig struct {
	Name        string           `json:"name"`
	Slots       int              `json:"slots"`
	Connections int              `json:"connections"`
	Upstreams   []UpstreamConfig `json:"upstreams"`
}

// UpstreamConfig is an upstream in a published configuration.
type UpstreamConfig struct {
	Name    string `json:"name"`
	Address string `json:"address"`
	Zone    string `json:"zone"`
}

// CollectionConfig is a collection in a published configuration.
type CollectionConfig struct {
	Name      string           `json:"name"`
	Snapshots []SnapshotConfig `json:"snapshots"`
	Kinds     []KindConfig     `json:"kinds"`
}

// SnapshotConfig is a snapshot in a published configuration.
type SnapshotConfig struct {
	ID         uint64            `json:"id"`
	Partitions []PartitionConfig `json:"partitions"`
}

// PartitionConfig is a partition in a published configuration.
type PartitionConfig struct {
	Start   uint64 `json:"start"`
	End     uint64 `json:"end"`
	Service string `json:"service"`
}

// KindConfig is a request kind in a published configuration.
type KindConfig struct {
	Name             string  `json:"name"`
	Mode             string  `json:"mode"`
	TimeoutMillis    int64   `json:"timeoutMillis"`
	CloseAfterMillis int64   `json:"closeAfterMillis,omitempty"`
	MinCoverage      float64 `json:"leastCoverage"`
	Priority         int     `json:"priority"`
}

const (
	keySpace          = uint64(1) << 32
	firstUpstreamPort = 8000
)

// Configuration returns the deployment's configuration with its upstreams at the given
// IP address. Each collection has snapshots with the IDs 1 to snapshots.
func (d Deployment) Configuration(ip string, version uint64, snapshots int) ConfigurationFile {
	file := ConfigurationFile{Version: version, Deployment: d.Name, MaxInstances: d.MaxInstances}
	port := firstUpstreamPort
	for _, group := range d.Groups {
		var names []string
		for i := range group.Services {
			service := ServiceConfig{
				Name:        fmt.Sprintf("%s-%02d", group.Collection, i+1),
				Slots:       group.Slots,
				Connections: group.Connections,
			}
			for j := range group.Replicas {
				service.Upstreams = append(service.Upstreams, UpstreamConfig{
					Name:    service.Name + string(rune('a'+j)),
					Address: ip + ":" + strconv.Itoa(port),
					Zone:    d.Zones[(i+j)%len(d.Zones)],
				})
				port++
			}
			names = append(names, service.Name)
			file.Services = append(file.Services, service)
		}
		collection := CollectionConfig{Name: group.Collection, Kinds: group.Kinds}
		for id := range snapshots {
			collection.Snapshots = append(collection.Snapshots, SnapshotConfig{
				ID:         uint64(id + 1),
				Partitions: evenPartitions(names),
			})
		}
		file.Collections = append(file.Collections, collection)
	}
	return file
}

// evenPartitions divides the key space evenly among the services.
func evenPartitions(services []string) []PartitionConfig {
	var partitions []PartitionConfig
	count := uint64(len(services))
	for i, service := range services {
		partitions = append(partitions, PartitionConfig{
			Start:   keySpace * uint64(i) / count,
			End:     keySpace * uint64(i+1) / count,
			Service: service,
		})
	}
	return partitions
}

// JSON returns the configuration as operators publish it.
func (f ConfigurationFile) JSON() []byte {
	raw, err := json.MarshalIndent(f, "", " ")
	if err != nil {
		panic(err)
	}
	return append(raw, '\n')
}

// SettingsFile is the settings file of an entry instance.
type SettingsFile struct {
	Instance          string          `json:"instance"`
	Zone              string          `json:"zone"`
	CallerAddress     string          `json:"callerAddress"`
	PeerAddress       string          `json:"peerAddress"`
	OperatorAddress   string          `json:"operatorAddress"`
	ListenPeerAddress string          `json:"listenPeerAddress,omitempty"`
	PlatformAddress   string          `json:"platformAddress"`
	SourceAddress     string          `json:"sourceAddress,omitempty"`
	Peers             []string        `json:"peers"`
	DrainMillis       int64           `json:"drainMillis"`
	MemoryMegabytes   int             `json:"memoryMegabytes,omitempty"`
	LogLevel          string          `json:"logLevel"`
	Policy            *PolicySettings `json:"policy,omitempty"`
}

// PolicySettings is the policy section of a settings file. Each field disables one mechanism.
type PolicySettings struct {
	NoHedge       bool `json:"noHedge,omitempty"`
	NoEarlyClose  bool `json:"noEarlyClose,omitempty"`
	RandomReplica bool `json:"randomReplica,omitempty"`
	NoGate        bool `json:"noGate,omitempty"`
}

// InstancesFile is the platform's list of instances.
type InstancesFile struct {
	Revision  uint64           `json:"revision"`
	Instances []ListedInstance `json:"instances"`
}

// ListedInstance is an instance in the platform's list of instances.
type ListedInstance struct {
	Name        string `json:"name"`
	Role        string `json:"role"`
	Zone        string `json:"zone"`
	Address     string `json:"address"`
	Incarnation uint64 `json:"incarnation,omitempty"`
	State       string `json:"state"`
}
