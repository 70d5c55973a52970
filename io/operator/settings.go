package operator

import (
	"errors"
	"fmt"

	"acaciavane/core"
	"acaciavane/io/jsondoc"
)

// ErrInvalidSettings means that a settings file is malformed or has invalid values.
var ErrInvalidSettings = errors.New("invalid settings")

// Defaults and bounds of settings.
const (
	defaultDrainMillis = 3 * core.Second
	maxDrainMillis     = 5 * core.Minute
	// defaultConfigurationMillis is the time within which users currently require a
	// published configuration to be in force.
	defaultConfigurationMillis = 3 * core.Second
	minConfigurationMillis     = core.Second
)

// Interface is the protocol that an instance uses with callers and upstreams.
type Interface string

// The interfaces of an instance.
const (
	// InterfaceCollections is the project's own protocol, with queries on collections.
	InterfaceCollections Interface = "collections"
	// InterfaceRoutes is the protocol of the users' platform: opaque requests are forwarded
	// along routes.
	InterfaceRoutes Interface = "routes"
)

// Settings are the contents of the settings file of one process.
type Settings struct {
	Instance string
	Zone     string
	// CallerAddress, PeerAddress and OperatorAddress are the addresses on which the process
	// listens for callers, peers and operators.
	CallerAddress string
	PeerAddress   string
	// ListenPeerAddress is the address on which the process listens for peers instead of
	// PeerAddress. The two differ if peers reach the instance through a proxy or a forwarded
	// port.
	ListenPeerAddress string
	OperatorAddress   string
	PlatformAddress   string
	// SourceAddress is the local IP address of outgoing connections. If it is empty, the
	// operating system chooses one.
	SourceAddress string
	// Peers are the peer addresses of other instances, which are contacted at startup.
	Peers []string
	// Drain is how long a stopping instance continues to serve requests, so that the load
	// balancer notices that it is no longer ready.
	Drain core.Millis
	// StopTimeout is how long a planned stop may take, including Drain, before the process is
	// killed.
	StopTimeout core.Millis
	Interface   Interface
	// ReadyAddress is the address on which the process listens for readiness checks of the
	// load balancer, for InterfaceRoutes.
	ReadyAddress string
	// MaxConfigurationDelay is the time within which a published configuration must be in
	// force.
	MaxConfigurationDelay core.Millis
	// RetryBudget is the limit on repeated requests to upstreams, for InterfaceRoutes.
	RetryBudget core.RetryBudgetLimit
	// GatherInZones lets other instances, in this and in other availability zones, gather
	// shards of a query, for InterfaceRoutes.
	GatherInZones bool
	// FirstStart is set if all instances are being started for the first time, for
	// InterfaceRoutes.
	FirstStart bool
	// EvacuationDelay is the time within which requests to the upstreams of an evacuated zone must
	// cease, for InterfaceRoutes. If it is 0, evacuations are not in force and not read.
	EvacuationDelay core.Millis
	// Capacity is the processor capacity of the instance, in thousandths of a standard core.
	Capacity int
	// MemoryBytes is how much memory the instance may use, or 0 if the settings set no limit.
	MemoryBytes int64
	// ColdBound is the bound on the requests to cold upstreams, for InterfaceRoutes, if one is in
	// force.
	ColdBound core.Option[core.ColdBound]
	// FileDescriptors is how many file descriptors the process may open, or 0 if the settings
	// set no limit.
	FileDescriptors int
	LogLevel        string
	Policy          core.Policy
}

