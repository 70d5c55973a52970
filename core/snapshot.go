package core

// Plan holds the snapshot that a query uses and the ranges requested from each service.
type Plan struct {
	Snapshot Snapshot
	// Asked holds the requested positions.
	Asked RangeSet
	// Parts has one entry for each service that owns requested positions.
	Parts []PlanPart
}

// PlanPart holds the ranges that are requested from one service.
type PlanPart struct {
	Service string
	Ranges  []KeyRange
}

// SnapshotChooser chooses the snapshot of a query by the snapshots that replicas are
// known to serve.
type SnapshotChooser struct {
	// Serving reports whether a routable replica of the service serves the snapshot.
	Serving func(service, collection string, snapshot uint64) bool
}

// Choose returns a plan for the newest snapshot that all services of the query serve. If
// there is none, it takes the snapshot with the greatest coverage, and of several the
// newest. It skips the snapshots in tried, and returns false if no other one is served at
// all.
func (c SnapshotChooser) Choose(collection Collection, asked RangeSet, tried Set[uint64]) (Plan, bool) {
	var best Plan
	var bestCovered uint64
	for _, snapshot := range collection.SnapshotsNewestFirst() {
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

// covered returns the number of positions whose service serves the plan's snapshot.
func (c SnapshotChooser) covered(collection string, plan Plan) uint64 {
	var covered uint64
	for _, part := range plan.Parts {
		if c.Serving(part.Service, collection, plan.Snapshot.ID) {
			covered += NewRangeSet(part.Ranges...).Size()
		}
	}
	return covered
}

// newPlan divides the requested positions among the services that own them in the
// snapshot.
func newPlan(snapshot Snapshot, asked RangeSet) Plan {
	plan := Plan{Snapshot: snapshot, Asked: asked}
	indexes := map[string]int{}
	for _, partition := range snapshot.Partitions {
		part := asked.Intersect(NewRangeSet(partition.Range))
		if part.Size() == 0 {
			continue
		}
		index, ok := indexes[partition.Service]
		if !ok {
			index = len(plan.Parts)
			indexes[partition.Service] = index
			plan.Parts = append(plan.Parts, PlanPart{Service: partition.Service})
		}
		plan.Parts[index].Ranges = append(plan.Parts[index].Ranges, part.Ranges()...)
	}
	return plan
}
