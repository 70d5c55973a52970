package operator

import "acaciavane/core"

// State is the state of an instance that operators can read.
type State struct {
	Self             core.PeerInfo
	Ready            bool
	StartedAt        core.Millis
	Now              core.Millis
	InFlight         int
	InForce          core.InForce
	HasConfiguration bool
	Refusals         []core.Refusal
	// Conflicts is how often two different configurations with the same version were seen.
	Conflicts int
	List      core.InstanceList
	// EvacuatedZones are the zones whose upstreams get no requests.
	EvacuatedZones []string
	// PlatformAge is how long ago the platform was last heard from, directly or through
	// peers.
	PlatformAge core.Millis
	// PlatformReader is set if the instance is one of those that watch the platform.
	PlatformReader bool
	Peers          []core.PeerStatus
	Upstreams      []core.ReplicaState
	// ExtraInputs is how often each upstream sent input that belongs to no request.
	ExtraInputs map[string]int64
	// SingleUses is for how long the connections to an upstream carry one request each.
	SingleUses       map[string]core.Millis
	Verdicts         []core.VerdictState
	RememberedOrders int
	// ExtraLoadTokens is the number of extra attempts that may be sent now.
	ExtraLoadTokens float64
	Gates           []core.GateState
	Ports           []PortState
	Counters        *core.Counters
}

// PortState is the state of the connections to one port.
type PortState struct {
	Port string
	core.ConnectionBudgetState
}

// StateBody is the JSON form of State.
type StateBody struct {
	Instance          string            `json:"instance"`
	Zone              string            `json:"zone"`
	PeerAddress       string            `json:"peerAddress"`
	Incarnation       uint64            `json:"incarnation"`
	Ready             bool              `json:"ready"`
	Leaving           bool              `json:"leaving"`
	UptimeMillis      int64             `json:"uptimeMillis"`
	RequestsInFlight  int               `json:"requestsInFlight"`
	RememberedOrders  int               `json:"rememberedOrders"`
	ExtraLoadTokens   float64           `json:"extraLoadTokens"`
	HeapBytes         uint64            `json:"heapBytes"`
	ProcessorSeconds  float64           `json:"processorSeconds"`
	PlatformReader    bool              `json:"platformReader"`
	PlatformAgeMillis int64             `json:"platformAgeMillis"`
	Configuration     ConfigurationBody `json:"configuration"`
	InstanceList      ListBody          `json:"instanceList"`
	EvacuatedZones    []string          `json:"evacuatedZones"`
	Peers             []PeerBody        `json:"peers"`
	Upstreams         []UpstreamBody    `json:"upstreams"`
	Verdicts          []VerdictBody     `json:"verdicts"`
	Gates             []GateBody        `json:"gates"`
	Ports             []PortBody        `json:"ports"`
	Counters          map[string]int64  `json:"counters"`
}

// ConfigurationBody is the configuration in force, with the configurations that were
// refused.
type ConfigurationBody struct {
	Version       uint64        `json:"version"`
	Digest        string        `json:"digest"`
	Deployment    string        `json:"deployment"`
	InForceMillis int64         `json:"inForceForMillis"`
	Source        string        `json:"source"`
	Conflicts     int           `json:"conflicts"`
	Refused       []RefusalBody `json:"refused"`
}

// RefusalBody is a published configuration that was refused.
type RefusalBody struct {
	AgoMillis int64  `json:"agoMillis"`
	Source    string `json:"source"`
	Version   uint64 `json:"version,omitempty"`
	Digest    string `json:"digest,omitempty"`
	Reason    string `json:"reason"`
}

// ListBody summarizes the instance list that the platform publishes.
type ListBody struct {
	// Era is how often the platform's store came back from an older copy, as far as it says so.
	Era      uint64 `json:"era,omitempty"`
	Revision uint64 `json:"revision"`
	Members  int    `json:"members"`
}

// PeerBody is what this instance knows about another instance.
type PeerBody struct {
	Name                 string `json:"name"`
	Zone                 string `json:"zone"`
	Address              string `json:"address"`
	Incarnation          uint64 `json:"incarnation"`
	Leaving              bool   `json:"leaving"`
	HeardAgoMillis       int64  `json:"heardAgoMillis"`
	ConfigurationVersion uint64 `json:"configurationVersion"`
	LastError            string `json:"lastError,omitempty"`
}

