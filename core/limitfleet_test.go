package core

import (
	"context"
	"fmt"
	"math/rand/v2"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/go-logr/logr"
)

// Terms of the users' rule for request limits: from limitGrace after an upstream first named its
// limit, it gets within limitWindow at most limitFactor times what the limit allows, plus
// limitSlack requests.
const (
	limitGrace  = 4 * Second
	limitWindow = 4 * Second
	limitFactor = 1.5
	limitSlack  = 5.0
)

// limitInstance is one instance of a limitFleet.
type limitInstance struct {
	info     PeerInfo
	fleet    *Fleet
	peers    *Peers
	tokens   *TokenKeeper
	counters *Counters
	stop     context.CancelFunc
	done     sync.WaitGroup
}

// limitFleet runs instances that share upstreams with request limits. They exchange messages over a
// network in memory. It must be used in a synctest bubble.
type limitFleet struct {
	clock   Clock
	started Millis
	random  *rand.Rand

	mu        sync.Mutex
	instances []*limitInstance
	byAddress map[string]*limitInstance
	// cut holds the addresses of the instances that can reach no other instance, and half those
	// that can reach only each other.
	cut  Set[string]
	half Set[string]
	// slow is the address of an instance whose replies to every second instance take 150 ms, or
	// empty.
	slow string
	// statements is what each upstream states now. arrivals holds the times of its requests.
	statements map[string]LimitStatement
	arrivals   map[string][]Millis
	// served and refused count the requests of callers, and maxWait is the longest time until a
	// refusal.
	served, refused int
	maxWait         Millis
	callers         sync.WaitGroup
	// configure, if set, puts a configuration in force at an instance that starts. storeDown is set
	// while it can't read the list.
	configure func(*limitFleet, *limitInstance)
	storeDown bool
	// signals, if set, returns what a response of the upstream states about it.
	signals func(name string) UpstreamSignals
}

// newLimitFleet starts the instances, in zones z0, z1 and z2, and one upstream in each zone.
func newLimitFleet(instances int) *limitFleet {
	return newLimitFleetWith(instances, nil)
}

// newLimitFleetWith is newLimitFleet with another configuration.
func newLimitFleetWith(instances int, configure func(*limitFleet, *limitInstance)) *limitFleet {
	l := &limitFleet{
		configure: configure,
		clock:     NewClockFrom(func() Millis { return Millis(time.Now().UnixMilli()) }),
		random:    rand.New(rand.NewPCG(1, 2)), byAddress: map[string]*limitInstance{}, cut: NewSet[string](), half: NewSet[string](),
		statements: map[string]LimitStatement{}, arrivals: map[string][]Millis{},
	}
	l.started = l.clock.Now()
	for i := range 3 {
		l.statements[fmt.Sprintf("u%d", i)] = LimitStatement{Kind: LimitNone}
	}
	for i := range instances {
		l.instances = append(l.instances, l.start(i, 1))
	}
	return l
}

// start starts the instance with the number in the given incarnation.
func (l *limitFleet) start(number int, incarnation uint64) *limitInstance {
	i := &limitInstance{info: PeerInfo{
		Name: fmt.Sprintf("i%d", number), Zone: fmt.Sprintf("z%d", number%3),
		Address: fmt.Sprintf("a%d", number), Incarnation: incarnation, Capacity: 400,
	}}
	network := limitNetwork{fleet: l, from: i.info.Address}
	facts, counters := NewFactLog(l.clock), NewCounters()
	i.counters = counters
	i.fleet = NewFleet(l.clock, i.info.Zone, Policy{}, func(fact Fact) { facts.Merge(fact) })
	i.peers = NewPeers(PeersConfig{
		Self: i.info, Seeds: []string{"a0", "a1", "a2"}, Clock: l.clock, Client: network, Store: newTestStore(),
		Facts: facts, Counters: counters, Log: logr.Discard(), ExchangeInterval: 2 * Second,
		ExchangePerInstance: 50, Delegate: true,
		KeepCensus: l.configure != nil,
		Apply:      i.applyFact,
	})
	i.tokens = NewTokenKeeper(TokenKeeperConfig{
		Self: i.info.Address, Clock: l.clock, Fleet: i.fleet, Peers: i.peers, Client: network, Counters: counters, Log: logr.Discard(),
		ColdBound: testColdBound,
	})
	if l.configure == nil {
		i.fleet.Apply(singleServiceConfiguration(3, 4, 64, 1))
	} else {
		l.configure(l, i)
	}
	for n := range 3 {
		i.fleet.ObserveListed(fmt.Sprintf("u%d", n), 1, PhaseLive)
	}
	ctx, cancel := context.WithCancel(context.Background())
	i.stop = cancel
	i.done.Go(func() { _ = i.peers.Run(ctx) })
	i.done.Go(func() { _ = i.tokens.Run(ctx) })
	l.mu.Lock()
	defer l.mu.Unlock()
	l.byAddress[i.info.Address] = i
	return i
}

