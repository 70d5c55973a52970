package core

import (
	"encoding/hex"
	"strconv"

	"github.com/cespare/xxhash/v2"
)

// Request is a caller's search, fetch or order on one collection.
type Request struct {
	// ID is the request ID that the caller chose, or one generated on arrival.
	ID         string
	Collection string
	Kind       string
	// Key names the record of a fetch or of an order.
	Key string
	// Body is forwarded to the upstreams without being parsed.
	Body string
	// SchemaVersions holds the record schema versions that the caller reads. Empty means all.
	SchemaVersions Set[int]
	// Deadline is when the caller stops waiting. Zero means the timeout of the kind.
	Deadline Millis
	// Arrived is when this instance received the request.
	Arrived Millis
}

// Fingerprint returns a hash that is equal for requests that make an upstream do the same
// work.
func (r Request) Fingerprint() string {
	return fingerprintOf(r.Collection, r.Kind, r.Key, r.Body)
}

// fingerprintOf returns a hash of the parts and of their lengths, so that moving bytes from
// one part to the next changes it.
func fingerprintOf(parts ...string) string {
	digest := xxhash.New()
	for _, part := range parts {
		_, _ = digest.WriteString(strconv.Itoa(len(part)))
		_, _ = digest.WriteString(":")
		_, _ = digest.WriteString(part)
	}
	return hex.EncodeToString(digest.Sum(nil))
}

// Outcome says whether a request ran, as far as this is known when its caller gets an
// answer.
type Outcome string

// The three outcomes of a request.
const (
	// OutcomeAnswered means that the request ran and the answer holds its result.
	OutcomeAnswered Outcome = "answered"
	// OutcomeNotRun means that no upstream ran any part of the request.
	OutcomeNotRun Outcome = "refusedNotRun"
	// OutcomeUnknown means that the request or a part of it may have run, but no result is
	// known.
	OutcomeUnknown Outcome = "unknown"
)

// Reason says why a request was not answered.
type Reason string

// The reasons in answers to callers.
const (
	ReasonNone              Reason = ""
	ReasonMalformed         Reason = "malformed"
	ReasonTooLarge          Reason = "tooLarge"
	ReasonUnknownCollection Reason = "unknownCollection"
	ReasonUnknownKind       Reason = "unknownKind"
	ReasonWrongMode         Reason = "wrongMode"
	ReasonUnknownRoute      Reason = "unknownRoute"
	ReasonDeadlinePassed    Reason = "deadlinePassed"
	ReasonDuplicateID       Reason = "duplicateRequestId"
	ReasonOverloaded        Reason = "overloaded"
	ReasonNotReady          Reason = "notReady"
	// ReasonNoMemory refuses a request that was not read completely, because the memory is held
	// for others.
	ReasonNoMemory Reason = "noMemory"
	// ReasonOtherConfiguration is sent to peers only. It refuses a delegated request because
	// the sender has another configuration in force than this instance.
	ReasonOtherConfiguration Reason = "otherConfiguration"
	ReasonNoSnapshot         Reason = "noSnapshot"
	ReasonNoUpstream         Reason = "noUpstream"
	ReasonCrashesUpstreams   Reason = "crashesUpstreams"
	ReasonTicketInvalid      Reason = "ticketInvalid"
	ReasonTicketExpired      Reason = "ticketExpired"
	ReasonTicketReused       Reason = "ticketReused"
	ReasonHomeLost           Reason = "ticketHomeLost"
	ReasonUpstreamRefused    Reason = "upstreamRefused"
	ReasonConnectionLost     Reason = "connectionLost"
	ReasonTimeout            Reason = "timeout"
	// ReasonCallerLeft is the reason of an unknown outcome whose caller has disconnected.
	ReasonCallerLeft Reason = "callerLeft"
)

// Record is one record of a collection as an upstream returned it.
type Record struct {
	Key           string
	SchemaVersion int
	Value         string
}

// Coverage says which of the requested positions an answer covers.
type Coverage struct {
	// Covered and Total are the numbers of positions that are covered and were requested.
	Covered uint64
	Total   uint64
	// Missing holds the requested ranges that are not covered.
	Missing []KeyRange
	// Unreadable lists the records whose schema version the caller does not read. Their
	// positions count as missing.
	Unreadable []UnreadableRecord
}

// UnreadableRecord identifies a record that was omitted because the caller does not read
// its schema version.
type UnreadableRecord struct {
	Key           string
	SchemaVersion int
}

// Fraction returns the covered fraction of the requested positions, from 0 to 1.
func (c Coverage) Fraction() float64 {
	if c.Total == 0 {
		return 0
	}
	return float64(c.Covered) / float64(c.Total)
}

// IsComplete reports whether all requested positions are covered.
func (c Coverage) IsComplete() bool {
	return c.Total > 0 && c.Covered == c.Total
}

// Answer is the response to a request.
type Answer struct {
	RequestID string
	Outcome   Outcome
	Reason    Reason
	// Detail is a human-readable explanation of Reason.
	Detail string
	// Instance names the entry instance that answered.
	Instance string
	// ConfigurationVersion is the version of the configuration under which the request was
	// answered.
	ConfigurationVersion uint64
	// Snapshot is the ID of the snapshot to which Coverage and Records belong.
	Snapshot uint64
	Coverage Coverage
	// Sufficient is set if the coverage reaches the minimum that the kind requires.
	Sufficient bool
	Records    []Record
	// Result is the upstream's reply to an order.
	Result string
	// Attempts is the number of attempts sent to upstreams, and Shards the number of services
	// that were queried. A complete answer takes at least one attempt for each of them.
	Attempts int
	Shards   int
	// Elapsed is the time from the arrival of the request to its answer.
	Elapsed Millis
}

// Refuse returns an answer with OutcomeNotRun.
func Refuse(id string, reason Reason, detail string) Answer {
	return Answer{RequestID: id, Outcome: OutcomeNotRun, Reason: reason, Detail: detail}
}

// Unknown returns an answer with OutcomeUnknown.
func Unknown(id string, reason Reason, detail string) Answer {
	return Answer{RequestID: id, Outcome: OutcomeUnknown, Reason: reason, Detail: detail}
}
