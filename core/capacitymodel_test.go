package core

import (
	"cmp"
	"container/heap"
	"context"
	"fmt"
	"math"
	"math/rand/v2"
	"slices"
)

// modelUpstream is an upstream with slots and a queue.
type modelUpstream struct {
	name    string
	slots   int
	waiting []func()
	running int
	// pace returns the factor on the duration of a run that begins at a time, in milliseconds,
	// while running runs are in progress, its own included.
	pace func(now float64, running int) float64
	// slowdown, if not nil, is also a factor and is reported as the fourth number of the load.
	slowdown func(now float64) float64
}

// load returns the load that a reply reports, with its own request.
func (u *modelUpstream) load(now float64) UpstreamLoad {
	load := UpstreamLoad{Running: u.running, Waiting: len(u.waiting), Slots: u.slots}
	if u.slowdown != nil {
		load.Slowdown = Some(u.slowdown(now))
	}
	return load
}

// modelKind is a kind of request with its work on an upstream of pace 1, in milliseconds.
type modelKind struct {
	name string
	work float64
}

// modelResult is one finished request.
type modelResult struct {
	sent, latency float64
	instance      int
	upstream      string
	kind          string
	explored      bool
	failed        bool
}

type modelEvent struct {
	at    float64
	order int
	run   func()
}

type modelEvents []modelEvent

func (e modelEvents) Len() int      { return len(e) }
func (e modelEvents) Swap(i, j int) { e[i], e[j] = e[j], e[i] }
func (e *modelEvents) Push(x any)   { *e = append(*e, x.(modelEvent)) }
func (e *modelEvents) Pop() any {
	last := (*e)[len(*e)-1]
	*e = (*e)[:len(*e)-1]
	return last
}
func (e modelEvents) Less(i, j int) bool {
	return cmp.Or(cmp.Compare(e[i].at, e[j].at), cmp.Compare(e[i].order, e[j].order)) < 0
}

// capacityModel runs the selection of real fleets, one for each instance, against model
// upstreams, in simulated time and with a fixed seed.
type capacityModel struct {
	load      capacityLoad
	estimate  bool
	random    *rand.Rand
	now       float64
	events    modelEvents
	order     int
	fleets    []*Fleet
	latencies []*routeLatencies
	upstreams map[string]*modelUpstream
	results   []modelResult
	// budget is what is left of the retry budget for explorations.
	budget float64
}

// capacityLoad is a load on one service.
type capacityLoad struct {
	name      string
	instances int
	perSecond float64
	millis    float64
	upstreams func() []*modelUpstream
	// kind chooses the kind of a request. The default is one kind of 10 ms.
	kind func(now float64, random *rand.Rand) modelKind
	// zoned puts each upstream into a zone of its own, three fifths of the instances into that
	// of u2, and the others into the other two.
	zoned bool
	// startAt is when the instance 0 starts, in milliseconds. It gets requests only from then.
	startAt float64
}

const modelQueue = 16

func newCapacityModel(load capacityLoad, estimate bool) *capacityModel {
	m := &capacityModel{load: load, estimate: estimate, random: rand.New(rand.NewPCG(1, 2)), upstreams: map[string]*modelUpstream{}}
	clock := NewClockFrom(func() Millis { return 100*Minute + Millis(m.now) })
	service := Service{Name: "s", Connections: 16 * load.instances}
	for _, u := range load.upstreams() {
		m.upstreams[u.name] = u
		service.Slots = u.slots
		zone := "z"
		if load.zoned {
			zone = u.name
		}
		service.Upstreams = append(service.Upstreams, Upstream{Name: u.name, Address: "a", Zone: zone})
	}
	configuration := Configuration{Version: 1, MaxInstances: load.instances, Services: []Service{service}}
	for i := range load.instances {
		zone := "z"
		if load.zoned {
			zone = []string{"u0", "u1", "u2", "u2", "u2"}[i%5]
		}
		f := NewFleet(clock, zone, Policy{EstimateCapacity: estimate}, func(Fact) {})
		f.random = m.random.Float64
		f.Apply(configuration)
		for name := range m.upstreams {
			f.Observe(name, liveStatus(1))
			f.replicas[name].restartedAt = 0
		}
		m.fleets = append(m.fleets, f)
		m.latencies = append(m.latencies, newRouteLatencies())
	}
	return m
}

