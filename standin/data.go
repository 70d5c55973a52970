package main

import (
	"fmt"
	"net"
	"strconv"

	"acaciavane/core"
	"acaciavane/io/upstream"
)

// dataKey names one snapshot of one collection.
type dataKey struct {
	collection string
	snapshot   uint64
}

// heldPart is what an upstream holds of a snapshot.
type heldPart struct {
	ranges  core.RangeSet
	records []upstream.Record
}

// dataset is what an upstream holds. The records of a collection are the same
// everywhere; their values name the snapshot.
type dataset map[dataKey]heldPart

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
			held := heldPart{ranges: core.NewRangeSet(ranges...)}
			held.records = recordsIn(held.ranges, snapshot.ID, records)
			data[dataKey{collection.Name, snapshot.ID}] = held
		}
	}
	return data
}

func recordsIn(ranges core.RangeSet, snapshot uint64, count int) []upstream.Record {
	var held []upstream.Record
	for i := range count {
		key := fmt.Sprintf("item-%05d", i)
		if !ranges.Contains(core.Position(key)) {
			continue
		}
		held = append(held, upstream.Record{
			Key:           key,
			SchemaVersion: 1 + i%2,
			Value:         fmt.Sprintf("snapshot %d", snapshot),
		})
	}
	return held
}

// search returns the asked positions that are held, and their records.
func (d dataset) search(request upstream.SearchRequest) ([]upstream.Range, []upstream.Record) {
	held := d[dataKey{request.Collection, request.Snapshot}]
	asked := make([]core.KeyRange, len(request.Ranges))
	for i, r := range request.Ranges {
		asked[i] = core.KeyRange{Start: r.Start, End: r.End}
	}
	both := core.NewRangeSet(asked...).Intersect(held.ranges)
	covered := []upstream.Range{}
	for _, r := range both.Ranges() {
		covered = append(covered, upstream.Range{Start: r.Start, End: r.End})
	}
	var records []upstream.Record
	for _, record := range held.records {
		if both.Contains(core.Position(record.Key)) {
			records = append(records, record)
		}
	}
	return covered, records
}

func offsetPort(address string, offset int) string {
	host, port, err := net.SplitHostPort(address)
	number, numberErr := strconv.Atoi(port)
	if offset == 0 || err != nil || numberErr != nil {
		return address
	}
	return net.JoinHostPort(host, strconv.Itoa(number+offset))
}