// applyFact applies a fact that another instance has seen.
func (i *limitInstance) applyFact(fact Fact) {
	switch fact.Kind {
	case FactUpstreamLimit:
		i.fleet.ApplyLimit(fact)
	case FactUpstreamCold:
		i.fleet.ApplyCold(fact)
	}
}

// restart replaces an instance by one that knows nothing, after the pause.
func (l *limitFleet) restart(number int, pause Millis) {
	l.kill(number)
	_ = l.clock.Sleep(context.Background(), pause)
	started := l.start(number, l.instances[number].info.Incarnation+1)
	l.mu.Lock()
	defer l.mu.Unlock()
	l.instances[number] = started
}

// kill ends an instance.
func (l *limitFleet) kill(number int) {
	i := l.instances[number]
	l.mu.Lock()
	delete(l.byAddress, i.info.Address)
	l.mu.Unlock()
	i.stop()
	i.done.Wait()
}

// setCut cuts instances off from all others, or reconnects them.
func (l *limitFleet) setCut(cut bool, numbers ...int) {
	l.mu.Lock()
	defer l.mu.Unlock()
	for _, number := range numbers {
		address := fmt.Sprintf("a%d", number)
		delete(l.cut, address)
		if cut {
			l.cut.Add(address)
		}
	}
}

// split divides the instances into those with the numbers and the others.
func (l *limitFleet) split(numbers ...int) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.half = NewSet[string]()
	for _, number := range numbers {
		l.half.Add(fmt.Sprintf("a%d", number))
	}
}

// separated reports whether the instances at two addresses can't reach each other.
func (l *limitFleet) separated(a, b string) bool {
	return a != b && (l.cut.Has(a) || l.cut.Has(b) || l.half.Has(a) != l.half.Has(b))
}

// slowCoordinators makes the coordinator of each zone in turn too slow for every second instance.
func (l *limitFleet) slowCoordinators() {
	for zone := range 3 {
		coordinator := l.instances[0].peers.Coordinator(fmt.Sprintf("z%d", zone), nil)
		l.mu.Lock()
		l.slow = coordinator.Address
		l.mu.Unlock()
		_ = l.clock.Sleep(context.Background(), 6*Second)
	}
}

// limitNetwork is the PeerClient and TokenClient of one instance.
type limitNetwork struct {
	fleet *limitFleet
	from  string
}

// reach returns the instance at the address. An instance that is cut off is silent.
func (n limitNetwork) reach(ctx context.Context, address string) (*limitInstance, error) {
	n.fleet.mu.Lock()
	target, running := n.fleet.byAddress[address]
	silent := n.fleet.separated(address, n.from)
	delay := time.Millisecond
	if address == n.fleet.slow && n.from[len(n.from)-1]%2 == 1 {
		delay = 150 * time.Millisecond
	}
	n.fleet.mu.Unlock()
	select {
	case <-time.After(delay):
	case <-ctx.Done():
		return nil, ctx.Err()
	}
	if silent {
		<-ctx.Done()
		return nil, ctx.Err()
	}
	if !running {
		return nil, ErrPeerUnreachable
	}
	return target, nil
}

