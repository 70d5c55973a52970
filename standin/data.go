package main

import (
	"fmt"
	"net"
	"strconv"

	"acaciavane/core"
	"acaciavane/io/upstream"
)

// snapshotKey identifies one snapshot of one collection.
type snapshotKey struct {
	collection string
	snapshot   uint64
}

// snapshotData holds the key ranges of a snapshot that an upstream serves, and the
// records in them.
type snapshotData struct {
	ranges  core.RangeSet
	records []upstream.Record
}

// dataset holds the data of one upstream by snapshot. All collections and snapshots
// have the same record keys. The value of a record names its snapshot.
type dataset map[snapshotKey]snapshotData

// newDataset returns the data of one service: in each snapshot, the partitions that
// the configuration assigns to the service. records is the number of records in
// each collection.
func newDataset(configuration core.Configuration, service string, records int) dataset {
	data := dataset{}
	for _, collection := range configuration.Collections {
		for _, snapshot := range collection.Snapshots {
			var ranges []core.KeyRange
			for _, partition := range snapshot.Partitions {
				if partition.Service == service {
					ranges = append(ranges, partition.Range)
				}
			}
			if len(ranges) == 0 {
				continue
			}
			stored := snapshotData{ranges: core.NewRangeSet(ranges...)}
			stored.records = generateRecords(stored.ranges, snapshot.ID, records)
			data[snapshotKey{collection.Name, snapshot.ID}] = stored
		}
	}
	return data
}

// generateRecords returns those of count records whose keys are in ranges. The
// schema versions alternate between 1 and 2.
func generateRecords(ranges core.RangeSet, snapshot uint64, count int) []upstream.Record {
	var records []upstream.Record
	for i := range count {
		key := fmt.Sprintf("item-%05d", i)
		if !ranges.Contains(core.Position(key)) {
			continue
		}
		records = append(records, upstream.Record{
			Key:           key,
			SchemaVersion: 1 + i%2,
			Value:         fmt.Sprintf("snapshot %d", snapshot),
		})
	}
	return records
}

// search returns the requested key ranges that the upstream holds, and the records
// in them.
func (d dataset) search(request upstream.SearchRequest) ([]upstream.Range, []upstream.Record) {
	stored := d[snapshotKey{request.Collection, request.Snapshot}]
	requested := make([]core.KeyRange, len(request.Ranges))
	for i, r := range request.Ranges {
		requested[i] = core.KeyRange{Start: r.Start, End: r.End}
	}
	overlap := core.NewRangeSet(requested...).Intersect(stored.ranges)
	covered := []upstream.Range{}
	for _, r := range overlap.Ranges() {
		covered = append(covered, upstream.Range{Start: r.Start, End: r.End})
	}
	var records []upstream.Record
	for _, record := range stored.records {
		if overlap.Contains(core.Position(record.Key)) {
			records = append(records, record)
		}
	}
	return covered, records
}

// offsetPort adds offset to the port of address. An address without a numeric port
// is returned unchanged.
func offsetPort(address string, offset int) string {
	host, port, err := net.SplitHostPort(address)
	number, numberErr := strconv.Atoi(port)
	if offset == 0 || err != nil || numberErr != nil {
		return address
	}
	return net.JoinHostPort(host, strconv.Itoa(number+offset))
}
