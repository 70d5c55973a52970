package core

import (
	"testing"

	. "github.com/smartystreets/goconvey/convey"
)

// served names what a service serves, as service@snapshot.
type served struct {
	service  string
	snapshot uint64
}

func TestSnapshotChooser(t *testing.T) {
	halves := func(id uint64, first, second string) Snapshot {
		return Snapshot{ID: id, Partitions: []Partition{
			{Range: KeyRange{0, KeySpace / 4}, Service: first},
			{Range: KeyRange{KeySpace / 4, KeySpace}, Service: second},
		}}
	}
	collection := Collection{Name: "c", Snapshots: []Snapshot{halves(1, "a", "b"), halves(2, "a", "b"), halves(3, "a", "d")}}
	cases := []struct {
		name   string
		serve  []served
		tried  Set[uint64]
		want   uint64
		chosen bool
	}{
		{"the newest that all serve", []served{{"a", 1}, {"b", 1}, {"a", 2}, {"b", 2}}, nil, 2, true},
		{"a whole older one goes before a newer part", []served{{"a", 1}, {"b", 1}, {"a", 2}, {"a", 3}}, nil, 1, true},
		{"else the greatest coverage", []served{{"a", 3}, {"b", 1}}, nil, 1, true},
		{"of equal coverage the newer", []served{{"a", 1}, {"a", 2}}, nil, 2, true},
		{"not one that was tried", []served{{"a", 1}, {"b", 1}, {"a", 2}, {"b", 2}}, NewSet[uint64](2), 1, true},
		{"none when nothing is served", nil, nil, 0, false},
		{"a published one that nobody serves yet is passed over", []served{{"a", 2}, {"b", 2}}, nil, 2, true},
	}
	Convey("The chooser picks", t, func() {
		for _, tc := range cases {
			Convey(tc.name, func() {
				chooser := SnapshotChooser{Serving: func(service, _ string, snapshot uint64) bool {
					for _, s := range tc.serve {
						if s == (served{service, snapshot}) {
							return true
						}
					}
					return false
				}}
				plan, ok := chooser.Choose(collection, NewRangeSet(FullRange()), tc.tried)
				So(ok, ShouldEqual, tc.chosen)
				if ok {
					So(plan.Snapshot.ID, ShouldEqual, tc.want)
				}
			})
		}
	})
}
