package core

import (
	"fmt"
	"testing"

	. "github.com/smartystreets/goconvey/convey"
	"pgregory.net/rapid"
)

func TestCollector(t *testing.T) {
	lower := KeyRange{Start: 0, End: KeySpace / 2}
	upper := KeyRange{Start: KeySpace / 2, End: KeySpace}
	lowKey, highKey := keyIn(lower), keyIn(upper)
	low := Record{Key: lowKey, SchemaVersion: 1, Value: "low"}
	high := Record{Key: highKey, SchemaVersion: 2, Value: "high"}
	all := NewRangeSet(FullRange())
	cases := []struct {
		name       string
		readable   Set[int]
		add        func(c *Collector)
		covered    uint64
		records    int
		unreadable int
	}{
		{"no reply covers nothing", nil, func(*Collector) {}, 0, 0, 0},
		{"an empty reply covers its range", nil, func(c *Collector) {
			c.Add([]KeyRange{lower}, SearchReply{Covered: []KeyRange{lower}})
		}, lower.Size(), 0, 0},
		{"a truncated reply covers only the ranges it reports", nil, func(c *Collector) {
			c.Add([]KeyRange{lower}, SearchReply{Covered: []KeyRange{{Start: 0, End: 10}}, Records: []Record{low}})
		}, 10, 0, 0},
		{"a reply covers no more than was requested", nil, func(c *Collector) {
			c.Add([]KeyRange{lower}, SearchReply{Covered: []KeyRange{FullRange()}, Records: []Record{low, high}})
		}, lower.Size(), 1, 0},
		{"two replies for the same range count once", nil, func(c *Collector) {
			for range 2 {
				c.Add([]KeyRange{lower}, SearchReply{Covered: []KeyRange{lower}, Records: []Record{low, low}})
			}
		}, lower.Size(), 1, 0},
		{"each position of overlapping partitions counts once", nil, func(c *Collector) {
			c.Add([]KeyRange{FullRange()}, SearchReply{Covered: []KeyRange{FullRange()}, Records: []Record{low, high}})
			c.Add([]KeyRange{upper}, SearchReply{Covered: []KeyRange{upper}, Records: []Record{high}})
		}, KeySpace, 2, 0},
		{"a reply after the close is dropped", nil, func(c *Collector) {
			c.Close()
			c.Add([]KeyRange{lower}, SearchReply{Covered: []KeyRange{lower}, Records: []Record{low}})
		}, 0, 0, 0},
		{"an unreadable record is listed and reduces the coverage", NewSet(1), func(c *Collector) {
			c.Add([]KeyRange{FullRange()}, SearchReply{Covered: []KeyRange{FullRange()}, Records: []Record{low, high}})
		}, KeySpace - 1, 1, 1},
	}
	Convey("A collector", t, func() {
		for _, tc := range cases {
			Convey(tc.name, func() {
				c := NewCollector(all, tc.readable)
				tc.add(c)
				coverage, records := c.Close()
				So(coverage.Covered, ShouldEqual, tc.covered)
				So(coverage.Total, ShouldEqual, KeySpace)
				So(NewRangeSet(coverage.Missing...).Size(), ShouldEqual, KeySpace-tc.covered)
				So(records, ShouldHaveLength, tc.records)
				So(coverage.Unreadable, ShouldHaveLength, tc.unreadable)
			})
		}
	})
}

// keyIn returns a key whose position lies in the range.
func keyIn(r KeyRange) string {
	for i := 0; ; i++ {
		key := fmt.Sprintf("key-%d", i)
		if r.Contains(Position(key)) {
			return key
		}
	}
}

func TestCollectorKeepsExactlyTheRecordsOfCoveredPositions(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		const keys = 40
		c := NewCollector(NewRangeSet(FullRange()), nil)
		var expected RangeSet
		for range rapid.IntRange(0, 10).Draw(t, "replies") {
			asked := drawPart(t, "asked")
			reported := drawPart(t, "reported")
			var reply SearchReply
			reply.Covered = []KeyRange{reported}
			for i := range keys {
				reply.Records = append(reply.Records, Record{Key: fmt.Sprint("key-", i)})
			}
			c.Add([]KeyRange{asked}, reply)
			expected = expected.Union(NewRangeSet(asked.Intersect(reported)))
		}
		coverage, records := c.Close()
		if coverage.Covered != expected.Size() {
			t.Fatalf("covered %d, want %d", coverage.Covered, expected.Size())
		}
		want := 0
		for i := range keys {
			if expected.Contains(Position(fmt.Sprint("key-", i))) {
				want++
			}
		}
		if len(records) != want {
			t.Fatalf("%d records, want %d", len(records), want)
		}
	})
}

// drawPart draws a range within the key space.
func drawPart(t *rapid.T, label string) KeyRange {
	start := rapid.Uint64Range(0, KeySpace-1).Draw(t, label+" start")
	return KeyRange{Start: start, End: rapid.Uint64Range(start, KeySpace).Draw(t, label+" end")}
}
