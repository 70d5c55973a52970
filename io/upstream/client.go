// Package upstream sends requests to upstreams by HTTP, on a fixed number of
// connections to each, and verifies that a reply is whole and the request's own.
package upstream

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"io"
	"net"
	"net/http"
	"net/http/httptrace"
	"sync"
	"sync/atomic"

	"acaciavane/core"
)

// Client implements core.UpstreamClient.
type Client struct {
	clock  core.Clock
	dialer *net.Dialer

	mu    sync.Mutex
	lanes map[string]*pool
}

type pool struct {
	target core.Target
	lanes  *lanes
}

// New returns a client without connections, which it will make with the dialer.
func New(clock core.Clock, dialer *net.Dialer) *Client {
	return &Client{clock: clock, dialer: dialer, lanes: map[string]*pool{}}
}

func (c *Client) lanesOf(target core.Target) *lanes {
	c.mu.Lock()
	defer c.mu.Unlock()
	known, ok := c.lanes[target.Name]
	if ok && known.target == target {
		return known.lanes
	}
	if ok {
		known.lanes.close()
	}
	fresh := newLanes(c.clock, c.dialer, max(1, target.Lanes))
	c.lanes[target.Name] = &pool{target: target, lanes: fresh}
	return fresh
}

// Retain implements core.UpstreamClient.
func (c *Client) Retain(names core.Set[string]) {
	c.mu.Lock()
	defer c.mu.Unlock()
	for name, known := range c.lanes {
		if !names.Has(name) {
			known.lanes.close()
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

func badReply(detail string) *core.AttemptError {
	return &core.AttemptError{Kind: core.FailureBadReply, Detail: detail}
}

// post sends one request on one lane. The lane's connection is used again only
// after a whole reply that check accepts, or that proves the request was not run.
func (c *Client) post(ctx context.Context, target core.Target, path string, body, reply any, check func() error) error {
	encoded, err := json.Marshal(body)
	if err != nil {
		return &core.AttemptError{Kind: core.FailureNotSent, Detail: "encode request", Cause: err}
	}
	lanes := c.lanesOf(target)
	lane, err := lanes.take(ctx)
	if err != nil {
		return &core.AttemptError{Kind: core.FailureNotSent, Detail: "no free connection", Cause: err}
	}
	err = c.roundTrip(ctx, lane, target, path, encoded, reply)
	if err == nil {
		err = check()
	}
	if reusable(err) {
		lane.open.Store(true)
		lanes.put(lane)
	} else {
		lanes.replace(lane)
	}
	return err
}

func reusable(err error) bool {
	if err == nil {
		return true
	}
	var failure *core.AttemptError
	return errors.As(err, &failure) &&
		(failure.Kind == core.FailureNotRun || failure.Kind == core.FailureNoSnapshot)
}

func (c *Client) roundTrip(ctx context.Context, lane *lane, target core.Target, path string, body []byte, reply any) error {
	var sent atomic.Bool
	traced := httptrace.WithClientTrace(ctx, &httptrace.ClientTrace{
		WroteHeaderField: func(string, []string) { sent.Store(true) },
		WroteHeaders:     func() { sent.Store(true) },
	})
	request, err := http.NewRequestWithContext(traced, http.MethodPost, "http://"+target.Address+path, bytes.NewReader(body))
	if err != nil {
		return &core.AttemptError{Kind: core.FailureNotSent, Detail: "build request", Cause: err}
	}
	// Without GetBody the transport can't send the request a second time.
	request.GetBody = nil
	request.Header.Set("Content-Type", "application/json")
	response, err := lane.transport.RoundTrip(request)
	if err != nil {
		return transportError(ctx, sent.Load(), err)
	}
	defer func() { _ = response.Body.Close() }()
	raw, err := io.ReadAll(io.LimitReader(response.Body, core.MaxReplyBytes+1))
	if err != nil {
		return transportError(ctx, true, err)
	}
	if len(raw) > core.MaxReplyBytes {
		return badReply("the reply is too large")
	}
	if err := json.Unmarshal(raw, reply); err != nil {
		return &core.AttemptError{Kind: core.FailureBadReply, Detail: "decode reply", Cause: err}
	}
	return nil
}

func transportError(ctx context.Context, sent bool, err error) error {
	switch {
	case !sent:
		return &core.AttemptError{Kind: core.FailureNotSent, Detail: "connect", Cause: err}
	case ctx.Err() != nil:
		return &core.AttemptError{Kind: core.FailureTimeout, Detail: "wait for reply", Cause: err}
	}
	return &core.AttemptError{Kind: core.FailureLost, Detail: "connection broke", Cause: err}
}

// Probe implements core.UpstreamClient. It asks on one free lane, and on each
// lane that has no open connection yet.
func (c *Client) Probe(ctx context.Context, target core.Target) (core.UpstreamStatus, error) {
	lanes := c.lanesOf(target)
	free := lanes.takeFree()
	if len(free) == 0 {
		return core.UpstreamStatus{}, &core.AttemptError{Kind: core.FailureNotSent, Detail: "probe", Cause: core.ErrNoFreeConnection}
	}
	results := make(chan probeResult, len(free))
	asked := 0
	for i, lane := range free {
		if i > 0 && lane.open.Load() {
			lanes.put(lane)
			continue
		}
		asked++
		go func() { results <- c.probeLane(ctx, lanes, lane, target) }()
	}
	var last probeResult
	for range asked {
		last = <-results
		if last.err == nil {
			return last.status, nil
		}
	}
	return core.UpstreamStatus{}, last.err
}

type probeResult struct {
	status core.UpstreamStatus
	err    error
}

func (c *Client) probeLane(ctx context.Context, lanes *lanes, lane *lane, target core.Target) probeResult {
	status, err := getStatus(ctx, lane, target)
	if err != nil {
		lanes.replace(lane)
		return probeResult{err: err}
	}
	lane.open.Store(true)
	lanes.put(lane)
	return probeResult{status: status}
}

func getStatus(ctx context.Context, lane *lane, target core.Target) (core.UpstreamStatus, error) {
	request, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+target.Address+PathStatus, nil)
	if err != nil {
		return core.UpstreamStatus{}, &core.AttemptError{Kind: core.FailureNotSent, Detail: "build probe", Cause: err}
	}
	response, err := lane.transport.RoundTrip(request)
	if err != nil {
		return core.UpstreamStatus{}, &core.AttemptError{Kind: core.FailureLost, Detail: "probe", Cause: err}
	}
	defer func() { _ = response.Body.Close() }()
	raw, err := io.ReadAll(io.LimitReader(response.Body, core.MaxReplyBytes))
	if err != nil {
		return core.UpstreamStatus{}, &core.AttemptError{Kind: core.FailureLost, Detail: "probe", Cause: err}
	}
	var status Status
	if err := json.Unmarshal(raw, &status); err != nil {
		return core.UpstreamStatus{}, &core.AttemptError{Kind: core.FailureBadReply, Detail: "decode status", Cause: err}
	}
	return fromStatus(status), nil
}
