package core

// Limits on requests, replies and published values.
const (
	// MaxBodyBytes is the largest request body accepted from a caller.
	MaxBodyBytes = 256 << 10
	// MaxReplyBytes is the largest reply body read from an upstream.
	MaxReplyBytes = 8 << 20
	// MaxReplyHeadBytes is the longest response head read from any server. For an upstream
	// it includes the interim (1xx) responses before the final one.
	MaxReplyHeadBytes = 16 << 10
	// MaxHeldReplyBytes is the total memory for all replies being read from upstreams,
	// enough for two of the largest. Garbage that finished replies leave on the heap is not
	// included.
	MaxHeldReplyBytes = 2 * MaxReplyBytes
	// MaxRequestIDBytes is the longest request ID that a caller may choose.
	MaxRequestIDBytes = 128
	// MaxTimeoutMillis is the longest timeout that a request kind or a caller may set. The
	// stop and window durations in the settings have the same limit.
	MaxTimeoutMillis = 10 * Minute
	// MaxPublishedBytes is the largest value that the platform publishes.
	MaxPublishedBytes = 1 << 20
	// MaxSnapshotRounds is how many snapshots one query may try.
	MaxSnapshotRounds = 3
)

// Timing of exchanges between instances, of probes and of platform reads.
const (
	// ExchangeIntervalMillis is the default pause between two exchanges with the same peer.
	ExchangeIntervalMillis = 500 * Millis(1)
	// ExchangeTimeoutMillis is the timeout of one exchange with a peer.
	ExchangeTimeoutMillis = 400 * Millis(1)
	// PeerAliveMillis is how long after its last exchange a peer counts as alive.
	PeerAliveMillis = 3 * Second
	// KnownPeerTTLMillis is how long an instance is counted and gossiped to peers after it was
	// last heard from, directly or through a peer.
	KnownPeerTTLMillis = 30 * Second
	// KnownPeerSample is how many instances one gossip message names.
	KnownPeerSample = 6
	// ListMaxAgeMillis is the age of the last platform read after which an instance asks
	// its peers for the instance list. It is longer than WatchWaitMillis, so that an idle
	// watch does not trigger it.
	ListMaxAgeMillis = 6 * Second
	// PeerBackoffMaxMillis is the longest pause after failed exchanges with a peer.
	PeerBackoffMaxMillis = 2 * Second
	// MaxPeerLinks is the largest number of peers with which an instance exchanges messages.
	MaxPeerLinks = 12
	// ProbeIntervalMillis is the pause between two status probes of an upstream from which
	// nothing else was heard.
	ProbeIntervalMillis = 1 * Second
	// ProbeReturnMillis is the pause between two probes of an upstream that is out of use.
	// It is shorter, so that a recovery is noticed soon.
	ProbeReturnMillis = 250 * Millis(1)
	// ProbeBackoffMaxMillis is the longest pause between two probes of a suspect upstream.
	ProbeBackoffMaxMillis = 1500 * Millis(1)
	// SuspectScanMillis is the interval between two scans for suspect upstreams. Scans run
	// only while there are suspects or late attempts.
	SuspectScanMillis = 100 * Millis(1)
	// UnreachableAfterProbes is how many probes in a row must fail before an upstream counts
	// as unreachable if no request to it has failed.
	UnreachableAfterProbes = 2
	// ProbeTimeoutMillis is the timeout of one status probe.
	ProbeTimeoutMillis = 500 * Millis(1)
	// WatchWaitMillis is how long the platform holds a watch request open while nothing
	// changes.
	WatchWaitMillis = 5 * Second
	// WatchPauseMillis is the pause between two watch requests for the same value.
	WatchPauseMillis = 100 * Millis(1)
	// PlatformRetryMinMillis is the first pause after a failed platform read.
	PlatformRetryMinMillis = 500 * Millis(1)
	// PlatformRetryMaxMillis is the longest pause after failed platform reads.
	PlatformRetryMaxMillis = 4 * Second
	// PlatformMaxAgeMillis is how long an instance that does not watch the platform goes
	// without news of it before it reads the platform itself. It is longer than
	// WatchWaitMillis, so that an idle watch does not trigger it.
	PlatformMaxAgeMillis = 7 * Second
	// ReadersPerZone is how many instances of a zone watch the platform.
	ReadersPerZone = 2
	// PauseThresholdMillis is the gap between two clock readings above which the process
	// counts as having been suspended.
	PauseThresholdMillis = 1 * Second
	// PauseTickMillis is the interval at which the clock is checked for gaps.
	PauseTickMillis = 50 * Millis(1)
	// PauseIdleTickMillis is the same interval for a process without requests. It is well
	// below PauseThresholdMillis.
	PauseIdleTickMillis = 250 * Millis(1)
	// PauseIdleAfterMillis is how long after its last request a process counts as idle.
	PauseIdleAfterMillis = 1 * Second
	// RenewTimeoutMillis is the timeout for refreshing the view of the fleet after a
	// suspension.
	RenewTimeoutMillis = 700 * Millis(1)
	// NotifyTimeoutMillis is how long an answer waits for peers to receive a new verdict on
	// its request.
	NotifyTimeoutMillis = 250 * Millis(1)
)

