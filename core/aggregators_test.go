package core

import (
	"fmt"
	"slices"
	"testing"
)

// fleetOf returns instances in zones a, b and so on, the given numbers of each capacity.
func fleetOf(zones int, capacities map[int]int) []PeerInfo {
	var instances []PeerInfo
	for z := range zones {
		zone := string(rune('a' + z))
		for capacity, count := range capacities {
			for i := range count {
				instances = append(instances, PeerInfo{
					Name: fmt.Sprintf("%s-%d-%d", zone, capacity, i), Zone: zone, Capacity: capacity, Incarnation: 1,
					Address: fmt.Sprintf("%s-%d-%d", zone, capacity, i),
				})
			}
		}
	}
	return instances
}

// TestDelegatesFor covers who sends requests to upstreams in fleets of several kinds.
func TestDelegatesFor(t *testing.T) {
	cases := []struct {
		name  string
		fleet []PeerInfo
		// senders is how many instances of each zone send requests to upstreams, and
		// delegates how many delegates each of the others has.
		senders   int
		delegates int
	}{
		{"small and equal: all send", fleetOf(3, map[int]int{400: 3}), 9, 0},
		{"unknown capacities: all send", fleetOf(3, map[int]int{0: 3}), 9, 0},
		{"two fast ones in each zone send for the others", fleetOf(3, map[int]int{800: 2, 192: 27}), 6, 2},
		{"one fast one in each zone: others of other zones stand by", fleetOf(3, map[int]int{800: 1, 192: 5}), 3, 3},
		{"large and equal: one in eight sends", fleetOf(3, map[int]int{400: 100}), 36, 3},
		{"a little different counts as equal", fleetOf(3, map[int]int{400: 3, 300: 3}), 18, 0},
	}
	for _, tc := range cases {
		t.Run(tc.name, func(t *testing.T) {
			senders := NewSet[string]()
			for _, self := range tc.fleet {
				others := slices.DeleteFunc(slices.Clone(tc.fleet), func(o PeerInfo) bool { return o.Name == self.Name })
				delegates := delegatesFor(self, others)
				if len(delegates) == 0 {
					senders.Add(self.Name)
				} else if len(delegates) != tc.delegates {
					t.Fatalf("%s has delegates %v", self.Name, instanceNames(delegates))
				}
			}
			if len(senders) != tc.senders {
				t.Errorf("%d senders, want %d", len(senders), tc.senders)
			}
			for _, self := range tc.fleet {
				others := slices.DeleteFunc(slices.Clone(tc.fleet), func(o PeerInfo) bool { return o.Name == self.Name })
				for _, delegate := range delegatesFor(self, others) {
					if !senders.Has(delegate.Name) {
						t.Fatalf("%s delegates to %s, which delegates, too", self.Name, delegate.Name)
					}
				}
			}
		})
	}
}

// TestDelegatesThatAreLost covers a zone that loses its fast instances one by one, and
// the whole fleet after it.
func TestDelegatesThatAreLost(t *testing.T) {
	fleet := fleetOf(3, map[int]int{800: 2, 192: 27})
	self := PeerInfo{Name: "a-192-0", Zone: "a", Capacity: 192}
	without := func(lost ...string) []PeerInfo {
		return slices.DeleteFunc(slices.Clone(fleet), func(o PeerInfo) bool {
			return o.Name == self.Name || slices.Contains(lost, o.Name)
		})
	}
	if got := delegatesFor(self, without("a-800-0")); len(got) == 0 || got[0].Name != "a-800-1" {
		t.Errorf("one lost: %v", instanceNames(got))
	}
	if got := delegatesFor(self, without("a-800-0", "a-800-1")); len(got) != MaxDelegates || got[0].Zone == "a" || got[0].Capacity != 800 {
		t.Errorf("both lost: %v", instanceNames(got))
	}
	all := []string{"a-800-0", "a-800-1", "b-800-0", "b-800-1", "c-800-0", "c-800-1"}
	for _, delegate := range delegatesFor(self, without(all...)) {
		if delegate.Zone != "a" || delegate.Capacity != 192 {
			t.Errorf("all lost: %v", delegate)
		}
	}
	if got := delegatesFor(self, nil); len(got) > 0 {
		t.Errorf("alone: %v", instanceNames(got))
	}
}
