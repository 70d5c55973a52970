package proof

import (
	"slices"
	"testing"
	"time"

	"acaciavane/core"
	"acaciavane/io/caller"
	"acaciavane/standin/lab"
)

// TestFaultyReplies corrupts the replies of one replica in different ways. The other replica of
// the shard must make the answers complete and correct. Each case has a cluster of its own,
// because instances send nothing for some seconds to a replica that was late or sent bad replies.
func TestFaultyReplies(t *testing.T) {
	faults := []string{
		"late", "repeated", "crossed", "cut", "garbage", "forged", "wrongSnapshot",
		"lacksRecords", "noEnd", "duplicated", "partial", "foreign",
	}
	for _, fault := range faults {
		t.Run(fault, func(t *testing.T) {
			cluster := startCluster(t, lab.Options{Deployment: lab.Small(4), UpstreamsPerProcess: 11})
			must(t, cluster.SetBehaviour(lab.Behaviour{Fault: fault}, "items-02a"))
			l := startLoad(60, roundRobin(cluster), findRequest)
			time.Sleep(time.Second)
			c := checkAnswers(t, l.finish())
			requireRuns(t, cluster, 0, "items-02a")
			if c.answered == 0 || c.notRun+c.failed > 0 {
				c.reportShortfall(t, c.notRun-c.overloaded+c.failed, "want all requests answered")
			}
			if fault != "late" && c.complete < c.answered*95/100 {
				t.Errorf("want nearly all answers complete: the other replica of the shard replies correctly")
			}
		})
	}
}

// requireRuns fails the test unless the upstreams have run more than the given number of requests,
// and returns the number that they have run. Without a run, a fault of their replies shows nothing.
func requireRuns(t *testing.T, cluster *lab.Cluster, before int, names ...string) int {
	t.Helper()
	runs, err := cluster.Ledger()
	must(t, err)
	count := 0
	for _, run := range runs {
		if slices.Contains(names, run.Upstream) {
			count++
		}
	}
	t.Logf("%d runs at %v", count-before, names)
	if count <= before {
		t.Errorf("want runs at %v", names)
	}
	return count
}

// TestFaultyRepliesOfAllReplicas corrupts the replies of both replicas of a shard. The key
// range of the shard must be reported as missing, and the rest must still be correct.
func TestFaultyRepliesOfAllReplicas(t *testing.T) {
	cluster := startCluster(t, lab.Options{Deployment: lab.Small(4), UpstreamsPerProcess: 11})
	runs := 0
	for _, fault := range []string{"repeated", "crossed", "cut", "garbage", "forged", "wrongSnapshot", "lacksRecords", "noEnd", "partial"} {
		t.Run(fault, func(t *testing.T) {
			must(t, cluster.SetBehaviour(lab.Behaviour{Fault: fault}, "items-03a", "items-03b"))
			l := startLoad(40, roundRobin(cluster), findRequest)
			time.Sleep(600 * time.Millisecond)
			c := checkAnswers(t, l.finish())
			must(t, cluster.SetBehaviour(lab.Behaviour{}, "items-03a", "items-03b"))
			runs = requireRuns(t, cluster, runs, "items-03a", "items-03b")
			if c.answered == 0 {
				t.Errorf("want answers with the records of the other shards")
			}
		})
	}
}

