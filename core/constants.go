package core

// Limits of one request.
const (
	// MaxBodyBytes is the largest request body that a caller may send.
	MaxBodyBytes = 256 << 10
	// MaxReplyBytes is the largest reply that is read from an upstream.
	MaxReplyBytes = 8 << 20
	// MaxReplyHeadBytes is the longest head of a reply that is read from a server, with the
	// interim replies before it.
	MaxReplyHeadBytes = 16 << 10
	// MaxHeldReplyBytes is how much memory all replies that are being read may take: two of
	// the largest. The garbage that they leave comes on top of it.
	MaxHeldReplyBytes = 2 * MaxReplyBytes
	// MaxIdentityBytes is the longest request identity that a caller may choose.
	MaxIdentityBytes = 128
	// MaxTimeoutMillis is the longest deadline that a kind or a caller may set.
	MaxTimeoutMillis = 10 * Minute
	// MaxPublishedBytes is the largest value that the platform holds.
	MaxPublishedBytes = 1 << 20
	// MaxSnapshotRounds is how many snapshots one query may try.
	MaxSnapshotRounds = 3
)

// Timing of the control traffic.
const (
	// ExchangeIntervalMillis is the pause between two exchanges with one peer.
	ExchangeIntervalMillis = 500 * Millis(1)
	// ExchangeTimeoutMillis bounds one exchange with a peer.
	ExchangeTimeoutMillis = 400 * Millis(1)
	// PeerAliveMillis is how long after its last exchange a peer counts as alive.
	PeerAliveMillis = 3 * Second
	// KnownPeerMillis is how long after it was last heard of an instance is
	// counted and passed on to peers.
	KnownPeerMillis = 30 * Second
	// KnownPeerSample is how many instances a message to a peer names.
	KnownPeerSample = 6
	// ListSilenceMillis is how long ago an instance last read the platform when
	// it asks its peers for the instance list. It is longer than a watch waits.
	ListSilenceMillis = 6 * Second
	// PeerRetryMaxMillis is the longest pause after failed exchanges with a peer.
	PeerRetryMaxMillis = 2 * Second
	// MaxPeerLinks is the most peers that an instance exchanges news with.
	MaxPeerLinks = 12
	// ProbeIntervalMillis is the pause between two status probes of a quiet upstream.
	ProbeIntervalMillis = 1 * Second
	// ProbeReturnMillis is the pause between two probes of an upstream that gets
	// no requests.
	ProbeReturnMillis = 250 * Millis(1)
	// ProbeBackoffMaxMillis is the longest pause between two probes of a suspect.
	ProbeBackoffMaxMillis = 1500 * Millis(1)
	// SuspectScanMillis is the interval at which suspects are looked for while there are any
	// or attempts are late.
	SuspectScanMillis = 100 * Millis(1)
	// UnreachableAfterProbes is how many failed probes in a row make an upstream
	// unreachable without any failed request.
	UnreachableAfterProbes = 2
	// ProbeTimeoutMillis bounds one status probe.
	ProbeTimeoutMillis = 500 * Millis(1)
	// WatchWaitMillis is how long a watch waits at the platform for a change.
	WatchWaitMillis = 5 * Second
	// WatchPauseMillis is the pause between two watches of one value.
	WatchPauseMillis = 100 * Millis(1)
	// PlatformRetryMinMillis is the first pause after a failed platform read.
	PlatformRetryMinMillis = 500 * Millis(1)
	// PlatformRetryMaxMillis is the longest pause after failed platform reads.
	PlatformRetryMaxMillis = 4 * Second
	// PlatformSilenceMillis is how long an instance that is not a reader waits
	// for news of the platform before it reads by itself. It is longer than a
	// watch waits.
	PlatformSilenceMillis = 7 * Second
	// ReadersPerZone is how many instances of a zone watch the platform.
	ReadersPerZone = 2
	// PauseThresholdMillis is the gap on the clock from which the process
	// counts as having been suspended.
	PauseThresholdMillis = 1 * Second
	// PauseTickMillis is the interval at which the clock is checked for gaps.
	PauseTickMillis = 50 * Millis(1)
	// PauseIdleTickMillis is the same for a process without requests. It is short against
	// PauseThresholdMillis.
	PauseIdleTickMillis = 250 * Millis(1)
	// PauseIdleAfterMillis is how long after its last request a process counts as idle.
	PauseIdleAfterMillis = 1 * Second
	// RenewTimeoutMillis bounds the renewal of the view after a suspension.
	RenewTimeoutMillis = 700 * Millis(1)
	// NotifyTimeoutMillis bounds the wait for peers to take a verdict on a request.
	NotifyTimeoutMillis = 250 * Millis(1)
)

