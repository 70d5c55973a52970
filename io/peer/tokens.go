package peer

import (
	"context"
	"fmt"
	"math"

	"acaciavane/core"
	"acaciavane/io/peer/peerpb"
)

// TakeTokens implements core.TokenClient.
func (c *Client) TakeTokens(ctx context.Context, address string, request core.TokenRequest) (core.TokenReply, error) {
	peer, err := c.stub(address)
	if err != nil {
		return core.TokenReply{}, err
	}
	reply, err := peer.TakeTokens(ctx, toTokenRequest(request))
	if err != nil {
		return core.TokenReply{}, fmt.Errorf("take tokens from %s: %w", address, err)
	}
	return fromTokenReply(reply), nil
}

// TakeTokens implements peerpb.PeerServer.
func (s *Server) TakeTokens(_ context.Context, wire *peerpb.TokenRequest) (*peerpb.TokenReply, error) {
	request, err := fromTokenRequest(wire)
	if err != nil {
		return nil, s.malformed(err)
	}
	return toTokenReply(s.handler.GrantTokens(request)), nil
}

func toTokenRequest(request core.TokenRequest) *peerpb.TokenRequest {
	wire := &peerpb.TokenRequest{Zone: request.Zone, Unreachable: request.Unreachable}
	for _, want := range request.Wants {
		wire.Wants = append(wire.Wants, &peerpb.TokenWant{
			Upstream: want.Upstream, PerSecond: want.PerSecond, Count: uint32(want.Count)})
	}
	return wire
}

func fromTokenRequest(wire *peerpb.TokenRequest) (core.TokenRequest, error) {
	request := core.TokenRequest{Zone: wire.GetZone(), Unreachable: wire.GetUnreachable()}
	for _, want := range wire.GetWants() {
		if !isLimit(want.GetPerSecond()) {
			return core.TokenRequest{}, fmt.Errorf("%w: request limit %v", ErrMalformed, want.GetPerSecond())
		}
		request.Wants = append(request.Wants, core.TokenWant{
			Upstream:  want.GetUpstream(),
			PerSecond: want.GetPerSecond(),
			Count:     int(min(want.GetCount(), core.MaxTokensPerRequest)),
		})
	}
	return request, nil
}

// isLimit reports whether the value can be a request limit: it is neither negative nor infinite nor
// NaN.
func isLimit(value float64) bool {
	return value >= 0 && !math.IsInf(value, 1)
}

func toTokenReply(reply core.TokenReply) *peerpb.TokenReply {
	wire := &peerpb.TokenReply{Redirect: reply.Redirect}
	for _, grant := range reply.Grants {
		wire.Grants = append(wire.Grants, &peerpb.TokenGrant{
			Upstream: grant.Upstream, Count: uint32(grant.Count), WaitMillis: int64(grant.Wait)})
	}
	return wire
}

func fromTokenReply(wire *peerpb.TokenReply) core.TokenReply {
	reply := core.TokenReply{Redirect: wire.GetRedirect()}
	for _, grant := range wire.GetGrants() {
		reply.Grants = append(reply.Grants, core.TokenGrant{
			Upstream: grant.GetUpstream(),
			Count:    int(min(grant.GetCount(), core.MaxTokensPerRequest)),
			Wait:     min(max(0, core.Millis(grant.GetWaitMillis())), core.Minute),
		})
	}
	return reply
}