// Admission, hedging and load balancing.
const (
	// MaxInFlight is the largest number of requests that an instance handles at once.
	MaxInFlight = 512
	// QueuedPerSlot times the lowest Fleet.RequestCapacity among the services of a collection
	// is how many of its queries may be in flight.
	QueuedPerSlot = 3
	// GateLatencyFactor is the ratio of recent to baseline latency above which a gate lowers
	// its limit. The baseline is the latency without load.
	GateLatencyFactor = 2.0
	// CongestedLatencyFactor is the ratio of recent to baseline latency above which a
	// collection counts as congested. Its queries then send no hedges.
	CongestedLatencyFactor = 1.5
	// GateMinLimit is the smallest limit on requests in flight that a gate sets.
	GateMinLimit = 2.0
	// GateWaitFraction is the fraction of its remaining time for which a request may wait at
	// a gate, unless the baseline latency is longer. It keeps a stall of the process from
	// causing refusals of requests that have time left.
	GateWaitFraction = 0.05
	// GateSlackMillis is the timer delay from which the wait at a gate starts over. A timer
	// that fires this late shows that the process stalled: replies that free capacity may
	// still be unread.
	GateSlackMillis = 3 * Millis(1)
	// GateDecrease is the factor by which a gate lowers its limit.
	GateDecrease = 0.9
	// GateIncrease is how much the limit grows over as many answers as it allows in flight,
	// while latency is below CongestedLatencyFactor.
	GateIncrease = 0.5
	// GateLatencyWeight is the weight of one answer in the moving average of recent latency.
	GateLatencyWeight = 0.1
	// GateLatencyCap caps the latency of one answer, as a multiple of the baseline latency,
	// so that a few late answers alone do not lower the limit.
	GateLatencyCap = 4.0
	// GateBaselineDrift is the factor by which the baseline latency rises with each answer,
	// unless answers are faster.
	GateBaselineDrift = 1.0001
	// ExploreIntervalMillis is how long a replica goes unused before an extra attempt
	// measures its latency again. Its next reply then replaces the average instead of being
	// weighed into it.
	ExploreIntervalMillis = 5 * Second
	// Priorities is the number of priority levels of request kinds.
	Priorities = 3
	// ShardsPerHedge is how many shards a query must have for each hedge it may send. Every
	// query may send at least one.
	ShardsPerHedge = 10
	// MergeMarginMillis is the time before the deadline that is reserved for merging the
	// answer.
	MergeMarginMillis = 3 * Millis(1)
	// ShedPauseMillis is the first pause before a shed attempt is sent again.
	ShedPauseMillis = 2 * Millis(1)
	// ExtraLoadShare is the ratio of extra attempts (hedges and retries) to first attempts
	// that the budget allows.
	ExtraLoadShare = 0.05
	// ExtraLoadBurst is how many extra attempts the budget may save up.
	ExtraLoadBurst = 20
	// HedgeQuantile is the latency quantile of a service after which a hedge is due.
	HedgeQuantile = 0.95
	// HedgeMinMillis is the shortest delay before a hedge.
	HedgeMinMillis = 2 * Millis(1)
	// LatencyWeight is the weight of one reply in the moving average of a replica's latency.
	LatencyWeight = 0.25
	// LatencyHalfLifeMillis is the half-life of a replica's excess over the median latency
	// of its service while the replica is not used.
	LatencyHalfLifeMillis = 1500 * Millis(1)
	// MedianQuantile is the quantile used as the typical latency.
	MedianQuantile = 0.5
	// LateFactor is the ratio of the estimated latency of an unanswered attempt to the time
	// it has waited.
	LateFactor = 2.0
	// LatencyWindow is how many latencies are kept for computing quantiles.
	LatencyWindow = 512
	// LocalBias is the factor on the score of replicas in the instance's own zone. Lower
	// scores are preferred.
	LocalBias = 0.4
	// SlowStartMillis is how long a new replica gets less than its share of requests.
	SlowStartMillis = 2 * Second
	// SlowStartFactor is the factor on the score of a new replica. It falls to 1 over
	// SlowStartMillis.
	SlowStartFactor = 4.0
	// ErrorWeight is the weight of one attempt in the moving average of a replica's error
	// rate.
	ErrorWeight = 0.15
	// ErrorPenalty is how much the error rate raises the score of a replica: a replica that
	// always fails scores 1+ErrorPenalty times as high.
	ErrorPenalty = 8.0
	// SilentAfterMillis is how long an attempt may go without a reply before its upstream
	// counts as unreachable, unless it was heard from in the meantime. It is longer than the
	// stalls of upstream processes.
	SilentAfterMillis = 200 * Millis(1)
	// EjectAfterFailures is how many failures in a row eject a replica.
	EjectAfterFailures = 3
	// EjectMinMillis is the duration of a replica's first ejection.
	EjectMinMillis = 500 * Millis(1)
	// EjectMaxMillis is the longest ejection of a replica.
	EjectMaxMillis = 10 * Second
	// MaxAttemptsPerShard is the largest number of attempts in a row for one shard of a
	// query, and for one order.
	MaxAttemptsPerShard = 4
	// EpisodeMillis is the length of the episodes whose mean latencies a speed estimate is the
	// median of. A step fills three of five within 1.2 s; a disturbance of 600 ms does not.
	EpisodeMillis = 400 * Millis(1)
	// EstimateHalfLifeMillis is the half-life of the excess of an upstream's estimated speed over
	// the median of its service, from EstimateHoldMillis after it was last measured. Until then
	// exploration can measure it; without the hold, requests of callers were sent to an upstream of
	// the own zone that was four times as slow as others, at 3% of all.
	EstimateHalfLifeMillis = 2 * Second
	EstimateHoldMillis     = 2 * Second
	// LoadHalfLifeMillis is the half-life of the difference between a reported load and the
	// upstream's mean. With 100 ms, instances followed the same old reports and overfilled one
	// upstream after the other (TestCapacityLoads, three speeds).
	LoadHalfLifeMillis = 30 * Millis(1)
	// SlowdownHalfLifeMillis is the half-life of the difference between the reported slowdown of
	// a machine and its mean. Neighbours of an upstream keep its machine busy for some 500 ms.
	SlowdownHalfLifeMillis = 200 * Millis(1)
	// ReportMeanHalfLifeMillis is the half-life of the difference between the mean reported
	// load of an upstream and that of its service, while it reports nothing.
	ReportMeanHalfLifeMillis = 2 * Second
	// ReportWeight is the weight of one report in the mean of an upstream, and
	// ServiceLoadWeight that in the mean of its service.
	ReportWeight      = 0.1
	ServiceLoadWeight = 0.05
	// DisturbanceHalfLifeMillis is the half-life of a short excess of latency, and
	// DisturbanceWeight the weight of one reply in it.
	DisturbanceHalfLifeMillis = 150 * Millis(1)
	DisturbanceWeight         = 0.1
	// ExploreEstimateMillis is the age from which the estimate of an upstream that it keeps
	// from being selected is measured again.
	ExploreEstimateMillis = 1 * Second
	// ExploreBudgetFraction is the fraction of the retry budget that measurements of upstreams
	// may use. The rest is reserved for hedges and retries.
	ExploreBudgetFraction = 0.4
	// ExploreMaxLoad is the mean load of a service, as a fraction of the slots, above which no
	// attempts are sent only to measure an upstream. Its upstreams are then all selected now and
	// then, as the others are loaded.
	ExploreMaxLoad = 0.8
	// SelectionSpread is the largest random excess of a score by a capacity estimate.
	SelectionSpread = 0.1
	// OwnRequestWeight times the load is how much each request that this instance has in flight
	// at an upstream adds to its expected latency, as a fraction. Own requests are known without
	// delay, unlike the load; without the weight, instances with the same reports choose the same
	// upstream (TestCapacityLoads, three speeds). At low loads, own requests hardly wait for each
	// other, and the weight sent requests to a slow upstream of the own zone.
	OwnRequestWeight = 0.5
	// LimitIncrease is how much a success adds to the concurrency limit of a replica.
	LimitIncrease = 0.05
	// LimitDecrease is the factor by which a shed request lowers the concurrency limit of a
	// replica.
	LimitDecrease = 0.7
)