func (m *capacityModel) at(when float64, run func()) {
	m.order++
	heap.Push(&m.events, modelEvent{at: when, order: m.order, run: run})
}

// run simulates the load and returns the model.
func (m *capacityModel) run() *capacityModel {
	m.arrive()
	for len(m.events) > 0 {
		event := heap.Pop(&m.events).(modelEvent)
		m.now = event.at
		event.run()
	}
	return m
}

// arrive sends a request through a random instance and schedules the next arrival.
func (m *capacityModel) arrive() {
	if m.now > m.load.millis {
		return
	}
	m.at(m.now+m.random.ExpFloat64()*1000/m.load.perSecond, m.arrive)
	instance := m.random.IntN(len(m.fleets))
	if instance == 0 && m.now < m.load.startAt {
		return
	}
	kind := modelKind{name: "k", work: 10}
	if m.load.kind != nil {
		kind = m.load.kind(m.now, m.random)
	}
	permit, err := m.fleets[instance].Acquire(context.Background(), Want{Service: "s", Kind: kind.name, NoWait: true})
	if err != nil {
		m.results = append(m.results, modelResult{sent: m.now, latency: math.Inf(1), instance: instance, kind: kind.name, failed: true})
		return
	}
	m.send(instance, permit, kind, false)
}

// send runs a request at the upstream of the permit, and marks it late as a dispatch does.
func (m *capacityModel) send(instance int, permit *Permit, kind modelKind, explored bool) {
	u := m.upstreams[permit.Target().Name]
	sent := m.now
	result := modelResult{sent: sent, instance: instance, upstream: u.name, kind: kind.name, explored: explored}
	if u.running >= u.slots && len(u.waiting) >= modelQueue {
		permit.Fail(&AttemptError{Kind: FailureNotRun})
		result.failed, result.latency = true, math.Inf(1)
		m.results = append(m.results, result)
		return
	}
	done := false
	route := Route{Name: kind.name, Objective: 200}
	m.at(m.now+float64(m.latencies[instance].hedgeAfter(route)), func() {
		if !done {
			permit.RecordSlow()
		}
	})
	finish := func() {
		done = true
		result.latency = m.now - sent
		m.results = append(m.results, result)
		permit.RecordLoad(Some(u.load(m.now)))
		m.latencies[instance].observe(route, permit.Complete())
		m.release(u)
		m.explore(instance, kind, u.name, explored)
	}
	start := func() {
		u.running++
		pace := u.pace(m.now, u.running)
		if u.slowdown != nil {
			pace *= u.slowdown(m.now)
		}
		m.at(m.now+kind.work*pace*(0.7+0.6*m.random.Float64()), finish)
	}
	if u.running < u.slots {
		start()
		return
	}
	u.waiting = append(u.waiting, start)
}

// release frees a slot for the next waiting request.
func (m *capacityModel) release(u *modelUpstream) {
	u.running--
	if len(u.waiting) > 0 {
		next := u.waiting[0]
		u.waiting = u.waiting[1:]
		next()
	}
}

// explore sends an extra attempt as a dispatch does, within its part of a retry budget of 10%.
func (m *capacityModel) explore(instance int, kind modelKind, used string, explored bool) {
	if !m.estimate || explored {
		return
	}
	m.budget = min(10, m.budget+0.1*ExploreBudgetFraction)
	if m.budget < 1 {
		return
	}
	if permit := m.fleets[instance].Explore(Want{Service: "s", Kind: kind.name, Exclude: NewSet(used)}); permit != nil {
		m.budget--
		m.send(instance, permit, kind, true)
	}
}

// modelSummary is what a load gave within a time window.
type modelSummary struct {
	share    map[string]float64
	p50, p99 float64
	requests int
	failed   int
	explored float64
}

