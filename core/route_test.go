package core

import (
	"fmt"
	"testing"

	. "github.com/smartystreets/goconvey/convey"
	"pgregory.net/rapid"
)

func TestRouteTable(t *testing.T) {
	table := NewRouteTable(Configuration{Version: 4, Routes: []Route{
		{Name: "root", Host: "a.example", PathPrefix: "/"},
		{Name: "short", Host: "a.example", PathPrefix: "/x/"},
		{Name: "long", Host: "a.example", PathPrefix: "/x/y/"},
		{Name: "other", Host: "B.example", PathPrefix: "/x/"},
	}})
	cases := []struct {
		host, path, want string
	}{
		{"a.example", "/x/y/z", "long"},
		{"a.example", "/x/y", "short"},
		{"a.example", "/x//y/", "short"},
		{"a.example", "/z", "root"},
		{"A.example", "/x/y/", "long"},
		{"a.example:8080", "/x/y/", "long"},
		{"b.example", "/x/1", "other"},
		{"b.example", "/", ""},
		{"c.example", "/x/", ""},
	}
	Convey("The route of the host with the longest matching prefix is chosen", t, func() {
		for _, tc := range cases {
			route, ok := table.Match(tc.host, tc.path)
			So(route.Name, ShouldEqual, tc.want)
			So(ok, ShouldEqual, tc.want != "")
		}
	})
}

func TestMinShards(t *testing.T) {
	cases := []struct {
		shards      int
		minCoverage float64
		want        int
	}{
		{20, 0.89, 18}, {30, 0.89, 27}, {20, 0.75, 15}, {30, 0.75, 23}, {20, 0.9, 18}, {10, 0.3, 3}, {3, 0, 1}, {4, 1, 4},
	}
	Convey("The minimum number of shards is rounded up", t, func() {
		for _, tc := range cases {
			So(Route{Shards: make([]string, tc.shards), MinCoverage: tc.minCoverage}.MinShards(), ShouldEqual, tc.want)
		}
	})
}

func TestWeightedDestinations(t *testing.T) {
	Convey("Requests are split in proportion to the weights", t, func() {
		route := Route{Destinations: []Destination{{"a", 3}, {"b", 1}, {"c", 0}}}
		counts := map[string]int{}
		const draws = 20_000
		for range draws {
			counts[route.pick()]++
		}
		So(float64(counts["a"])/draws, ShouldAlmostEqual, 0.75, 0.02)
		So(float64(counts["b"])/draws, ShouldAlmostEqual, 0.25, 0.02)
		So(counts["c"], ShouldEqual, 0)
	})
}

func TestMergeTop(t *testing.T) {
	record := func(text string) string { return fmt.Sprintf("%-16s", text) }
	cases := []struct {
		name  string
		parts []string
		topK  int
		want  string
	}{
		{"greatest records first", []string{record("a") + record("c"), record("b")}, 2, record("c") + record("b")},
		{"equal records are all kept", []string{record("c"), record("c")}, 3, record("c") + record("c")},
		{"an incomplete record is dropped", []string{record("a") + "zzz"}, 2, record("a")},
		{"an empty part", []string{"", record("a")}, 2, record("a")},
		{"no parts", nil, 2, ""},
	}
	Convey("Merging parts", t, func() {
		for _, tc := range cases {
			Convey(tc.name, func() {
				var parts []Part
				for _, records := range tc.parts {
					parts = append(parts, Part{Records: []byte(records)})
				}
				So(string(MergeTop(parts, tc.topK)), ShouldEqual, tc.want)
			})
		}
	})
}

// TestMergeTopMatchesSelection compares MergeTop with repeated selection of the maximum.
func TestMergeTopMatchesSelection(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		var parts []Part
		var all [][]byte
		for range rapid.IntRange(0, 5).Draw(t, "parts") {
			var part Part
			for range rapid.IntRange(0, 6).Draw(t, "records") {
				record := rapid.SliceOfN(rapid.ByteRange(0, 3), RecordBytes, RecordBytes).Draw(t, "record")
				part.Records = append(part.Records, record...)
				all = append(all, record)
			}
			parts = append(parts, part)
		}
		topK := rapid.IntRange(1, 8).Draw(t, "topK")
		var want string
		for range min(topK, len(all)) {
			greatest := 0
			for i := range all {
				if string(all[i]) > string(all[greatest]) {
					greatest = i
				}
			}
			want += string(all[greatest])
			all = append(all[:greatest], all[greatest+1:]...)
		}
		if got := string(MergeTop(parts, topK)); got != want {
			t.Fatalf("got %q, want %q", got, want)
		}
	})
}
