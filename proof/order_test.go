package proof

import (
	"context"
	"flag"
	"fmt"
	"math/rand/v2"
	"sync"
	"testing"
	"time"

	"acaciavane/core"
	"acaciavane/io/caller"
	"acaciavane/standin/lab"
)

var seed = flag.Uint64("seed", 1, "seed of the random failures")

// orderSend is one sending of an order.
type orderSend struct {
	via     string
	outcome string
	reason  string
	ended   time.Time
}

// orderHistory is an order with all its sendings.
type orderHistory struct {
	key   string
	sends []orderSend
}

// sendOrder gets a ticket and sends the order until it has an answer, through
// another instance each time.
func sendOrder(cluster *lab.Cluster, random *rand.Rand, key string, most int) orderHistory {
	history := orderHistory{key: key}
	pick := func() *lab.Entry { return cluster.Entries[random.IntN(len(cluster.Entries))] }
	var ticket string
	for range 10 {
		if text, ok := mint(pick()); ok {
			ticket = text
			break
		}
	}
	if ticket == "" {
		return history
	}
	request := caller.RequestBody{Collection: "book", Kind: "order", Key: key, Ticket: ticket, TimeoutMillis: 700}
	for range most {
		send := orderOnce(pick(), request)
		history.sends = append(history.sends, send)
		// A caller that is in doubt sends again, and some send again anyway.
		if send.outcome == string(core.OutcomeAnswered) && random.IntN(3) > 0 {
			break
		}
	}
	return history
}

func mint(entry *lab.Entry) (string, bool) {
	client := entry.Client()
	defer client.Close()
	ctx, cancel := context.WithTimeout(context.Background(), time.Second)
	defer cancel()
	ticket, err := client.MintTicket(ctx)
	return ticket.Ticket, err == nil
}

func orderOnce(entry *lab.Entry, request caller.RequestBody) orderSend {
	client := entry.Client()
	defer client.Close()
	ctx, cancel := context.WithTimeout(context.Background(), 900*time.Millisecond)
	defer cancel()
	answer, err := client.Order(ctx, request)
	send := orderSend{via: entry.Name, outcome: answer.Outcome, reason: answer.Reason, ended: time.Now()}
	if err != nil {
		send.outcome = "noAnswer"
	}
	return send
}

// checkOrders compares what callers were told with the ledgers.
func checkOrders(t *testing.T, cluster *lab.Cluster, histories []orderHistory) {
	t.Helper()
	runs, err := cluster.Ledger()
	must(t, err)
	byKey := map[string][]lab.Run{}
	for _, run := range runs {
		if run.Kind == "order" {
			byKey[run.Key] = append(byKey[run.Key], run)
		}
	}
	outcomes := map[string]int{}
	for _, history := range histories {
		ran := byKey[history.key]
		if len(ran) > 1 {
			t.Errorf("order %s ran %d times: %+v; sends %+v", history.key, len(ran), ran, history.sends)
		}
		for _, send := range history.sends {
			outcomes[send.outcome]++
			if send.outcome == string(core.OutcomeAnswered) && len(ran) == 0 {
				t.Errorf("order %s was answered and never ran", history.key)
			}
			if send.outcome == string(core.OutcomeNotRun) && len(ran) > 0 && time.UnixMilli(ran[0].UnixMillis).Before(send.ended.Add(-time.Millisecond)) {
				t.Errorf("order %s was called not run (%s by %s) after it ran; sends %+v", history.key, send.reason, send.via, history.sends)
			}
		}
	}
	t.Logf("%d orders, %d ran, sends by outcome: %v", len(histories), len(byKey), outcomes)
	if len(byKey) == 0 {
		t.Errorf("no order ran at all")
	}
}