// Policy under load.
const (
	// MaxInFlight is the most requests that an instance answers at once.
	MaxInFlight = 512
	// QueuedPerSlot is how many queries may be in flight for each request that
	// the narrowest service takes from this instance.
	QueuedPerSlot = 3
	// GateLatencyFactor is how much longer than without load answers may take
	// before the limit on requests in flight is lowered.
	GateLatencyFactor = 2.0
	// CongestedLatencyFactor is how much longer than without load answers may
	// take before no more hedges are sent.
	CongestedLatencyFactor = 1.5
	// GateLeast is the least limit on requests in flight.
	GateLeast = 2.0
	// GatePatiencePart is the part of a request's time that it may wait for room at the
	// gate, so that a stall of the process refuses no request that has time.
	GatePatiencePart = 0.05
	// GateSlackMillis is how late the wait for room may end for it to count as over.
	GateSlackMillis = 3 * Millis(1)
	// GateDecrease multiplies the limit when it is lowered.
	GateDecrease = 0.9
	// GateIncrease is what the limit gains over as many answers as it allows in
	// flight, while answers take hardly longer than without load.
	GateIncrease = 0.5
	// GateLatencyWeight is the weight of one answer in the recent latency.
	GateLatencyWeight = 0.1
	// GateLatencyCap bounds what one answer counts for, in latencies without
	// load, so that a few late answers alone do not lower the limit.
	GateLatencyCap = 4.0
	// GateCalmDrift is the factor by which the latency without load rises with
	// each answer, unless answers are faster.
	GateCalmDrift = 1.0001
	// ExploreIntervalMillis is how long a replica goes unused before an extra
	// attempt finds out how fast it is now.
	ExploreIntervalMillis = 5 * Second
	// Priorities is the number of priority levels of request kinds.
	Priorities = 3
	// ShardsPerHedge is how many shards of a query allow one hedge.
	ShardsPerHedge = 10
	// MergeMarginMillis is kept back from a deadline for merging the answer.
	MergeMarginMillis = 3 * Millis(1)
	// ShedPauseMillis is the first pause before a shed attempt is sent again.
	ShedPauseMillis = 2 * Millis(1)
	// ExtraLoadShare is the part of the first attempts that may be sent again
	// as hedges and retries.
	ExtraLoadShare = 0.05
	// ExtraLoadBurst is how many extra attempts may be saved up.
	ExtraLoadBurst = 20
	// HedgeQuantile is the latency quantile of a service after which a hedge is due.
	HedgeQuantile = 0.95
	// HedgeMinMillis is the earliest hedge.
	HedgeMinMillis = 2 * Millis(1)
	// LatencyWeight is the weight of one reply in the latency of a replica.
	LatencyWeight = 0.25
	// LatencyHalfLifeMillis is the time in which what a replica took beyond the
	// usual counts for half, unless it is used again.
	LatencyHalfLifeMillis = 1500 * Millis(1)
	// MedianQuantile is the quantile that stands for the usual latency.
	MedianQuantile = 0.5
	// LateFactor is what the time that an attempt has waited without a reply is
	// multiplied by to estimate its latency.
	LateFactor = 2.0
	// LatencyWindow is how many latencies a service keeps for its quantiles.
	LatencyWindow = 512
	// LocalBias multiplies the score of replicas in the instance's own zone.
	LocalBias = 0.4
	// SlowStartMillis is how long a fresh replica gets less than its share.
	SlowStartMillis = 2 * Second
	// SlowStartFactor multiplies the score of a replica at its start.
	SlowStartFactor = 4.0
	// ErrorWeight is the weight of one attempt in the error rate of a replica.
	ErrorWeight = 0.15
	// ErrorPenalty is how much the score of a replica that always fails grows.
	ErrorPenalty = 8.0
	// SilentAfterMillis is how long an upstream may leave an attempt without a
	// reply before it counts as unreachable, unless it was heard meanwhile. It is
	// longer than the pauses of upstreams.
	SilentAfterMillis = 200 * Millis(1)
	// EjectAfterFailures is how many failures in a row eject a replica.
	EjectAfterFailures = 3
	// EjectMinMillis is the first ejection of a replica.
	EjectMinMillis = 500 * Millis(1)
	// EjectMaxMillis is the longest ejection of a replica.
	EjectMaxMillis = 10 * Second
	// MaxAttemptsPerShard bounds the attempts for one shard of one query.
	MaxAttemptsPerShard = 4
	// LimitIncrease is what a success adds to a concurrency limit.
	LimitIncrease = 0.05
	// LimitDecrease multiplies a concurrency limit after a shed request.
	LimitDecrease = 0.7
)

