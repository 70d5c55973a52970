package core

import (
	"strings"
	"testing"

	. "github.com/smartystreets/goconvey/convey"
)

// Small models of the strategies for running an order at most once that
// docs/DESIGN.md compares. In each case, a caller sends an order to one
// instance, a failure may occur, and the caller sends the same order again, in
// most cases to another instance.

// modelInstance is the state of one instance.
type modelInstance struct {
	alive       bool
	incarnation int
	// view lists the instances that this instance knows, itself included.
	view []string
	// claims holds the orders that this instance knows to have been started.
	claims Set[string]
}

// modelCluster is a set of instances. It counts what a strategy does in it.
type modelCluster struct {
	instances map[string]*modelInstance
	// isolated holds the instances that can't exchange messages with others.
	isolated Set[string]
	// runs counts how often the order ran.
	runs int
	// roundTrips counts the messages that were sent one after the other.
	roundTrips int
	// refusals counts how often an instance refused the order because it could not
	// find out whether the order had run.
	refusals int
}

// newModelCluster returns a cluster of three live instances that know each other.
func newModelCluster() *modelCluster {
	cluster := &modelCluster{instances: map[string]*modelInstance{}, isolated: NewSet[string]()}
	for _, name := range []string{"a", "b", "c"} {
		cluster.instances[name] = &modelInstance{alive: true, incarnation: 1, view: []string{"a", "b", "c"}, claims: NewSet[string]()}
	}
	return cluster
}

// reachable reports whether a message from one instance to another is answered.
func (c *modelCluster) reachable(from, to string) bool {
	return c.instances[to].alive && (from == to || !c.isolated.Has(from) && !c.isolated.Has(to))
}

// replace starts a new incarnation of an instance, which knows of no runs.
func (c *modelCluster) replace(name string) {
	old := c.instances[name]
	c.instances[name] = &modelInstance{alive: true, incarnation: old.incarnation + 1, view: old.view, claims: NewSet[string]()}
}

// run runs the order at an instance, unless the instance knows that the order was
// started before.
func (c *modelCluster) run(at, order string) {
	if !c.instances[at].claims.Has(order) {
		c.instances[at].claims.Add(order)
		c.runs++
	}
}

// strategy is a way to run an order at most once.
type strategy interface {
	// send sends the order to the instance via for the first time, and resend
	// sends it again.
	send(cluster *modelCluster, via string)
	resend(cluster *modelCluster, via string)
}

// homeByHash runs an order at the first reachable instance in the view of the
// instance that received it. The sequence of the view stands for the ranking
// that a hash of the key gives.
type homeByHash struct{}

func (h homeByHash) send(cluster *modelCluster, via string) { h.resend(cluster, via) }
func (homeByHash) resend(cluster *modelCluster, via string) {
	for _, home := range cluster.instances[via].view {
		cluster.roundTrips++
		if cluster.reachable(via, home) {
			cluster.run(home, "order")
			return
		}
	}
}

// claimAtPeers runs an order only if no instance in the view of the receiving
// instance knows of it. Before the run, it records the order as claimed at all of
// them. It refuses the order if one of them can't be reached.
type claimAtPeers struct{}

func (c claimAtPeers) send(cluster *modelCluster, via string) { c.resend(cluster, via) }
func (claimAtPeers) resend(cluster *modelCluster, via string) {
	cluster.roundTrips++
	for _, peer := range cluster.instances[via].view {
		if !cluster.reachable(via, peer) {
			cluster.refusals++
			return
		}
		if cluster.instances[peer].claims.Has("order") {
			return
		}
	}
	for _, peer := range cluster.instances[via].view {
		cluster.instances[peer].claims.Add("order")
	}
	cluster.runs++
}

// ticketAtHome runs an order only at the incarnation that minted its ticket. It
// refuses the order if this incarnation is gone or can't be reached.
type ticketAtHome struct {
	home        string
	incarnation int
}

