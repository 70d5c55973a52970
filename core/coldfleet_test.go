package core

import (
	"context"
	"fmt"
	"math"
	"sync"
	"testing"
	"testing/synctest"
)

// The bound on the requests to cold upstreams in these tests.
var testColdBound = ColdBound{Overage: 1.5, Slack: 5}

// coldUpstreams simulates the coldness of the upstreams of a limitFleet.
type coldUpstreams struct {
	*limitFleet
	perSecond float64

	mu sync.Mutex
	// until holds when each upstream becomes warm, and since when it became cold.
	until, since map[string]Millis
}

// newColdFleet starts the instances. Its upstreams are warm, and tolerate perSecond requests a second
// while they are cold.
func newColdFleet(instances int, perSecond float64, bound Option[ColdBound]) *coldUpstreams {
	c := &coldUpstreams{perSecond: perSecond, until: map[string]Millis{}, since: map[string]Millis{}}
	c.limitFleet = newLimitFleetWith(instances, func(l *limitFleet, i *limitInstance) {
		if c.limitFleet == nil {
			c.limitFleet = l
		}
		c.configure(i, bound)
	})
	c.limitFleet.signals = c.signals
	return c
}

// configure puts the bound in force at an instance that starts, and applies the list as the platform
// has it, if the instance can read it.
func (c *coldUpstreams) configure(i *limitInstance, bound Option[ColdBound]) {
	configuration := singleServiceConfiguration(3, 4, 64, 1)
	configuration.Services[0].ColdPerSecond = c.perSecond
	configuration.Services[0].ColdStart = 20 * Second
	if value, ok := bound.Get(); ok {
		i.fleet.SetColdBound(value)
	}
	i.fleet.Apply(configuration)
	if c.storeDown {
		return
	}
	for n := range 3 {
		c.list(i, fmt.Sprintf("u%d", n))
	}
}

// list applies the entry of an upstream at an instance.
func (c *coldUpstreams) list(i *limitInstance, name string) {
	i.fleet.ObserveListedCold(Member{Name: name, Incarnation: 1, SlowStartRemaining: c.remaining(name)})
}

func (c *coldUpstreams) remaining(name string) Millis {
	c.mu.Lock()
	defer c.mu.Unlock()
	return max(0, c.until[name]-c.clock.Now())
}

// signals returns what a response of the upstream states.
func (c *coldUpstreams) signals(name string) UpstreamSignals {
	return UpstreamSignals{Cold: ColdStatement{Kind: ColdStated, Remaining: c.remaining(name)}}
}

// chill makes upstreams cold from now on. If listed is set, the instances with the numbers learn it
// from the list.
func (c *coldUpstreams) chill(duration Millis, names []string, listed ...int) {
	now := c.clock.Now()
	c.mu.Lock()
	for _, name := range names {
		c.since[name], c.until[name] = now, now+duration
	}
	c.mu.Unlock()
	for _, number := range listed {
		for _, name := range names {
			c.list(c.instances[number], name)
		}
	}
}

// check fails the test if an upstream got more requests within a second of its cold period, from the
// time after its begin on, than the bound allows.
func (c *coldUpstreams) check(t *testing.T, after Millis, names ...string) {
	t.Helper()
	allowed := testColdBound.requests(c.perSecond)
	for _, name := range names {
		c.mu.Lock()
		from, to := c.since[name]+after, min(c.until[name], c.clock.Now())
		c.mu.Unlock()
		if got := c.maxArrivalsWithin(name, from, to, Second); float64(got) > allowed {
			t.Errorf("%s: %d requests in a second, %.1f are allowed", name, got, allowed)
		}
		t.Logf("%s: %d requests in %d ms, at most %d in a second of %.1f allowed",
			name, c.countArrivals(name, from, to), to-from, c.maxArrivalsWithin(name, from, to, Second), allowed)
	}
}

var allUpstreams = []string{"u0", "u1", "u2"}

// everyone returns the numbers of the instances.
func everyone(instances int) []int {
	numbers := make([]int, instances)
	for n := range numbers {
		numbers[n] = n
	}
	return numbers
}

