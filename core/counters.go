package core

import "sync/atomic"

// Counter identifies one event counter of an instance.
type Counter int

// The event counters of an instance.
const (
	// CountQueries counts requests of all sorts: queries, orders and routed requests.
	CountQueries Counter = iota
	// CountAnswered, CountRefused and CountUnknown count answers by outcome.
	CountAnswered
	CountRefused
	CountUnknown
	// CountPartial counts answers that do not cover everything, and CountInsufficient those
	// below the required coverage.
	CountPartial
	CountInsufficient
	// CountAttempts counts the requests sent to upstreams, extra attempts included.
	CountAttempts
	CountHedges
	CountHedgeWins
	CountRetries
	// CountDelegated counts requests passed to other instances, and CountDelegatedHere those
	// received from other instances.
	CountDelegated
	CountDelegatedHere
	// CountUnconfirmedDelegations counts requests that a delegate did not confirm in time.
	CountUnconfirmedDelegations
	// CountGroups counts groups of shards that other instances were asked to gather, and
	// CountGroupsHere those gathered for other instances.
	CountGroups
	CountGroupsHere
	// CountRetryBudgetExceeded counts hedges and retries that the retry budget prevented.
	CountRetryBudgetExceeded
	CountBadReplies
	// CountForeignReplies counts replies that belong to another request than the one sent.
	CountForeignReplies
	// CountExtraInputs counts input of upstreams that is no reply to the request on its
	// connection, such as the second copy of a reply.
	CountExtraInputs
	CountLostConnections
	// CountShedByUpstream counts attempts that upstreams refused for lack of capacity.
	CountShedByUpstream
	// CountSnapshotRestarts counts queries restarted because their snapshot was dropped.
	CountSnapshotRestarts
	CountMalformedRequests
	CountDuplicateIDs
	// CountOverloaded counts requests that a gate refused.
	CountOverloaded
	CountTicketsMinted
	// CountOrdersForwarded counts orders sent to the instance that minted their ticket.
	CountOrdersForwarded
	// CountOrdersJoined counts orders that shared the run of an earlier order with the same
	// ticket.
	CountOrdersJoined
	// CountConvictions counts convictions of requests that crash upstreams,
	// CountCrashingRequestsRefused the requests refused after one, and CountVerdictTrials those
	// that ran to find out whether the conviction still holds.
	CountConvictions
	CountCrashingRequestsRefused
	CountVerdictTrials
	CountConfigurationsAccepted
	CountConfigurationsRefused
	// CountConfigurationConflicts counts configurations that differ from the one in force with
	// the same version.
	CountConfigurationConflicts
	// CountInstanceListsRefused counts invalid instance lists.
	CountInstanceListsRefused
	CountPlatformReads
	CountPlatformFailures
	// CountStoreRewinds counts how often the platform's store came back from an older copy of itself.
	CountStoreRewinds
	CountPeerExchanges
	CountPeerFailures
	// CountMalformedPeerMessages counts malformed messages and non-protocol connections on
	// the peer port, and calls of peers that panicked.
	CountMalformedPeerMessages
	// CountPeerBytes counts bytes sent and received in calls of peers.
	CountPeerBytes
	// CountPauses counts suspensions of the process.
	CountPauses
	// CountTokenRequests counts requests for tokens of upstreams with a request limit, and
	// CountTokenFailures those without a reply from a coordinator.
	CountTokenRequests
	CountTokenFailures
	// CountLimited counts requests refused because of request limits.
	CountLimited
	// CountEvacuationChanges counts the zones whose evacuation began or ended.
	CountEvacuationChanges
	// CountColdPeriods counts upstreams that this instance began to treat as cold.
	CountColdPeriods
	// CountInvalidSignals counts statements of upstreams about themselves that can't be read.
	CountInvalidSignals
	// CountExplorations counts attempts that only measure an upstream again, and
	// CountEstimateChanges announced changes of capacity estimates.
	CountExplorations
	CountEstimateChanges
	// CountInvalidLoads counts replies with an invalid load.
	CountInvalidLoads
	// CountCallerWaits counts charges of connections that waited for memory, and
	// CountCallersRefused the requests that were refused for lack of it.
	CountCallerWaits
	CountCallersRefused
	// CountCallersClosed counts connections that were closed under pressure or at a timeout.
	CountCallersClosed
	// CountAnswersDropped counts answers that were not sent for lack of memory.
	CountAnswersDropped
	// CountUpstreamPauses counts pauses that upstreams asked for.
	CountUpstreamPauses
	// CountUnmerged1xx and the next ones count the replies of shards that were not merged because
	// of their status, by its class.
	CountUnmerged1xx
	CountUnmerged3xx
	CountUnmerged4xx
	CountUnmerged5xx
	// CountBadForeign and the next ones count the replies of shards with a defect.
	CountBadForeign
	CountBadAmbiguous
	CountBadOverlap
	CountBadUnsigned
	CountBadTooLarge
	CountBadStatus
	CountBadOther
	counterCount
)

