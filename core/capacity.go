package core

import (
	"math"
	"slices"
)

// latencyReference tracks the median latency of one kind of request at a service, in
// milliseconds.
type latencyReference struct {
	value   float64
	samples int
}

// add moves the median towards a latency, by less as samples accumulate.
func (l *latencyReference) add(latency float64) {
	const minStep = 0.03
	l.samples++
	switch step := max(minStep, 1/float64(l.samples)); {
	case l.samples == 1:
		l.value = latency
	case latency > l.value:
		l.value = min(latency, l.value*(1+step))
	case latency < l.value:
		l.value = max(latency, l.value*(1-step))
	}
}

// reportedValue is a value that an upstream reports in its replies and that changes many times
// a second.
type reportedValue struct {
	last, mean float64
	at         Millis
	known      bool
}

// report records a value reported at now.
func (v *reportedValue) report(value float64, now Millis) {
	if !v.known {
		v.mean = value
	}
	v.last, v.at, v.known = value, now, true
	v.mean += ReportWeight * (value - v.mean)
}

// expected returns the value to expect at now. An old report decays with the half-life to the mean
// of the upstream's reports, and that to usual, the value that is usual at the service.
func (v *reportedValue) expected(usual float64, halfLife, now Millis) float64 {
	if !v.known {
		return usual
	}
	mean := usual + (v.mean-usual)*halved(now-v.at, ReportMeanHalfLifeMillis)
	return mean + (v.last-mean)*halved(now-v.at, halfLife)
}

// halved returns what remains of a quantity with the given half-life after age.
func halved(age, halfLife Millis) float64 {
	const maxHalvings = 10
	switch {
	case age <= 0:
		return 1
	case age > maxHalvings*halfLife:
		return 0
	}
	return math.Exp2(-float64(age) / float64(halfLife))
}

// speedEstimate estimates how long an upstream takes for a request, as a multiple of the
// reference latency of its kind and without the effect of load. It is the median of the means
// of the latest episodes, so that a disturbance shorter than half of them doesn't affect it.
type speedEstimate struct {
	// means is a ring. The episode that began at openedAt is at the index open and has
	// samples samples.
	means    [speedEpisodes]float64
	open     int
	openedAt Millis
	samples  int
	// episodes counts the episodes so far, and replies those of them that are in means.
	episodes int
	replies  [speedEpisodes]int
	// usual is the median, or 0 before the first sample.
	usual float64
	at    Millis
}

// speedEpisodes times EpisodeMillis is the time for which latencies are remembered while there
// are enough of them. A change is followed once it fills most of the episodes.
const speedEpisodes = 5

// add records the relative latency of one reply.
func (s *speedEstimate) add(value float64, now Millis) {
	if s.episodes == 0 || now-s.openedAt >= EpisodeMillis {
		s.open = s.episodes % speedEpisodes
		s.episodes++
		s.openedAt = now
		s.means[s.open], s.replies[s.open] = 0, 0
	}
	s.replies[s.open]++
	s.means[s.open] += (value - s.means[s.open]) / float64(s.replies[s.open])
	s.samples = sum(s.replies[:])
	s.at = now
	sorted := s.means
	known := sorted[:min(s.episodes, speedEpisodes)]
	slices.Sort(known)
	middle := len(known) / 2
	s.usual = known[middle]
	if len(known)%2 == 0 {
		s.usual = (known[middle-1] + known[middle]) / 2
	}
}

// recovered reports whether a latency shows that an outdated estimate, which kept the upstream out
// of use, is wrong: it is closer to pace than to the estimate. Instances with few requests would
// otherwise need many seconds for the samples that change the median.
func (s *speedEstimate) recovered(value, pace float64, now Millis) bool {
	return s.samples > 0 && now-s.at > ExploreEstimateMillis && s.usual > clearlyWorse*pace && value < (s.usual+pace)/2
}

// expected returns the relative latency to expect at now. An estimate from few replies is drawn
// to pace, the median of the service's upstreams. While the upstream isn't measured, the excess over
// pace decays, so that an outdated estimate doesn't keep it out of use.
func (s *speedEstimate) expected(pace float64, now Millis) float64 {
	// priorReplies is the weight of pace, in replies.
	const priorReplies = 1
	if s.samples == 0 {
		return pace
	}
	excess := (s.usual - pace) * float64(s.samples) / float64(s.samples+priorReplies)
	if excess > 0 {
		excess *= halved(now-s.at-EstimateHoldMillis, EstimateHalfLifeMillis)
	}
	return pace + excess
}

