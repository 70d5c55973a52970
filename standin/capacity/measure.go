package main

import (
	"context"
	"fmt"
	"os"
	"sync"
	"time"

	"acaciavane/io/caller"
	"acaciavane/io/operator"
	"acaciavane/standin/lab"
)

// measurement varies one parameter and keeps the others fixed.
type measurement struct {
	parameter string
	sizes     []int
	// deployment returns the deployment to run at a size.
	deployment func(size int) lab.Deployment
	// load returns the rates at a size: queries per second to each instance, and
	// configuration changes per second.
	load func(size int) (queries, changes float64)
	// records returns the number of records in each collection at a size.
	records func(size int) int
	// windows is the length of the measurement in windows. It is more than 1 if rare
	// events have to be counted.
	windows int
}

const (
	settleDelay = 2500 * time.Millisecond
	// fixedServices, fixedQueryRate and fixedRecords are the sizes of the parameters
	// that are not varied. fixedQueryRate is in queries per second to each instance.
	fixedServices  = 20
	fixedQueryRate = 60
	fixedRecords   = 100
)

// measurements returns a measurement for each parameter.
func measurements() []measurement {
	base := func(instancesPerZone, services int) lab.Deployment {
		d := lab.Small(services)
		d.InstancesPerZone = instancesPerZone
		d.MaxInstances = 3 * instancesPerZone
		for i := range d.Groups {
			d.Groups[i].Connections = 2 * d.MaxInstances
		}
		return d
	}
	idle := func(int) (float64, float64) { return 0, 0 }
	steady := func(int) (float64, float64) { return fixedQueryRate, 0 }
	records := func(int) int { return fixedRecords }
	return []measurement{
		{"servicesPerQuery", []int{5, 10, 20, 40, 80},
			func(size int) lab.Deployment { return base(1, size) }, steady, records, 1},
		{"recordsPerQuery", []int{100, 200, 400, 800},
			func(int) lab.Deployment { return base(1, fixedServices) }, steady,
			func(size int) int { return size }, 1},
		{"queriesPerSecond", []int{30, 60, 90, 120},
			func(int) lab.Deployment { return base(1, fixedServices) },
			func(size int) (float64, float64) { return float64(size), 0 }, records, 1},
		{"upstreamsKnown", []int{50, 100, 200, 400, 800},
			func(size int) lab.Deployment { return base(1, size/2) }, idle, records, 1},
		{"instances", []int{3, 6, 12, 24, 48},
			func(size int) lab.Deployment { return base(size/3, 2) }, idle, records, 3},
		{"changesPerSecond", []int{1, 2, 4, 8},
			func(int) lab.Deployment { return base(2, fixedServices) },
			func(size int) (float64, float64) { return 0, float64(size) }, records, 1},
	}
}

// measure measures all sizes and fits the lines.
func (m measurement) measure(binaries lab.Binaries, directory string, window time.Duration) (growth, error) {
	g := growth{Parameter: m.parameter}
	for _, size := range m.sizes {
		p, err := m.measureAt(binaries, directory, window, size)
		if err != nil {
			return growth{}, fmt.Errorf("size %d: %w", size, err)
		}
		g.Points = append(g.Points, p)
	}
	g.Slopes = fitSlopes(g.Points)
	return g, nil
}

// measureAt runs the deployment at one size and measures it.
func (m measurement) measureAt(binaries lab.Binaries, directory string, window time.Duration, size int) (point, error) {
	run, err := os.MkdirTemp(directory, "run-")
	if err != nil {
		return point{}, err
	}
	cluster, err := lab.Start(lab.Options{
		Deployment:          m.deployment(size),
		Binaries:            binaries,
		Directory:           run,
		UpstreamsPerProcess: 120,
		NoLedger:            true,
		LogLevel:            "warn",
		UpstreamArguments:   []string{"--median", "5ms", "--records", fmt.Sprint(m.records(size))},
	})
	if err != nil {
		return point{}, err
	}
	defer cluster.Close()
	queries, changes := m.load(size)
	stop := make(chan struct{})
	var running sync.WaitGroup
	running.Add(2)
	go func() { defer running.Done(); sendQueries(cluster, queries, stop) }()
	go func() { defer running.Done(); publishChanges(cluster, changes, stop) }()
	time.Sleep(settleDelay)
	before, err := readTotals(cluster)
	if err != nil {
		return point{}, err
	}
	started := time.Now()
	time.Sleep(window * time.Duration(m.windows))
	after, err := readTotals(cluster)
	seconds := time.Since(started).Seconds()
	close(stop)
	running.Wait()
	if err != nil {
		return point{}, err
	}
	return rates(float64(size), before, after, seconds, float64(len(cluster.Entries))), nil
}

