package main

import (
	"fmt"
	"sort"
	"strconv"
	"strings"
	"time"
)

const (
	// serverLimit is the Server-Limit of the upstream, in requests a second.
	serverLimit = 40
	// limitWindow, limitFactor and limitSlack are the bound of LIMIT.
	limitWindow = 4 * time.Second
	limitFactor = 1.5
	limitSlack  = 5
	// touch is the touch-ms of a small deployment, and passedOn the time from a machine's first answer
	// with Server-Limit from which its requests count.
	touch    = 4 * time.Second
	passedOn = 500 * time.Millisecond
	// silencePause is the time between the two disruptions.
	silencePause = 3200 * time.Millisecond
)

// smallMachines returns the machines of Huron Bay: two in saginaw, three in toledo, one in erie.
func smallMachines() []*machine {
	return []*machine{
		{name: "front-saginaw-1", zone: "saginaw", share: 0.4}, {name: "front-toledo-1", zone: "toledo", share: 0.4},
		{name: "front-erie-1", zone: "erie", share: 0.4}, {name: "front-saginaw-2", zone: "saginaw", share: 0.4},
		{name: "front-toledo-2", zone: "toledo", share: 0.4}, {name: "front-toledo-3", zone: "toledo", share: 0.4},
	}
}

// runSilentPeers has an upstream name a request limit, and then makes the open connections between the
// instances silent, twice, while new ones work.
func runSilentPeers(o options) (verdict, error) {
	d, err := newDeployment(o)
	if err != nil {
		return verdict{}, err
	}
	defer d.close()
	d.machines = smallMachines()
	const host = "desk.example"
	d.store.put("op/config", configuration(7, host, "prepress-desk", "idempotent", 2, 1000, 400, 96))
	limited := &backend{id: "i-7f3a91c2", service: "prepress-desk", zone: "erie", slots: 6, queue: 24, work: 5 * time.Millisecond, limit: strconv.Itoa(serverLimit)}
	if err := d.addBackend(limited); err != nil {
		return verdict{}, err
	}
	if err := d.startMachines(true); err != nil {
		return verdict{}, err
	}
	if err := d.awaitReady(20 * time.Second); err != nil {
		return verdict{}, err
	}
	time.Sleep(6 * time.Second)
	c := &clients{d: d, host: host, path: "/desk/1", timeout: time.Second}
	stop := make(chan struct{})
	for _, m := range d.machines {
		// The balancer selects instances by a hash of the client, so the shares are uneven.
		rate := 0.35 * serverLimit
		if m.zone == limited.zone {
			rate = 1.3 * serverLimit
		}
		c.wait.Add(1)
		go c.load(m, func() float64 { return rate }, stop)
	}
	time.Sleep(12 * time.Second)
	if o.trouble {
		d.silencePeers()
		time.Sleep(silencePause)
		d.silencePeers()
	}
	time.Sleep(12 * time.Second)
	close(stop)
	c.wait.Wait()
	return judgeLimit(c, limited)
}

// silencePeers makes the open connections between the instances silent.
func (d *deployment) silencePeers() {
	for _, m := range d.machines {
		count := m.relay.silence()
		d.record.note("disruption: %d of the open connections to %s go silent; new ones work", count, m.name)
	}
}

// judgeLimit checks the rule LIMIT for one upstream.
func judgeLimit(c *clients, b *backend) (verdict, error) {
	passed := map[string]time.Time{}
	for _, a := range c.all {
		if a.header.Get("Server-Limit") == "" {
			continue
		}
		if known, ok := passed[a.machine.name]; !ok || a.at.Before(known) {
			passed[a.machine.name] = a.at
		}
	}
	seen := b.seen()
	if len(seen) == 0 || len(passed) < len(c.d.machines) {
		return verdict{}, fmt.Errorf("only %d of %d machines have passed on an answer", len(passed), len(c.d.machines))
	}
	sort.Slice(seen, func(i, j int) bool { return seen[i].at.Before(seen[j].at) })
	from := seen[0].at.Add(touch)
	var counted []time.Time
	for _, a := range seen {
		name := a.id[:strings.LastIndex(a.id, "-")]
		if since, ok := passed[name]; ok && a.at.After(since.Add(passedOn)) && a.at.After(from) {
			counted = append(counted, a.at)
		}
	}
	bound := limitFactor*serverLimit*limitWindow.Seconds() + limitSlack
	most, worst, first := 0, time.Time{}, 0
	for last, at := range counted {
		for at.Sub(counted[first]) > limitWindow {
			first++
		}
		if count := last - first + 1; count > most {
			most, worst = count, counted[first]
		}
	}
	c.d.record.note("answers by status: %v", c.counts())
	text := fmt.Sprintf("LIMIT: at most %d requests in %v, from second %.1f on; Server-Limit %d allows %.0f",
		most, limitWindow, worst.Sub(c.d.record.started).Seconds(), serverLimit, bound)
	if float64(most) > bound {
		return verdict{broken: true, text: "broken: " + text}, nil
	}
	return verdict{text: "held: " + text}, nil
}