// Routed requests.
const (
	// HedgeMedianFactor times the median latency of a route is the time after which an
	// attempt counts as late.
	HedgeMedianFactor = 1.9
	// HedgeObjectiveFactor times the latency objective of a route is the latest time at
	// which an attempt counts as late. It also applies while the median latency of the route
	// is unknown.
	HedgeObjectiveFactor = 0.25
	// HedgeBudgetFraction is the fraction of the retry budget that hedges may use. The rest
	// is reserved for retries after failures.
	HedgeBudgetFraction = 0.9
	// MaxArrivals is how many attempts of one request may arrive at one service, including
	// refused ones.
	MaxArrivals = 4
	// CloseMarginMillis is how long before its latency objective an answer with enough
	// shards is closed. It covers the merge and the round trip to a caller with a one-way
	// delay of 3 ms, twice for a caller that opens a connection.
	CloseMarginMillis = 16 * Millis(1)
	// PartsLogIntervalMillis is the shortest time between two log lines with the parts of an answer,
	// and PartsLogDebugMillis the same at the debug level. Such a line has an entry for each shard.
	PartsLogIntervalMillis = 10 * Second
	PartsLogDebugMillis    = 20 * Millis(1)
	// SlotWaitFactor times the latency objective is how long a request may wait for a free
	// slot at an upstream before it is refused.
	SlotWaitFactor = 0.2
	// AbandonedAttemptGraceMillis is how long an attempt may go on once its result is no
	// longer needed, so that its connection can be reused. It is longer than the stalls of
	// upstream processes and shorter than the time allowed for work on behalf of callers
	// that left.
	AbandonedAttemptGraceMillis = 250 * Millis(1)
	// OverloadRefuseFactor times the latency objective is the lag of the process above which
	// requests are refused, because another instance answers them sooner.
	OverloadRefuseFactor = 0.3
	// TimerSlackMillis is the delay of a timer from which its expiry no longer shows that an
	// upstream is late or silent. A timer that fires this late shows that the process lags
	// and has not yet read replies that have arrived.
	TimerSlackMillis = 25 * Millis(1)
	// ZoneSilentAttempts is how many attempts at upstreams of one zone must be late, with
	// nothing heard from the zone, for the whole zone to count as cut off.
	ZoneSilentAttempts = 8
	// ZoneSilentMillis is how long nothing must have been heard from such a zone. It is
	// longer than the slowest instances take to send a request to all shards.
	ZoneSilentMillis = 100 * Millis(1)
	// RetrySoonMillis is the retry delay sent with a refusal if another instance may accept
	// the request.
	RetrySoonMillis = 20 * Millis(1)
	// RetryLaterMillis is the retry delay sent with a refusal for lack of capacity.
	RetryLaterMillis = 100 * Millis(1)
	// ReplyMarginMillis is the time before the deadline that is reserved for sending the
	// answer to the caller.
	ReplyMarginMillis = 15 * Millis(1)
)

