package core

import (
	"context"
	"errors"
	"fmt"
)

// Phase is the lifecycle state that an upstream reports.
type Phase string

// The phases of an upstream.
const (
	PhaseUnknown  Phase = ""
	PhaseStarting Phase = "starting"
	PhaseLive     Phase = "live"
	PhaseLeaving  Phase = "leaving"
)

// UpstreamStatus is what an upstream reports in replies and probe responses.
type UpstreamStatus struct {
	// Incarnation increases with each start of the upstream's process.
	Incarnation uint64
	Phase       Phase
	// Snapshots maps each collection to the snapshots that the upstream serves.
	Snapshots map[string]Set[uint64]
	// Load is the upstream's own measure of its load, from 0 to 1. It may be out of
	// date or wrong.
	Load float64
	// Signals is set only by probes.
	Signals UpstreamSignals
}

// Target is an upstream with what is needed to send requests to it.
type Target struct {
	Name    string
	Address string
	Service string
	// MaxConnections is the maximum number of open connections to the upstream.
	MaxConnections int
	// HealthPath is the path of the upstream's health check.
	HealthPath string
	// Incarnation is the last known incarnation of the upstream.
	Incarnation uint64
}

// SearchAttempt is one request to one upstream for a part of a query.
type SearchAttempt struct {
	// QueryID and AttemptID must both be repeated in the reply.
	QueryID    string
	AttemptID  string
	Collection string
	Kind       string
	Key        string
	Body       string
	Snapshot   uint64
	Ranges     []KeyRange
	Deadline   Millis
	// Confirm is called before the attempt is sent if it had to wait for a connection. It is not
	// sent if Confirm returns an error. The upstream may have begun to leave meanwhile.
	Confirm func(ctx context.Context) error
}

// SearchReply is a complete and verified reply to a SearchAttempt.
type SearchReply struct {
	// Covered holds the requested positions that the reply accounts for.
	Covered []KeyRange
	Records []Record
	Status  UpstreamStatus
}

// OrderAttempt is one request to one upstream that must not be repeated.
type OrderAttempt struct {
	QueryID    string
	AttemptID  string
	Collection string
	Kind       string
	Key        string
	Body       string
	// OrderID identifies the order at the upstream.
	OrderID  string
	Deadline Millis
	// Confirm has the same use as in SearchAttempt.
	Confirm func(ctx context.Context) error
}

// OrderReply is a complete and verified reply to an OrderAttempt.
type OrderReply struct {
	Result string
	Status UpstreamStatus
}

// FailureKind classifies attempts that got no usable reply.
type FailureKind string

// The kinds of failed attempts.
const (
	// FailureNotSent means that no byte of the request was sent.
	FailureNotSent FailureKind = "notSent"
	// FailureNotRun means that the upstream replied that it did not run the request.
	FailureNotRun FailureKind = "notRun"
	// FailureNoSnapshot means that the upstream does not serve the pinned
	// snapshot and did not run the request.
	FailureNoSnapshot FailureKind = "noSnapshot"
	// FailureMisdirected means that another upstream now has the address. It did not
	// run the request.
	FailureMisdirected FailureKind = "misdirected"
	// FailureError means that the upstream ran the request and failed.
	FailureError FailureKind = "upstreamError"
	// FailureLost means that the connection broke after bytes had been sent.
	FailureLost FailureKind = "lost"
	// FailureTimeout means that the deadline passed or the attempt was cancelled.
	FailureTimeout FailureKind = "timeout"
	// FailureBadReply means that the reply was incomplete or belongs to another attempt.
	FailureBadReply FailureKind = "badReply"
)

// AttemptError is the error of an attempt.
type AttemptError struct {
	Kind   FailureKind
	Detail string
	// Status is the status that the upstream reported, if any.
	Status Option[UpstreamStatus]
	// Rejected describes the reply that was not used, if at least its head was read.
	Rejected RejectedReply
	Cause    error
}

// Error implements the error interface.
func (e *AttemptError) Error() string {
	if e.Cause != nil {
		return fmt.Sprintf("attempt %s: %s: %v", e.Kind, e.Detail, e.Cause)
	}
	return fmt.Sprintf("attempt %s: %s", e.Kind, e.Detail)
}

// Unwrap returns Cause.
func (e *AttemptError) Unwrap() error {
	return e.Cause
}

// ProvesNotRun reports whether the failure proves that the upstream did not run the
// request.
func (e *AttemptError) ProvesNotRun() bool {
	switch e.Kind {
	case FailureNotSent, FailureNotRun, FailureNoSnapshot, FailureMisdirected:
		return true
	}
	return false
}

// connectFailed reports whether connecting to the upstream failed. A timeout, a
// cancellation and a lack of free connections don't count.
func (e *AttemptError) connectFailed() bool {
	return e.Kind == FailureNotSent && e.Cause != nil &&
		!errors.Is(e.Cause, context.Canceled) && !errors.Is(e.Cause, context.DeadlineExceeded)
}

// attemptFailure returns err as an *AttemptError. Errors of another type count as
// FailureLost.
func attemptFailure(err error) *AttemptError {
	var failure *AttemptError
	if errors.As(err, &failure) {
		return failure
	}
	return &AttemptError{Kind: FailureLost, Detail: "unclassified", Cause: err}
}

// ErrNotSendable means that an upstream may get no new requests any more.
var ErrNotSendable = errors.New("the upstream may get no new requests any more")

// ErrNoFreeConnection means that a request was not sent because all connections to
// the upstream were in use.
var ErrNoFreeConnection = errors.New("all connections are in use")

// RoutedAttempt is one routed request to one upstream.
type RoutedAttempt struct {
	ID       string
	Message  Message
	Deadline Millis
	// Confirm has the same use as in SearchAttempt.
	Confirm func(ctx context.Context) error
}

// RoutedClient sends routed requests to upstreams. Its errors are *AttemptError.
type RoutedClient interface {
	Send(ctx context.Context, target Target, attempt RoutedAttempt) (RoutedReply, error)
}

// UpstreamClient sends attempts to upstreams. Its errors are *AttemptError.
type UpstreamClient interface {
	ProbeClient
	Search(ctx context.Context, target Target, attempt SearchAttempt) (SearchReply, error)
	Order(ctx context.Context, target Target, attempt OrderAttempt) (OrderReply, error)
}

// ProbeClient probes upstreams and manages the connections to them. Its errors are
// *AttemptError.
type ProbeClient interface {
	// Probe requests the upstream's status and opens connections to it in advance.
	Probe(ctx context.Context, target Target) (UpstreamStatus, error)
	// Retain closes the connections to all upstreams except those in names.
	Retain(names Set[string])
}
