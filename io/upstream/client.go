// Package upstream sends requests to upstreams by HTTP, on a fixed number of
// connections to each, and verifies that a reply is whole and the request's own.
package upstream

import (
	"context"
	"encoding/json"
	"net"
	"net/http"
	"sync"

	"acaciavane/core"
)

// Client implements core.UpstreamClient.
type Client struct {
	clock    core.Clock
	dialer   *net.Dialer
	counters *core.Counters
	memory   *replyMemory

	mu    sync.Mutex
	lanes map[string]*lanes
}

// New returns a client without connections, which it will make with the dialer.
func New(clock core.Clock, dialer *net.Dialer, counters *core.Counters) *Client {
	return &Client{clock: clock, dialer: dialer, counters: counters, memory: &replyMemory{}, lanes: map[string]*lanes{}}
}

func (c *Client) lanesOf(target core.Target) *lanes {
	c.mu.Lock()
	defer c.mu.Unlock()
	known, ok := c.lanes[target.Name]
	if ok && known.target.Address == target.Address {
		if known.target.Lanes != target.Lanes {
			known.target = target
			known.resize(target.Lanes)
		}
		return known
	}
	if ok {
		known.close()
	}
	fresh := newLanes(c.clock, c.dialer, c.memory, target)
	c.lanes[target.Name] = fresh
	return fresh
}

// Retain implements core.UpstreamClient.
func (c *Client) Retain(names core.Set[string]) {
	c.mu.Lock()
	defer c.mu.Unlock()
	for name, known := range c.lanes {
		if !names.Has(name) {
			known.close()
			delete(c.lanes, name)
		}
	}
}

// Search implements core.UpstreamClient.
func (c *Client) Search(ctx context.Context, target core.Target, attempt core.SearchAttempt) (core.SearchReply, error) {
	var reply SearchReply
	err := c.post(ctx, target, PathSearch, toSearchRequest(attempt, c.clock.Now()), &reply, func() error {
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
	err := c.post(ctx, target, PathOrder, toOrderRequest(attempt, c.clock.Now()), &reply, func() error {
		return checkOrder(attempt, reply)
	})
	if err != nil {
		return core.OrderReply{}, err
	}
	return core.OrderReply{Result: reply.Result, Status: fromStatus(reply.Status)}, nil
}

// checkSearch verifies that the reply is whole and the attempt's own, and that
// it comes from the pinned snapshot.
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

func checkOrder(attempt core.OrderAttempt, reply OrderReply) error {
	err := checkIdentity(identity{attempt.QueryID, attempt.AttemptID, attempt.AttemptID},
		identity{reply.QueryID, reply.AttemptID, reply.End})
	if err != nil {
		return err
	}
	return checkOutcome(reply.Outcome, reply.Reason, reply.Status)
}

// identity is what a reply must repeat of its request.
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

// post sends one request and decodes the reply, which check must accept.
func (c *Client) post(ctx context.Context, target core.Target, path string, body, reply any, check func() error) error {
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
	}
	_, err = c.Exchange(ctx, target, request, nil, func(response Response) error {
		if err := json.Unmarshal(response.Body, reply); err != nil {
			return &core.AttemptError{Kind: core.FailureBadReply, Detail: "decode reply", Cause: err}
		}
		return check()
	})
	return err
}

// Probe implements core.UpstreamClient. It opens the connections that are not
// open yet, and asks on one of them.
func (c *Client) Probe(ctx context.Context, target core.Target) (core.UpstreamStatus, error) {
	lanes := c.lanesOf(target)
	if len(lanes.room) == 0 {
		return core.UpstreamStatus{}, &core.AttemptError{Kind: core.FailureNotSent, Detail: "probe", Cause: core.ErrNoFreeConnection}
	}
	lanes.warm(ctx, target.Lanes)
	var status Status
	request := Request{Method: http.MethodGet, Target: PathStatus, Host: target.Address}
	_, err := c.Exchange(ctx, target, request, nil, func(response Response) error {
		if err := json.Unmarshal(response.Body, &status); err != nil {
			return &core.AttemptError{Kind: core.FailureBadReply, Detail: "decode status", Cause: err}
		}
		return nil
	})
	if err != nil {
		return core.UpstreamStatus{}, err
	}
	return fromStatus(status), nil
}