// Request limits that upstreams name.
const (
	// TokenTTLMillis is how long after its request a token may be used. It is short, so that
	// the requests within a few seconds hardly exceed the tokens granted in them.
	TokenTTLMillis = 500 * Millis(1)
	// TokenBurstMillis is the time for which a bucket saves up tokens, beyond the first.
	TokenBurstMillis = 250 * Millis(1)
	// TokenPrefetchMillis is the mean time between two requests for a token that no request waits
	// for, unless the token was used.
	TokenPrefetchMillis = 1 * Second
	// TokenRetryMillis is how long after a failed request for tokens the next one is sent.
	TokenRetryMillis = 100 * Millis(1)
	// TokenCallTimeoutMillis is the timeout of one call for tokens.
	TokenCallTimeoutMillis = 100 * Millis(1)
	// MaxTokenCalls is how many instances are asked for the same tokens, one after the other.
	MaxTokenCalls = 6
	// SubstituteShare is the largest part of a limit that an instance grants in place of one that
	// probably grants tokens to others. Both together stay below one and a half times the limit.
	SubstituteShare = 0.25
	// MaxTokensPerRequest is the largest number of tokens for one upstream in a request.
	MaxTokensPerRequest = 64
	// MinTokenRate is the lowest rate, in tokens a second, at which a bucket is filled. With a
	// limit of zero, some requests must be sent to learn that the limit has ended.
	MinTokenRate = 0.2
	// TokenBucketIdleMillis is how long an unused bucket is kept.
	TokenBucketIdleMillis = 1 * Minute
)

