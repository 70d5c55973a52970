package core

import (
	"cmp"
	"slices"

	"github.com/cespare/xxhash/v2"
)

// RingLinks returns which of the addresses an instance exchanges news with. Up
// to most they are all of them. Beyond, they are its successors at the distances
// 1, 2, 4 and so on, on a ring in the order of the hashes of the addresses.
func RingLinks(self string, others []string, most int) []string {
	if len(others) <= most {
		return others
	}
	ring := append(slices.Clone(others), self)
	slices.SortFunc(ring, func(a, b string) int {
		return cmp.Or(cmp.Compare(xxhash.Sum64String(a), xxhash.Sum64String(b)), cmp.Compare(a, b))
	})
	at := slices.Index(ring, self)
	var links []string
	for distance := 1; distance < len(ring) && len(links) < most; distance *= 2 {
		links = append(links, ring[(at+distance)%len(ring)])
	}
	return links
}
