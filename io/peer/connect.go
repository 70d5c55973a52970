package peer

import (
	"context"

	"google.golang.org/grpc"
	grpcpeer "google.golang.org/grpc/peer"

	"acaciavane/core"
)

const (
	// connectWait is how long a call that must reach its peer is repeated while there is no connection.
	connectWait = 1 * core.Second
	// connectPause is the pause before it is repeated.
	connectPause = 50 * core.Millis(1)
)

// deliver makes a call and repeats it while it certainly has not reached the peer, for connectWait at
// most. After a failed connection, gRPC fails calls at once until its back-off has ended, although the
// peer may listen by now. delivered is false if the call has certainly not reached the peer.
func (c *Client) deliver(ctx context.Context, address string, call func(grpc.CallOption) error) (delivered bool, err error) {
	until := c.clock.Now() + connectWait
	for {
		// gRPC sets the address only if the call was assigned to a connection.
		var reached grpcpeer.Peer
		err := call(grpc.Peer(&reached))
		if err == nil || reached.Addr != nil {
			return true, err
		}
		if c.clock.Now() >= until || c.clock.Sleep(ctx, connectPause) != nil {
			return false, err
		}
		c.ResetBackoff(address)
	}
}
