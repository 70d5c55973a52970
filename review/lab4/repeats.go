package main

import (
	"fmt"
	"sort"
	"time"
)

const (
	// budgetRatio, budgetSlack and budgetWindow are the bound of BUDGET on repeats at LSFIA.
	budgetRatio  = 0.2
	budgetSlack  = 204
	budgetWindow = 10 * time.Second
	// usualRate is the rate of requests, burstFactor and burstTime the largest burst of one kind of
	// request there.
	usualRate   = 80.0
	burstFactor = 2.5
	burstTime   = 6900 * time.Millisecond
)

// runRepeats has many clients come at once in a fleet in which weak machines delegate to strong ones.
func runRepeats(o options) (verdict, error) {
	d, err := newDeployment(o)
	if err != nil {
		return verdict{}, err
	}
	defer d.close()
	d.slack = budgetSlack
	zones := []string{"tx-central-a", "tx-central-b", "tx-central-c"}
	for _, zone := range zones {
		for n := range 2 {
			d.machines = append(d.machines, &machine{name: fmt.Sprintf("front-%s-%d", zone, n+1), zone: zone, share: 0.8})
		}
	}
	var weak []*machine
	for _, zone := range zones {
		for n := range 3 {
			weak = append(weak, &machine{name: fmt.Sprintf("front-%s-%d", zone, n+3), zone: zone, share: 0.192})
		}
	}
	d.machines = append(d.machines, weak...)
	const host = "crew.example"
	d.store.put("op/config", configuration(7, host, "crew-field", "idempotent", 2, 5000, 1000, 550))
	for n, zone := range zones[:2] {
		b := &backend{id: fmt.Sprintf("i-7f3a91c%d", n), service: "crew-field", zone: zone, slots: 2, queue: 2, work: 30 * time.Millisecond}
		if err := d.addBackend(b); err != nil {
			return verdict{}, err
		}
	}
	if err := d.startMachines(false); err != nil {
		return verdict{}, err
	}
	if err := d.awaitReady(20 * time.Second); err != nil {
		return verdict{}, err
	}
	time.Sleep(6 * time.Second)
	c := &clients{d: d, host: host, path: "/desk/1", timeout: 5 * time.Second}
	stop := make(chan struct{})
	for _, m := range weak {
		c.wait.Add(1)
		go c.load(m, func() float64 { return usualRate / float64(len(weak)) }, stop)
	}
	time.Sleep(12 * time.Second)
	if o.trouble {
		d.record.note("disruption: burst, %.1f times the requests for %v", burstFactor, burstTime)
		burst := make(chan struct{})
		for n, m := range weak {
			c.wait.Add(1)
			go c.loadNamed(m, fmt.Sprintf("burst%d", n), (burstFactor-1)*usualRate/float64(len(weak)), burst)
		}
		time.Sleep(burstTime)
		close(burst)
	}
	time.Sleep(8 * time.Second)
	close(stop)
	c.wait.Wait()
	return judgeRepeats(c, d.backends)
}

// loadNamed is load with other request identifiers.
func (c *clients) loadNamed(m *machine, prefix string, perSecond float64, stop <-chan struct{}) {
	named := *m
	named.name = prefix
	c.load(&named, func() float64 { return perSecond }, stop)
}

// judgeRepeats checks the rule BUDGET on repeats at a service.
func judgeRepeats(c *clients, backends []*backend) (verdict, error) {
	var requests, repeats []time.Time
	for _, a := range c.all {
		requests = append(requests, a.sent)
	}
	var arrived []arrival
	for _, b := range backends {
		arrived = append(arrived, b.seen()...)
	}
	sort.Slice(arrived, func(i, j int) bool { return arrived[i].at.Before(arrived[j].at) })
	known, statuses := map[string]bool{}, map[int]int{}
	for _, a := range arrived {
		statuses[a.status]++
		if known[a.id] {
			repeats = append(repeats, a.at)
		}
		known[a.id] = true
	}
	c.d.record.note("answers by status: %v; arrivals by status: %v; %d requests, %d arrivals", c.counts(), statuses, len(requests), len(arrived))
	if len(arrived) == 0 {
		return verdict{}, fmt.Errorf("no request arrived")
	}
	within := func(times []time.Time, from time.Time) int {
		count := 0
		for _, at := range times {
			if !at.Before(from) && at.Before(from.Add(budgetWindow)) {
				count++
			}
		}
		return count
	}
	worst, text := -1e9, "held: BUDGET: no repeats"
	for _, at := range repeats {
		from := at.Add(time.Millisecond - budgetWindow)
		first := max(within(requests, from), within(requests, from.Add(-budgetWindow)), within(requests, from.Add(-budgetWindow/2)))
		count, allowed := within(repeats, from), budgetRatio*float64(first)+budgetSlack
		if excess := float64(count) - allowed; excess > worst {
			worst = excess
			text = fmt.Sprintf("BUDGET: %d arrivals beyond the first of each request in %v, for %d requests; %.0f are allowed", count, budgetWindow, first, allowed)
		}
	}
	if worst > 0 {
		return verdict{broken: true, text: "broken: " + text}, nil
	}
	return verdict{text: "held: " + text}, nil
}