// DecodeSettings decodes the contents of a settings file. Its errors contain the file name.
func DecodeSettings(file string, raw []byte) (Settings, error) {
	root, doc, err := jsondoc.Parse(file, raw)
	if err != nil {
		return Settings{}, fmt.Errorf("%w: %w", ErrInvalidSettings, err)
	}
	settings := Settings{
		Instance:        root.Field("instance").Text(),
		Zone:            root.Field("zone").Text(),
		CallerAddress:   root.Field("callerAddress").Address(),
		PeerAddress:     root.Field("peerAddress").Address(),
		OperatorAddress: root.Field("operatorAddress").Address(),
		PlatformAddress: root.Field("platformAddress").Address(),
		Drain:           core.Millis(root.Field("drainMillis").IntOr(0, int64(maxDrainMillis), int64(defaultDrainMillis))),
		StopTimeout:     core.Millis(root.Field("stopMillis").IntOr(0, int64(core.MaxTimeoutMillis), int64(core.MaxTimeoutMillis))),
		MaxConfigurationDelay: core.Millis(root.Field("configurationMillis").IntOr(
			int64(minConfigurationMillis), int64(core.Minute), int64(defaultConfigurationMillis))),
		Interface: InterfaceCollections,
		LogLevel:  "info",
	}
	settings.ListenPeerAddress = settings.PeerAddress
	if listen := root.Field("listenPeerAddress"); listen.Present() {
		settings.ListenPeerAddress = listen.Address()
	}
	if source := root.Field("sourceAddress"); source.Present() {
		settings.SourceAddress = source.IP()
	}
	for _, item := range root.Field("peers").Items(0) {
		settings.Peers = append(settings.Peers, item.Address())
	}
	if choice := root.Field("interface"); choice.Present() {
		settings.Interface = Interface(choice.OneOf(string(InterfaceCollections), string(InterfaceRoutes)))
	}
	if settings.Interface == InterfaceRoutes {
		settings.ReadyAddress = root.Field("readyAddress").Address()
		settings.RetryBudget = readRetryBudget(root.Field("repeats"))
		settings.FirstStart = root.Field("firstStart").BoolOr(false)
		settings.EvacuationDelay = core.Millis(root.Field("evacuationMillis").IntOr(0, int64(core.MaxTimeoutMillis), 0))
		settings.GatherInZones = root.Field("gatherInZones").BoolOr(false)
		settings.Capacity = readCapacity(root.Field("processor"))
		settings.ColdBound = readColdBound(root.Field("coldOverage"), root.Field("coldSlack"))
	}
	settings.MemoryBytes = root.Field("memoryMegabytes").IntOr(minMemoryMegabytes, maxMemoryMegabytes, 0) << 20
	settings.FileDescriptors = int(root.Field("fileDescriptors").IntOr(minFileDescriptors, maxFileDescriptors, 0))
	if level := root.Field("logLevel"); level.Present() {
		settings.LogLevel = level.OneOf(levelNames()...)
	}
	if policy := root.Field("policy"); policy.Present() {
		settings.Policy = readPolicy(policy)
	}
	root.RejectUnknownFields()
	if err := doc.Err(); err != nil {
		return Settings{}, fmt.Errorf("%w: %w", ErrInvalidSettings, err)
	}
	return settings, nil
}

const (
	// minMemoryMegabytes and maxMemoryMegabytes, which is 1 TiB, bound the memory limit.
	minMemoryMegabytes = 1
	maxMemoryMegabytes = 1 << 20
	// minFileDescriptors and maxFileDescriptors bound the number of descriptors.
	minFileDescriptors = 1
	maxFileDescriptors = 1 << 30
	// maxSpeed bounds the speed of a core, as a multiple of a standard core's.
	maxSpeed = 1024
	// capacityUnit is the capacity of one standard core, in the unit of Settings.Capacity.
	capacityUnit = 1000
)

// readCapacity returns the share of a core times its speed, or the capacity of one standard
// core if the settings do not set it.
func readCapacity(node *jsondoc.Node) int {
	if !node.Present() {
		return capacityUnit
	}
	capacity := node.Field("share").Float(0, 1) * node.Field("speed").Float(0, maxSpeed)
	node.RejectUnknownFields()
	return int(capacity * capacityUnit)
}

// maxRetryBudgetSlack is the largest slack that a retry budget may have.
const maxRetryBudgetSlack = 1_000_000

func readRetryBudget(node *jsondoc.Node) core.RetryBudgetLimit {
	limit := core.RetryBudgetLimit{
		Ratio:  node.Field("ratio").Float(0, 1),
		Slack:  node.Field("slack").Float(0, maxRetryBudgetSlack),
		Window: core.Millis(node.Field("windowMillis").Int(1, int64(core.MaxTimeoutMillis))),
	}
	node.RejectUnknownFields()
	return limit
}

// maxColdBound is the largest value of the two numbers of a cold bound.
const maxColdBound = 1_000_000

// readColdBound returns the bound on the requests to cold upstreams, or nothing unless both of its
// numbers are set.
func readColdBound(overage, slack *jsondoc.Node) core.Option[core.ColdBound] {
	if !overage.Present() || !slack.Present() {
		return core.None[core.ColdBound]()
	}
	return core.Some(core.ColdBound{Overage: overage.Float(0, maxColdBound), Slack: slack.Float(0, maxColdBound)})
}

func readPolicy(node *jsondoc.Node) core.Policy {
	policy := core.Policy{
		NoHedge:       node.Field("noHedge").BoolOr(false),
		NoEarlyClose:  node.Field("noEarlyClose").BoolOr(false),
		RandomReplica: node.Field("randomReplica").BoolOr(false),
		NoGate:        node.Field("noGate").BoolOr(false),

		EstimateCapacity: node.Field("estimateCapacity").BoolOr(false),
	}
	node.RejectUnknownFields()
	return policy
}
