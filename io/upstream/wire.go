package upstream

import (
	"encoding/json"

	"acaciavane/core"
	"acaciavane/io/jsondoc"
)

// Paths of the HTTP interface of upstreams.
const (
	PathSearch = "/v1/search"
	PathOrder  = "/v1/order"
	PathStatus = "/v1/status"
)

// Values of the field outcome of a reply.
const (
	OutcomeAnswered = "answered"
	OutcomeNotRun   = "notRun"
)

// ReasonNoSnapshot is the reason in a reply whose request was not run because
// the upstream does not serve the pinned snapshot.
const ReasonNoSnapshot = "noSnapshot"

// Range is a half-open range of positions in the key space.
type Range struct {
	Start uint64 `json:"start"`
	End   uint64 `json:"end"`
}

// SearchRequest requests the part of a query that lies in the given ranges.
type SearchRequest struct {
	QueryID       string  `json:"queryId"`
	AttemptID     string  `json:"attemptId"`
	Collection    string  `json:"collection"`
	Kind          string  `json:"kind"`
	Key           string  `json:"key,omitempty"`
	Body          string  `json:"body,omitempty"`
	Snapshot      uint64  `json:"snapshot"`
	Ranges        []Range `json:"ranges"`
	TimeoutMillis int64   `json:"timeoutMillis"`
}

// Record is one record in a SearchReply.
type Record struct {
	Key           string `json:"key"`
	SchemaVersion int    `json:"schemaVersion"`
	Value         string `json:"value"`
}

// SearchReply is the reply to a SearchRequest. End repeats AttemptID and is the
// last field: a reply without it was truncated.
type SearchReply struct {
	QueryID     string               `json:"queryId"`
	AttemptID   string               `json:"attemptId"`
	Outcome     string               `json:"outcome"`
	Reason      string               `json:"reason,omitempty"`
	Snapshot    uint64               `json:"snapshot,omitempty"`
	Covered     jsondoc.List[Range]  `json:"covered,omitempty"`
	Records     jsondoc.List[Record] `json:"records,omitempty"`
	RecordCount int                  `json:"recordCount"`
	Status      Status               `json:"status"`
	End         string               `json:"end"`
}

// OrderRequest requests the execution of an order, which must not be repeated.
type OrderRequest struct {
	QueryID       string `json:"queryId"`
	AttemptID     string `json:"attemptId"`
	Collection    string `json:"collection"`
	Kind          string `json:"kind"`
	Key           string `json:"key"`
	Body          string `json:"body,omitempty"`
	OrderID       string `json:"orderId"`
	TimeoutMillis int64  `json:"timeoutMillis"`
}

// OrderReply is the reply to an OrderRequest. End has the same use as in SearchReply.
type OrderReply struct {
	QueryID   string `json:"queryId"`
	AttemptID string `json:"attemptId"`
	Outcome   string `json:"outcome"`
	Reason    string `json:"reason,omitempty"`
	Result    string `json:"result,omitempty"`
	Status    Status `json:"status"`
	End       string `json:"end"`
}

// Status is an upstream's report about itself.
type Status struct {
	Incarnation uint64      `json:"incarnation"`
	State       string      `json:"state"`
	Snapshots   SnapshotIDs `json:"snapshots"`
	Load        float64     `json:"load"`
}

// SnapshotIDs are the snapshots that an upstream serves, by collection.
type SnapshotIDs map[string][]uint64

// UnmarshalJSON implements json.Unmarshaler. It fails if there are too many collections or snapshots.
func (s *SnapshotIDs) UnmarshalJSON(raw []byte) error {
	var wire jsondoc.Map[jsondoc.List[uint64]]
	if err := json.Unmarshal(raw, &wire); err != nil {
		return err
	}
	*s = make(SnapshotIDs, len(wire))
	for collection, ids := range wire {
		(*s)[collection] = ids
	}
	return nil
}

func toRanges(ranges []core.KeyRange) []Range {
	wire := make([]Range, len(ranges))
	for i, r := range ranges {
		wire[i] = Range{Start: r.Start, End: r.End}
	}
	return wire
}

func fromRanges(wire []Range) []core.KeyRange {
	ranges := make([]core.KeyRange, len(wire))
	for i, r := range wire {
		ranges[i] = core.KeyRange{Start: r.Start, End: r.End}
	}
	return ranges
}

func fromRecords(wire []Record) []core.Record {
	records := make([]core.Record, len(wire))
	for i, r := range wire {
		records[i] = core.Record{Key: r.Key, SchemaVersion: r.SchemaVersion, Value: r.Value}
	}
	return records
}

func fromStatus(wire Status) core.UpstreamStatus {
	status := core.UpstreamStatus{
		Incarnation: wire.Incarnation,
		Phase:       fromState(wire.State),
		Snapshots:   make(map[string]core.Set[uint64], len(wire.Snapshots)),
		Load:        wire.Load,
	}
	for collection, ids := range wire.Snapshots {
		status.Snapshots[collection] = core.NewSet(ids...)
	}
	return status
}

// fromState returns core.PhaseUnknown for a state that it does not know.
func fromState(state string) core.Phase {
	switch core.Phase(state) {
	case core.PhaseLive, core.PhaseStarting, core.PhaseLeaving:
		return core.Phase(state)
	}
	return core.PhaseUnknown
}

func toSearchRequest(attempt core.SearchAttempt, now core.Millis) SearchRequest {
	return SearchRequest{
		QueryID:       attempt.QueryID,
		AttemptID:     attempt.AttemptID,
		Collection:    attempt.Collection,
		Kind:          attempt.Kind,
		Key:           attempt.Key,
		Body:          attempt.Body,
		Snapshot:      attempt.Snapshot,
		Ranges:        toRanges(attempt.Ranges),
		TimeoutMillis: int64(attempt.Deadline - now),
	}
}

func toOrderRequest(attempt core.OrderAttempt, now core.Millis) OrderRequest {
	return OrderRequest{
		QueryID:       attempt.QueryID,
		AttemptID:     attempt.AttemptID,
		Collection:    attempt.Collection,
		Kind:          attempt.Kind,
		Key:           attempt.Key,
		Body:          attempt.Body,
		OrderID:       attempt.OrderID,
		TimeoutMillis: int64(attempt.Deadline - now),
	}
}
