package baobabclaim

// A ConditionalWrite is a write to one row in a transaction, with the condition on that row.
type ConditionalWrite struct {
	key      string
	revision uint64 // The row must have this revision; 0 means that it must be absent.
	value    []byte // Nil deletes the row.
}

// putIfAbsent returns a write of a row that must not exist.
func putIfAbsent(key string, value []byte) ConditionalWrite {
	return ConditionalWrite{key: key, value: value}
}

// putIfRevision returns a write of a row that must have the revision.
func putIfRevision(key string, revision uint64, value []byte) ConditionalWrite {
	return ConditionalWrite{key: key, revision: revision, value: value}
}

// deleteIfRevision returns a deletion of a row that must have the revision.
func deleteIfRevision(key string, revision uint64) ConditionalWrite {
	return ConditionalWrite{key: key, revision: revision}
}

// Key returns the key of the row.
func (w ConditionalWrite) Key() string { return w.key }

// IfAbsent reports whether the row must not exist.
func (w ConditionalWrite) IfAbsent() bool { return w.revision == 0 }

// IfRevision returns the revision that the row must have, unless IfAbsent.
func (w ConditionalWrite) IfRevision() uint64 { return w.revision }

// Delete reports whether the row is deleted.
func (w ConditionalWrite) Delete() bool { return w.value == nil }

// Value returns the value to write, unless Delete.
func (w ConditionalWrite) Value() []byte { return w.value }
