package baobabmembership

// A segment is a range that excludes this node's position, with its members in ring order.
type segment struct {
	hashRange HashRange
	entries   []*entry
}

// segments splits a range at this node's position and excludes the position, so that no branch covers this node again.
func (t *Table) segments(r HashRange) []segment {
	entries := t.entriesInRange(r)
	own := -1
	for i, e := range entries {
		if e == t.self {
			own = i
		}
	}
	if own < 0 {
		return []segment{{r, entries}}
	}
	position := t.self.position
	before, after := entries[:own], entries[own+1:]
	if r.full() {
		others := append(append([]*entry(nil), after...), before...)
		return []segment{{HashRange{r.domain, position + 1, position}, others}}
	}
	return []segment{
		{HashRange{r.domain, r.start, position}, before}, {HashRange{r.domain, position + 1, r.end}, after},
	}
}

// branches splits a segment into at most n branches with about the same number of members each.
func (s segment) branches(n int) []Branch {
	n = min(n, len(s.entries))
	var out []Branch
	start := s.hashRange.start
	for i := range n {
		group := s.entries[i*len(s.entries)/n : (i+1)*len(s.entries)/n]
		end := s.hashRange.end
		if i+1 < n {
			end = s.entries[(i+1)*len(s.entries)/n].position
		}
		out = append(out, Branch{child: preferAlive(group).member, hashRange: HashRange{s.hashRange.domain, start, end}})
		start = end
	}
	return out
}

// preferAlive returns the first alive entry, or the first entry when all are suspect. The group must not be empty.
func preferAlive(group []*entry) *entry {
	for _, e := range group {
		if e.member.state == StateAlive {
			return e
		}
	}
	return group[0]
}
