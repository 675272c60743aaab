package baobabmembership

import "github.com/cespare/xxhash/v2"

// A HashRange is an interval on the hash ring of a failure domain. A member's position on the ring is the hash of its
// id.
type HashRange struct {
	domain string
	start  uint64 // Inclusive.
	end    uint64 // Exclusive; equal to start for the whole ring.
}

// NewHashRange returns the range from start up to but not including end. Equal start and end mean the whole ring.
func NewHashRange(domain string, start, end uint64) HashRange {
	return HashRange{domain: domain, start: start, end: end}
}

// FullHashRange returns the whole ring of a failure domain.
func FullHashRange(domain string) HashRange { return HashRange{domain: domain} }

// Domain returns the failure domain.
func (r HashRange) Domain() string { return r.domain }

// Start returns the first position.
func (r HashRange) Start() uint64 { return r.start }

// End returns the position after the last one.
func (r HashRange) End() uint64 { return r.end }

func (r HashRange) full() bool { return r.start == r.end }

// contains reports whether a position is in the range, which may wrap around zero.
func (r HashRange) contains(p uint64) bool {
	if r.start < r.end {
		return r.start <= p && p < r.end
	}
	return r.full() || p >= r.start || p < r.end
}

// ringPosition returns the position of a member on the ring. Two members with the same 64-bit position cannot be told
// apart by ranges; with 4,000 members the probability of that is below 1e-12.
func ringPosition(id string) uint64 { return xxhash.Sum64String(id) }
