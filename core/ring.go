package core

import (
	"cmp"
	"slices"

	"github.com/cespare/xxhash/v2"
)

// RingLinks returns the addresses, at most limit, that an instance exchanges messages
// with. If there are no more than limit others, it returns all of them. Otherwise it
// places all instances on a ring, in the order of the hashes of their addresses, and
// returns the successors of self at the distances 1, 2, 4 and so on.
func RingLinks(self string, others []string, limit int) []string {
	if len(others) <= limit {
		return others
	}
	ring := append(slices.Clone(others), self)
	slices.SortFunc(ring, func(a, b string) int {
		return cmp.Or(cmp.Compare(xxhash.Sum64String(a), xxhash.Sum64String(b)), cmp.Compare(a, b))
	})
	at := slices.Index(ring, self)
	var links []string
	for distance := 1; distance < len(ring) && len(links) < limit; distance *= 2 {
		links = append(links, ring[(at+distance)%len(ring)])
	}
	return links
}
