package core

import (
	"bytes"
	"slices"
)

// RecordBytes is the size of a record in a shard's reply.
const RecordBytes = 16

// MergeTop returns the greatest records of all parts, greatest first, compared
// byte by byte. Equal records all count; a remainder shorter than a record is
// none. The result is at most top records long.
func MergeTop(parts []Part, top int) []byte {
	var records [][]byte
	for _, part := range parts {
		for rest := part.Records; len(rest) >= RecordBytes; rest = rest[RecordBytes:] {
			records = append(records, rest[:RecordBytes])
		}
	}
	slices.SortFunc(records, func(a, b []byte) int { return bytes.Compare(b, a) })
	merged := make([]byte, 0, min(top, len(records))*RecordBytes)
	for _, record := range records[:min(top, len(records))] {
		merged = append(merged, record...)
	}
	return merged
}