// Routed requests.
const (
	// HedgeMedianFactor times the usual latency of a route is when an attempt of
	// it is late.
	HedgeMedianFactor = 1.9
	// HedgeObjectiveFactor times the latency objective of a route is when an
	// attempt of it is late, while its usual latency is not known, and at the
	// latest.
	HedgeObjectiveFactor = 0.25
	// HedgePart is the part of the allowance of repeats that hedges may use. The
	// rest is left to retries after failures.
	HedgePart = 0.9
	// MaxArrivals is how often one request may arrive at one service, refused
	// arrivals included.
	MaxArrivals = 4
	// CloseMarginMillis is how long before its latency objective an answer is
	// closed that could do without the missing shards: the way to a caller 3 ms
	// away and back, twice for one that opens a connection, and the merging.
	CloseMarginMillis = 16 * Millis(1)
	// RoomWaitFactor times the latency objective is how long a request may wait
	// for room at an upstream before it is refused.
	RoomWaitFactor = 0.2
	// LoserGraceMillis is how long an attempt that is not waited for any more may
	// go on, so that its connection can be kept. It is longer than the pauses of
	// upstreams and shorter than callers that left are to be worked for.
	LoserGraceMillis = 250 * Millis(1)
	// OverloadRefuseFactor times the latency objective is the lag of the process
	// above which requests are refused: another instance answers them sooner.
	OverloadRefuseFactor = 0.3
	// TimerSlackMillis is how late a timer may fire for conclusions from it to
	// hold: a process that is behind has not read the replies that are there.
	TimerSlackMillis = 25 * Millis(1)
	// ZoneSilentAttempts is how many attempts at upstreams of one zone must be
	// late, with nothing heard from that zone, for all of it to count as cut off.
	ZoneSilentAttempts = 8
	// ZoneSilentMillis is how long nothing may have been heard then. It is longer
	// than the slowest instances take to send a request to all shards.
	ZoneSilentMillis = 100 * Millis(1)
	// RetrySoonMillis is when to come back after a refusal that another instance
	// may not repeat.
	RetrySoonMillis = 20 * Millis(1)
	// RetryLaterMillis is when to come back after a refusal for want of room.
	RetryLaterMillis = 100 * Millis(1)
	// ReplyMarginMillis is kept back from a deadline so that its answer still
	// reaches the caller.
	ReplyMarginMillis = 15 * Millis(1)
)