// Cold upstreams.
const (
	// ColdTokenTTLMillis is how long after its request a token for a cold upstream may be used. The
	// users' bound is on the requests of any second, so it is shorter than TokenTTLMillis.
	ColdTokenTTLMillis = 250 * Millis(1)
	// ColdBurstMillis is the time for which a bucket saves up tokens for a cold upstream.
	ColdBurstMillis = 100 * Millis(1)
	// ColdPrimaryShare is the share of the bound that the coordinator that is preferred to all
	// others may use. The rest is for those that take its place.
	ColdPrimaryShare = 0.75
	// ColdSubstituteShare times the share of a coordinator is that of the one next to it. The sum of
	// all such shares is 1/(1-ColdSubstituteShare), which is 1/ColdPrimaryShare.
	ColdSubstituteShare = 0.25
	// ColdLoneShare is the share of an instance that has heard from no other, though it should. It
	// fits into what the coordinator of the others leaves.
	ColdLoneShare = 0.125
	// ColdNoShareMillis is the wait that a coordinator states whose share is not worth a request.
	ColdNoShareMillis = 1 * Second
	// ColdRepublishMillis is how much later the end of a cold period must be than the newest fact
	// about it for another fact.
	ColdRepublishMillis = 1 * Second
	// CensusTTLMillis is how long an instance that was not heard from again counts in the shares of
	// tokens for cold upstreams. It may be on the other side of a division of the fleet.
	CensusTTLMillis = 10 * Minute
	// CensusSlackMillis is added to the time of two exchanges, after which an instance that was not
	// heard from counts as out of reach, and to that time again until it no longer counts as a
	// coordinator of others.
	CensusSlackMillis = 1 * Second
	// RampMinFraction is the fraction of its concurrency limit with which an upstream returns after
	// a cold period or a pause. It rises to the whole over SlowStartMillis.
	RampMinFraction = 0.25
)

