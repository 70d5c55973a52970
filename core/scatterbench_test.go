package core

import (
	"context"
	"fmt"
	"testing"
)

// BenchmarkScatterSelection measures the selection of a replica for each of 90 shards and the
// recording of the replies, with three replicas a shard. Time is reported per shard.
func BenchmarkScatterSelection(b *testing.B) {
	for _, estimate := range []bool{false, true} {
		b.Run(fmt.Sprintf("estimate=%v", estimate), func(b *testing.B) {
			const shards = 90
			manual := &manualClock{now: 100 * Minute}
			fleet := NewFleet(manual.clock(), "z0", Policy{EstimateCapacity: estimate}, func(Fact) {})
			configuration := Configuration{Version: 1, MaxInstances: 1}
			for i := range shards {
				service := singleServiceConfiguration(3, 8, 8, 1).Services[0]
				service.Name = fmt.Sprintf("s%d", i)
				for j := range service.Upstreams {
					service.Upstreams[j].Name = fmt.Sprintf("s%d-%d", i, j)
				}
				configuration.Services = append(configuration.Services, service)
			}
			fleet.Apply(configuration)
			for _, state := range fleet.State() {
				fleet.Observe(state.Name, liveStatus(1))
			}
			load := Some(UpstreamLoad{Running: 4, Waiting: 1, Slots: 8})
			b.ReportAllocs()
			b.ResetTimer()
			for i := range b.N {
				manual.now += Millis(i % 2)
				permit, err := fleet.Acquire(context.Background(), Want{Service: configuration.Services[i%shards].Name, Kind: "k", NoWait: true})
				if err != nil {
					b.Fatal(err)
				}
				manual.now += Millis(i % 3)
				permit.RecordLoad(load)
				permit.Complete()
			}
		})
	}
}