// TestColdUpstreams guards against instances that send a cold upstream more requests together than it
// tolerates, or that leave it unused, while the fleet is divided, instances are restarted or killed, or
// the store is away.
func TestColdUpstreams(t *testing.T) {
	cases := []struct {
		name      string
		instances int
		perSecond float64
		demand    float64
		// minUse is the smallest share of cold-per-s that must be used.
		minUse float64
		// duration is how long requests are sent, apart from the first seconds.
		duration Millis
		during   func(c *coldUpstreams)
	}{
		{"many instances at once", 40, 4, 60, 0.5, 20 * Second, func(*coldUpstreams) {}},
		{"few instances", 6, 4, 60, 0.7, 20 * Second, func(*coldUpstreams) {}},
		{"a lone instance whose seeds don't answer", 1, 4, 60, 0.1, 20 * Second, func(*coldUpstreams) {}},
		{"a high rate", 9, 40, 300, 0.7, 20 * Second, func(*coldUpstreams) {}},
		{"a rate below one request a second", 9, 0.5, 20, 0, 20 * Second, func(*coldUpstreams) {}},
		{"a fleet that is divided for longer than peers are remembered", 9, 12, 120, 0.4, 48 * Second, func(c *coldUpstreams) {
			c.split(1, 4, 7, 0)
			_ = c.clock.Sleep(context.Background(), 45*Second)
			c.split()
		}},
		{"restarts on both sides of a division", 9, 12, 120, 0.3, 48 * Second, func(c *coldUpstreams) {
			c.split(1, 4, 7, 0)
			_ = c.clock.Sleep(context.Background(), 8*Second)
			for _, number := range []int{1, 2, 4, 3, 0, 5} {
				c.restart(number, 100)
				_ = c.clock.Sleep(context.Background(), 5*Second)
			}
			c.split()
		}},
		{"restarts of a whole side long after a division", 9, 30, 300, 0.3, 70 * Second, func(c *coldUpstreams) {
			c.split(1, 4, 7, 0)
			_ = c.clock.Sleep(context.Background(), 35*Second)
			for _, number := range []int{1, 4, 7, 0} {
				c.restart(number, 100)
				_ = c.clock.Sleep(context.Background(), 2*Second)
			}
			_ = c.clock.Sleep(context.Background(), 20*Second)
			c.split()
		}},
		{"instances that are cut off from each other", 6, 12, 120, 0, 48 * Second, func(c *coldUpstreams) {
			c.setCut(true, everyone(6)...)
			_ = c.clock.Sleep(context.Background(), 45*Second)
			c.setCut(false, everyone(6)...)
		}},
		{"an instance that is cut off and restarts", 9, 4, 60, 0.5, 20 * Second, func(c *coldUpstreams) {
			c.setCut(true, 4)
			_ = c.clock.Sleep(context.Background(), 5*Second)
			c.restart(4, 100)
			_ = c.clock.Sleep(context.Background(), 12*Second)
			c.setCut(false, 4)
		}},
		{"instances that are restarted in turn", 9, 30, 300, 0.3, 20 * Second, func(c *coldUpstreams) {
			for number := range c.instances {
				c.restart(number, 10)
				_ = c.clock.Sleep(context.Background(), 2*Second)
			}
		}},
		{"many instances, a third of which restart at once", 30, 30, 150, 0.3, 20 * Second, func(c *coldUpstreams) {
			var restarts sync.WaitGroup
			for number := 0; number < 30; number += 3 {
				restarts.Go(func() { c.restart(number, 10) })
			}
			restarts.Wait()
		}},
		{"coordinators that answer only some instances in time", 9, 12, 120, 0.4, 20 * Second, func(c *coldUpstreams) { c.slowCoordinators() }},
		{"instances that are killed and don't return", 9, 4, 60, 0.3, 20 * Second, func(c *coldUpstreams) {
			for number := range 3 {
				c.kill(number)
				_ = c.clock.Sleep(context.Background(), 3*Second)
			}
		}},
	}
	for _, tc := range cases {
		t.Run(tc.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				c := newColdFleet(tc.instances, tc.perSecond, Some(testColdBound))
				c.run(10, 12*Second)
				c.chill(tc.duration+2*Second, allUpstreams, everyone(tc.instances)...)
				from := c.clock.Now()
				var failures sync.WaitGroup
				failures.Go(func() { tc.during(c) })
				c.run(tc.demand, tc.duration)
				failures.Wait()
				to := c.clock.Now()
				c.stopAll()
				c.check(t, 0, allUpstreams...)
				used := 0
				for _, name := range allUpstreams {
					used += c.countArrivals(name, from, to)
				}
				possible := 3 * tc.perSecond * float64(to-from) / float64(Second)
				if float64(used) < tc.minUse*possible {
					t.Errorf("%d requests reached the upstreams, %.0f were possible", used, possible)
				}
				t.Logf("%d of %.0f used, %d served, %d refused", used, possible, c.served, c.refused)
			})
		})
	}
}