// sendQueries sends queries to all instances in turn, at a fixed rate per second to
// each instance, until stop is closed.
func sendQueries(cluster *lab.Cluster, perSecond float64, stop <-chan struct{}) {
	if perSecond == 0 {
		return
	}
	clients := make([]*caller.Client, len(cluster.Entries))
	for i, entry := range cluster.Entries {
		clients[i] = entry.Client()
		defer clients[i].Close()
	}
	callAtRate(perSecond*float64(len(clients)), stop, func(i int) {
		ctx, cancel := context.WithTimeout(context.Background(), time.Second)
		defer cancel()
		_, _ = clients[i%len(clients)].Query(ctx, caller.RequestBody{
			Collection: "items", Kind: "find", Body: fmt.Sprint(i),
		})
	})
}

// publishChanges publishes newer configurations at a fixed rate per second until
// stop is closed.
func publishChanges(cluster *lab.Cluster, perSecond float64, stop <-chan struct{}) {
	if perSecond == 0 {
		return
	}
	var mu sync.Mutex
	next := cluster.Configuration
	callAtRate(perSecond, stop, func(int) {
		mu.Lock()
		defer mu.Unlock()
		next.Version++
		_ = cluster.Publish(next)
	})
}

// callAtRate starts calls at a fixed rate per second until stop is closed, and then
// waits for the calls in progress. A slow call does not delay the next one.
func callAtRate(perSecond float64, stop <-chan struct{}, call func(i int)) {
	ticker := time.NewTicker(time.Duration(float64(time.Second) / perSecond))
	defer ticker.Stop()
	var running sync.WaitGroup
	defer running.Wait()
	for i := 0; ; i++ {
		select {
		case <-ticker.C:
		case <-stop:
			return
		}
		running.Add(1)
		go func() {
			defer running.Done()
			call(i)
		}()
	}
}

// totals holds the metrics summed over all instances.
type totals struct {
	cores, heap, peerBytes, exchanges, attempts, queries, platformReads float64
}

// readTotals reads the state of all instances and the number of platform reads.
func readTotals(cluster *lab.Cluster) (totals, error) {
	var sum totals
	for _, entry := range cluster.Entries {
		state, err := cluster.State(entry)
		if err != nil {
			return totals{}, err
		}
		sum.add(state)
	}
	reads, err := cluster.PlatformReads()
	sum.platformReads = float64(reads)
	return sum, err
}

// add adds the metrics of one instance.
func (s *totals) add(state operator.StateBody) {
	s.cores += state.ProcessorSeconds
	s.heap += float64(state.HeapBytes)
	s.peerBytes += float64(state.Counters["peerBytes"])
	s.exchanges += float64(state.Counters["peerExchanges"])
	s.attempts += float64(state.Counters["attempts"])
	s.queries += float64(state.Counters["queries"])
}

// rates returns the metrics per second and instance between two readings. HeapBytes
// is taken from the second reading, and PlatformReads is of all instances together.
func rates(size float64, before, after totals, seconds, instances float64) point {
	perInstance := func(a, b float64) float64 { return (a - b) / seconds / instances }
	return point{
		Size:          size,
		Cores:         perInstance(after.cores, before.cores),
		HeapBytes:     after.heap / instances,
		PeerBytes:     perInstance(after.peerBytes, before.peerBytes),
		Exchanges:     perInstance(after.exchanges, before.exchanges),
		PlatformReads: (after.platformReads - before.platformReads) / seconds,
		Attempts:      perInstance(after.attempts, before.attempts),
		Queries:       perInstance(after.queries, before.queries),
	}
}

// fitSlopes fits a line to each metric by least squares.
func fitSlopes(points []point) []slope {
	metrics := []struct {
		name string
		read func(p point) float64
	}{
		{"core", func(p point) float64 { return p.Cores }},
		{"heapBytes", func(p point) float64 { return p.HeapBytes }},
		{"peerBytesPerSecond", func(p point) float64 { return p.PeerBytes }},
		{"exchangesPerSecond", func(p point) float64 { return p.Exchanges }},
		{"platformReadsPerSecond", func(p point) float64 { return p.PlatformReads }},
	}
	var fitted []slope
	for _, metric := range metrics {
		perUnit, intercept := fitLine(points, metric.read)
		fitted = append(fitted, slope{Metric: metric.name, PerUnit: perUnit, Intercept: intercept})
	}
	return fitted
}

// fitLine returns the least-squares line through the points.
func fitLine(points []point, read func(p point) float64) (perUnit, intercept float64) {
	var sumX, sumY, sumXX, sumXY float64
	for _, p := range points {
		x, y := p.Size, read(p)
		sumX += x
		sumY += y
		sumXX += x * x
		sumXY += x * y
	}
	n := float64(len(points))
	perUnit = (n*sumXY - sumX*sumY) / (n*sumXX - sumX*sumX)
	return perUnit, (sumY - perUnit*sumX) / n
}