func (n limitNetwork) Exchange(ctx context.Context, address string, message ExchangeMessage) (ExchangeMessage, error) {
	target, err := n.reach(ctx, address)
	if err != nil {
		return ExchangeMessage{}, err
	}
	return target.peers.Receive(message), nil
}

func (n limitNetwork) TakeTokens(ctx context.Context, address string, request TokenRequest) (TokenReply, error) {
	target, err := n.reach(ctx, address)
	if err != nil {
		return TokenReply{}, err
	}
	return target.tokens.Grant(request), nil
}

func (limitNetwork) CloseConnection(string) {}
func (limitNetwork) ResetBackoff(string)    {}

// state sets what the upstreams state from now on.
func (l *limitFleet) state(statement LimitStatement, upstreams ...string) {
	l.mu.Lock()
	defer l.mu.Unlock()
	for _, name := range upstreams {
		l.statements[name] = statement
	}
}

// run sends requests at the given rate through random instances until the time has passed.
func (l *limitFleet) run(perSecond float64, duration Millis) {
	until := l.clock.Now() + duration
	for l.clock.Now() < until {
		i, pause, hedged := l.draw(perSecond)
		_ = l.clock.Sleep(context.Background(), pause)
		l.callers.Go(func() { l.request(i, hedged) })
	}
}

// draw returns the instance of the next request, the pause before it and whether it is hedged.
func (l *limitFleet) draw(perSecond float64) (i *limitInstance, pause Millis, hedged bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	pause = Millis(float64(Second)*l.random.ExpFloat64()/perSecond) + 1
	return l.instances[l.random.IntN(len(l.instances))], pause, l.random.IntN(5) == 0
}

// request sends one request, and another one in parallel if it is hedged.
func (l *limitFleet) request(i *limitInstance, hedged bool) {
	started := l.clock.Now()
	want := Want{Service: "s", WaitUntil: started + 80}
	ctx, cancel := l.clock.WithDeadline(context.Background(), want.WaitUntil)
	defer cancel()
	permit, err := i.fleet.Acquire(ctx, want)
	l.mu.Lock()
	if err != nil {
		l.refused++
		l.maxWait = max(l.maxWait, l.clock.Since(started))
		l.mu.Unlock()
		return
	}
	l.served++
	l.mu.Unlock()
	if hedged {
		second, err := i.fleet.Acquire(ctx, Want{Service: "s", NoWait: true, Exclude: NewSet(permit.Target().Name)})
		if err == nil {
			l.callers.Go(func() { l.arrive(second) })
		}
	}
	l.arrive(permit)
}

// arrive runs a request at the upstream of the permit.
func (l *limitFleet) arrive(permit *Permit) {
	name := permit.Target().Name
	l.mu.Lock()
	l.arrivals[name] = append(l.arrivals[name], l.clock.Now())
	l.mu.Unlock()
	time.Sleep(10 * time.Millisecond)
	l.mu.Lock()
	statement := l.statements[name]
	l.mu.Unlock()
	permit.RecordLimit(statement)
	if l.signals != nil {
		permit.RecordSignals(l.signals(name))
	}
	permit.Complete()
}

// stopAll ends all instances.
func (l *limitFleet) stopAll() {
	l.callers.Wait()
	for _, i := range l.instances {
		i.stop()
	}
	for _, i := range l.instances {
		i.done.Wait()
	}
}

// maxArrivals returns the largest number of requests at an upstream within any limitWindow between
// two times.
func (l *limitFleet) maxArrivals(name string, from, to Millis) int {
	return l.maxArrivalsWithin(name, from, to, limitWindow)
}

// maxArrivalsWithin is maxArrivals for windows of another length.
func (l *limitFleet) maxArrivalsWithin(name string, from, to, window Millis) int {
	l.mu.Lock()
	defer l.mu.Unlock()
	most, end := 0, 0
	times := l.arrivals[name]
	for n, start := range times {
		for end < len(times) && times[end] < min(start+window, to) {
			end++
		}
		if start >= from && start < to {
			most = max(most, end-n)
		}
	}
	return most
}

