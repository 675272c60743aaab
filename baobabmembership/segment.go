package baobabmembership

// A segment is a range without the own position, with its members in ring order.
type segment struct {
	part    Range
	entries []*entry
}

// segments cuts the own position out of a range, so that no branch covers this node again.
func (t *Table) segments(r Range) []segment {
	entries := t.within(r)
	own := -1
	for i, e := range entries {
		if e == t.self {
			own = i
		}
	}
	if own < 0 {
		return []segment{{r, entries}}
	}
	here := t.self.position
	before, after := entries[:own], entries[own+1:]
	if r.whole() {
		around := append(append([]*entry(nil), after...), before...)
		return []segment{{Range{r.domain, here + 1, here}, around}}
	}
	return []segment{{Range{r.domain, r.start, here}, before}, {Range{r.domain, here + 1, r.end}, after}}
}

// branches splits a segment into at most n parts of about equal numbers of members.
func (s segment) branches(n int) []Branch {
	n = min(n, len(s.entries))
	var out []Branch
	start := s.part.start
	for i := range n {
		group := s.entries[i*len(s.entries)/n : (i+1)*len(s.entries)/n]
		end := s.part.end
		if i+1 < n {
			end = s.entries[(i+1)*len(s.entries)/n].position
		}
		out = append(out, Branch{child: preferAlive(group).member, part: Range{s.part.domain, start, end}})
		start = end
	}
	return out
}

// preferAlive returns the first entry that is not suspect, else the first.
func preferAlive(group []*entry) *entry {
	for _, e := range group {
		if e.member.state == StateAlive {
			return e
		}
	}
	return group[0]
}
