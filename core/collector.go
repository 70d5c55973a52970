package core

import (
	"cmp"
	"slices"
	"sync"
)

// Collector merges the replies to one query at one snapshot. Close fixes coverage and
// records in one step; later replies are dropped.
type Collector struct {
	asked RangeSet
	// readable holds the schema versions that the caller reads. Empty means all.
	readable Set[int]

	mu      sync.Mutex
	closed  bool
	covered RangeSet
	// records maps keys to readable records, and unreadable lists the records with other
	// schema versions.
	records    map[string]Record
	unreadable []UnreadableRecord
	progress   chan struct{}
}

// NewCollector returns a collector for the requested positions. readable holds the schema
// versions that the caller reads; empty means all.
func NewCollector(asked RangeSet, readable Set[int]) *Collector {
	return &Collector{
		asked:    asked,
		readable: readable,
		records:  map[string]Record{},
		progress: make(chan struct{}, 1),
	}
}

// Add merges the reply to an attempt that requested the given ranges. It counts only
// positions that were requested, that the reply covers and that no earlier reply covered,
// and keeps only their records. It returns false once the collector is closed.
func (c *Collector) Add(ranges []KeyRange, reply SearchReply) bool {
	part := NewRangeSet(ranges...).Intersect(NewRangeSet(reply.Covered...)).Intersect(c.asked)
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.closed {
		return false
	}
	added := part.Subtract(c.covered)
	c.covered = c.covered.Union(added)
	for _, record := range reply.Records {
		c.addRecord(added, record)
	}
	select {
	case c.progress <- struct{}{}:
	default:
	}
	return true
}

// addRecord keeps a record if its position was added by the same reply.
func (c *Collector) addRecord(added RangeSet, record Record) {
	if !added.Contains(Position(record.Key)) {
		return
	}
	if len(c.readable) > 0 && !c.readable.Has(record.SchemaVersion) {
		c.unreadable = append(c.unreadable, UnreadableRecord{Key: record.Key, SchemaVersion: record.SchemaVersion})
		return
	}
	c.records[record.Key] = record
}

// Progress returns a channel that receives after replies were merged.
func (c *Collector) Progress() <-chan struct{} {
	return c.progress
}

// Fraction returns the fraction of the requested positions covered so far, from 0 to 1.
func (c *Collector) Fraction() float64 {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.coverage().Fraction()
}

// Close stops accepting replies and returns the coverage and the records, sorted by key.
func (c *Collector) Close() (Coverage, []Record) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.closed = true
	records := make([]Record, 0, len(c.records))
	for _, record := range c.records {
		records = append(records, record)
	}
	slices.SortFunc(records, func(a, b Record) int { return cmp.Compare(a.Key, b.Key) })
	return c.coverage(), records
}

// coverage returns the coverage so far. The positions of unreadable records count as
// missing. The caller holds the lock.
func (c *Collector) coverage() Coverage {
	readable := c.covered
	if len(c.unreadable) > 0 {
		positions := make([]KeyRange, len(c.unreadable))
		for i, record := range c.unreadable {
			position := Position(record.Key)
			positions[i] = KeyRange{Start: position, End: position + 1}
		}
		readable = readable.Subtract(NewRangeSet(positions...))
	}
	return Coverage{
		Covered:    readable.Size(),
		Total:      c.asked.Size(),
		Missing:    c.asked.Subtract(readable).Ranges(),
		Unreadable: slices.Clone(c.unreadable),
	}
}