// TestColdUpstreamFoundByOne guards against instances that go on as before when an upstream turns cold
// without an entry in the list: the first response that says so must reach all of them.
func TestColdUpstreamFoundByOne(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := newColdFleet(9, 4, Some(testColdBound))
		c.run(120, 12*Second)
		c.chill(15*Second, allUpstreams)
		c.run(120, 14*Second)
		c.stopAll()
		// Half a second covers the first responses, the facts, and two hops at most.
		c.check(t, 500, allUpstreams...)
	})
}

// TestRestartedInstanceTreatsUnknownUpstreamsAsCold guards against an instance that starts without the
// list and without peers and floods a cold upstream that it takes for warm.
func TestRestartedInstanceTreatsUnknownUpstreamsAsCold(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := newColdFleet(9, 4, Some(testColdBound))
		c.run(60, 12*Second)
		c.chill(50*Second, allUpstreams, everyone(9)...)
		c.run(60, 2*Second)
		c.storeDown = true
		c.setCut(true, 4)
		c.restart(4, 100)
		restarted := c.instances[4]
		from := c.clock.Now()
		for range 200 {
			c.callers.Go(func() { c.request(restarted, false) })
			_ = c.clock.Sleep(context.Background(), 10)
		}
		c.stopAll()
		for _, name := range allUpstreams {
			if got := c.countArrivals(name, from, c.clock.Now()); got > 3 {
				t.Errorf("%s: %d requests of an instance that knows nothing in 2 s", name, got)
			}
		}
	})
}

// TestNoColdBound guards against limits on deployments whose settings or whose services have no bound.
func TestNoColdBound(t *testing.T) {
	for name, c := range map[string]struct {
		perSecond float64
		bound     Option[ColdBound]
	}{"no settings": {4, None[ColdBound]()}, "no rate": {0, Some(testColdBound)}} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				c := newColdFleet(6, c.perSecond, c.bound)
				c.chill(20*Second, allUpstreams, everyone(6)...)
				c.run(100, 10*Second)
				c.stopAll()
				calls := int64(0)
				for _, i := range c.instances {
					calls += i.counters.Get(CountTokenRequests)
				}
				if c.refused > 0 || calls > 0 {
					t.Errorf("%d requests refused, %d requests for tokens", c.refused, calls)
				}
			})
		})
	}
}

// TestColdSharesTogether guards against coordinators that may grant more than the bound together.
func TestColdSharesTogether(t *testing.T) {
	for _, perSecond := range []float64{0.5, 1, 4, 12, 60, 400} {
		for _, coordinators := range []int{1, 2, 3, 6, 9, 40, 300} {
			total, allowed := 0.0, testColdBound.requests(perSecond)
			share := 1 / float64(coordinators)
			rate, size := testColdBound.bucket(perSecond, perSecond, share)
			if size > 0 {
				total = float64(coordinators) * math.Floor(size+rate*1.25)
			}
			if total > allowed {
				t.Errorf("%d coordinators may grant %.1f of %.1f tokens", coordinators, total, allowed)
			}
		}
	}
}
