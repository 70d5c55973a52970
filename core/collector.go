package core

import (
	"cmp"
	"slices"
	"sync"
)

// Collector merges the replies of one query at one snapshot. Coverage and
// records are fixed in the same step; what comes later is dropped.
type Collector struct {
	asked    RangeSet
	readable Set[int]

	mu       sync.Mutex
	closed   bool
	covered  RangeSet
	records  map[string]Record
	unread   []UnreadableRecord
	progress chan struct{}
}

// NewCollector returns a collector for the asked positions. An empty set of
// readable schema versions means all.
func NewCollector(asked RangeSet, readable Set[int]) *Collector {
	return &Collector{
		asked:    asked,
		readable: readable,
		records:  map[string]Record{},
		progress: make(chan struct{}, 1),
	}
}

// Add merges the reply to an attempt for the given ranges. Only positions that
// were asked, that the reply accounts for and that no earlier reply covered are
// counted, and only their records are kept. It returns false once closed.
func (c *Collector) Add(ranges []KeyRange, reply SearchReply) bool {
	part := NewRangeSet(ranges...).Intersect(NewRangeSet(reply.Covered...)).Intersect(c.asked)
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.closed {
		return false
	}
	fresh := part.Subtract(c.covered)
	c.covered = c.covered.Union(fresh)
	for _, record := range reply.Records {
		c.addRecord(fresh, record)
	}
	select {
	case c.progress <- struct{}{}:
	default:
	}
	return true
}

func (c *Collector) addRecord(fresh RangeSet, record Record) {
	if !fresh.Contains(Position(record.Key)) {
		return
	}
	if len(c.readable) > 0 && !c.readable.Has(record.SchemaVersion) {
		c.unread = append(c.unread, UnreadableRecord{Key: record.Key, SchemaVersion: record.SchemaVersion})
		return
	}
	c.records[record.Key] = record
}

// Progress signals after replies were merged.
func (c *Collector) Progress() <-chan struct{} {
	return c.progress
}

// Fraction returns the coverage so far, from 0 to 1.
func (c *Collector) Fraction() float64 {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.coverage().Fraction()
}

// Close fixes the answer and returns its coverage and its records by key.
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

func (c *Collector) coverage() Coverage {
	readable := c.covered
	if len(c.unread) > 0 {
		points := make([]KeyRange, len(c.unread))
		for i, record := range c.unread {
			position := Position(record.Key)
			points[i] = KeyRange{Start: position, End: position + 1}
		}
		readable = readable.Subtract(NewRangeSet(points...))
	}
	return Coverage{
		Covered:    readable.Size(),
		Total:      c.asked.Size(),
		Missing:    c.asked.Subtract(readable).Ranges(),
		Unreadable: slices.Clone(c.unread),
	}
}
