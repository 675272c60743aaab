package baobabmembership

import (
	"cmp"
	"slices"
)

// A domain holds the live members of a failure domain. A table has no domain without live members.
type domain struct {
	ring []*entry // Sorted by position.
	sum  uint64   // Sum of the record hashes; it does not depend on the order of changes.
}

// index returns the index at which an entry is, or would be inserted, in the ring. Equal positions are ordered by id.
func (d *domain) index(e *entry) int {
	i, _ := slices.BinarySearchFunc(d.ring, e, func(a, b *entry) int {
		if c := cmp.Compare(a.position, b.position); c != 0 {
			return c
		}
		return cmp.Compare(a.member.id, b.member.id)
	})
	return i
}
