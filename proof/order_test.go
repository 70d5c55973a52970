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

// orderSend is a request that sent an order, with its outcome.
type orderSend struct {
	entry   string
	outcome string
	reason  string
	ended   time.Time
}

// orderHistory is an order with all requests that sent it.
type orderHistory struct {
	key   string
	sends []orderSend
}

// sendOrder mints a ticket and sends the order through random instances until it is answered,
// at most maxSends times.
func sendOrder(cluster *lab.Cluster, random *rand.Rand, key string, maxSends int) orderHistory {
	history := orderHistory{key: key}
	pick := func() *lab.Entry { return cluster.Entries[random.IntN(len(cluster.Entries))] }
	var ticket string
	for range 10 {
		if text, ok := mintTicket(pick()); ok {
			ticket = text
			break
		}
	}
	if ticket == "" {
		return history
	}
	request := caller.RequestBody{Collection: "book", Kind: "order", Key: key, Ticket: ticket, TimeoutMillis: 700}
	for range maxSends {
		send := sendOrderOnce(pick(), request)
		history.sends = append(history.sends, send)
		// A caller sends the order again unless it was answered, and in one of three cases also
		// after an answer.
		if send.outcome == string(core.OutcomeAnswered) && random.IntN(3) > 0 {
			break
		}
	}
	return history
}

// mintTicket mints a ticket at an instance. It reports false if the instance gave none.
func mintTicket(entry *lab.Entry) (string, bool) {
	client := entry.Client()
	defer client.Close()
	ctx, cancel := context.WithTimeout(context.Background(), time.Second)
	defer cancel()
	ticket, err := client.MintTicket(ctx)
	return ticket.Ticket, err == nil
}

// sendOrderOnce sends an order through an instance. Without an answer, the outcome is noAnswer.
func sendOrderOnce(entry *lab.Entry, request caller.RequestBody) orderSend {
	client := entry.Client()
	defer client.Close()
	ctx, cancel := context.WithTimeout(context.Background(), 900*time.Millisecond)
	defer cancel()
	answer, err := client.Order(ctx, request)
	send := orderSend{entry: entry.Name, outcome: answer.Outcome, reason: answer.Reason, ended: time.Now()}
	if err != nil {
		send.outcome = "noAnswer"
	}
	return send
}

// checkOrders compares the outcomes that callers received with the ledgers. An order must not
// run twice. An answered order must have run. An order that was reported as not run must not
// have run before that report.
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
		orderRuns := byKey[history.key]
		if len(orderRuns) > 1 {
			t.Errorf("order %s ran %d times: %+v; sends %+v", history.key, len(orderRuns), orderRuns, history.sends)
		}
		for _, send := range history.sends {
			outcomes[send.outcome]++
			if send.outcome == string(core.OutcomeAnswered) && len(orderRuns) == 0 {
				t.Errorf("order %s was answered but did not run", history.key)
			}
			if send.outcome == string(core.OutcomeNotRun) && len(orderRuns) > 0 && time.UnixMilli(orderRuns[0].UnixMillis).Before(send.ended.Add(-time.Millisecond)) {
				t.Errorf("order %s was reported as not run (%s by %s) after it ran; sends %+v", history.key, send.reason, send.entry, history.sends)
			}
		}
	}
	t.Logf("%d orders, %d ran, sends by outcome: %v", len(histories), len(byKey), outcomes)
	if len(byKey) == 0 {
		t.Errorf("no order ran")
	}
}

// TestOrdersRunAtMostOnce repeats orders through other instances while instances are stopped,
// killed, restarted, suspended and resumed, zones are isolated, and upstreams are killed or
// cut their replies short. The platform lists only one of the two instances of each zone.
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
	var injector sync.WaitGroup
	injector.Add(1)
	go func() {
		defer injector.Done()
		injectFailures(t, cluster, rand.New(rand.NewPCG(*seed, 1)), stop)
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
	injector.Wait()
	var all []orderHistory
	for _, worker := range histories {
		all = append(all, worker...)
	}
	time.Sleep(2 * time.Second)
	checkOrders(t, cluster, all)
}

// injectFailures causes random failures, one at a time, until stop is closed. Then it ends the
// isolation of zones.
func injectFailures(t *testing.T, cluster *lab.Cluster, random *rand.Rand, stop <-chan struct{}) {
	zones := []string{"north", "south", "east"}
	upstreams := cluster.Upstreams("book")
	for {
		select {
		case <-stop:
			_ = cluster.Heal()
			return
		case <-time.After(150 * time.Millisecond):
		}
		entry := cluster.Entries[random.IntN(len(cluster.Entries))]
		duration := time.Duration(100+random.IntN(1500)) * time.Millisecond
		switch random.IntN(6) {
		case 0:
			entry.Process().Kill()
			must(t, cluster.StartEntry(entry))
		case 1:
			entry.Process().Suspend()
			time.Sleep(duration)
			entry.Process().Resume()
		case 2:
			must(t, cluster.IsolateZones(random.IntN(2) == 0, zones[random.IntN(3)]))
			time.Sleep(duration)
			must(t, cluster.Heal())
		case 3:
			upstream := upstreams[random.IntN(len(upstreams))]
			cluster.UpstreamProcess(upstream).Kill()
			must(t, cluster.RestartUpstream(upstream))
		case 4:
			must(t, entry.Process().Stop(10*time.Second))
			must(t, cluster.StartEntry(entry))
		case 5:
			must(t, cluster.SetBehaviour(lab.Behaviour{Fault: "cut"}, upstreams[0]))
			time.Sleep(duration)
			must(t, cluster.SetBehaviour(lab.Behaviour{}, upstreams[0]))
		}
	}
}

// TestTicketsSurviveGracefulStop stops the instance that minted two tickets gracefully. The
// orders with these tickets must still be answered through another instance and run once.
func TestTicketsSurviveGracefulStop(t *testing.T) {
	cluster := startCluster(t, lab.Options{Deployment: lab.Small(2), UpstreamsPerProcess: 7, DrainMillis: 300})
	waitForPeers(t, cluster)
	minter, other := cluster.Entries[0], cluster.Entries[1]
	unused, ok := mintTicket(minter)
	if !ok {
		t.Fatal("the instance minted no ticket")
	}
	used, _ := mintTicket(minter)
	usedOrder := caller.RequestBody{Collection: "book", Kind: "order", Key: "used", Ticket: used}
	first := sendOrderOnce(minter, usedOrder)
	must(t, minter.Process().Stop(10*time.Second))
	unusedOrder := caller.RequestBody{Collection: "book", Kind: "order", Key: "unused", Ticket: unused}
	for _, request := range []caller.RequestBody{usedOrder, unusedOrder, unusedOrder} {
		if send := sendOrderOnce(other, request); send.outcome != string(core.OutcomeAnswered) {
			t.Errorf("order %s after the stop: %+v", request.Key, send)
		}
	}
	checkOrders(t, cluster, []orderHistory{{key: "used", sends: []orderSend{first}}, {key: "unused"}})
}

// waitForPeers waits until every instance has heard from all others in the last two seconds.
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
				return fmt.Errorf("%s has heard from %d peers", entry.Name, heard)
			}
		}
		return nil
	}))
}