// UpstreamBody is what this instance knows about an upstream.
type UpstreamBody struct {
	Name             string              `json:"name"`
	Service          string              `json:"service"`
	Address          string              `json:"address"`
	Zone             string              `json:"zone"`
	Incarnation      uint64              `json:"incarnation"`
	State            string              `json:"state"`
	LeavingSource    string              `json:"leavingSource,omitempty"`
	Snapshots        map[string][]uint64 `json:"snapshots"`
	InFlight         int                 `json:"inFlight"`
	ConcurrencyLimit float64             `json:"concurrencyLimit"`
	ConnectionShare  int                 `json:"connectionShare"`
	LatencyMillis    float64             `json:"latencyMillis"`
	ReportedLoad     float64             `json:"reportedLoad"`
	// Estimate is the capacity estimate, or null if there is none.
	Estimate *EstimateBody `json:"estimate"`
	// RequestLimit is the limit that the upstream names for all instances, in requests a second,
	// or null. Tokens is how many requests this instance may send now.
	RequestLimit *float64 `json:"requestLimitPerSecond"`
	Tokens       int      `json:"tokens"`
	// Evacuated is set while the upstream gets no requests because its zone is evacuated.
	Evacuated bool `json:"evacuated"`
	// ColdLimit is the limit while the upstream is cold, or null if it is not. ColdForMillis is the
	// time until that ends, or 0 if the end is not known.
	ColdLimit        *float64 `json:"coldLimitPerSecond"`
	ColdForMillis    int64    `json:"coldForMillis"`
	PausedForMillis  int64    `json:"pausedForMillis"`
	HeardAgoMillis   int64    `json:"heardAgoMillis"`
	EjectedForMillis int64    `json:"ejectedForMillis"`
	// ExtraInputs is how often the upstream sent input that belongs to no request, such as the
	// second copy of a reply.
	ExtraInputs int64 `json:"extraInputs"`
	// SingleUseForMillis is how long connections carry one request each, after a reply without a
	// length, or 0.
	SingleUseForMillis int64 `json:"singleUseForMillis"`
}

// EstimateBody is the capacity estimate of an upstream.
type EstimateBody struct {
	ExpectedLatencyMillis float64 `json:"expectedLatencyMillis"`
	// RisesAtRequests is the number of requests, running and waiting, at which latency begins to
	// rise. RiseFactor is how much each further request per slot adds to it, as a multiple of the
	// latency below.
	RisesAtRequests float64 `json:"risesAtRequests"`
	RiseFactor      float64 `json:"riseFactor"`
	// Speed is the latency without load as a multiple of what is usual at the service.
	Speed           float64 `json:"latencyFactor"`
	ExpectedLoad    float64 `json:"expectedRequests"`
	MachineSlowdown float64 `json:"machineSlowdown"`
	Replies         int     `json:"replies"`
}

// GateBody is the state of the limit on the requests in flight of one collection.
type GateBody struct {
	Collection string  `json:"collection"`
	InFlight   int     `json:"inFlight"`
	Waiting    int     `json:"waiting"`
	Limit      float64 `json:"limit"`
	// RecentMillis is the recent latency, and BaselineMillis the baseline latency, which is
	// the latency without load.
	RecentMillis   float64 `json:"recentLatencyMillis"`
	BaselineMillis float64 `json:"calmLatencyMillis"`
}

// PortBody is the state of the connections to one port. A limit of 0 means none.
type PortBody struct {
	Port            string `json:"port"`
	Connections     int    `json:"connections"`
	ConnectionLimit int    `json:"connectionLimit"`
	// Stalled is the number of connections that may be closed under pressure.
	Stalled      int   `json:"stalledConnections"`
	Bytes        int64 `json:"bytes"`
	ByteLimit    int64 `json:"byteLimit"`
	LargestBytes int64 `json:"largestBytes"`
	// Waiting is the number of connections that wait for memory.
	Waiting int `json:"waitingForMemory"`
}

func toPortBodies(ports []PortState) []PortBody {
	bodies := make([]PortBody, 0, len(ports))
	for _, port := range ports {
		bodies = append(bodies, PortBody{
			Port:            port.Port,
			Connections:     port.Connections,
			ConnectionLimit: port.Limits.Connections,
			Stalled:         port.Stalled,
			Bytes:           port.Bytes,
			ByteLimit:       port.Limits.Bytes,
			LargestBytes:    port.LargestBytes,
			Waiting:         port.WaitingCharges,
		})
	}
	return bodies
}

// VerdictBody is the verdict on whether requests with a fingerprint crash upstreams.
type VerdictBody struct {
	Fingerprint string `json:"fingerprint"`
	Verdict     string `json:"verdict"`
	AgoMillis   int64  `json:"agoMillis"`
}

