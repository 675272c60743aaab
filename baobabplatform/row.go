package baobabplatform

import (
	"encoding/json"
	"slices"
)

// A Row is one row of the table service.
type Row struct {
	key      string
	value    []byte
	revision uint64 // Table revision of the transaction that last wrote the row; never 0 for a stored row.
}

type rowJSON struct {
	Key      string `json:"key"`
	Value    []byte `json:"value"`
	Revision uint64 `json:"revision"`
}

// NewRow returns a row.
func NewRow(key string, value []byte, revision uint64) Row {
	return Row{key: key, value: slices.Clone(value), revision: revision}
}

// Key returns the key.
func (r Row) Key() string { return r.key }

// Value returns the value; it must not be changed.
func (r Row) Value() []byte { return r.value }

// Revision returns the table revision of the transaction that last wrote the row.
func (r Row) Revision() uint64 { return r.revision }

// MarshalJSON implements json.Marshaler.
func (r Row) MarshalJSON() ([]byte, error) {
	return json.Marshal(rowJSON{Key: r.key, Value: r.value, Revision: r.revision})
}

// UnmarshalJSON implements json.Unmarshaler.
func (r *Row) UnmarshalJSON(b []byte) error {
	var j rowJSON
	if err := json.Unmarshal(b, &j); err != nil {
		return err
	}
	*r = Row{key: j.Key, value: j.Value, revision: j.Revision}
	return nil
}
