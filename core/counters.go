package core

import "sync/atomic"

// Counter names one of the instance's counters.
type Counter int

// The counters of an instance.
const (
	CountQueries Counter = iota
	CountAnswered
	CountRefused
	CountUnknown
	CountPartial
	CountInsufficient
	CountAttempts
	CountHedges
	CountHedgeWins
	CountRetries
	CountDelegated
	CountDelegatedHere
	CountGroups
	CountGroupsHere
	CountRepeatsRefused
	CountBadReplies
	CountForeignReplies
	CountLostConnections
	CountShedByUpstream
	CountSnapshotRestarts
	CountMalformedRequests
	CountDuplicateIDs
	CountOverloaded
	CountTicketsMinted
	CountOrdersForwarded
	CountOrdersJoined
	CountConvictions
	CountCrashersRefused
	CountConfigurationsAccepted
	CountConfigurationsRefused
	CountConfigurationConflicts
	CountListsRefused
	CountPlatformReads
	CountPlatformFailures
	CountPeerExchanges
	CountPeerFailures
	CountPeerGarbage
	CountPeerBytes
	CountPauses
	counterCount
)

var counterNames = [counterCount]string{
	CountQueries:                "queries",
	CountAnswered:               "answered",
	CountRefused:                "refusedNotRun",
	CountUnknown:                "unknown",
	CountPartial:                "partialAnswers",
	CountInsufficient:           "insufficientAnswers",
	CountAttempts:               "attempts",
	CountHedges:                 "hedges",
	CountHedgeWins:              "hedgeWins",
	CountRetries:                "retries",
	CountDelegated:              "delegated",
	CountDelegatedHere:          "delegatedHere",
	CountGroups:                 "groups",
	CountGroupsHere:             "groupsHere",
	CountRepeatsRefused:         "repeatsRefusedByAllowance",
	CountBadReplies:             "badReplies",
	CountForeignReplies:         "foreignReplies",
	CountLostConnections:        "lostConnections",
	CountShedByUpstream:         "shedByUpstream",
	CountSnapshotRestarts:       "snapshotRestarts",
	CountMalformedRequests:      "malformedRequests",
	CountDuplicateIDs:           "duplicateRequestIds",
	CountOverloaded:             "overloaded",
	CountTicketsMinted:          "ticketsMinted",
	CountOrdersForwarded:        "ordersForwarded",
	CountOrdersJoined:           "ordersJoined",
	CountConvictions:            "convictions",
	CountCrashersRefused:        "crashingRequestsRefused",
	CountConfigurationsAccepted: "configurationsAccepted",
	CountConfigurationsRefused:  "configurationsRefused",
	CountConfigurationConflicts: "configurationConflicts",
	CountListsRefused:           "instanceListsRefused",
	CountPlatformReads:          "platformReads",
	CountPlatformFailures:       "platformFailures",
	CountPeerExchanges:          "peerExchanges",
	CountPeerFailures:           "peerFailures",
	CountPeerGarbage:            "peerGarbage",
	CountPeerBytes:              "peerBytes",
	CountPauses:                 "pauses",
}

// String returns the counter's name in camel case.
func (c Counter) String() string {
	return counterNames[c]
}

// Counters holds all counters of an instance.
type Counters struct {
	values [counterCount]atomic.Int64
}

// NewCounters returns counters at zero.
func NewCounters() *Counters {
	return &Counters{}
}

// Add increases a counter.
func (c *Counters) Add(counter Counter, by int) {
	c.values[counter].Add(int64(by))
}

// Get returns the value of a counter.
func (c *Counters) Get(counter Counter) int64 {
	return c.values[counter].Load()
}

// All returns all counters in their order.
func (c *Counters) All() []Counter {
	all := make([]Counter, counterCount)
	for i := range all {
		all[i] = Counter(i)
	}
	return all
}