// countArrivals returns the number of requests at an upstream between two times.
func (l *limitFleet) countArrivals(name string, from, to Millis) int {
	l.mu.Lock()
	defer l.mu.Unlock()
	count := 0
	for _, at := range l.arrivals[name] {
		if at >= from && at < to {
			count++
		}
	}
	return count
}

// refusals returns the number of refused requests.
func (l *limitFleet) refusals() int {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.refused
}

// limitedTo is a statement that names a limit.
func limitedTo(perSecond float64) LimitStatement {
	return LimitStatement{Kind: LimitNamed, PerSecond: perSecond}
}

// TestRequestLimitsUnderFailures guards against instances that exceed the request limit of an
// upstream together, or that leave most of it unused, while instances are restarted, killed or cut
// off, and against requests that wait though no upstream will have room in time.
func TestRequestLimitsUnderFailures(t *testing.T) {
	all := []string{"u0", "u1", "u2"}
	cases := []struct {
		name      string
		instances int
		limit     float64
		// demand is the number of requests a second.
		demand float64
		// minUse is the smallest share of the limits that must be used, as demand exceeds them.
		minUse float64
		during func(l *limitFleet)
	}{
		{"many instances with little traffic each", 40, 1.2, 12, 0.7, func(*limitFleet) {}},
		{"few instances", 6, 4, 30, 0.7, func(*limitFleet) {}},
		{"a high limit", 9, 60, 300, 0.7, func(*limitFleet) {}},
		{"a limit below one request per window", 12, 0.1, 10, 0, func(*limitFleet) {}},
		{"a limit of zero", 9, 0, 10, 0, func(*limitFleet) {}},
		{"instances that are restarted in turn", 9, 4, 30, 0.5, func(l *limitFleet) {
			for number := range l.instances {
				l.restart(number, 300)
				_ = l.clock.Sleep(context.Background(), Second)
			}
		}},
		{"an instance that is restarted again and again", 9, 4, 30, 0.5, func(l *limitFleet) {
			for range 8 {
				l.restart(4, 100)
				_ = l.clock.Sleep(context.Background(), Second)
			}
		}},
		{"an instance that is cut off", 9, 4, 30, 0.5, func(l *limitFleet) {
			l.setCut(true, 4)
			_ = l.clock.Sleep(context.Background(), 12*Second)
			l.setCut(false, 4)
		}},
		{"each instance that is cut off in turn", 9, 4, 30, 0.4, func(l *limitFleet) {
			for number := range l.instances {
				l.setCut(true, number)
				_ = l.clock.Sleep(context.Background(), 2*Second)
				l.setCut(false, number)
			}
		}},
		{"half of the instances that are cut off from the others", 9, 4, 30, 0.4, func(l *limitFleet) {
			l.split(1, 4, 7, 0)
			_ = l.clock.Sleep(context.Background(), 12*Second)
			l.split()
		}},
		{"coordinators that answer only some instances in time", 9, 6, 40, 0.5, (*limitFleet).slowCoordinators},
		{"coordinators that answer only some instances in time, with a high limit", 9, 60, 400, 0.5, (*limitFleet).slowCoordinators},
		{"instances that are killed and don't return", 9, 4, 30, 0.4, func(l *limitFleet) {
			for number := range 3 {
				l.kill(number)
				_ = l.clock.Sleep(context.Background(), 3*Second)
			}
		}},
	}
	for _, tc := range cases {
		t.Run(tc.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				l := newLimitFleet(tc.instances)
				l.run(tc.demand, 6*Second)
				l.state(limitedTo(tc.limit), all...)
				from := l.clock.Now() + limitGrace
				l.run(tc.demand, limitGrace)
				l.mu.Lock()
				l.maxWait = 0
				l.mu.Unlock()
				var failures sync.WaitGroup
				failures.Go(func() { tc.during(l) })
				l.run(tc.demand, 20*Second)
				failures.Wait()
				to := l.clock.Now()
				l.stopAll()
				for _, name := range all {
					allowed := limitFactor*tc.limit*float64(limitWindow)/float64(Second) + limitSlack
					if got := l.maxArrivals(name, from, to); float64(got) > allowed {
						t.Errorf("%s: %d requests in %d ms, %.0f are allowed", name, got, limitWindow, allowed)
					}
				}
				used, limits := 0, 3*tc.limit*float64(to-from)/float64(Second)
				for _, name := range all {
					used += l.countArrivals(name, from, to)
				}
				if float64(used) < tc.minUse*limits {
					t.Errorf("%d requests reached the upstreams, %.0f were possible", used, limits)
				}
				if l.maxWait > 80 {
					t.Errorf("a refusal took %d ms", l.maxWait)
				}
				t.Logf("%d of %.0f used, %d served, %d refused", used, limits, l.served, l.refused)
			})
		})
	}
}

