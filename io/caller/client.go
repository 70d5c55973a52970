package caller

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net/http"

	"acaciavane/core"
)

// ErrNoAnswer means that no valid answer was received from the instance. The
// request may or may not have run.
var ErrNoAnswer = errors.New("no answer")

// maxAnswerBytes is how much of one answer is read. A longer answer is cut off and
// then fails to decode.
const maxAnswerBytes = 256 << 20

// Client sends requests to an instance that serves callers.
type Client struct {
	address string
	http    *http.Client
}

// NewClient returns a client of the instance or load balancer at the address.
func NewClient(address string) *Client {
	return &Client{address: address, http: &http.Client{Transport: &http.Transport{
		MaxIdleConnsPerHost: 64,
		DisableCompression:  true,

		MaxResponseHeaderBytes: core.MaxReplyHeadBytes,
	}}}
}

// Query sends a search or a fetch.
func (c *Client) Query(ctx context.Context, request RequestBody) (AnswerBody, error) {
	return post[AnswerBody](ctx, c, PathQuery, request)
}

// MintTicket requests a ticket for one order.
func (c *Client) MintTicket(ctx context.Context) (TicketBody, error) {
	ticket, err := post[TicketBody](ctx, c, PathTickets, RequestBody{})
	if err == nil && ticket.Ticket == "" {
		return TicketBody{}, fmt.Errorf("%w: no ticket", ErrNoAnswer)
	}
	return ticket, err
}

// Order sends an order with the ticket that request.Ticket holds.
func (c *Client) Order(ctx context.Context, request RequestBody) (AnswerBody, error) {
	return post[AnswerBody](ctx, c, PathOrders, request)
}

// Close closes idle connections.
func (c *Client) Close() {
	c.http.CloseIdleConnections()
}

// post sends body as JSON and decodes the response into a T.
func post[T any](ctx context.Context, c *Client, path string, body RequestBody) (T, error) {
	var answer T
	raw, err := json.Marshal(body)
	if err != nil {
		return answer, fmt.Errorf("encode request: %w", err)
	}
	request, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+c.address+path, bytes.NewReader(raw))
	if err != nil {
		return answer, fmt.Errorf("build request: %w", err)
	}
	request.Header.Set("Content-Type", "application/json")
	response, err := c.http.Do(request)
	if err != nil {
		return answer, fmt.Errorf("%w: %w", ErrNoAnswer, err)
	}
	defer func() { _ = response.Body.Close() }()
	raw, err = io.ReadAll(io.LimitReader(response.Body, maxAnswerBytes))
	if err != nil {
		return answer, fmt.Errorf("%w: %w", ErrNoAnswer, err)
	}
	if err := json.Unmarshal(raw, &answer); err != nil {
		return answer, fmt.Errorf("%w: status %d: %w", ErrNoAnswer, response.StatusCode, err)
	}
	return answer, nil
}
