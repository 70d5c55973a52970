package operator

import (
	"errors"
	"fmt"

	"acaciavane/core"
	"acaciavane/io/jsondoc"
)

// ErrInvalidSettings means that a settings file can't be used.
var ErrInvalidSettings = errors.New("invalid settings")

// Defaults of the settings.
const (
	defaultDrainMillis = 3 * core.Second
	maxDrainMillis     = 5 * core.Minute
	// defaultConfigurationMillis is the users' bound of today.
	defaultConfigurationMillis = 3 * core.Second
	minConfigurationMillis     = core.Second
)

// Interface is what an instance speaks with callers and upstreams.
type Interface string

// The interfaces of an instance.
const (
	// InterfaceCollections is the project's own: queries on collections.
	InterfaceCollections Interface = "collections"
	// InterfaceRoutes passes opaque requests on along routes, on the users' platform.
	InterfaceRoutes Interface = "routes"
)

// Settings are what one process learns at its start.
type Settings struct {
	Instance string
	Zone     string
	// CallerAddress, PeerAddress and OperatorAddress are listened on.
	CallerAddress string
	PeerAddress   string
	// ListenPeerAddress is listened on in place of PeerAddress where peers reach
	// the instance through something that forwards.
	ListenPeerAddress string
	OperatorAddress   string
	PlatformAddress   string
	// SourceAddress is the IP number that connections are made from; empty
	// leaves it to the system.
	SourceAddress string
	// Peers are the peer addresses of other instances, asked at the start.
	Peers []string
	// Drain is how long a stopping instance goes on serving, so that the
	// balancer notices that it is not ready any more.
	Drain core.Millis
	// Stop is how long a planned stop may take before the process is killed.
	Stop      core.Millis
	Interface Interface
	// ReadyAddress is where the balancer asks for readiness, for InterfaceRoutes.
	ReadyAddress string
	// ConfigurationInForce is how soon a published configuration must be in force.
	ConfigurationInForce core.Millis
	// Repeats limits repeated requests to upstreams, for InterfaceRoutes.
	Repeats core.AllowanceLimit
	// GatherInZones has instances of other availability zones, and others of this one, gather
	// shards of a query, for InterfaceRoutes.
	GatherInZones bool
	// FirstStart is set when all instances start for the first time.
	FirstStart bool
	// Capacity is the processor time of the instance, in thousandths of a core.
	Capacity int
	// MemoryBytes is what the instance may use, or zero where the settings don't say.
	MemoryBytes int64
	LogLevel    string
	Policy      core.Policy
}

// DecodeSettings reads a settings file; its errors name the given file.
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
		Stop:            core.Millis(root.Field("stopMillis").IntOr(0, int64(core.MaxTimeoutMillis), int64(core.MaxTimeoutMillis))),
		ConfigurationInForce: core.Millis(root.Field("configurationMillis").IntOr(
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
		settings.Repeats = readRepeats(root.Field("repeats"))
		settings.FirstStart = root.Field("firstStart").BoolOr(false)
		settings.GatherInZones = root.Field("gatherInZones").BoolOr(false)
		settings.Capacity = readCapacity(root.Field("processor"))
	}
	settings.MemoryBytes = root.Field("memoryMegabytes").IntOr(minMemoryMegabytes, maxMemoryMegabytes, 0) << 20
	if level := root.Field("logLevel"); level.Present() {
		settings.LogLevel = level.OneOf(levelNames()...)
	}
	if policy := root.Field("policy"); policy.Present() {
		settings.Policy = readPolicy(policy)
	}
	root.Close()
	if err := doc.Err(); err != nil {
		return Settings{}, fmt.Errorf("%w: %w", ErrInvalidSettings, err)
	}
	return settings, nil
}

const (
	// minMemoryMegabytes and maxMemoryMegabytes, one terabyte, bound the memory.
	minMemoryMegabytes = 1
	maxMemoryMegabytes = 1 << 20
	// maxSpeed bounds the speed of a processor, in usual cores.
	maxSpeed = 1024
	// capacityUnit is how many units of capacity make one usual core.
	capacityUnit = 1000
)

// readCapacity returns the share of a core times its speed, or that of one usual core
// where the settings don't say.
func readCapacity(node *jsondoc.Node) int {
	if !node.Present() {
		return capacityUnit
	}
	capacity := node.Field("share").Float(0, 1) * node.Field("speed").Float(0, maxSpeed)
	node.Close()
	return int(capacity * capacityUnit)
}

// maxRepeats bounds the figures of the limit on repeats.
const maxRepeats = 1_000_000

func readRepeats(node *jsondoc.Node) core.AllowanceLimit {
	limit := core.AllowanceLimit{
		Ratio:  node.Field("ratio").Float(0, 1),
		Slack:  node.Field("slack").Float(0, maxRepeats),
		Window: core.Millis(node.Field("windowMillis").Int(1, int64(core.MaxTimeoutMillis))),
	}
	node.Close()
	return limit
}

func readPolicy(node *jsondoc.Node) core.Policy {
	policy := core.Policy{
		NoHedge:       node.Field("noHedge").BoolOr(false),
		NoEarlyClose:  node.Field("noEarlyClose").BoolOr(false),
		RandomReplica: node.Field("randomReplica").BoolOr(false),
		NoGate:        node.Field("noGate").BoolOr(false),
	}
	node.Close()
	return policy
}
