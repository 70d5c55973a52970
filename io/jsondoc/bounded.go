package jsondoc

import (
	"encoding/json"
	"errors"
	"fmt"
)

// ErrTooManyItems means that a document has more items than its size justifies. Empty items take up to
// several hundred times the memory of their text when they are decoded.
var ErrTooManyItems = errors.New("too many items")

const (
	// minItems is how many items any list or map may have, and itemBytes how many bytes its text
	// must have for each further one. The smallest records of upstreams have about as many.
	minItems  = 1 << 14
	itemBytes = 40
	// minValues and valueBytes are the same for all values of a document that Parse reads.
	minValues  = 1 << 14
	valueBytes = 8
	// maxErrors is how many errors a document reports.
	maxErrors = 100
)

// List is a list that decodes only if it does not have too many items.
type List[T any] []T

// UnmarshalJSON implements json.Unmarshaler. It fails with ErrTooManyItems.
func (l *List[T]) UnmarshalJSON(raw []byte) error {
	if err := checkItems(raw); err != nil {
		return err
	}
	return json.Unmarshal(raw, (*[]T)(l))
}

// Map is a map that decodes only if it does not have too many entries.
type Map[T any] map[string]T

// UnmarshalJSON implements json.Unmarshaler. It fails with ErrTooManyItems.
func (m *Map[T]) UnmarshalJSON(raw []byte) error {
	if err := checkItems(raw); err != nil {
		return err
	}
	return json.Unmarshal(raw, (*map[string]T)(m))
}

// checkItems returns ErrTooManyItems if the list or object in raw has too many items.
func checkItems(raw []byte) error {
	limit := max(minItems, len(raw)/itemBytes)
	if countItems(raw) > limit {
		return fmt.Errorf("%w: more than %d", ErrTooManyItems, limit)
	}
	return nil
}

// countItems returns one more than the number of commas between the items of the list or object in raw,
// which is valid JSON.
func countItems(raw []byte) int {
	count, depth, inText := 1, 0, false
	for at := 0; at < len(raw); at++ {
		switch char := raw[at]; {
		case char == '"':
			inText = !inText
		case inText && char == '\\':
			at++
		case inText:
		case char == '[' || char == '{':
			depth++
		case char == ']' || char == '}':
			depth--
		case char == ',' && depth == 1:
			count++
		}
	}
	return count
}