// summarize returns the shares of the upstreams of all requests, and the latencies of those of
// callers, that were sent between two times, in milliseconds.
func (m *capacityModel) summarize(from, to float64, keep func(modelResult) bool) modelSummary {
	s := modelSummary{share: map[string]float64{}}
	var latencies []float64
	total := 0.0
	for _, r := range m.results {
		if r.sent < from || r.sent >= to || (keep != nil && !keep(r)) {
			continue
		}
		total++
		s.share[r.upstream]++
		switch {
		case r.explored:
			s.explored++
		default:
			latencies = append(latencies, r.latency)
		}
		if r.failed && !r.explored {
			s.failed++
		}
	}
	for name := range s.share {
		s.share[name] /= total
	}
	s.explored /= total
	slices.Sort(latencies)
	s.requests = len(latencies)
	if len(latencies) > 0 {
		s.p50, s.p99 = latencies[len(latencies)/2], latencies[len(latencies)*99/100]
	}
	return s
}

func (s modelSummary) String() string {
	return fmt.Sprintf("shares %.2f %.2f %.2f, p50 %.0f ms, p99 %.0f ms, %d failed, %.1f%% explorations",
		s.share["u0"], s.share["u1"], s.share["u2"], s.p50, s.p99, s.failed, 100*s.explored)
}

// steady returns a pace that doesn't depend on the load.
func steady(pace float64) func(float64, int) float64 {
	return func(float64, int) float64 { return pace }
}

// stepAt returns a pace that changes at a time.
func stepAt(at, before, after float64) func(float64, int) float64 {
	return func(now float64, _ int) float64 {
		if now < at {
			return before
		}
		return after
	}
}

// burst returns a pace that is higher between two times.
func burst(from, to, pace float64) func(float64, int) float64 {
	return func(now float64, _ int) float64 {
		if now >= from && now < to {
			return pace
		}
		return 1
	}
}

// threeUpstreams returns a constructor of upstreams u0, u1 and u2 with eight slots.
func threeUpstreams(paces ...func(float64, int) float64) func() []*modelUpstream {
	return func() []*modelUpstream {
		var upstreams []*modelUpstream
		for i, pace := range paces {
			upstreams = append(upstreams, &modelUpstream{name: fmt.Sprintf("u%d", i), slots: 8, pace: pace})
		}
		return upstreams
	}
}

// pauses is the pace of an upstream that pauses for 160 ms every 3.7 s. Requests of 10 ms that
// begin in a pause end after it.
func pauses(offset float64) func(float64, int) float64 {
	return func(now float64, _ int) float64 {
		return 1 + max(0, 160-math.Mod(now+offset, 3700))/10
	}
}

// slowsAtHalf is the pace of an upstream that slows down from half of its slots on: at all of
// them it takes 2.5 times as long.
func slowsAtHalf(_ float64, running int) float64 {
	return 1 + 1.5*max(0, float64(running)-4)/4
}

// sharedMachine is the slowdown of an upstream on a machine that others keep busy for 500 ms in
// every 16.7 s, which is 3% of the time. Work then takes four times as long.
func sharedMachine(offset float64) func(float64) float64 {
	return func(now float64) float64 {
		if math.Mod(now+offset, 16700) < 500 {
			return 4
		}
		return 1
	}
}

// fault returns which bound a summary breaks, or an empty string.
func (c capacityCase) fault(s modelSummary) string {
	share := s.share["u2"]
	failed := float64(s.failed) / max(1, float64(s.requests))
	switch {
	case share < c.minShare:
		return fmt.Sprintf("u2 gets a share of %.3f, less than %.3f", share, c.minShare)
	case c.maxShare > 0 && share > c.maxShare:
		return fmt.Sprintf("u2 gets a share of %.3f, more than %.3f", share, c.maxShare)
	case c.maxFailed > 0 && failed > c.maxFailed:
		return fmt.Sprintf("%.2f%% of the requests fail, more than %.2f%%", 100*failed, 100*c.maxFailed)
	case c.maxP99 > 0 && s.p99 > c.maxP99:
		return fmt.Sprintf("the 99th percentile is %.0f ms, more than %.0f ms", s.p99, c.maxP99)
	}
	return ""
}
