package baobabclaim

// A Step is the condition on one row of a transaction and the write to it.
type Step struct {
	key      string
	revision uint64 // The row must have this revision; 0 means that it must be absent.
	value    []byte // Nil deletes the row.
}

// putIfAbsent writes a row that must not exist.
func putIfAbsent(key string, value []byte) Step {
	return Step{key: key, value: value}
}

// putIfRevision writes a row that must have the revision.
func putIfRevision(key string, revision uint64, value []byte) Step {
	return Step{key: key, revision: revision, value: value}
}

// deleteIfRevision deletes a row that must have the revision.
func deleteIfRevision(key string, revision uint64) Step {
	return Step{key: key, revision: revision}
}

// Key returns the key of the row.
func (s Step) Key() string { return s.key }

// IfAbsent reports whether the row must not exist.
func (s Step) IfAbsent() bool { return s.revision == 0 }

// IfRevision returns the revision that the row must have, unless IfAbsent.
func (s Step) IfRevision() uint64 { return s.revision }

// Delete reports whether the row is deleted.
func (s Step) Delete() bool { return s.value == nil }

// Value returns the value to write, unless Delete.
func (s Step) Value() []byte { return s.value }
