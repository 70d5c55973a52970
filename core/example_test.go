package core_test

import (
	"fmt"

	"acaciavane/core"
)

func ExampleSet() {
	zones := core.NewSet("toledo", "erie")
	zones.Add("saginaw")
	fmt.Println(zones.Has("erie"), zones.Sorted())
	// Output: true [erie saginaw toledo]
}

func ExampleOption() {
	delay := core.Some(core.Millis(12))
	fmt.Println(delay.Or(50), core.None[core.Millis]().Or(50))
	// Output: 12 50
}

func ExampleRangeSet_Subtract() {
	asked := core.NewRangeSet(core.KeyRange{Start: 0, End: 100})
	covered := core.NewRangeSet(core.KeyRange{Start: 20, End: 30})
	fmt.Println(asked.Subtract(covered).Ranges())
	// Output: [{0 20} {30 100}]
}

func ExampleConfiguration_Newer() {
	first := core.Configuration{Version: 7, Digest: "3c"}
	second := core.Configuration{Version: 7, Digest: "a1"}
	fmt.Println(second.Newer(first), first.Newer(second))
	// Output: true false
}

func ExampleConfiguration_ConnectionsPerInstance() {
	service := core.Service{Name: "talker-desk-01", Connections: 25}
	configuration := core.Configuration{MaxInstances: 12}
	fmt.Println(configuration.ConnectionsPerInstance(service))
	// Output: 2
}
