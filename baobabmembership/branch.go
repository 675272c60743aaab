package baobabmembership

// A Branch is a part of a broadcast: a child and the range that it covers, itself included.
type Branch struct {
	child Member
	part  Range
}

// Child returns the member to send to.
func (b Branch) Child() Member { return b.child }

// Range returns the range that the child covers.
func (b Branch) Range() Range { return b.part }

// Children splits a range among at most fanout children, or two where the own position divides the range. Every live
// member in the range except this node is in exactly one branch; where all tables agree, each of them is reached
// exactly once when the children do the same with their ranges.
func (t *Table) Children(r Range, fanout int) []Branch {
	var parts []segment
	total := 0
	for _, s := range t.segments(r) {
		if len(s.entries) > 0 {
			parts = append(parts, s)
			total += len(s.entries)
		}
	}
	switch len(parts) {
	case 0:
		return nil
	case 1:
		return parts[0].branches(max(fanout, 1))
	}
	fanout = max(fanout, 2)
	first := min(max(fanout*len(parts[0].entries)/total, 1), fanout-1)
	return append(parts[0].branches(first), parts[1].branches(fanout-first)...)
}

// TakeOver returns a branch over the same range with another child, after sending to the child has failed. The
// function reports the ids that were tried, including that of the child. It returns false when none is left.
func (t *Table) TakeOver(b Branch, tried func(id string) bool) (Branch, bool) {
	var left []*entry
	for _, e := range t.within(b.part) {
		if e != t.self && !tried(e.member.id) {
			left = append(left, e)
		}
	}
	if len(left) == 0 {
		return Branch{}, false
	}
	return Branch{child: preferAlive(left).member, part: b.part}, true
}
