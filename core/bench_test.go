package core

import (
	"context"
	"fmt"
	"testing"
)

// BenchmarkQuery measures the core's work for a query without network connections. Time
// and allocations are reported per shard of the query.
func BenchmarkQuery(b *testing.B) {
	for _, shards := range []int{10, 20, 30, 60} {
		b.Run(fmt.Sprintf("shards=%d", shards), func(b *testing.B) {
			f := newEngineFixture()
			configuration := Configuration{Version: 9, MaxInstances: 1}
			var partitions []Partition
			for i := range shards {
				name := fmt.Sprintf("s%d", i)
				configuration.Services = append(configuration.Services, Service{
					Name: name, Slots: 8, Connections: 8, Upstreams: []Upstream{{Name: name + "a"}, {Name: name + "b"}},
				})
				partitions = append(partitions, Partition{
					Range:   KeyRange{KeySpace * uint64(i) / uint64(shards), KeySpace * uint64(i+1) / uint64(shards)},
					Service: name,
				})
			}
			configuration.Collections = []Collection{{
				Name: "c", Snapshots: []Snapshot{{ID: 1, Partitions: partitions}},
				Kinds: []Kind{{Name: "wait", Mode: ModeSearch, Timeout: Minute, MinCoverage: 1, Priority: 2}},
			}}
			f.engine.Store.decoder = fixedDecoder{configuration}
			_, _ = f.engine.Store.UpdateConfiguration(nil, "test")
			for _, state := range f.fleet.State() {
				f.fleet.Observe(state.Name, liveStatus(1, 1))
			}
			f.client.search = func(_ context.Context, _ Target, attempt SearchAttempt) (SearchReply, error) {
				return covered(attempt), nil
			}
			b.ReportAllocs()
			b.ResetTimer()
			for range max(1, b.N/shards) {
				if answer := f.query("wait"); !answer.Coverage.IsComplete() {
					b.Fatalf("coverage %v: %s", answer.Coverage, answer.Reason)
				}
				f.client.sent = f.client.sent[:0]
			}
		})
	}
}