func toStateBody(state State) StateBody {
	body := StateBody{
		Instance:          state.Self.Name,
		Zone:              state.Self.Zone,
		PeerAddress:       state.Self.Address,
		Incarnation:       state.Self.Incarnation,
		Ready:             state.Ready,
		Leaving:           state.Self.Leaving,
		UptimeMillis:      int64(state.Now - state.StartedAt),
		RequestsInFlight:  state.InFlight,
		RememberedOrders:  state.RememberedOrders,
		ExtraLoadTokens:   state.ExtraLoadTokens,
		HeapBytes:         heapBytes(),
		ProcessorSeconds:  processorSeconds(),
		PlatformReader:    state.PlatformReader,
		PlatformAgeMillis: int64(state.PlatformAge),
		Configuration:     toConfigurationBody(state),
		InstanceList:      ListBody{Era: state.List.Revision.Era(), Revision: state.List.Revision.Number(), Members: len(state.List.Members)},
		EvacuatedZones:    append([]string{}, state.EvacuatedZones...),
		Peers:             make([]PeerBody, 0, len(state.Peers)),
		Upstreams:         make([]UpstreamBody, 0, len(state.Upstreams)),
		Verdicts:          make([]VerdictBody, 0, len(state.Verdicts)),
		Gates:             make([]GateBody, 0, len(state.Gates)),
		Ports:             toPortBodies(state.Ports),
		Counters:          map[string]int64{},
	}
	for _, peer := range state.Peers {
		body.Peers = append(body.Peers, toPeerBody(peer, state.Now))
	}
	for _, upstream := range state.Upstreams {
		upstreamBody := toUpstreamBody(upstream, state.Now)
		upstreamBody.ExtraInputs = state.ExtraInputs[upstream.Name]
		upstreamBody.SingleUseForMillis = int64(state.SingleUses[upstream.Name])
		body.Upstreams = append(body.Upstreams, upstreamBody)
	}
	for _, verdict := range state.Verdicts {
		body.Verdicts = append(body.Verdicts, VerdictBody{
			Fingerprint: verdict.Fingerprint,
			Verdict:     string(verdict.Verdict),
			AgoMillis:   int64(state.Now - verdict.At),
		})
	}
	for _, gate := range state.Gates {
		body.Gates = append(body.Gates, GateBody{
			Collection:     gate.Name,
			InFlight:       gate.InFlight,
			Waiting:        gate.Waiting,
			Limit:          gate.Limit,
			RecentMillis:   gate.RecentMillis,
			BaselineMillis: gate.BaselineMillis,
		})
	}
	for _, counter := range state.Counters.All() {
		body.Counters[counter.String()] = state.Counters.Get(counter)
	}
	return body
}

func toConfigurationBody(state State) ConfigurationBody {
	body := ConfigurationBody{Conflicts: state.Conflicts, Refused: make([]RefusalBody, 0, len(state.Refusals))}
	if state.HasConfiguration {
		body.Version = state.InForce.Configuration.Version
		body.Digest = state.InForce.Configuration.Digest
		body.Deployment = state.InForce.Configuration.Deployment
		body.InForceMillis = int64(state.Now - state.InForce.Since)
		body.Source = state.InForce.Source
	}
	for _, refusal := range state.Refusals {
		body.Refused = append(body.Refused, RefusalBody{
			AgoMillis: int64(state.Now - refusal.At),
			Source:    refusal.Source,
			Version:   refusal.Version,
			Digest:    refusal.Digest,
			Reason:    refusal.Reason,
		})
	}
	return body
}

func toPeerBody(peer core.PeerStatus, now core.Millis) PeerBody {
	return PeerBody{
		Name:                 peer.Info.Name,
		Zone:                 peer.Info.Zone,
		Address:              peer.Address,
		Incarnation:          peer.Info.Incarnation,
		Leaving:              peer.Info.Leaving,
		HeardAgoMillis:       int64(now - peer.HeardAt),
		ConfigurationVersion: peer.ConfigurationVersion,
		LastError:            peer.LastError,
	}
}

// toNullable returns a pointer to the value, or nil if there is none.
func toNullable(value core.Option[float64]) *float64 {
	if number, ok := value.Get(); ok {
		return &number
	}
	return nil
}

func toUpstreamBody(upstream core.ReplicaState, now core.Millis) UpstreamBody {
	return UpstreamBody{
		Name:             upstream.Name,
		Service:          upstream.Service,
		Address:          upstream.Address,
		Zone:             upstream.Zone,
		Incarnation:      upstream.Incarnation,
		State:            string(upstream.Phase),
		LeavingSource:    upstream.LeavingSource,
		Snapshots:        upstream.Snapshots,
		InFlight:         upstream.InFlight,
		ConcurrencyLimit: upstream.Limit,
		ConnectionShare:  upstream.ConnectionShare,
		LatencyMillis:    upstream.LatencyMillis,
		ReportedLoad:     upstream.ReportedLoad,
		Estimate:         toEstimateBody(upstream.Estimate),
		RequestLimit:     toNullable(upstream.RequestLimit),
		Tokens:           upstream.Tokens,
		Evacuated:        upstream.Evacuated,
		ColdLimit:        toNullable(upstream.ColdLimit),
		ColdForMillis:    int64(upstream.ColdRemaining),
		PausedForMillis:  int64(upstream.PausedFor),
		HeardAgoMillis:   int64(now - upstream.HeardAt),
		EjectedForMillis: int64(max(0, upstream.EjectedUntil-now)),
	}
}

func toEstimateBody(option core.Option[core.EstimateState]) *EstimateBody {
	estimate, ok := option.Get()
	if !ok {
		return nil
	}
	return &EstimateBody{
		ExpectedLatencyMillis: estimate.LatencyMillis,
		RisesAtRequests:       estimate.RisesAt,
		RiseFactor:            estimate.Slope,
		Speed:                 estimate.Speed,
		ExpectedLoad:          estimate.Load,
		MachineSlowdown:       estimate.Slowdown,
		Replies:               estimate.Replies,
	}
}
