// Command demo runs a full deployment as separate processes, kills first one and
// then all replicas of a service, and prints the outcomes that callers get for their
// queries.
package main

import (
	"context"
	"fmt"
	"os"
	"os/signal"
	"slices"
	"syscall"
	"time"

	"acaciavane/io/caller"
	"acaciavane/standin/lab"
)

const (
	queriesPerStep = 60
	callTimeout    = 5 * time.Second
)

func main() {
	ctx, stop := signal.NotifyContext(context.Background(), os.Interrupt, syscall.SIGTERM)
	defer stop()
	if err := run(ctx); err != nil {
		fmt.Fprintln(os.Stderr, "demo:", err)
		os.Exit(1)
	}
}

func run(ctx context.Context) error {
	directory, err := os.MkdirTemp("", "acaciavane-demo-")
	if err != nil {
		return err
	}
	defer func() { _ = os.RemoveAll(directory) }()
	fmt.Println("building")
	binaries, err := lab.Build(".", directory)
	if err != nil {
		return err
	}
	started := time.Now()
	cluster, err := lab.Start(lab.Options{
		Deployment:  lab.HuronBay(),
		Binaries:    binaries,
		Directory:   directory,
		DrainMillis: 500,
		UpstreamArguments: []string{
			"--connect", "6ms", "--median", "4ms",
		},
	})
	if err != nil {
		return err
	}
	defer cluster.Close()
	fmt.Printf("started %d entry instances and %d upstreams, each a process of its own, in %d ms\n\n",
		len(cluster.Entries), 106, time.Since(started).Milliseconds())
	return runSteps(ctx, cluster)
}

// runSteps kills and restarts upstreams and stops an instance, and sends queries
// after each step.
func runSteps(ctx context.Context, cluster *lab.Cluster) error {
	sendQueries(ctx, cluster, "all upstreams live")
	kill(cluster, "talker-desk-07a")
	sendQueries(ctx, cluster, "replica talker-desk-07a killed")
	kill(cluster, "talker-desk-07b")
	sendQueries(ctx, cluster, "service talker-desk-07 killed whole")
	for _, name := range []string{"talker-desk-07a", "talker-desk-07b"} {
		if err := cluster.RestartUpstream(name); err != nil {
			return err
		}
	}
	// probeDelay is the time for the instances to probe the restarted replicas.
	const probeDelay = 3 * time.Second
	time.Sleep(probeDelay)
	sendQueries(ctx, cluster, "service talker-desk-07 restarted")
	if err := sendOrderTwice(ctx, cluster); err != nil {
		return err
	}
	entry := cluster.Entries[0]
	fmt.Printf("\nstopping instance %s gracefully\n", entry.Name)
	if err := entry.Process().Stop(callTimeout); err != nil {
		return err
	}
	cluster.Entries = cluster.Entries[1:]
	sendQueries(ctx, cluster, "one instance stopped")
	return ctx.Err()
}

func kill(cluster *lab.Cluster, name string) {
	cluster.UpstreamProcess(name).Kill()
}

// sendQueries sends queries to all instances in turn and prints outcomes, coverage
// and latencies.
func sendQueries(ctx context.Context, cluster *lab.Cluster, step string) {
	var latencies []time.Duration
	outcomes := map[string]int{}
	var coverage float64
	coverageCount, attempts, shards := 0, 0, 0
	for i := range queriesPerStep {
		client := cluster.Entries[i%len(cluster.Entries)].Client()
		callCtx, cancel := context.WithTimeout(ctx, callTimeout)
		started := time.Now()
		answer, err := client.Query(callCtx, caller.RequestBody{
			Collection: "talker-desk", Kind: "price-lookup", Body: fmt.Sprintf("%s %d", step, i),
		})
		cancel()
		client.Close()
		latencies = append(latencies, time.Since(started))
		if err != nil {
			outcomes["noAnswer"]++
			continue
		}
		outcomes[answer.Outcome]++
		attempts += answer.Attempts
		shards += answer.Shards
		if answer.Coverage != nil {
			coverage += answer.Coverage.Fraction
			coverageCount++
		}
	}
	slices.Sort(latencies)
	fmt.Printf("%-42s outcomes %v, coverage %.3f, median %d ms, slowest %d ms, %d attempts for %d shards\n",
		step, outcomes, coverage/float64(max(1, coverageCount)),
		latencies[len(latencies)/2].Milliseconds(), latencies[len(latencies)-1].Milliseconds(), attempts, shards)
}

// sendOrderTwice sends one order with the same ticket through two instances, and
// prints how often upstreams ran it.
func sendOrderTwice(ctx context.Context, cluster *lab.Cluster) error {
	first, second := cluster.Entries[0].Client(), cluster.Entries[1].Client()
	defer first.Close()
	defer second.Close()
	ticket, err := first.MintTicket(ctx)
	if err != nil {
		return err
	}
	request := caller.RequestBody{Collection: "route-board", Kind: "talker-order", Key: "shelf-17", Ticket: ticket.Ticket}
	for _, client := range []*caller.Client{first, second} {
		answer, err := client.Order(ctx, request)
		if err != nil {
			return err
		}
		fmt.Printf("order shelf-17 sent to %s: %s, %s\n", answer.Instance, answer.Outcome, answer.Result)
	}
	runs, err := cluster.Ledger()
	if err != nil {
		return err
	}
	count := 0
	for _, run := range runs {
		if run.Key == "shelf-17" {
			count++
		}
	}
	fmt.Printf("runs of the order in the upstreams' ledgers: %d\n", count)
	return nil
}