// disturbance is a recent excess of latency over the estimated speed, as a factor of at least 1
// that soon decays.
type disturbance struct {
	excess float64
	at     Millis
}

// add records the ratio of a latency to the expected one.
func (d *disturbance) add(ratio float64, now Millis) {
	excess := d.excess * halved(now-d.at, DisturbanceHalfLifeMillis)
	d.excess = max(0, excess+DisturbanceWeight*(min(ratio, maxRelativeLatency)-1-excess))
	d.at = now
}

// raise records that an attempt without a reply has reached the ratio. It lowers nothing.
func (d *disturbance) raise(ratio float64, now Millis) {
	d.excess = max(d.excess*halved(now-d.at, DisturbanceHalfLifeMillis), min(ratio, maxRelativeLatency)-1)
	d.at = now
}

func (d *disturbance) factor(now Millis) float64 {
	return 1 + d.excess*halved(now-d.at, DisturbanceHalfLifeMillis)
}

// clearlyWorse times the median of the service is the relative latency above which an upstream may
// be kept from being selected by its estimate alone.
const clearlyWorse = 1.2

// maxRelativeLatency bounds the relative latency of one sample. A single stall would otherwise
// outweigh all other samples of its episode.
const maxRelativeLatency = 8.0

// knees are the candidates for the load at which latency begins to rise, as fractions of the
// slots. The first means that it rises only by waiting, once all slots are in use.
var knees = [...]float64{1, 0.75, 0.625, 0.5, 0.375, 0.25}

// riseEstimate estimates from which load the latency of an upstream rises, and how steeply, while
// it still has free slots. It is computed from the differences between consecutive replies: a
// change of speed affects only one difference. Above the slots, each further request per slot waits
// for one whole request. That is not estimated, because the load at the end of a request says too
// little about the queue that it waited in.
type riseEstimate struct {
	// products and squares are decaying sums for each candidate: of the change of latency
	// times the change of the load above the knee, and of the latter squared.
	products, squares [len(knees)]float64
	// variance is the mean square of the changes of latency.
	variance float64
	// knee and slope are the estimate. Latency is 1 + slope × (load - knee) times that below
	// the knee. The load is a fraction of the slots, up to 1.
	knee, slope float64

	lastLatency, lastLoad float64
	lastAt                Millis
}

// Prior and bounds of the rise.
const (
	maxSlope = 6.0
	// risePrior is the weight of a slope of 0, in units of squared load: some tens of replies
	// at loads that differ by a tenth of the slots.
	risePrior = 0.2
	// riseMemory is the factor on the sums with each reply.
	riseMemory = 0.985
	// riseEvidence is how many times the variance a knee must explain. Without it, noise is
	// taken for a knee.
	riseEvidence = 6.0
	// riseGapMillis is the longest time between two replies that are compared.
	riseGapMillis = 3 * Second
	// maxLearnedLatency is the latency, as a multiple of the expected one, above which a reply is
	// taken for a disturbance and not for an effect of load. A noisy neighbour that made work
	// take four times as long left a knee behind.
	maxLearnedLatency = 3.0
)

// above returns how far a load is above a knee.
func above(load, knee float64) float64 {
	return max(0, load-knee)
}

// add records the latency of a reply as a multiple of the upstream's speed, with the load that
// the reply reports.
func (e *riseEstimate) add(latency, load float64, now Millis) {
	latency /= 1 + above(load, 1)
	load = min(load, 1)
	comparable := e.lastAt > 0 && now-e.lastAt <= riseGapMillis
	lastLatency, lastLoad := e.lastLatency, e.lastLoad
	e.lastLatency, e.lastLoad, e.lastAt = latency, load, now
	if !comparable {
		return
	}
	change := latency - lastLatency
	e.variance = riseMemory*e.variance + (1-riseMemory)*change*change
	for i, knee := range knees {
		rise := above(load, knee) - above(lastLoad, knee)
		e.products[i] = riseMemory*e.products[i] + change*rise
		e.squares[i] = riseMemory*e.squares[i] + rise*rise
	}
	e.fit()
}

// fit chooses the knee that explains the differences best, if one does so clearly.
func (e *riseEstimate) fit() {
	best, bestGain := 0, riseEvidence*e.variance
	for i := range knees {
		if gain := e.slopeAt(i) * e.products[i]; e.products[i] > 0 && gain > bestGain {
			best, bestGain = i, gain
		}
	}
	e.knee, e.slope = knees[best], 0
	if best > 0 {
		e.slope = min(maxSlope, e.slopeAt(best))
	}
}

