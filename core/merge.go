package core

import (
	"bytes"
	"slices"
)

// RecordBytes is the size of a record in a shard's reply, in bytes.
const RecordBytes = 16

// MergeTop returns the topK greatest records of all parts, in descending order.
// Records are compared byte by byte. Equal records are all kept, and a
// remainder shorter than a record is ignored. There may be fewer than topK.
func MergeTop(parts []Part, topK int) []byte {
	var records [][]byte
	for _, part := range parts {
		for remaining := part.Records; len(remaining) >= RecordBytes; remaining = remaining[RecordBytes:] {
			records = append(records, remaining[:RecordBytes])
		}
	}
	slices.SortFunc(records, func(a, b []byte) int { return bytes.Compare(b, a) })
	merged := make([]byte, 0, min(topK, len(records))*RecordBytes)
	for _, record := range records[:min(topK, len(records))] {
		merged = append(merged, record...)
	}
	return merged
}