// TestRequestLimitsChange guards against limits that stay in force after their end or in place of
// new ones, and against limits that end with a statement that can't be read.
func TestRequestLimitsChange(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		l := newLimitFleet(9)
		all := []string{"u0", "u1", "u2"}
		phases := []struct {
			statement LimitStatement
			// limit is the limit that must be kept, or zero if there is none.
			limit float64
		}{
			{limitedTo(60), 60},
			{limitedTo(4), 4},
			{LimitStatement{Kind: LimitUnreadable}, 4},
			{LimitStatement{Kind: LimitUnstated}, 4},
			{limitedTo(12.5), 12.5},
			{LimitStatement{Kind: LimitNone}, 0},
			{limitedTo(2), 2},
			{LimitStatement{Kind: LimitNone}, 0},
		}
		for number, phase := range phases {
			l.state(phase.statement, all...)
			l.run(90, limitGrace)
			from, refused := l.clock.Now(), l.refusals()
			l.run(90, 8*Second)
			to := l.clock.Now()
			for _, name := range all {
				allowed := limitFactor*phase.limit*float64(limitWindow)/float64(Second) + limitSlack
				if got := l.maxArrivals(name, from, to); phase.limit > 0 && float64(got) > allowed {
					t.Errorf("phase %d: %s: %d requests in %d ms, %.0f are allowed", number, name, got, limitWindow, allowed)
				}
			}
			if now := l.refusals(); phase.limit == 0 && now > refused {
				t.Errorf("phase %d: %d requests refused without a limit", number, now-refused)
			}
		}
		l.stopAll()
	})
}

// TestRestartedInstanceKnowsLimits guards against a restarted instance that sends an upstream
// requests beyond its limit until an answer tells it of the limit.
func TestRestartedInstanceKnowsLimits(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		l := newLimitFleet(6)
		l.state(limitedTo(4), "u0")
		l.run(30, 5*Second)
		l.restart(2, 500)
		_ = l.clock.Sleep(context.Background(), Second)
		if limit, known := l.instances[2].fleet.RequestLimit("u0").Get(); !known || limit != 4 {
			t.Errorf("limit %v, known %t, want 4", limit, known)
		}
		l.stopAll()
	})
}

// TestCoordinatorBesideUnreachableOnes guards against instances that get no tokens while several
// instances that would be preferred as coordinator can't be reached, but the others do not know that
// yet.
func TestCoordinatorBesideUnreachableOnes(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		l := newLimitFleet(12)
		l.run(10, 10*Second)
		asker := l.instances[1]
		asker.peers.mu.Lock()
		senders := byRank(asker.peers.currentSenders().reachable["z0"], "coordinator")
		asker.peers.mu.Unlock()
		if len(senders) != 4 {
			t.Fatalf("%d instances in zone z0, want 4", len(senders))
		}
		for _, unreachable := range senders[:3] {
			l.mu.Lock()
			delete(l.byAddress, unreachable.Address)
			l.mu.Unlock()
		}
		grants, _, err := asker.tokens.request(context.Background(), TokenRequest{
			Zone: "z0", Wants: []TokenWant{{Upstream: "u0", PerSecond: 4, Count: 1}}})
		if err != nil || len(grants) != 1 {
			t.Errorf("grants %v, error %v", grants, err)
		}
		l.stopAll()
	})
}