// Signals in responses of upstreams.
const (
	// MaxPauseMillis is the longest pause of an upstream.
	MaxPauseMillis = 1 * Minute
	// MarksTTLMillis is how long it is remembered that an upstream is leaving after it was last in
	// the instance list. An instance that takes over may have an old list.
	MarksTTLMillis = 10 * Minute
)

// Aggregators: instances that send requests to upstreams on behalf of others.
const (
	// AggregatorCapacityRatio is the largest ratio of the highest capacity in the fleet to the
	// capacity of an aggregator. Weaker instances send no requests to upstreams themselves.
	AggregatorCapacityRatio = 2
	// AggregatorsPerZone is the number of aggregators in a zone that has more than twice as
	// many candidates. In any other zone, all candidates are aggregators.
	AggregatorsPerZone = 8
	// InstancesPerAggregator is how many instances of a zone share one aggregator if that
	// makes more than AggregatorsPerZone.
	InstancesPerAggregator = 8
	// MinDelegates is how many delegates in its own zone an instance needs to do without
	// delegates in other zones.
	MinDelegates = 2
	// MaxDelegates is the largest number of instances that one instance delegates to.
	MaxDelegates = 3
	// DelegateExchangeMillis is the pause between two exchanges with the first delegate. It
	// bounds how long a delegate that fell silent gets requests.
	DelegateExchangeMillis = 1 * Second
	// SpareExchangeMillis is the pause between two exchanges with each other delegate. These
	// get requests only if the first one fails.
	SpareExchangeMillis = 3 * Second
	// JoinExchangeMillis is the pause between two exchanges with the same peer while an
	// instance joins the fleet.
	JoinExchangeMillis = 250 * Millis(1)
	// MaxServicesWithoutJoining is the largest number of configured services with which a
	// starting instance sends requests to upstreams at once, without waiting to hear from
	// other instances. Connections to so few upstreams do no harm.
	MaxServicesWithoutJoining = 64
	// JoinRetryMillis is the pause after a failed exchange while a starting instance has not
	// heard from any other. JoinSearchMillis is how long after the start this pause applies:
	// all instances may be starting.
	JoinRetryMillis  = 100 * Millis(1)
	JoinSearchMillis = 10 * Second
	// JoinExchangeTimeoutMillis is the timeout of an exchange during that search. It is much
	// shorter than the first retransmission of a lost TCP handshake, which takes 1 s.
	JoinExchangeTimeoutMillis = 200 * Millis(1)
	// delegationMillis is how long a choice of delegates is kept, unless one fails.
	delegationMillis = 200 * Millis(1)
	// DelegateHopMillis is the time reserved for sending a delegated request and its answer
	// between two instances, one of which has little processor time.
	DelegateHopMillis = 5 * Millis(1)
	// DelegateConfirmMillis is how long a delegate has to confirm that it received a request. It
	// covers a tenth of a second in which an instance may get no processor time.
	DelegateConfirmMillis = 100 * Millis(1)
	// DelegateConfirmGraceMillis is the additional time in which an instance that was stalled
	// itself reads a confirmation that has arrived.
	DelegateConfirmGraceMillis = 10 * Millis(1)
	// DelegateCheckDelayMillis is how long after the objective of a delegated request its
	// delegate is checked, unless it was heard from since the request was sent.
	DelegateCheckDelayMillis = 100 * Millis(1)
	// DelegateCheckIntervalMillis is the pause between two such checks while the request is
	// in flight.
	DelegateCheckIntervalMillis = 500 * Millis(1)
	// MinGroupShards is how many shards another zone must have for an instance there to
	// gather them. With fewer, late shards cost more than the saved bytes are worth.
	MinGroupShards = 16
	// MaxGroupShards is how many shards of a query one instance asks if other instances can
	// ask the rest. Asking this many takes 8 ms of one core, a tenth of the usual
	// objective.
	MaxGroupShards = 64
	// MinGroupObjectiveMillis is the shortest latency objective of a route whose shards are
	// gathered in groups. A shorter one leaves no time for the extra hop and for late
	// shards.
	MinGroupObjectiveMillis = 75 * Millis(1)
	// GroupReportMillis is the shortest time between two reports on a group. A message for
	// each part would cost as much as asking the shard directly.
	GroupReportMillis = 8 * Millis(1)
	// GroupLateDelayMillis is the time from when the first report on a group is due until its
	// late shards are asked directly. It covers the round trip and the work for one report.
	GroupLateDelayMillis = 5 * Millis(1)
	// GroupSilentDelayMillis is the same delay for a group without any report. It is longer,
	// because an instance that is busy for a moment already has most of the parts.
	GroupSilentDelayMillis = 25 * Millis(1)
	// OffloadLagMillis is the lag from which an instance offloads its requests to other
	// instances. From this lag on it also refuses to gather groups for others.
	OffloadLagMillis = 8.0
	// OffloadMinMillis and OffloadMaxMillis are the first and the longest time for which an
	// instance goes on offloading requests after it last lagged. The time doubles if it lags
	// again less than OffloadResetMillis after that time has ended. Otherwise it starts from
	// the first again.
	OffloadMinMillis   = 2 * Second
	OffloadMaxMillis   = 16 * Second
	OffloadResetMillis = 5 * Second
	// OffloadRefuseFactor times the latency objective is the lag above which a request is
	// refused even if another instance would answer it.
	OffloadRefuseFactor = 0.5
	// MaxOffloadTargets is how many other instances are tried for an offloaded request.
	MaxOffloadTargets = 2
	// BusyMillis is how long an instance that refused a request because it lagged gets no
	// more requests.
	BusyMillis = 1 * Second
	// WarmupMillis is how long an instance that has stopped delegating waits for its first
	// read of the platform before it sends requests to upstreams itself.
	WarmupMillis = 1500 * Millis(1)
	// ReconnectAfterTimeouts is how many exchanges in a row must go unanswered before the
	// connection to a peer is reopened, because the connection itself may be dead.
	ReconnectAfterTimeouts = 2
)

