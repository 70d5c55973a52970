// Package upstream sends HTTP requests to upstreams over a bounded pool of
// connections to each, and verifies that each reply is complete and belongs to
// its request.
package upstream

import (
	"context"
	"encoding/json"
	"net"
	"net/http"
	"strconv"
	"sync"
	"time"

	"github.com/go-logr/logr"

	"acaciavane/core"
)

// Client implements core.UpstreamClient.
type Client struct {
	clock    core.Clock
	dialer   *net.Dialer
	counters *core.Counters
	budget   *replyBudget
	extra    *extraLog
	// overlapWait is how long the rest of an overlapping reply is waited for.
	overlapWait time.Duration

	mu    sync.Mutex
	pools map[string]*connPool
}

// New returns a client that opens connections with the dialer as they are needed.
func New(clock core.Clock, dialer *net.Dialer, counters *core.Counters) *Client {
	return &Client{
		clock:    clock,
		dialer:   dialer,
		counters: counters,
		budget:   &replyBudget{},
		extra:    &extraLog{clock: clock, log: logr.Discard(), upstreams: map[string]*extraCount{}},
		pools:    map[string]*connPool{},

		overlapWait: overlapWait,
	}
}

// poolFor returns the connection pool of the target. It creates a pool for a new
// target, replaces the pool if the address has changed, and resizes it if the
// number of connections has changed.
func (c *Client) poolFor(target core.Target) *connPool {
	c.mu.Lock()
	defer c.mu.Unlock()
	pool, ok := c.pools[target.Name]
	if ok && pool.target.Address == target.Address {
		if pool.target.MaxConnections != target.MaxConnections {
			pool.target = target
			pool.resize(target.MaxConnections)
		}
		return pool
	}
	if ok {
		pool.close()
	}
	created := newConnPool(c.clock, c.dialer, c.budget, target)
	created.overlapWait = c.overlapWait
	created.onExtra = func(input extraInput) { c.recordExtra(created, input, "") }
	c.pools[target.Name] = created
	return created
}

// Retain implements core.UpstreamClient.
func (c *Client) Retain(names core.Set[string]) {
	c.extra.retain(names)
	c.mu.Lock()
	defer c.mu.Unlock()
	for name, pool := range c.pools {
		if !names.Has(name) {
			pool.close()
			delete(c.pools, name)
		}
	}
}

// Search implements core.UpstreamClient.
func (c *Client) Search(ctx context.Context, target core.Target, attempt core.SearchAttempt) (core.SearchReply, error) {
	var reply SearchReply
	err := c.post(ctx, target, PathSearch, toSearchRequest(attempt, c.clock.Now()), attempt.Confirm, &reply, func() error {
		return checkSearch(attempt, reply)
	})
	if err != nil {
		return core.SearchReply{}, err
	}
	return core.SearchReply{
		Covered: fromRanges(reply.Covered),
		Records: fromRecords(reply.Records),
		Status:  fromStatus(reply.Status),
	}, nil
}

// Order implements core.UpstreamClient.
func (c *Client) Order(ctx context.Context, target core.Target, attempt core.OrderAttempt) (core.OrderReply, error) {
	var reply OrderReply
	err := c.post(ctx, target, PathOrder, toOrderRequest(attempt, c.clock.Now()), attempt.Confirm, &reply, func() error {
		return checkOrder(attempt, reply)
	})
	if err != nil {
		return core.OrderReply{}, err
	}
	return core.OrderReply{Result: reply.Result, Status: fromStatus(reply.Status)}, nil
}

// checkSearch verifies that the reply is complete, that it belongs to the
// attempt, and that it comes from the pinned snapshot.
func checkSearch(attempt core.SearchAttempt, reply SearchReply) error {
	err := checkIdentity(identity{attempt.QueryID, attempt.AttemptID, attempt.AttemptID},
		identity{reply.QueryID, reply.AttemptID, reply.End})
	if err != nil {
		return err
	}
	if err := checkOutcome(reply.Outcome, reply.Reason, reply.Status); err != nil {
		return err
	}
	if reply.Snapshot != attempt.Snapshot {
		return badReply("the reply comes from another snapshot")
	}
	if reply.RecordCount != len(reply.Records) {
		return badReply("the reply lacks records")
	}
	return nil
}

