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

const poison = "poison"

// TestCrashingRequestCostsABoundedNumberOfUpstreams sends a request that crashes
// each upstream which runs it, and sends it again through every instance, while
// innocent requests share the upstreams. Crashed upstreams are restarted.
func TestCrashingRequestCostsABoundedNumberOfUpstreams(t *testing.T) {
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
			crashCase(t, tc.deployment, caller.RequestBody{
				Collection: tc.collection, Kind: tc.kind, Key: tc.key, Body: poison,
			})
		})
	}
}

func crashCase(t *testing.T, deployment lab.Deployment, guilty caller.RequestBody) {
	cluster := startCluster(t, lab.Options{Deployment: only(deployment, guilty.Collection)})
	names := cluster.Upstreams(guilty.Collection)
	must(t, cluster.Behave(lab.Behaviour{CrashOn: poison}, names...))
	waitForPeers(t, cluster)
	shards := len(cluster.Configuration.Services)
	innocent := func(i int) caller.RequestBody {
		body := guilty
		body.Body = fmt.Sprint("innocent ", i)
		return body
	}
	l := startLoad(40, inTurn(cluster), innocent)
	time.Sleep(time.Second)
	crashed := 0
	refusals := 0
	for i := range 3 * len(cluster.Entries) {
		s := ask(cluster.Entries[i%len(cluster.Entries)], guilty)
		if s.answer.Reason == string(core.ReasonCrashesUpstreams) && s.answer.Outcome == string(core.OutcomeNotRun) {
			refusals++
		}
		time.Sleep(200 * time.Millisecond)
		crashed += restartCrashed(t, cluster, names)
	}
	time.Sleep(2 * time.Second)
	results := l.end()
	c := count(t, results)
	// One upstream of each shard, one hedge for every ten shards, and the
	// isolated runs that convict.
	bound := shards + max(1, shards/core.ShardsPerHedge) + core.ConvictAfterCrashes
	t.Logf("%d upstreams crashed, bound %d; the request was refused %d times", crashed, bound, refusals)
	if crashed > bound {
		t.Errorf("the request crashed %d upstreams, bound %d", crashed, bound)
	}
	if crashed == 0 || refusals == 0 {
		t.Errorf("want the request to crash upstreams and then to be refused")
	}
	for _, s := range results {
		if s.answer.Reason == string(core.ReasonCrashesUpstreams) {
			t.Errorf("an innocent request was blamed: %s", s.answer.Detail)
		}
	}
	if c.answered < len(results)*98/100 {
		t.Errorf("want innocent requests answered")
	}
}

// only keeps one collection of a deployment.
func only(deployment lab.Deployment, collection string) lab.Deployment {
	for _, group := range deployment.Groups {
		if group.Collection == collection {
			deployment.Groups = []lab.Group{group}
		}
	}
	return deployment
}

// restartCrashed restarts the upstreams that have ended and returns their number.
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
			return cluster.Behave(lab.Behaviour{CrashOn: poison}, name)
		}))
	}
	if len(crashed) > 0 {
		t.Logf("crashed: %s", strings.Join(crashed, " "))
	}
	return len(crashed)
}
