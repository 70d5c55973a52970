package core

import (
	"testing"

	. "github.com/smartystreets/goconvey/convey"
)

// served says that a service serves a snapshot.
type served struct {
	service  string
	snapshot uint64
}

func TestSnapshotChooser(t *testing.T) {
	newSnapshot := func(id uint64, first, second string) Snapshot {
		return Snapshot{ID: id, Partitions: []Partition{
			{Range: KeyRange{0, KeySpace / 4}, Service: first},
			{Range: KeyRange{KeySpace / 4, KeySpace}, Service: second},
		}}
	}
	collection := Collection{Name: "c", Snapshots: []Snapshot{newSnapshot(1, "a", "b"), newSnapshot(2, "a", "b"), newSnapshot(3, "a", "d")}}
	cases := []struct {
		name   string
		serve  []served
		tried  Set[uint64]
		want   uint64
		chosen bool
	}{
		{"the newest that all services serve", []served{{"a", 1}, {"b", 1}, {"a", 2}, {"b", 2}}, nil, 2, true},
		{"an older one with full coverage before a newer one without", []served{{"a", 1}, {"b", 1}, {"a", 2}, {"a", 3}}, nil, 1, true},
		{"the one with the greatest coverage if none is fully served", []served{{"a", 3}, {"b", 1}}, nil, 1, true},
		{"the newer of two with equal coverage", []served{{"a", 1}, {"a", 2}}, nil, 2, true},
		{"the next older one if the newest was tried", []served{{"a", 1}, {"b", 1}, {"a", 2}, {"b", 2}}, NewSet[uint64](2), 1, true},
		{"none if none is served", nil, nil, 0, false},
		{"the newest served one if a newer one is published but not yet served", []served{{"a", 2}, {"b", 2}}, nil, 2, true},
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
