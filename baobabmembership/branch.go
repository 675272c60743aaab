package baobabmembership

// A Branch is a part of a broadcast tree: a child, and the hash range that it must cover, which includes the child.
type Branch struct {
	child     Member
	hashRange HashRange
}

// Child returns the member to send the broadcast to.
func (b Branch) Child() Member { return b.child }

// HashRange returns the range that the child must cover.
func (b Branch) HashRange() HashRange { return b.hashRange }

// Branches splits a range into at most fanout branches, or into two if fanout is 1 and this node's position divides the
// range. Every live member in the range except this node is in exactly one branch. When all tables agree and the
// children split their ranges in the same way, each member is reached exactly once.
func (t *Table) Branches(r HashRange, fanout int) []Branch {
	var segments []segment
	total := 0
	for _, s := range t.segments(r) {
		if len(s.entries) > 0 {
			segments = append(segments, s)
			total += len(s.entries)
		}
	}
	switch len(segments) {
	case 0:
		return nil
	case 1:
		return segments[0].branches(max(fanout, 1))
	}
	fanout = max(fanout, 2)
	first := min(max(fanout*len(segments[0].entries)/total, 1), fanout-1)
	return append(segments[0].branches(first), segments[1].branches(fanout-first)...)
}

// Reassign returns a branch over the same range with another child, for use after a send to the child has failed. The
// function tried reports whether a member was already tried; it must report true for the child. Reassign returns false
// when no untried member is left.
func (t *Table) Reassign(b Branch, tried func(id string) bool) (Branch, bool) {
	var untried []*entry
	for _, e := range t.entriesInRange(b.hashRange) {
		if e != t.self && !tried(e.member.id) {
			untried = append(untried, e)
		}
	}
	if len(untried) == 0 {
		return Branch{}, false
	}
	return Branch{child: preferAlive(untried).member, hashRange: b.hashRange}, true
}
