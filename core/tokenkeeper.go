package core

import (
	"context"
	"errors"
	"fmt"
	"sync"

	"github.com/go-logr/logr"
	"golang.org/x/sync/errgroup"
)

// errNoCoordinator means that instances kept redirecting a request for tokens.
var errNoCoordinator = errors.New("no coordinator found")

// CoordinatorSelector selects the instances that grant tokens.
type CoordinatorSelector interface {
	// Coordinator returns the instance that grants the tokens for the upstreams of a zone, as far
	// as this instance knows. It is none of those with the addresses unreachable.
	Coordinator(zone string, unreachable []string) PeerInfo
	// CoordinatorShare returns the part of the limit of each upstream in the zone, from 0 to 1, that
	// this instance may grant as its coordinator.
	CoordinatorShare(zone string) float64
	// ColdShare returns the part of the tokens for each cold upstream in the zone, from 0 to 1, that
	// this instance may grant. The parts of all instances together are at most 1/ColdPrimaryShare.
	ColdShare(zone string) float64
	// DelegateFailed records that a call to an instance failed.
	DelegateFailed(address string, err error)
}

// TokenKeeperConfig holds the dependencies of a TokenKeeper.
type TokenKeeperConfig struct {
	// Self is the peer address of this instance.
	Self     string
	Clock    Clock
	Fleet    *Fleet
	Peers    CoordinatorSelector
	Client   TokenClient
	Counters *Counters
	Log      logr.Logger
	// ColdBound is the bound on requests to cold upstreams. It must also be set for the fleet.
	ColdBound ColdBound
}

// TokenKeeper keeps the requests that all instances together send to an upstream within the limit
// that the upstream names. It requests the tokens that this instance needs from the coordinator of
// the upstream's zone, and grants tokens to all instances where it is the coordinator itself.
type TokenKeeper struct {
	TokenKeeperConfig
	buckets *TokenBuckets

	mu sync.Mutex
	// busy holds the zones with a pending request for tokens.
	busy Set[string]
}

// NewTokenKeeper returns a TokenKeeper.
func NewTokenKeeper(config TokenKeeperConfig) *TokenKeeper {
	return &TokenKeeper{TokenKeeperConfig: config, buckets: NewTokenBuckets(config.Clock), busy: NewSet[string]()}
}

// Run requests tokens when the fleet needs them, until ctx ends. At most one request for each zone
// is pending; what is needed meanwhile is requested together afterwards.
func (k *TokenKeeper) Run(ctx context.Context) error {
	var group errgroup.Group
	for {
		select {
		case <-k.Fleet.TokenSignals():
		case <-ctx.Done():
			return group.Wait()
		}
		for zone, wants := range k.Fleet.TakeTokenWants(k.idle) {
			k.setBusy(zone, true)
			group.Go(func() error {
				k.fetch(ctx, zone, wants)
				k.setBusy(zone, false)
				k.Fleet.signalTokens()
				return nil
			})
		}
	}
}

// idle reports whether no request for tokens of the zone is pending.
func (k *TokenKeeper) idle(zone string) bool {
	k.mu.Lock()
	defer k.mu.Unlock()
	return !k.busy.Has(zone)
}

func (k *TokenKeeper) setBusy(zone string, busy bool) {
	k.mu.Lock()
	defer k.mu.Unlock()
	if busy {
		k.busy.Add(zone)
	} else {
		delete(k.busy, zone)
	}
}

// fetch requests tokens from the coordinator of the zone and passes them to the fleet.
func (k *TokenKeeper) fetch(ctx context.Context, zone string, wants []TokenWant) {
	k.Counters.Add(CountTokenRequests, 1)
	grants, sentAt, err := k.request(ctx, TokenRequest{Zone: zone, Wants: wants})
	if err != nil && ctx.Err() == nil {
		k.Counters.Add(CountTokenFailures, 1)
		k.Log.Info("tokens not received", "zone", zone, "upstreams", len(wants), "error", err.Error())
	}
	k.Fleet.AddTokens(wants, grants, sentAt)
}

// request sends the request to the coordinator that this instance knows, and then to the one that
// this instance redirects to, if any. If an instance can't be reached, the next one is asked to act
// in its place. request returns the grants and when the instance that granted them was asked.
func (k *TokenKeeper) request(ctx context.Context, request TokenRequest) ([]TokenGrant, Millis, error) {
	address := k.Peers.Coordinator(request.Zone, nil).Address
	for range MaxTokenCalls {
		sentAt := k.Clock.Now()
		reply, err := k.ask(ctx, address, request)
		switch {
		case ctx.Err() != nil:
			return nil, sentAt, ctx.Err()
		case err != nil:
			k.Peers.DelegateFailed(address, err)
			request.Unreachable = append(request.Unreachable, address)
			address = k.Peers.Coordinator(request.Zone, request.Unreachable).Address
		case reply.Redirect == "":
			return reply.Grants, sentAt, nil
		default:
			address = reply.Redirect
		}
	}
	return nil, k.Clock.Now(), fmt.Errorf("%w for zone %s", errNoCoordinator, request.Zone)
}

// ask passes the request to the instance at the address, which may be this one.
func (k *TokenKeeper) ask(ctx context.Context, address string, request TokenRequest) (TokenReply, error) {
	if address == k.Self {
		return k.Grant(request), nil
	}
	limited, cancel := k.Clock.WithDeadline(ctx, k.Clock.Now()+TokenCallTimeoutMillis)
	defer cancel()
	return k.Client.TakeTokens(limited, address, request)
}

// Grant replies to a request for tokens.
func (k *TokenKeeper) Grant(request TokenRequest) TokenReply {
	coordinator := k.Peers.Coordinator(request.Zone, request.Unreachable)
	if coordinator.Address != k.Self {
		return TokenReply{Redirect: coordinator.Address}
	}
	share, coldShare := k.Peers.CoordinatorShare(request.Zone), k.Peers.ColdShare(request.Zone)
	var reply TokenReply
	for _, want := range request.Wants {
		perSecond, cold := k.Fleet.tokenLimit(want)
		count, wait := 0, Millis(0)
		if coldPerSecond, ok := cold.Get(); ok {
			rate, size := k.ColdBound.bucket(coldPerSecond, perSecond, coldShare)
			count, wait = k.buckets.take(want.Upstream, rate, size, want.Count)
		} else {
			count, wait = k.buckets.Take(want.Upstream, share*perSecond, want.Count)
		}
		reply.Grants = append(reply.Grants, TokenGrant{Upstream: want.Upstream, Count: count, Wait: wait})
	}
	return reply
}