// Requests that crash upstreams.
const (
	// ConvictAfterCrashes is how many crashes of upstreams lead to the conviction of a request.
	// Such a request is refused. Only crashes in isolated runs count or, for a routed request,
	// crashes one after the other.
	ConvictAfterCrashes = 2
	// SuspectAfterLosses is how many lost connections make a query a suspect.
	SuspectAfterLosses = 2
	// CrashConfirmMillis is the time from a lost connection until the check whether probes
	// found its upstream unreachable. If they did, the upstream counts as crashed. The delay
	// leaves time for a probe.
	CrashConfirmMillis = 400 * Millis(1)
	// TrialDelayMillis is the time from a conviction until the request may run once more, on one
	// upstream, to find out whether it is still to blame. It leaves crashed upstreams the time to
	// start again. Up to half of it is added at random, so that instances do not try at the same
	// moment. After each crash in a trial the delay is TrialDelayFactor times as long.
	TrialDelayMillis = 10 * Second
	TrialDelayFactor = 4
	// MaxTrials is how many trials of a convicted request may crash an upstream. There are no
	// further ones before the verdict expires.
	MaxTrials = 3
	// VerdictTTLMillis is how long a verdict on a request holds.
	VerdictTTLMillis = 10 * Minute
	// FactTTLMillis is how long facts other than verdicts are gossiped: leaving upstreams
	// and moved tickets.
	FactTTLMillis = 2 * Minute
	// MaxFacts is the largest number of facts that an instance keeps.
	MaxFacts = 4096
	// MaxKnownPeers is how many other instances an instance learns of from messages.
	MaxKnownPeers = 4096
)

// Orders: requests that may not be repeated.
const (
	// TicketTTLMillis is how long a ticket is valid.
	TicketTTLMillis = 2 * Minute
	// DefaultOrderTimeoutMillis is how long a caller that sets no deadline waits for the
	// answer to an order.
	DefaultOrderTimeoutMillis = 1 * Minute
	// MaxTicketRuns is the largest number of runs that a ticket book records.
	MaxTicketRuns = 100_000
)
