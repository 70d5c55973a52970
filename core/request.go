package core

import (
	"encoding/hex"
	"strconv"

	"github.com/cespare/xxhash/v2"
)

// Request is what a caller asks of one collection.
type Request struct {
	// ID is the caller's identity for the request, or one chosen on arrival.
	ID         string
	Collection string
	Kind       string
	// Key names the record of a fetch or of an order.
	Key string
	// Body is passed on to the upstreams unread.
	Body string
	// SchemaVersions are the record versions that the caller reads; empty means all.
	SchemaVersions Set[int]
	// Deadline is when the caller stops waiting.
	Deadline Millis
	// Arrived is when the request was read.
	Arrived Millis
}

// Fingerprint identifies requests that make an upstream do the same work.
func (r Request) Fingerprint() string {
	return fingerprintOf(r.Collection, r.Kind, r.Key, r.Body)
}

// fingerprintOf returns a hash of the parts and of where each ends.
func fingerprintOf(parts ...string) string {
	digest := xxhash.New()
	for _, part := range parts {
		_, _ = digest.WriteString(strconv.Itoa(len(part)))
		_, _ = digest.WriteString(":")
		_, _ = digest.WriteString(part)
	}
	return hex.EncodeToString(digest.Sum(nil))
}

// Outcome is what is known of a request when its caller gets an answer.
type Outcome string

// The three outcomes of a request.
const (
	// OutcomeAnswered means that the request ran and this is its answer.
	OutcomeAnswered Outcome = "answered"
	// OutcomeNotRun means that no upstream ran any part of the request.
	OutcomeNotRun Outcome = "refusedNotRun"
	// OutcomeUnknown means that the request, or a part of it, may have run.
	OutcomeUnknown Outcome = "unknown"
)

// Reason says why a request has no whole answer.
type Reason string

// The reasons given to callers.
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
	// ReasonOtherConfiguration is given to a peer only: it has another configuration in
	// force than the instance that it delegates a request to.
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
	// ReasonCallerLeft is the reason of an unknown outcome that nobody waits for any more.
	ReasonCallerLeft Reason = "callerLeft"
)

// Record is one record of a collection as an upstream returned it.
type Record struct {
	Key           string
	SchemaVersion int
	Value         string
}

// Coverage is the part of the key space that an answer accounts for.
type Coverage struct {
	Covered uint64
	Total   uint64
	// Missing are the ranges without an answer.
	Missing []KeyRange
	// Unreadable are records whose schema version the caller does not read.
	// Their positions count as not covered.
	Unreadable []UnreadableRecord
}

// UnreadableRecord names a record that was left out of an answer.
type UnreadableRecord struct {
	Key           string
	SchemaVersion int
}

// Fraction returns the coverage from 0 to 1.
func (c Coverage) Fraction() float64 {
	if c.Total == 0 {
		return 0
	}
	return float64(c.Covered) / float64(c.Total)
}

// Whole reports whether nothing is missing.
func (c Coverage) Whole() bool {
	return c.Total > 0 && c.Covered == c.Total
}

// Answer is what a caller gets for a request.
type Answer struct {
	RequestID string
	Outcome   Outcome
	Reason    Reason
	// Detail explains the reason to a person.
	Detail string
	// Instance is the entry instance that answered.
	Instance string
	// ConfigurationVersion is the configuration that the request was answered under.
	ConfigurationVersion uint64
	Snapshot             uint64
	Coverage             Coverage
	// Sufficient is false when the coverage is below the least of the kind.
	Sufficient bool
	Records    []Record
	// Result is the upstream's answer to an order.
	Result string
	// Attempts is the number of requests sent to upstreams.
	Attempts int
	// Shards is the least number of requests that could have answered.
	Shards  int
	Elapsed Millis
}

// Refuse returns an answer that says the request was not run.
func Refuse(id string, reason Reason, detail string) Answer {
	return Answer{RequestID: id, Outcome: OutcomeNotRun, Reason: reason, Detail: detail}
}

// Unknown returns an answer that says the request may have run.
func Unknown(id string, reason Reason, detail string) Answer {
	return Answer{RequestID: id, Outcome: OutcomeUnknown, Reason: reason, Detail: detail}
}
