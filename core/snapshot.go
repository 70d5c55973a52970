package core

// Plan is the snapshot that a query uses and the ranges that each service is asked for.
type Plan struct {
	Snapshot Snapshot
	// Asked are the positions of the query.
	Asked RangeSet
	// Parts maps each service to its part of the asked positions.
	Parts []PlanPart
}

// PlanPart is what one service is asked for.
type PlanPart struct {
	Service string
	Ranges  []KeyRange
}

// SnapshotChooser chooses the snapshot of a query by what the replicas are
// believed to serve.
type SnapshotChooser struct {
	// Serving reports whether a routable replica of the service serves the snapshot.
	Serving func(service, collection string, snapshot uint64) bool
}

// Choose returns the newest snapshot that every needed service serves, else the
// one with the greatest coverage, the newer of two. It passes over the
// snapshots that the query has tried, and returns false when none is left or
// none is served at all.
func (c SnapshotChooser) Choose(collection Collection, asked RangeSet, tried Set[uint64]) (Plan, bool) {
	var best Plan
	var bestCovered uint64
	for _, snapshot := range collection.Newest() {
		if tried.Has(snapshot.ID) {
			continue
		}
		plan := newPlan(snapshot, asked)
		covered := c.covered(collection.Name, plan)
		if covered == asked.Size() {
			return plan, true
		}
		if covered > bestCovered {
			best, bestCovered = plan, covered
		}
	}
	return best, bestCovered > 0
}

func (c SnapshotChooser) covered(collection string, plan Plan) uint64 {
	var covered uint64
	for _, part := range plan.Parts {
		if c.Serving(part.Service, collection, plan.Snapshot.ID) {
			covered += NewRangeSet(part.Ranges...).Size()
		}
	}
	return covered
}

func newPlan(snapshot Snapshot, asked RangeSet) Plan {
	plan := Plan{Snapshot: snapshot, Asked: asked}
	index := map[string]int{}
	for _, partition := range snapshot.Partitions {
		part := asked.Intersect(NewRangeSet(partition.Range))
		if part.Size() == 0 {
			continue
		}
		at, ok := index[partition.Service]
		if !ok {
			at = len(plan.Parts)
			index[partition.Service] = at
			plan.Parts = append(plan.Parts, PlanPart{Service: partition.Service})
		}
		plan.Parts[at].Ranges = append(plan.Parts[at].Ranges, part.Ranges()...)
	}
	return plan
}