// slopeAt returns the least-squares slope for a candidate, drawn to 0 by the prior. The sum of
// squared residuals is reduced by the slope times the sum of products.
func (e *riseEstimate) slopeAt(i int) float64 {
	return e.products[i] / (e.squares[i] + risePrior)
}

// factor returns the latency at a load as a multiple of that below the knee.
func (e *riseEstimate) factor(load float64) float64 {
	return (1 + above(load, 1)) * (1 + e.slope*above(min(load, 1), e.knee))
}

// slopeAboveKnee returns the slope right above the knee. Above the slots it is that of waiting.
func (e *riseEstimate) slopeAboveKnee() float64 {
	if e.knee >= knees[0] {
		return 1
	}
	return e.slope
}

// loadSpread is the square of the half-width of a uniform distribution in units of its variance.
// The number of requests at an upstream varies about as in a Poisson distribution, whose
// variance is its mean.
const loadSpread = 3.0

// expectedFactor returns the factor for an expected load of an upstream with the given slots. The
// load is uncertain, and so latency rises before the expected load reaches the knee.
func (e *riseEstimate) expectedFactor(load float64, slots int) float64 {
	width := math.Sqrt(loadSpread * load / float64(slots))
	waiting := expectedAbove(load, 1, width)
	if e.slope == 0 {
		return 1 + waiting
	}
	return (1 + waiting) * (1 + e.slope*(expectedAbove(load, e.knee, width)-waiting))
}

// expectedAbove returns the mean of above(x, knee) for x uniform within width of load.
func expectedAbove(load, knee, width float64) float64 {
	distance := load - knee
	switch {
	case distance <= -width:
		return 0
	case distance >= width:
		return distance
	}
	return (distance + width) * (distance + width) / (4 * width)
}

// serviceUsual is what is usual at a service, for upstreams that little is known of.
type serviceUsual struct {
	// references holds the reference latency of each kind of request.
	references map[string]*latencyReference
	// pace is the median speed of the upstreams, and load their mean load.
	pace float64
	load float64
	// latency is the mean reference of recent requests, in milliseconds.
	latency float64
}

// reference returns the reference latency of a kind, updated with a latency of it.
func (u *serviceUsual) reference(kind string, latency float64) float64 {
	if u.references == nil {
		u.references = map[string]*latencyReference{}
	}
	reference, ok := u.references[kind]
	if !ok {
		// Routes that no longer exist would otherwise accumulate.
		if len(u.references) >= maxReferences {
			clear(u.references)
		}
		reference = &latencyReference{}
		u.references[kind] = reference
	}
	reference.add(latency)
	if u.latency == 0 {
		u.latency = reference.value
	}
	u.latency += LatencyWeight * (reference.value - u.latency)
	return reference.value
}

// maxReferences is the largest number of kinds with a reference at one service.
const maxReferences = 256

// capacityEstimate is what an instance has learned about how much one upstream takes well.
type capacityEstimate struct {
	speed       speedEstimate
	rise        riseEstimate
	disturbance disturbance
	// load is the number of running and waiting requests as a fraction of slots.
	load  reportedValue
	slots int
	// slowdown is the factor by which work takes longer on the machine at the moment. It is
	// unknown if the upstream doesn't report it.
	slowdown reportedValue
	// ownAtReport is how many requests of this instance were in flight when load was reported.
	ownAtReport int

	// exploredAt is when an extra attempt was last sent to measure the upstream again.
	exploredAt Millis
	// The values that were last passed to Fleet.OnEstimateChange, and when.
	announcedSpeed, announcedKnee float64
	announcedAt                   Millis
}

func newCapacityEstimate() *capacityEstimate {
	return &capacityEstimate{rise: riseEstimate{knee: knees[0]}, announcedSpeed: 1, announcedKnee: knees[0]}
}

// recordLoad records a reported load. own is how many requests of this instance are in flight.
func (c *capacityEstimate) recordLoad(load UpstreamLoad, own int, now Millis) {
	if load.Slots < 1 {
		return
	}
	c.slots = load.Slots
	c.load.report(float64(load.Running+load.Waiting)/float64(load.Slots), now)
	c.ownAtReport = own
	if slowdown, ok := load.Slowdown.Get(); ok {
		c.slowdown.report(slowdown, now)
	}
}

// slowdownAt returns the slowdown that was reported at now, or 1 if none was.
func (c *capacityEstimate) slowdownAt(now Millis) float64 {
	if c.slowdown.known && c.slowdown.at == now {
		return c.slowdown.last
	}
	return 1
}

