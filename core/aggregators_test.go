package core

import (
	"fmt"
	"slices"
	"testing"
)

// newTestInstances returns instances in zones a, b and so on. capacities maps a capacity to
// the number of instances per zone that have it.
func newTestInstances(zones int, capacities map[int]int) []PeerInfo {
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

// TestDelegatesFor covers which instances of various sets send requests to upstreams, and
// that the others delegate to these only.
func TestDelegatesFor(t *testing.T) {
	cases := []struct {
		name      string
		instances []PeerInfo
		// senders is the number of instances that send requests to upstreams, and
		// delegates the number of delegates that each of the others has.
		senders   int
		delegates int
	}{
		{"few instances, equal capacities: all send", newTestInstances(3, map[int]int{400: 3}), 9, 0},
		{"unknown capacities: all send", newTestInstances(3, map[int]int{0: 3}), 9, 0},
		{"two large instances per zone send for the others", newTestInstances(3, map[int]int{800: 2, 192: 27}), 6, 2},
		{"one large instance per zone: those of other zones are spare delegates", newTestInstances(3, map[int]int{800: 1, 192: 5}), 3, 3},
		{"many instances, equal capacities: one in eight sends", newTestInstances(3, map[int]int{400: 100}), 36, 3},
		{"slightly different capacities: all send", newTestInstances(3, map[int]int{400: 3, 300: 3}), 18, 0},
	}
	for _, tc := range cases {
		t.Run(tc.name, func(t *testing.T) {
			senders := NewSet[string]()
			for _, self := range tc.instances {
				others := slices.DeleteFunc(slices.Clone(tc.instances), func(instance PeerInfo) bool { return instance.Name == self.Name })
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
			for _, self := range tc.instances {
				others := slices.DeleteFunc(slices.Clone(tc.instances), func(instance PeerInfo) bool { return instance.Name == self.Name })
				for _, delegate := range delegatesFor(self, others) {
					if !senders.Has(delegate.Name) {
						t.Fatalf("%s delegates to %s, which delegates itself", self.Name, delegate.Name)
					}
				}
			}
		})
	}
}

// TestDelegatesForAfterFailures covers a zone that loses its large instances one by one, then
// the loss of all large instances, and an instance without any others.
func TestDelegatesForAfterFailures(t *testing.T) {
	instances := newTestInstances(3, map[int]int{800: 2, 192: 27})
	self := PeerInfo{Name: "a-192-0", Zone: "a", Capacity: 192}
	without := func(lost ...string) []PeerInfo {
		return slices.DeleteFunc(slices.Clone(instances), func(instance PeerInfo) bool {
			return instance.Name == self.Name || slices.Contains(lost, instance.Name)
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
		t.Errorf("no other instances: %v", instanceNames(got))
	}
}
