package proof

import (
	"fmt"
	"strings"
	"testing"
	"time"

	"acaciavane/core"
	"acaciavane/io/caller"
	"acaciavane/standin/lab"
)

// poison is the request body that crashes an upstream stand-in.
const poison = "poison"

// TestCrashesPerRequestAreLimited sends a request that crashes each upstream that runs it,
// and repeats it through every instance, while harmless requests use the same upstreams.
// Crashed upstreams are restarted. The number of crashes must stay within a limit, and the
// harmless requests must be answered.
func TestCrashesPerRequestAreLimited(t *testing.T) {
	cases := []struct {
		name       string
		deployment lab.Deployment
		collection string
		kind       string
		key        string
	}{
		{"huron-bay, all shards of talker-desk", lab.HuronBay(), "talker-desk", "price-lookup", ""},
		{"huron-bay, one record of prepress-desk", lab.HuronBay(), "prepress-desk", "proof-fetch", "item-00007"},
		{"bokveld, all shards of voorman", lab.Bokveld(), "voorman", "open-bookings", ""},
	}
	for _, tc := range cases {
		t.Run(tc.name, func(t *testing.T) {
			testCrashingRequest(t, tc.deployment, caller.RequestBody{
				Collection: tc.collection, Kind: tc.kind, Key: tc.key, Body: poison,
			})
		})
	}
}

// testCrashingRequest runs a case of TestCrashesPerRequestAreLimited.
func testCrashingRequest(t *testing.T, deployment lab.Deployment, crashing caller.RequestBody) {
	cluster := startCluster(t, lab.Options{Deployment: withOnlyCollection(deployment, crashing.Collection)})
	names := cluster.Upstreams(crashing.Collection)
	must(t, cluster.SetBehaviour(lab.Behaviour{CrashOn: poison}, names...))
	waitForPeers(t, cluster)
	shards := len(cluster.Configuration.Services)
	harmless := func(i int) caller.RequestBody {
		body := crashing
		body.Body = fmt.Sprint("innocent ", i)
		return body
	}
	l := startLoad(40, roundRobin(cluster), harmless)
	time.Sleep(time.Second)
	crashed := 0
	refusals := 0
	for i := range 3 * len(cluster.Entries) {
		r := sendQuery(cluster.Entries[i%len(cluster.Entries)], crashing)
		if r.answer.Reason == string(core.ReasonCrashesUpstreams) && r.answer.Outcome == string(core.OutcomeNotRun) {
			refusals++
		}
		time.Sleep(200 * time.Millisecond)
		crashed += restartCrashed(t, cluster, names)
	}
	time.Sleep(2 * time.Second)
	results := l.finish()
	c := checkAnswers(t, results)
	// The limit allows one upstream of each shard, the hedges (one for every ten shards, at
	// least one), and the isolated runs after which the request is refused.
	limit := shards + max(1, shards/core.ShardsPerHedge) + core.ConvictAfterCrashes
	t.Logf("%d upstreams crashed, limit %d; the request was refused %d times", crashed, limit, refusals)
	if crashed > limit {
		t.Errorf("the request crashed %d upstreams, limit %d", crashed, limit)
	}
	if crashed == 0 || refusals == 0 {
		t.Errorf("want the request to crash upstreams and then to be refused")
	}
	for _, r := range results {
		if r.answer.Reason == string(core.ReasonCrashesUpstreams) {
			t.Errorf("a harmless request was refused as crashing upstreams: %s", r.answer.Detail)
		}
	}
	if c.answered < len(results)*98/100 {
		t.Errorf("want at least 98 percent of the harmless requests answered")
	}
}

// withOnlyCollection returns the deployment reduced to one collection.
func withOnlyCollection(deployment lab.Deployment, collection string) lab.Deployment {
	for _, group := range deployment.Groups {
		if group.Collection == collection {
			deployment.Groups = []lab.Group{group}
		}
	}
	return deployment
}

// restartCrashed restarts the upstreams whose processes have exited, and returns the number
// of these upstreams.
func restartCrashed(t *testing.T, cluster *lab.Cluster, names []string) int {
	t.Helper()
	var crashed []string
	for _, name := range names {
		if cluster.UpstreamProcess(name).Exited() {
			must(t, cluster.RestartUpstream(name))
			crashed = append(crashed, name)
		}
	}
	for _, name := range crashed {
		must(t, lab.Eventually(callTimeout, func() error {
			return cluster.SetBehaviour(lab.Behaviour{CrashOn: poison}, name)
		}))
	}
	if len(crashed) > 0 {
		t.Logf("crashed: %s", strings.Join(crashed, " "))
	}
	return len(crashed)
}
