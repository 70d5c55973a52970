package proof

import (
	"testing"
	"time"

	"acaciavane/io/caller"
	"acaciavane/standin/lab"
)

// TestSpoiledReplies spoils the replies of one replica in each way that an
// upstream can, and requires whole and true answers from the other replica.
func TestSpoiledReplies(t *testing.T) {
	cluster := startCluster(t, lab.Options{Deployment: lab.Small(4), UpstreamsPerProcess: 11})
	faults := []string{
		"late", "crossed", "cut", "garbage", "forged", "wrongSnapshot",
		"lacksRecords", "noEnd", "duplicated", "partial", "foreign",
	}
	for _, fault := range faults {
		t.Run(fault, func(t *testing.T) {
			must(t, cluster.Behave(lab.Behaviour{Fault: fault}, "items-02a"))
			l := startLoad(60, inTurn(cluster), find)
			time.Sleep(time.Second)
			c := count(t, l.end())
			must(t, cluster.Behave(lab.Behaviour{}, "items-02a"))
			if c.answered == 0 || c.notRun+c.lost > 0 {
				t.Errorf("want all requests answered")
			}
			if fault != "late" && c.whole < c.answered*95/100 {
				t.Errorf("want nearly all answers whole: one replica of the shard is sound")
			}
		})
	}
}

// TestAllRepliesSpoiled spoils both replicas of a shard: its range must count
// as missing, and the rest must still be true.
func TestAllRepliesSpoiled(t *testing.T) {
	cluster := startCluster(t, lab.Options{Deployment: lab.Small(4), UpstreamsPerProcess: 11})
	for _, fault := range []string{"crossed", "cut", "garbage", "forged", "wrongSnapshot", "lacksRecords", "noEnd", "partial"} {
		t.Run(fault, func(t *testing.T) {
			must(t, cluster.Behave(lab.Behaviour{Fault: fault}, "items-03a", "items-03b"))
			l := startLoad(40, inTurn(cluster), find)
			time.Sleep(600 * time.Millisecond)
			c := count(t, l.end())
			must(t, cluster.Behave(lab.Behaviour{}, "items-03a", "items-03b"))
			if c.answered == 0 {
				t.Errorf("want answers of the other shards")
			}
		})
	}
}

// TestSnapshotsChangeWhileQueriesRun deploys, half deploys, rolls back and drops
// snapshots under load. No answer may mix them.
func TestSnapshotsChangeWhileQueriesRun(t *testing.T) {
	cluster := startCluster(t, lab.Options{Deployment: lab.Small(6), UpstreamsPerProcess: 15, Snapshots: 3})
	all := cluster.Upstreams("items")
	must(t, cluster.Serve("items", 2, false, all...))
	must(t, cluster.Serve("items", 3, false, all...))
	time.Sleep(1500 * time.Millisecond)
	l := startLoad(80, inTurn(cluster), find)
	pause := func() { time.Sleep(120 * time.Millisecond) }
	for _, name := range all {
		must(t, cluster.Serve("items", 2, true, name))
		pause()
	}
	for _, name := range all[:len(all)/2] {
		must(t, cluster.Serve("items", 3, true, name))
		must(t, cluster.Serve("items", 1, false, name))
		pause()
	}
	for _, name := range all[:len(all)/2] {
		must(t, cluster.Serve("items", 3, false, name))
		pause()
	}
	for _, name := range all {
		must(t, cluster.Serve("items", 3, true, name))
		pause()
	}
	time.Sleep(time.Second)
	for _, name := range all {
		must(t, cluster.Serve("items", 2, false, name))
		pause()
	}
	results := l.end()
	c := count(t, results)
	seen := map[uint64]int{}
	for _, s := range results {
		seen[s.answer.Snapshot]++
	}
	t.Logf("answers by snapshot: %v", seen)
	if len(seen) < 2 || c.answered < len(results)*99/100 {
		t.Errorf("want answers from several snapshots, and nearly all requests answered")
	}
	if c.whole < c.answered*90/100 {
		t.Errorf("want at least nine in ten answers whole")
	}
}

// TestRepartitioningWhileQueriesRun publishes a snapshot whose partitions are
// split, merged and moved, while the upstreams follow one by one.
func TestRepartitioningWhileQueriesRun(t *testing.T) {
	cluster := startCluster(t, lab.Options{Deployment: lab.Small(4), UpstreamsPerProcess: 11})
	next := cluster.Configuration
	next.Version = 2
	services := []string{"items-01", "items-02", "items-03", "items-04"}
	const eighth = uint64(1) << 29
	moved := lab.SnapshotConfig{ID: 2, Partitions: []lab.PartitionConfig{
		{Start: 0, End: eighth, Service: services[0]},
		{Start: eighth, End: 4 * eighth, Service: services[1]},
		{Start: 4 * eighth, End: 5 * eighth, Service: services[0]},
		{Start: 5 * eighth, End: 8 * eighth, Service: services[3]},
	}}
	next.Collections = append([]lab.CollectionConfig(nil), next.Collections...)
	next.Collections[0].Snapshots = append([]lab.SnapshotConfig{}, next.Collections[0].Snapshots...)
	next.Collections[0].Snapshots = append(next.Collections[0].Snapshots, moved)
	l := startLoad(80, inTurn(cluster), find)
	must(t, cluster.Publish(next))
	for _, name := range cluster.Upstreams("items") {
		time.Sleep(200 * time.Millisecond)
		must(t, cluster.LoadConfiguration(next, name))
	}
	time.Sleep(1500 * time.Millisecond)
	for _, name := range cluster.Upstreams("items") {
		must(t, cluster.Serve("items", 1, false, name))
	}
	time.Sleep(time.Second)
	results := l.end()
	c := count(t, results)
	if last := results[len(results)-1]; last.answer.Snapshot != 2 {
		t.Errorf("the last answer is from snapshot %d, want 2", last.answer.Snapshot)
	}
	if c.whole < len(results)*95/100 {
		t.Errorf("want nearly all answers whole")
	}
}

// TestUnreadableSchemaVersions asks as a caller that reads old records only.
func TestUnreadableSchemaVersions(t *testing.T) {
	cluster := startCluster(t, lab.Options{Deployment: lab.Small(4), UpstreamsPerProcess: 11})
	s := ask(cluster.Entries[0], caller.RequestBody{Collection: "items", Kind: "find", SchemaVersions: []int{1}})
	must(t, s.err)
	if got := len(s.answer.Records); got != recordCount/2 {
		t.Errorf("%d records, want %d", got, recordCount/2)
	}
	if got := len(s.answer.Coverage.Unreadable); got != recordCount/2 {
		t.Errorf("%d unreadable records named, want %d", got, recordCount/2)
	}
	if s.answer.Coverage.Covered == s.answer.Coverage.Total || s.answer.Sufficient {
		t.Errorf("an answer without the new records must not pass for whole")
	}
}
