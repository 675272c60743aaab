package baobabclaim

// A Row is a row of the table service.
type Row struct {
	key      string
	value    []byte
	revision uint64
}

// NewRow returns a row.
func NewRow(key string, value []byte, revision uint64) Row {
	return Row{key: key, value: value, revision: revision}
}

// Key returns the key.
func (r Row) Key() string { return r.key }

// Value returns the value, which must not be modified.
func (r Row) Value() []byte { return r.value }

// Revision returns the revision of the last write of the row.
func (r Row) Revision() uint64 { return r.revision }