var counterNames = [counterCount]string{
	CountQueries:                 "queries",
	CountAnswered:                "answered",
	CountRefused:                 "refusedNotRun",
	CountUnknown:                 "unknown",
	CountPartial:                 "partialAnswers",
	CountInsufficient:            "insufficientAnswers",
	CountAttempts:                "attempts",
	CountHedges:                  "hedges",
	CountHedgeWins:               "hedgeWins",
	CountRetries:                 "retries",
	CountDelegated:               "delegated",
	CountDelegatedHere:           "delegatedHere",
	CountUnconfirmedDelegations:  "unconfirmedDelegations",
	CountGroups:                  "groups",
	CountGroupsHere:              "groupsHere",
	CountRetryBudgetExceeded:     "repeatsRefusedByAllowance",
	CountBadReplies:              "badReplies",
	CountForeignReplies:          "foreignReplies",
	CountExtraInputs:             "extraInputs",
	CountLostConnections:         "lostConnections",
	CountShedByUpstream:          "shedByUpstream",
	CountSnapshotRestarts:        "snapshotRestarts",
	CountMalformedRequests:       "malformedRequests",
	CountDuplicateIDs:            "duplicateRequestIds",
	CountOverloaded:              "overloaded",
	CountTicketsMinted:           "ticketsMinted",
	CountOrdersForwarded:         "ordersForwarded",
	CountOrdersJoined:            "ordersJoined",
	CountConvictions:             "convictions",
	CountCrashingRequestsRefused: "crashingRequestsRefused",
	CountVerdictTrials:           "verdictTrials",
	CountConfigurationsAccepted:  "configurationsAccepted",
	CountConfigurationsRefused:   "configurationsRefused",
	CountConfigurationConflicts:  "configurationConflicts",
	CountInstanceListsRefused:    "instanceListsRefused",
	CountPlatformReads:           "platformReads",
	CountPlatformFailures:        "platformFailures",
	CountStoreRewinds:            "storeRewinds",
	CountPeerExchanges:           "peerExchanges",
	CountPeerFailures:            "peerFailures",
	CountMalformedPeerMessages:   "peerGarbage",
	CountPeerBytes:               "peerBytes",
	CountPauses:                  "pauses",
	CountTokenRequests:           "tokenRequests",
	CountTokenFailures:           "tokenFailures",
	CountLimited:                 "refusedByRequestLimit",
	CountEvacuationChanges:       "evacuationChanges",
	CountColdPeriods:             "coldPeriods",
	CountInvalidSignals:          "invalidSignals",
	CountExplorations:            "explorations",
	CountEstimateChanges:         "capacityEstimateChanges",
	CountInvalidLoads:            "invalidLoadReports",
	CountCallerWaits:             "callerMemoryWaits",
	CountCallersRefused:          "callersRefusedForMemory",
	CountCallersClosed:           "callerConnectionsClosed",
	CountAnswersDropped:          "answersDroppedForMemory",
	CountUpstreamPauses:          "upstreamPauses",
	CountUnmerged1xx:             "unmergedShardReplies1xx",
	CountUnmerged3xx:             "unmergedShardReplies3xx",
	CountUnmerged4xx:             "unmergedShardReplies4xx",
	CountUnmerged5xx:             "unmergedShardReplies5xx",
	CountBadForeign:              "badShardRepliesAnotherRequest",
	CountBadAmbiguous:            "badShardRepliesAmbiguous",
	CountBadOverlap:              "badShardRepliesOverlap",
	CountBadUnsigned:             "badShardRepliesNoSignature",
	CountBadTooLarge:             "badShardRepliesTooLarge",
	CountBadStatus:               "badShardRepliesInvalidStatus",
	CountBadOther:                "badShardRepliesOther",
}

// Metric names the metric that exports a counter. Counters that share a metric differ in the value of
// a label.
type Metric struct {
	Name       string
	Label      string
	LabelValue string
}

// sharedMetrics are the metrics of the counters that share one.
var sharedMetrics = map[Counter]Metric{
	CountUnmerged1xx:  {"unmergedShardReplies", "status", "1xx"},
	CountUnmerged3xx:  {"unmergedShardReplies", "status", "3xx"},
	CountUnmerged4xx:  {"unmergedShardReplies", "status", "4xx"},
	CountUnmerged5xx:  {"unmergedShardReplies", "status", "5xx"},
	CountBadForeign:   {"badShardReplies", "reason", string(DefectForeign)},
	CountBadAmbiguous: {"badShardReplies", "reason", string(DefectAmbiguous)},
	CountBadOverlap:   {"badShardReplies", "reason", string(DefectOverlap)},
	CountBadUnsigned:  {"badShardReplies", "reason", string(DefectUnsigned)},
	CountBadTooLarge:  {"badShardReplies", "reason", string(DefectTooLarge)},
	CountBadStatus:    {"badShardReplies", "reason", string(DefectStatus)},
	CountBadOther:     {"badShardReplies", "reason", "other"},
}

// Metric returns the metric that exports the counter.
func (c Counter) Metric() Metric {
	if metric, ok := sharedMetrics[c]; ok {
		return metric
	}
	return Metric{Name: c.String()}
}

// String returns the name of the counter in state dumps, in camel case.
func (c Counter) String() string {
	return counterNames[c]
}

// Counters holds the values of all event counters of an instance. It is safe for
// concurrent use.
type Counters struct {
	values [counterCount]atomic.Int64
}

// NewCounters returns counters that are all zero.
func NewCounters() *Counters {
	return &Counters{}
}

// Add adds delta to a counter.
func (c *Counters) Add(counter Counter, delta int) {
	c.values[counter].Add(int64(delta))
}

// Get returns the value of a counter.
func (c *Counters) Get(counter Counter) int64 {
	return c.values[counter].Load()
}

// All returns all counters in the order of their declaration.
func (c *Counters) All() []Counter {
	all := make([]Counter, counterCount)
	for i := range all {
		all[i] = Counter(i)
	}
	return all
}
