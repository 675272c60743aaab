package baobabmembership

import "github.com/cespare/xxhash/v2"

// A Range is a part of the hash ring of a failure domain. Members are placed on the ring by the hash of their id.
type Range struct {
	domain string
	start  uint64 // Inclusive.
	end    uint64 // Exclusive; equal to start for the whole ring.
}

// NewRange returns the range from start up to but not including end. Equal start and end mean the whole ring.
func NewRange(domain string, start, end uint64) Range {
	return Range{domain: domain, start: start, end: end}
}

// WholeRange returns the whole ring of a failure domain.
func WholeRange(domain string) Range { return Range{domain: domain} }

// Domain returns the failure domain.
func (r Range) Domain() string { return r.domain }

// Start returns the first position.
func (r Range) Start() uint64 { return r.start }

// End returns the position after the last.
func (r Range) End() uint64 { return r.end }

func (r Range) whole() bool { return r.start == r.end }

// contains reports whether a position is in the range, which may wrap around.
func (r Range) contains(p uint64) bool {
	if r.start < r.end {
		return r.start <= p && p < r.end
	}
	return r.whole() || p >= r.start || p < r.end
}

// position returns the place of a member on the ring. Two members with the same 64-bit position would be treated as
// one place; at 4,000 members that has a probability below 1e-12.
func position(id string) uint64 { return xxhash.Sum64String(id) }
