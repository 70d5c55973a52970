package core

import (
	"context"
	"errors"
	"fmt"
)

// Phase is what an upstream says of itself.
type Phase string

// The phases of an upstream.
const (
	PhaseUnknown  Phase = ""
	PhaseStarting Phase = "starting"
	PhaseLive     Phase = "live"
	PhaseLeaving  Phase = "leaving"
)

// UpstreamStatus is what an upstream reports with each reply and to each probe.
type UpstreamStatus struct {
	// Incarnation grows with each start of the upstream's process.
	Incarnation uint64
	Phase       Phase
	// Snapshots maps each collection to the snapshots that the upstream serves.
	Snapshots map[string]Set[uint64]
	// Load is the upstream's own figure from 0 to 1. It lags and may mislead.
	Load float64
}

// Target is one upstream as the instance reaches it.
type Target struct {
	Name    string
	Address string
	Service string
	// Lanes is how many connections may be open to the upstream.
	Lanes int
	// HealthPath is where the upstream says whether it is healthy.
	HealthPath string
	// Incarnation is the one that is believed to run.
	Incarnation uint64
}

// SearchAttempt is one request to one upstream for a part of a query.
type SearchAttempt struct {
	// QueryID and AttemptID must both come back in the reply.
	QueryID    string
	AttemptID  string
	Collection string
	Kind       string
	Key        string
	Body       string
	Snapshot   uint64
	Ranges     []KeyRange
	Deadline   Millis
}

// SearchReply is a whole and verified reply to a SearchAttempt.
type SearchReply struct {
	// Covered are the asked positions that the reply accounts for.
	Covered []KeyRange
	Records []Record
	Status  UpstreamStatus
}

// OrderAttempt is one request that may not be repeated.
type OrderAttempt struct {
	QueryID    string
	AttemptID  string
	Collection string
	Kind       string
	Key        string
	Body       string
	// OrderID is the identity under which the upstream books the order.
	OrderID  string
	Deadline Millis
}

// OrderReply is a whole and verified reply to an OrderAttempt.
type OrderReply struct {
	Result string
	Status UpstreamStatus
}

// FailureKind classifies an attempt without a usable reply.
type FailureKind string

// The kinds of failed attempts.
const (
	// FailureNotSent means that no byte of the request left.
	FailureNotSent FailureKind = "notSent"
	// FailureNotRun means that the upstream itself said it did not run the request.
	FailureNotRun FailureKind = "notRun"
	// FailureNoSnapshot means that the upstream does not serve the pinned
	// snapshot and ran nothing.
	FailureNoSnapshot FailureKind = "noSnapshot"
	// FailureMisdirected means that another upstream has the address now. It ran
	// nothing.
	FailureMisdirected FailureKind = "misdirected"
	// FailureError means that the upstream ran the request and failed.
	FailureError FailureKind = "upstreamError"
	// FailureLost means that the connection broke after bytes had left.
	FailureLost FailureKind = "lost"
	// FailureTimeout means that the deadline passed or the attempt was cancelled.
	FailureTimeout FailureKind = "timeout"
	// FailureBadReply means that a reply came that is not the attempt's own, or not whole.
	FailureBadReply FailureKind = "badReply"
)

// AttemptError is the error of an attempt at an upstream.
type AttemptError struct {
	Kind   FailureKind
	Detail string
	// Status is what the upstream said of itself, where it said anything.
	Status Option[UpstreamStatus]
	Cause  error
}

// Error implements error.
func (e *AttemptError) Error() string {
	if e.Cause != nil {
		return fmt.Sprintf("attempt %s: %s: %v", e.Kind, e.Detail, e.Cause)
	}
	return fmt.Sprintf("attempt %s: %s", e.Kind, e.Detail)
}

// Unwrap returns the cause.
func (e *AttemptError) Unwrap() error {
	return e.Cause
}

// ProvesNotRun reports whether the failure proves that the upstream ran nothing.
func (e *AttemptError) ProvesNotRun() bool {
	switch e.Kind {
	case FailureNotSent, FailureNotRun, FailureNoSnapshot, FailureMisdirected:
		return true
	}
	return false
}

// refused reports whether a connection could not be made, other than for want
// of time or of a free one.
func (e *AttemptError) refused() bool {
	return e.Kind == FailureNotSent && e.Cause != nil &&
		!errors.Is(e.Cause, context.Canceled) && !errors.Is(e.Cause, context.DeadlineExceeded)
}

func attemptFailure(err error) *AttemptError {
	var failure *AttemptError
	if errors.As(err, &failure) {
		return failure
	}
	return &AttemptError{Kind: FailureLost, Detail: "unclassified", Cause: err}
}

// ErrNoFreeConnection means that an upstream was not asked because all
// connections to it were in use.
var ErrNoFreeConnection = errors.New("all connections are in use")

// RoutedAttempt is one routed request as one upstream gets it.
type RoutedAttempt struct {
	ID       string
	Message  Message
	Deadline Millis
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

// ProbeClient looks after the connections to upstreams. Its errors are
// *AttemptError.
type ProbeClient interface {
	// Probe asks for the upstream's status and opens its lanes ahead of need.
	Probe(ctx context.Context, target Target) (UpstreamStatus, error)
	// Retain closes the connections to all upstreams but those named.
	Retain(names Set[string])
}