// checkOrder verifies that the reply is complete and belongs to the attempt.
func checkOrder(attempt core.OrderAttempt, reply OrderReply) error {
	err := checkIdentity(identity{attempt.QueryID, attempt.AttemptID, attempt.AttemptID},
		identity{reply.QueryID, reply.AttemptID, reply.End})
	if err != nil {
		return err
	}
	return checkOutcome(reply.Outcome, reply.Reason, reply.Status)
}

// identity holds the identifiers that a reply must echo from its request.
type identity struct {
	query   string
	attempt string
	end     string
}

func checkIdentity(want, got identity) error {
	if want != got {
		return badReply("the reply belongs to another attempt, or its end is missing")
	}
	return nil
}

// checkOutcome returns nil if the upstream has answered the request, and a
// *core.AttemptError if it has not run it or if the outcome is not a known one.
func checkOutcome(outcome, reason string, status Status) error {
	switch outcome {
	case OutcomeAnswered:
		return nil
	case OutcomeNotRun:
		kind := core.FailureNotRun
		if reason == ReasonNoSnapshot {
			kind = core.FailureNoSnapshot
		}
		return &core.AttemptError{Kind: kind, Detail: reason, Status: core.Some(fromStatus(status))}
	}
	return badReply("the reply has no known outcome")
}

// post sends body as JSON, after confirm has allowed it, and decodes the response into reply. It fails if check
// then returns an error.
func (c *Client) post(ctx context.Context, target core.Target, path string, body any, confirm func(context.Context) error, reply any, check func() error) error {
	encoded, err := json.Marshal(body)
	if err != nil {
		return &core.AttemptError{Kind: core.FailureNotSent, Detail: "encode request", Cause: err}
	}
	request := Request{
		Method: http.MethodPost,
		Target: path,
		Host:   target.Address,
		Fields: []core.Field{{Name: "Content-Type", Value: "application/json"}},
		Body:   encoded,

		Confirm: confirm,
	}
	_, err = c.Exchange(ctx, target, request, nil, func(response Response) error {
		if err := json.Unmarshal(response.Body, reply); err != nil {
			return &core.AttemptError{Kind: core.FailureBadReply, Detail: "decode reply", Cause: err}
		}
		if err := check(); err != nil {
			return err
		}
		return checkStatus(response.Status)
	})
	return err
}

// checkStatus returns an error if the HTTP status of a reply is that of a failure, whatever its
// body says.
func checkStatus(status int) error {
	if status < http.StatusOK || status >= http.StatusMultipleChoices {
		return &core.AttemptError{Kind: core.FailureError, Detail: "status " + strconv.Itoa(status)}
	}
	return nil
}

// Probe implements core.UpstreamClient. It opens the connections that are not
// open yet and requests the upstream's status on one of them. If all connections
// are in use, it fails at once with core.ErrNoFreeConnection.
func (c *Client) Probe(ctx context.Context, target core.Target) (core.UpstreamStatus, error) {
	pool := c.poolFor(target)
	if len(pool.tokens) == 0 {
		return core.UpstreamStatus{}, &core.AttemptError{Kind: core.FailureNotSent, Detail: "probe", Cause: core.ErrNoFreeConnection}
	}
	pool.preconnect(ctx, target.MaxConnections)
	var status Status
	request := Request{Method: http.MethodGet, Target: PathStatus, Host: target.Address}
	_, err := c.Exchange(ctx, target, request, nil, func(response Response) error {
		if err := json.Unmarshal(response.Body, &status); err != nil {
			return &core.AttemptError{Kind: core.FailureBadReply, Detail: "decode status", Cause: err}
		}
		if status.State == "" {
			return badReply("the reply is no status; it may be the late reply to another request")
		}
		return checkStatus(response.Status)
	})
	if err != nil {
		return core.UpstreamStatus{}, err
	}
	return fromStatus(status), nil
}