// recordLatency records the latency of a reply as a multiple of the reference of its kind.
// loadReported is whether the reply had a load, which was recorded before. pace is the median
// speed of the service's upstreams.
func (c *capacityEstimate) recordLatency(relative float64, loadReported bool, pace float64, now Millis) {
	relative = min(maxRelativeLatency, relative/c.slowdownAt(now))
	rise := 1.0
	if loadReported {
		rise = c.rise.factor(c.load.last)
	}
	if c.speed.usual > 0 {
		c.disturbance.add(relative/(rise*c.speed.usual), now)
	}
	if c.speed.recovered(relative/rise, pace, now) {
		c.speed = speedEstimate{}
	}
	c.speed.add(relative/rise, now)
	switch {
	case !loadReported:
	case relative/(rise*c.speed.usual) > maxLearnedLatency:
		c.rise.lastAt = 0
	default:
		c.rise.add(relative/c.speed.usual, c.load.last, now)
	}
}

// recordWait records that an attempt has waited for the given multiple of the reference of
// its kind without a reply. ended is whether it was given up.
func (c *capacityEstimate) recordWait(relative float64, ended bool, now Millis) {
	if c.speed.usual == 0 || relative <= c.speed.usual {
		return
	}
	if ended {
		c.speed.add(min(maxRelativeLatency, relative), now)
		return
	}
	c.disturbance.raise(LateFactor*relative/c.speed.usual, now)
}

// expectedLoad returns the load to expect at now with one more request, as a fraction of the
// slots. own is how many requests of this instance are in flight.
func (c *capacityEstimate) expectedLoad(usual *serviceUsual, own int, now Millis) float64 {
	slots := float64(c.slots)
	load := c.load.expected(usual.load, LoadHalfLifeMillis, now) + float64(own-c.ownAtReport)/slots
	return max(load, float64(own)/slots) + 1/slots
}

// expectedLatency returns the latency to expect of one more request as a multiple of the
// reference of its kind. own is how many requests of this instance are in flight.
func (c *capacityEstimate) expectedLatency(usual *serviceUsual, own int, now Millis) float64 {
	latency := c.speed.expected(usual.paceOrDefault(), now) * c.disturbance.factor(now)
	if c.slowdown.known {
		latency *= c.slowdown.expected(1, SlowdownHalfLifeMillis, now)
	}
	if !c.load.known {
		return latency * float64(own+1)
	}
	load := c.expectedLoad(usual, own, now)
	return latency * (1 + OwnRequestWeight*float64(own)*load) * c.rise.expectedFactor(load, c.slots)
}

// paceOrDefault returns the median speed, or 1 while no upstream was measured.
func (u *serviceUsual) paceOrDefault() float64 {
	if u.pace == 0 {
		return 1
	}
	return u.pace
}

// exploreDue reports whether only an old estimate may keep the upstream from being selected: it
// was never measured, or not recently, and its speed is clearly worse than pace.
func (c *capacityEstimate) exploreDue(pace float64, now Millis) bool {
	if c.speed.samples == 0 {
		return now-c.exploredAt > ExploreIntervalMillis
	}
	return now-max(c.speed.at, c.exploredAt) > ExploreEstimateMillis && c.speed.usual > clearlyWorse*pace
}

// changedMuch reports whether the estimate differs much from the one last announced. It returns
// false for changes that follow each other within announceIntervalMillis.
func (c *capacityEstimate) changedMuch(pace float64, now Millis) bool {
	const (
		muchSlower             = 1.6
		muchEarlier            = 1.0 / 3
		announceIntervalMillis = 5 * Second
	)
	if c.speed.episodes < speedEpisodes || now-c.announcedAt < announceIntervalMillis {
		return false
	}
	ratio := c.speed.usual / (pace * c.announcedSpeed)
	return ratio > muchSlower || ratio < 1/muchSlower || math.Abs(c.rise.knee-c.announcedKnee) > muchEarlier
}

func (c *capacityEstimate) state(usual *serviceUsual, own int, now Millis) EstimateState {
	state := EstimateState{
		LatencyMillis: c.expectedLatency(usual, own, now) * usual.latency,
		RisesAt:       c.rise.knee * float64(c.slots),
		Slope:         c.rise.slopeAboveKnee(),
		Speed:         c.speed.expected(usual.paceOrDefault(), now) / usual.paceOrDefault(),
		Slowdown:      1,
		Replies:       c.speed.samples,
	}
	if c.load.known {
		// expectedLoad includes one more request.
		state.Load = c.expectedLoad(usual, own, now)*float64(c.slots) - 1
	}
	if c.slowdown.known {
		state.Slowdown = c.slowdown.expected(1, SlowdownHalfLifeMillis, now)
	}
	return state
}