func (t *ticketAtHome) send(cluster *modelCluster, via string) {
	cluster.roundTrips++
	t.home, t.incarnation = via, cluster.instances[via].incarnation
	cluster.run(via, "order")
}

func (t *ticketAtHome) resend(cluster *modelCluster, via string) {
	if via != t.home {
		cluster.roundTrips++
	}
	if !cluster.reachable(via, t.home) || cluster.instances[t.home].incarnation != t.incarnation {
		cluster.refusals++
		return
	}
	cluster.run(t.home, "order")
}

// TestAtMostOnceStrategies checks in which cases each strategy runs an order
// twice or refuses it. Only the ticket strategy runs it at most once in all of
// them.
func TestAtMostOnceStrategies(t *testing.T) {
	cases := []struct {
		name string
		// prepare sets up the cluster; inject causes a failure after the order
		// was sent for the first time.
		prepare, inject func(cluster *modelCluster)
		// via is the instance that the order is sent to again.
		via string
		// runs are the expected runs with homeByHash, claimAtPeers and
		// ticketAtHome.
		runs [3]int
		// refusals are the expected refusals, in the same sequence: the caller
		// gets no answer although the instance that it asked is up.
		refusals [3]int
	}{
		{"nothing fails", nil, nil, "b", [3]int{1, 1, 1}, [3]int{0, 0, 0}},
		{"the instance lists differ", func(cluster *modelCluster) {
			cluster.instances["a"].view = []string{"a"}
			cluster.instances["b"].view = []string{"b", "c"}
		}, nil, "b", [3]int{2, 2, 1}, [3]int{0, 0, 0}},
		{"the first instance is killed", nil, func(cluster *modelCluster) { cluster.instances["a"].alive = false }, "b", [3]int{2, 1, 1}, [3]int{0, 1, 1}},
		{"the first instance is replaced", nil, func(cluster *modelCluster) { cluster.replace("a") }, "a", [3]int{2, 1, 1}, [3]int{0, 0, 1}},
		{"all instances are replaced", nil, func(cluster *modelCluster) {
			for _, name := range []string{"a", "b", "c"} {
				cluster.replace(name)
			}
		}, "b", [3]int{2, 2, 1}, [3]int{0, 0, 1}},
		{"the first instance is isolated afterwards", nil, func(cluster *modelCluster) { cluster.isolated.Add("a") }, "b", [3]int{2, 1, 1}, [3]int{0, 1, 1}},
		{"another instance is isolated from the start", func(cluster *modelCluster) { cluster.isolated.Add("c") }, nil, "b", [3]int{1, 0, 1}, [3]int{0, 2, 0}},
		{"the second instance is new and not listed yet", func(cluster *modelCluster) {
			cluster.instances["a"].view = []string{"a", "c"}
			cluster.instances["b"].view = []string{"b"}
		}, nil, "b", [3]int{2, 2, 1}, [3]int{0, 0, 0}},
	}
	names := []string{"home by hash", "claim at peers", "ticket"}
	Convey("Given the strategies to run an order at most once", t, func() {
		for _, tc := range cases {
			Convey("when "+tc.name, func() {
				for i, chosen := range []strategy{homeByHash{}, claimAtPeers{}, &ticketAtHome{}} {
					cluster := newModelCluster()
					if tc.prepare != nil {
						tc.prepare(cluster)
					}
					chosen.send(cluster, "a")
					if tc.inject != nil {
						tc.inject(cluster)
					}
					chosen.resend(cluster, tc.via)
					t.Logf("%-48s %-14s %d runs, %d round trips, %d refused", strings.TrimSpace(tc.name), names[i], cluster.runs, cluster.roundTrips, cluster.refusals)
					So(cluster.runs, ShouldEqual, tc.runs[i])
					So(cluster.refusals, ShouldEqual, tc.refusals[i])
				}
			})
		}
	})
}
