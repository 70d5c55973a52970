// Package peer implements the gRPC protocol that entry instances speak with each other: a
// client, a server, and the conversion of messages.
package peer

import (
	"context"
	"errors"
	"fmt"
	"maps"
	"net"
	"slices"
	"sync"

	"google.golang.org/grpc"
	"google.golang.org/grpc/backoff"
	"google.golang.org/grpc/credentials/insecure"

	"acaciavane/core"
	"acaciavane/io/peer/peerpb"
)

// MaxMessageBytes bounds a message. It leaves room for two published values and the facts of
// one exchange.
const MaxMessageBytes = 4 * core.MaxPublishedBytes

const (
	// windowBytes is the HTTP/2 flow control window of a stream and of a connection. With a
	// fixed window, gRPC sends no pings to measure the size that a dynamic one should have.
	windowBytes = 256 << 10
	// bufferBytes is the size of a connection's read and write buffers: enough for a typical
	// message.
	bufferBytes = 4 << 10
)

// Client calls other entry instances, over one connection to each. It implements
// core.PeerClient, core.OrderPeers, core.DelegateClient, core.GroupClient and
// core.TokenClient.
type Client struct {
	clock    core.Clock
	counters *core.Counters
	dialer   *net.Dialer
	received *intake

	// mu is not held while a connection is closed: gRPC then waits for the goroutine that reads from
	// it, which may need mu to record a confirmation.
	mu          sync.Mutex
	connections map[string]*grpc.ClientConn
	// confirming holds the addresses of the instances that have confirmed a request.
	confirming core.Set[string]
}

// NewClient returns a client that opens connections with the dialer when they are first needed.
func NewClient(clock core.Clock, counters *core.Counters, dialer *net.Dialer) *Client {
	c := &Client{clock: clock, counters: counters, dialer: dialer, connections: map[string]*grpc.ClientConn{}, confirming: core.NewSet[string]()}
	c.received = newIntake(func(net.Conn, int64) { counters.Add(core.CountMalformedPeerMessages, 1) })
	return c
}

// stub returns the gRPC client for the peer at the address. It creates the connection if
// there is none yet.
func (c *Client) stub(address string) (peerpb.PeerClient, error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if connection, ok := c.connections[address]; ok {
		return peerpb.NewPeerClient(connection), nil
	}
	connection, err := grpc.NewClient("passthrough:///"+address,
		grpc.WithTransportCredentials(insecure.NewCredentials()),
		grpc.WithDisableServiceConfig(),
		grpc.WithDisableRetry(),
		grpc.WithContextDialer(c.dial),
		grpc.WithMaxHeaderListSize(core.MaxReplyHeadBytes),
		grpc.WithInitialWindowSize(windowBytes),
		grpc.WithInitialConnWindowSize(windowBytes),
		grpc.WithReadBufferSize(bufferBytes),
		grpc.WithWriteBufferSize(bufferBytes),
		grpc.WithStatsHandler(byteCounter{counters: c.counters}),
		grpc.WithConnectParams(grpc.ConnectParams{
			Backoff: backoff.Config{
				BaseDelay:  core.ExchangeIntervalMillis.Duration(),
				Multiplier: 1.5,
				Jitter:     0.2,
				MaxDelay:   core.PeerBackoffMaxMillis.Duration(),
			},
			MinConnectTimeout: core.ExchangeTimeoutMillis.Duration(),
		}),
		grpc.WithDefaultCallOptions(grpc.MaxCallRecvMsgSize(MaxMessageBytes), grpc.ForceCodecV2(newBoundedCodec())),
	)
	if err != nil {
		return nil, fmt.Errorf("connect to peer %s: %w", address, err)
	}
	c.connections[address] = connection
	return peerpb.NewPeerClient(connection), nil
}

// dial opens a connection whose replies are counted.
func (c *Client) dial(ctx context.Context, address string) (net.Conn, error) {
	conn, err := c.dialer.DialContext(ctx, "tcp", address)
	if err != nil {
		return nil, err
	}
	return c.received.dialled(conn), nil
}

