package core

import (
	"strings"
	"testing"

	. "github.com/smartystreets/goconvey/convey"
)

// The ways to run an order at most once that docs/DESIGN.md weighs, as small
// models: a caller sends an order to one instance, something fails, and it sends
// the order again to another one.

// modelInstance is what an instance remembers and whom it knows.
type modelInstance struct {
	alive       bool
	incarnation int
	view        []string
	// claims are the orders that this instance knows to have been started.
	claims Set[string]
}

// modelWorld is a fleet with a count of runs, of serial messages and of refusals.
type modelWorld struct {
	instances map[string]*modelInstance
	cut       Set[string]
	runs      int
	trips     int
	refusals  int
}

func newModelWorld() *modelWorld {
	w := &modelWorld{instances: map[string]*modelInstance{}, cut: NewSet[string]()}
	for _, name := range []string{"a", "b", "c"} {
		w.instances[name] = &modelInstance{alive: true, incarnation: 1, view: []string{"a", "b", "c"}, claims: NewSet[string]()}
	}
	return w
}

// reach reports whether a message from one instance to another is answered.
func (w *modelWorld) reach(from, to string) bool {
	return w.instances[to].alive && (from == to || !w.cut.Has(from) && !w.cut.Has(to))
}

func (w *modelWorld) replace(name string) {
	old := w.instances[name]
	w.instances[name] = &modelInstance{alive: true, incarnation: old.incarnation + 1, view: old.view, claims: NewSet[string]()}
}

// run runs the order at an instance unless it knows of a run.
func (w *modelWorld) run(at, order string) {
	if !w.instances[at].claims.Has(order) {
		w.instances[at].claims.Add(order)
		w.runs++
	}
}

// way is one way to run an order at most once.
type way interface {
	// first sends an order to an instance, and again sends it once more.
	first(w *modelWorld, via string)
	again(w *modelWorld, via string)
}

// homeByHash runs an order at the first reachable instance of the receiver's
// view, in an order that the key gives.
type homeByHash struct{}

func (h homeByHash) first(w *modelWorld, via string) { h.again(w, via) }
func (homeByHash) again(w *modelWorld, via string) {
	for _, home := range w.instances[via].view {
		w.trips++
		if w.reach(via, home) {
			w.run(home, "order")
			return
		}
	}
}

// claimAtPeers makes the claim known to all of the view before it runs the
// order, and refuses where one of them can't be asked.
type claimAtPeers struct{}

func (c claimAtPeers) first(w *modelWorld, via string) { c.again(w, via) }
func (claimAtPeers) again(w *modelWorld, via string) {
	w.trips++
	for _, peer := range w.instances[via].view {
		if !w.reach(via, peer) {
			w.refusals++
			return
		}
		if w.instances[peer].claims.Has("order") {
			return
		}
	}
	for _, peer := range w.instances[via].view {
		w.instances[peer].claims.Add("order")
	}
	w.runs++
}

// ticketAtHome runs an order only at the incarnation that minted its ticket.
type ticketAtHome struct {
	home        string
	incarnation int
}

func (t *ticketAtHome) first(w *modelWorld, via string) {
	w.trips++
	t.home, t.incarnation = via, w.instances[via].incarnation
	w.run(via, "order")
}

func (t *ticketAtHome) again(w *modelWorld, via string) {
	if via != t.home {
		w.trips++
	}
	if !w.reach(via, t.home) || w.instances[t.home].incarnation != t.incarnation {
		w.refusals++
		return
	}
	w.run(t.home, "order")
}

func TestWaysToRunAnOrderOnce(t *testing.T) {
	cases := []struct {
		name string
		// before prepares the world, between fails something after the first sending.
		before, between func(w *modelWorld)
		via             string
		// runs are those of homeByHash, claimAtPeers and ticketAtHome.
		runs [3]int
		// refusals are the sendings that got no answer although nothing else was wrong.
		refusals [3]int
	}{
		{"nothing fails", nil, nil, "b", [3]int{1, 1, 1}, [3]int{0, 0, 0}},
		{"the lists differ", func(w *modelWorld) {
			w.instances["a"].view = []string{"a"}
			w.instances["b"].view = []string{"b", "c"}
		}, nil, "b", [3]int{2, 2, 1}, [3]int{0, 0, 0}},
		{"the first instance is killed", nil, func(w *modelWorld) { w.instances["a"].alive = false }, "b", [3]int{2, 1, 1}, [3]int{0, 1, 1}},
		{"the first instance is replaced", nil, func(w *modelWorld) { w.replace("a") }, "a", [3]int{2, 1, 1}, [3]int{0, 0, 1}},
		{"all instances are replaced", nil, func(w *modelWorld) {
			for _, name := range []string{"a", "b", "c"} {
				w.replace(name)
			}
		}, "b", [3]int{2, 2, 1}, [3]int{0, 0, 1}},
		{"the first instance is cut off", nil, func(w *modelWorld) { w.cut.Add("a") }, "b", [3]int{2, 1, 1}, [3]int{0, 1, 1}},
		{"another instance is cut off from the start", func(w *modelWorld) { w.cut.Add("c") }, nil, "b", [3]int{1, 0, 1}, [3]int{0, 2, 0}},
		{"the second instance is new and not listed yet", func(w *modelWorld) {
			w.instances["a"].view = []string{"a", "c"}
			w.instances["b"].view = []string{"b"}
		}, nil, "b", [3]int{2, 2, 1}, [3]int{0, 0, 0}},
	}
	names := []string{"home by hash", "claim at peers", "ticket"}
	Convey("Of the ways to run an order once", t, func() {
		for _, tc := range cases {
			Convey("when "+tc.name, func() {
				for i, chosen := range []way{homeByHash{}, claimAtPeers{}, &ticketAtHome{}} {
					w := newModelWorld()
					if tc.before != nil {
						tc.before(w)
					}
					chosen.first(w, "a")
					if tc.between != nil {
						tc.between(w)
					}
					chosen.again(w, tc.via)
					t.Logf("%-48s %-14s %d runs, %d round trips, %d refused", strings.TrimSpace(tc.name), names[i], w.runs, w.trips, w.refusals)
					So(w.runs, ShouldEqual, tc.runs[i])
					So(w.refusals, ShouldEqual, tc.refusals[i])
				}
			})
		}
	})
}