// TestSnapshotsChangeWhileQueriesRun deploys snapshots to all or half of the upstreams,
// rolls them back and removes them under load. No answer may mix snapshots.
func TestSnapshotsChangeWhileQueriesRun(t *testing.T) {
	cluster := startCluster(t, lab.Options{Deployment: lab.Small(6), UpstreamsPerProcess: 15, Snapshots: 3})
	all := cluster.Upstreams("items")
	must(t, cluster.SetSnapshotServed("items", 2, false, all...))
	must(t, cluster.SetSnapshotServed("items", 3, false, all...))
	time.Sleep(1500 * time.Millisecond)
	l := startLoad(80, roundRobin(cluster), findRequest)
	pause := func() { time.Sleep(120 * time.Millisecond) }
	for _, name := range all {
		must(t, cluster.SetSnapshotServed("items", 2, true, name))
		pause()
	}
	for _, name := range all[:len(all)/2] {
		must(t, cluster.SetSnapshotServed("items", 3, true, name))
		must(t, cluster.SetSnapshotServed("items", 1, false, name))
		pause()
	}
	for _, name := range all[:len(all)/2] {
		must(t, cluster.SetSnapshotServed("items", 3, false, name))
		pause()
	}
	for _, name := range all {
		must(t, cluster.SetSnapshotServed("items", 3, true, name))
		pause()
	}
	time.Sleep(time.Second)
	for _, name := range all {
		must(t, cluster.SetSnapshotServed("items", 2, false, name))
		pause()
	}
	results := l.finish()
	c := checkAnswers(t, results)
	seen := map[uint64]int{}
	for _, r := range results {
		if r.answer.Outcome == string(core.OutcomeAnswered) {
			seen[r.answer.Snapshot]++
		}
	}
	t.Logf("answers by snapshot: %v", seen)
	if len(seen) < 2 {
		t.Errorf("want answers from several snapshots")
	}
	if c.answered < len(results)*99/100 {
		c.reportShortfall(t, len(results)-c.answered-c.overloaded, "want nearly all requests answered")
	}
	if c.complete < c.answered*90/100 {
		t.Errorf("want at least 90 percent of the answers complete")
	}
}

// TestRepartitioningWhileQueriesRun publishes a snapshot whose partitions are split, merged
// and moved. The upstreams load the new partitions one by one.
func TestRepartitioningWhileQueriesRun(t *testing.T) {
	cluster := startCluster(t, lab.Options{Deployment: lab.Small(4), UpstreamsPerProcess: 11})
	next := cluster.Configuration
	next.Version = 2
	services := []string{"items-01", "items-02", "items-03", "items-04"}
	const eighth = uint64(1) << 29
	repartitioned := lab.SnapshotConfig{ID: 2, Partitions: []lab.PartitionConfig{
		{Start: 0, End: eighth, Service: services[0]},
		{Start: eighth, End: 4 * eighth, Service: services[1]},
		{Start: 4 * eighth, End: 5 * eighth, Service: services[0]},
		{Start: 5 * eighth, End: 8 * eighth, Service: services[3]},
	}}
	next.Collections = append([]lab.CollectionConfig(nil), next.Collections...)
	next.Collections[0].Snapshots = append([]lab.SnapshotConfig{}, next.Collections[0].Snapshots...)
	next.Collections[0].Snapshots = append(next.Collections[0].Snapshots, repartitioned)
	l := startLoad(80, roundRobin(cluster), findRequest)
	must(t, cluster.Publish(next))
	for _, name := range cluster.Upstreams("items") {
		time.Sleep(200 * time.Millisecond)
		must(t, cluster.LoadConfiguration(next, name))
	}
	time.Sleep(1500 * time.Millisecond)
	for _, name := range cluster.Upstreams("items") {
		must(t, cluster.SetSnapshotServed("items", 1, false, name))
	}
	time.Sleep(time.Second)
	results := l.finish()
	c := checkAnswers(t, results)
	if last := results[len(results)-1]; last.answer.Snapshot != 2 {
		t.Errorf("the last answer is from snapshot %d, want 2", last.answer.Snapshot)
	}
	if c.complete < len(results)*95/100 {
		t.Errorf("want nearly all answers complete")
	}
}

// TestUnreadableSchemaVersions queries as a caller that reads only schema version 1. Records
// of newer versions must be listed as unreadable and must not count as covered.
func TestUnreadableSchemaVersions(t *testing.T) {
	cluster := startCluster(t, lab.Options{Deployment: lab.Small(4), UpstreamsPerProcess: 11})
	r := sendQuery(cluster.Entries[0], caller.RequestBody{Collection: "items", Kind: "find", SchemaVersions: []int{1}})
	must(t, r.err)
	if got := len(r.answer.Records); got != recordCount/2 {
		t.Errorf("got %d records, want %d", got, recordCount/2)
	}
	if got := len(r.answer.Coverage.Unreadable); got != recordCount/2 {
		t.Errorf("got %d unreadable records, want %d", got, recordCount/2)
	}
	if r.answer.Coverage.Covered == r.answer.Coverage.Total || r.answer.Sufficient {
		t.Errorf("an answer without the unreadable records is reported as complete or sufficient")
	}
}