// TestOrdersRunAtMostOnce sends orders again through other instances while
// instances are killed and replaced, frozen and woken, zones are cut off, and
// upstreams are killed. The platform lists every other instance only.
func TestOrdersRunAtMostOnce(t *testing.T) {
	deployment := lab.Small(2)
	deployment.InstancesPerZone = 2
	deployment.MaxInstances = 12
	cluster := startCluster(t, lab.Options{
		Deployment:        deployment,
		Relay:             true,
		DrainMillis:       200,
		UpstreamArguments: []string{"--median", "20ms", "--sigma", "1"},
		Listed:            func(entry string) bool { return entry[len(entry)-1] == '1' },
	})
	random := rand.New(rand.NewPCG(*seed, 0))
	t.Logf("seed %d", *seed)
	stop := make(chan struct{})
	var chaos sync.WaitGroup
	chaos.Add(1)
	go func() {
		defer chaos.Done()
		breakThings(t, cluster, rand.New(rand.NewPCG(*seed, 1)), stop)
	}()
	const workers, ordersEach = 12, 40
	histories := make([][]orderHistory, workers)
	var callers sync.WaitGroup
	for w := range workers {
		workerRandom := rand.New(rand.NewPCG(*seed, random.Uint64()))
		callers.Add(1)
		go func() {
			defer callers.Done()
			for n := range ordersEach {
				key := fmt.Sprintf("order-%d-%d", w, n)
				histories[w] = append(histories[w], sendOrder(cluster, workerRandom, key, 4))
			}
		}()
	}
	callers.Wait()
	close(stop)
	chaos.Wait()
	var all []orderHistory
	for _, worker := range histories {
		all = append(all, worker...)
	}
	time.Sleep(2 * time.Second)
	checkOrders(t, cluster, all)
}

// breakThings causes one failure after the other until it is stopped, then
// heals everything.
func breakThings(t *testing.T, cluster *lab.Cluster, random *rand.Rand, stop <-chan struct{}) {
	zones := []string{"north", "south", "east"}
	books := cluster.Upstreams("book")
	for {
		select {
		case <-stop:
			_ = cluster.Heal()
			return
		case <-time.After(150 * time.Millisecond):
		}
		entry := cluster.Entries[random.IntN(len(cluster.Entries))]
		hold := time.Duration(100+random.IntN(1500)) * time.Millisecond
		switch random.IntN(6) {
		case 0:
			entry.Process().Kill()
			must(t, cluster.StartEntry(entry))
		case 1:
			entry.Process().Freeze()
			time.Sleep(hold)
			entry.Process().Thaw()
		case 2:
			must(t, cluster.IsolateZones(random.IntN(2) == 0, zones[random.IntN(3)]))
			time.Sleep(hold)
			must(t, cluster.Heal())
		case 3:
			book := books[random.IntN(len(books))]
			cluster.UpstreamProcess(book).Kill()
			must(t, cluster.RestartUpstream(book))
		case 4:
			must(t, entry.Process().Stop(10*time.Second))
			must(t, cluster.StartEntry(entry))
		case 5:
			must(t, cluster.Behave(lab.Behaviour{Fault: "cut"}, books[0]))
			time.Sleep(hold)
			must(t, cluster.Behave(lab.Behaviour{}, books[0]))
		}
	}
}

// TestTicketsOutliveAPlannedStop stops the home of a ticket gracefully: the order
// must still run, once, through another instance.
func TestTicketsOutliveAPlannedStop(t *testing.T) {
	cluster := startCluster(t, lab.Options{Deployment: lab.Small(2), UpstreamsPerProcess: 7, DrainMillis: 300})
	waitForPeers(t, cluster)
	home, other := cluster.Entries[0], cluster.Entries[1]
	unused, ok := mint(home)
	if !ok {
		t.Fatal("no ticket")
	}
	used, _ := mint(home)
	usedOrder := caller.RequestBody{Collection: "book", Kind: "order", Key: "used", Ticket: used}
	first := orderOnce(home, usedOrder)
	must(t, home.Process().Stop(10*time.Second))
	unusedOrder := caller.RequestBody{Collection: "book", Kind: "order", Key: "unused", Ticket: unused}
	for _, request := range []caller.RequestBody{usedOrder, unusedOrder, unusedOrder} {
		if send := orderOnce(other, request); send.outcome != string(core.OutcomeAnswered) {
			t.Errorf("order %s after the stop: %+v", request.Key, send)
		}
	}
	checkOrders(t, cluster, []orderHistory{{key: "used", sends: []orderSend{first}}, {key: "unused"}})
}

// waitForPeers waits until every instance has heard all others.
func waitForPeers(t *testing.T, cluster *lab.Cluster) {
	t.Helper()
	must(t, lab.Eventually(callTimeout, func() error {
		for _, entry := range cluster.Entries {
			state, err := cluster.State(entry)
			if err != nil {
				return err
			}
			heard := 0
			for _, peer := range state.Peers {
				if peer.Incarnation != 0 && peer.HeardAgoMillis < 2000 {
					heard++
				}
			}
			if heard < len(cluster.Entries)-1 {
				return fmt.Errorf("%s has heard %d peers", entry.Name, heard)
			}
		}
		return nil
	}))
}