// CloseConnection implements core.PeerClient.
func (c *Client) CloseConnection(address string) {
	c.mu.Lock()
	connection, ok := c.connections[address]
	delete(c.connections, address)
	c.mu.Unlock()
	if ok {
		_ = connection.Close()
	}
}

// ResetBackoff implements core.PeerClient.
func (c *Client) ResetBackoff(address string) {
	c.mu.Lock()
	connection, ok := c.connections[address]
	c.mu.Unlock()
	if ok {
		connection.ResetConnectBackoff()
	}
}

// Close closes all connections.
func (c *Client) Close() {
	c.mu.Lock()
	connections := slices.Collect(maps.Values(c.connections))
	clear(c.connections)
	c.mu.Unlock()
	for _, connection := range connections {
		_ = connection.Close()
	}
}

// Exchange implements core.PeerClient.
func (c *Client) Exchange(ctx context.Context, address string, message core.ExchangeMessage) (core.ExchangeMessage, error) {
	peer, err := c.stub(address)
	if err != nil {
		return core.ExchangeMessage{}, err
	}
	reply, err := peer.Exchange(ctx, toExchange(message))
	if err != nil {
		return core.ExchangeMessage{}, fmt.Errorf("exchange with peer %s: %w", address, err)
	}
	return fromExchange(reply)
}

// ForwardOrder implements core.OrderPeers.
func (c *Client) ForwardOrder(ctx context.Context, address string, ticket core.Ticket, request core.Request) (core.Answer, error) {
	peer, err := c.stub(address)
	if err != nil {
		return core.Answer{}, fmt.Errorf("%w: %w", core.ErrPeerUnreachable, err)
	}
	var timeout core.Millis
	if request.Deadline != 0 {
		timeout = max(1, request.Deadline-c.clock.Now())
	}
	var reply *peerpb.OrderReply
	_, err = c.deliver(ctx, address, func(reached grpc.CallOption) (err error) {
		reply, err = peer.ForwardOrder(ctx, toOrder(ticket, request, timeout), reached)
		return err
	})
	if err != nil {
		return core.Answer{}, fmt.Errorf("%w: forward to %s: %w", core.ErrPeerUnreachable, address, err)
	}
	answer, err := fromOrderReply(reply)
	if err != nil {
		return core.Answer{}, fmt.Errorf("%w: forward to %s: %w", core.ErrPeerUnreachable, address, err)
	}
	return answer, nil
}

// MintTicket implements core.OrderPeers.
func (c *Client) MintTicket(ctx context.Context, address string) (core.Ticket, error) {
	peer, err := c.stub(address)
	if err != nil {
		return core.Ticket{}, err
	}
	limitedCtx, cancel := c.clock.WithDeadline(ctx, c.clock.Now()+core.ExchangeTimeoutMillis)
	defer cancel()
	ticket, err := peer.MintTicket(limitedCtx, &peerpb.MintTicketRequest{})
	if err != nil {
		return core.Ticket{}, fmt.Errorf("mint ticket at %s: %w", address, err)
	}
	return fromTicket(ticket)
}

// errTakeOverRefused means that a successor has certainly not taken over the tickets.
var errTakeOverRefused = errors.New("successor refused the tickets")

// TakeOver implements core.OrderPeers.
func (c *Client) TakeOver(ctx context.Context, address string, book core.BookCopy) error {
	peer, err := c.stub(address)
	if err != nil {
		return err
	}
	delivered, err := c.deliver(ctx, address, func(reached grpc.CallOption) error {
		_, err := peer.TakeOver(ctx, toBook(book), reached)
		return err
	})
	switch {
	case err == nil:
		return nil
	case !delivered || refusedCall(err):
		return fmt.Errorf("%w: %w", errTakeOverRefused, err)
	}
	return fmt.Errorf("%w: hand over to %s: %w", core.ErrPeerUnreachable, address, err)
}