// Instances that send requests to upstreams for others.
const (
	// AggregatorStrength times its capacity must be at least the greatest capacity in the
	// fleet for an instance to send requests to upstreams.
	AggregatorStrength = 2
	// AggregatorsPerZone is how many such instances a zone has, unless it has at most
	// twice as many that could be.
	AggregatorsPerZone = 8
	// InstancesPerAggregator is how many instances of a zone share one where that
	// makes more than AggregatorsPerZone.
	InstancesPerAggregator = 8
	// LeastDelegates is how many delegates of its own zone an instance needs to do
	// without those of other zones.
	LeastDelegates = 2
	// MaxDelegates is how many instances one delegates to.
	MaxDelegates = 3
	// DelegateExchangeMillis is the pause between two exchanges with the first delegate. It
	// bounds how long one that fell silent gets requests.
	DelegateExchangeMillis = 1 * Second
	// SpareExchangeMillis is the pause between two exchanges with the other delegates, which
	// get requests only where the first one fails.
	SpareExchangeMillis = 3 * Second
	// JoinExchangeMillis is the pause between two exchanges with one peer while an
	// instance joins the others.
	JoinExchangeMillis = 250 * Millis(1)
	// JoinServices is with how many services at most an instance does not wait for word of
	// others before it sends requests itself.
	JoinServices = 64
	// JoinRetryMillis is the pause after a failed exchange while an instance that has just
	// started has heard of no other yet, and JoinSearchMillis is how long that goes on. All
	// may be starting.
	JoinRetryMillis  = 100 * Millis(1)
	JoinSearchMillis = 10 * Second
	// delegationMillis is how long the choice of delegates stands, unless one fails.
	delegationMillis = 200 * Millis(1)
	// DelegateHopMillis is kept back for the way of a delegated request and its answer
	// between two instances, of which one has little processor time.
	DelegateHopMillis = 5 * Millis(1)
	// DelegateSilenceMillis is how long after the objective of a delegated request its
	// delegate is asked whether it is there, unless it was heard since the request was sent.
	DelegateSilenceMillis = 100 * Millis(1)
	// DelegateAskMillis is the pause until it is asked again while the request is under way.
	DelegateAskMillis = 500 * Millis(1)
	// GroupLeastShards is how many shards another zone must have for an instance there to
	// gather them: with fewer, the bytes saved are worth less than the late shards cost.
	GroupLeastShards = 16
	// GroupMostShards is how many shards of a query one instance asks, where there are others
	// to ask the rest. It takes 8 ms of a core, a tenth of the usual objective.
	GroupMostShards = 64
	// GroupLeastObjective is the shortest objective of a route whose shards are gathered in
	// groups. Less leaves no time for one more instance on the way and for late shards.
	GroupLeastObjective = 75 * Millis(1)
	// GroupReportMillis is the least time between two reports on a group: a message for each
	// part would cost as much as asking for it.
	GroupReportMillis = 8 * Millis(1)
	// GroupHopMillis is how long after the first report on a group is due its late shards are
	// asked directly: the way there and back, and the work of one report.
	GroupHopMillis = 5 * Millis(1)
	// GroupPatienceMillis is the same for a group without any report: an instance that is
	// busy for a moment has most of the parts.
	GroupPatienceMillis = 25 * Millis(1)
	// ReliefLagMillis is the lag from which an instance has others answer its requests.
	ReliefLagMillis = 8.0
	// ReliefMinMillis and ReliefMaxMillis are the first and the longest time for which
	// it does so after it was last behind, and ReliefCalmMillis how long it must keep up
	// afterwards for the time to start from the first again.
	ReliefMinMillis  = 2 * Second
	ReliefMaxMillis  = 16 * Second
	ReliefCalmMillis = 5 * Second
	// ReliefRefuseFactor times the latency objective is the lag above which even a request
	// that another instance would answer is refused.
	ReliefRefuseFactor = 0.5
	// MaxRelievers is how many other instances are tried.
	MaxRelievers = 2
	// BusyMillis is how long an instance that refused a request as it was behind gets none.
	BusyMillis = 1 * Second
	// SettleMillis is how long an instance that begins to send requests to upstreams
	// waits for its first read of the platform.
	SettleMillis = 1500 * Millis(1)
	// ReconnectAfterSilence is after how many exchanges without an answer in a row a
	// connection to a peer is opened anew: it may have gone silent for good.
	ReconnectAfterSilence = 2
)

// Requests that crash upstreams.
const (
	// ConvictAfterCrashes is how many isolated runs must crash before the
	// request is refused.
	ConvictAfterCrashes = 2
	// SuspectAfterLosses is how many lost connections make a query a suspect.
	SuspectAfterLosses = 2
	// CrashConfirmMillis is how long after a lost connection its upstream must be
	// known to be unreachable for it to count as crashed. It leaves time for a probe.
	CrashConfirmMillis = 400 * Millis(1)
	// VerdictTTLMillis is how long a verdict on a request holds.
	VerdictTTLMillis = 10 * Minute
	// LeavingTTLMillis is how long word of a leaving upstream is passed on.
	LeavingTTLMillis = 2 * Minute
	// MaxFacts bounds the facts that an instance keeps.
	MaxFacts = 4096
)

// Requests that may not be repeated.
const (
	// TicketTTLMillis is how long a ticket may be used.
	TicketTTLMillis = 2 * Minute
	// OrderPatienceMillis is how long a caller that sets no deadline waits for
	// the answer to an order that runs elsewhere.
	OrderPatienceMillis = 1 * Minute
	// MaxTicketRuns bounds the runs that an instance remembers.
	MaxTicketRuns = 100_000
)
