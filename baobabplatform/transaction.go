package baobabplatform

import (
	"encoding/json"
	"slices"
	"unicode/utf8"

	"github.com/pkg/errors"
)

// Limits of the table service and the object store.
const (
	MaxKeyBytes         = 512
	MaxValueBytes       = 64 << 10
	MaxTransactionItems = 256     // Conditions and writes together.
	MaxTransactionBytes = 1 << 20 // Keys and values together.
	MaxCommitBytes      = 2 << 20 // Encoded; base64 and JSON add about 40% to MaxTransactionBytes.
	MaxObjectBytes      = 16 << 20
)

// A Condition is a requirement on one row.
type Condition struct {
	key      string
	revision uint64 // 0 means that the row must be absent.
}

// Key returns the key of the row.
func (c Condition) Key() string { return c.key }

// Revision returns the revision that the row must have, or 0 if the row must be absent.
func (c Condition) Revision() uint64 { return c.revision }

// A Write puts or deletes one row.
type Write struct {
	key     string
	value   []byte
	deleted bool
}

// Key returns the key of the row.
func (w Write) Key() string { return w.key }

// Value returns the new value; it must not be changed.
func (w Write) Value() []byte { return w.value }

// Deleted reports whether the row is deleted. Deleting an absent row has no effect.
func (w Write) Deleted() bool { return w.deleted }

// A Transaction is a set of conditions, and of writes that are applied together if all conditions hold.
type Transaction struct {
	conditions []Condition
	writes     []Write
}

type conditionJSON struct {
	Key      string `json:"key"`
	Revision uint64 `json:"revision"`
}

type writeJSON struct {
	Key     string `json:"key"`
	Value   []byte `json:"value,omitempty"`
	Deleted bool   `json:"deleted,omitempty"`
}

type transactionJSON struct {
	Conditions []conditionJSON `json:"conditions"`
	Writes     []writeJSON     `json:"writes"`
}

// Conditions returns the conditions; they must not be changed.
func (t Transaction) Conditions() []Condition { return t.conditions }

// Writes returns the writes; they must not be changed.
func (t Transaction) Writes() []Write { return t.writes }

// Validate returns an error if the transaction exceeds a limit or has two conditions or two writes on one key.
func (t Transaction) Validate() error {
	if n := len(t.conditions) + len(t.writes); n == 0 || n > MaxTransactionItems {
		return errors.Errorf("%d conditions and writes, want 1 to %d", n, MaxTransactionItems)
	}
	size := 0
	seen := make(map[string]bool, len(t.conditions))
	for _, c := range t.conditions {
		if err := checkUniqueKey(seen, c.key); err != nil {
			return errors.Wrap(err, "condition")
		}
		size += len(c.key)
	}
	clear(seen)
	for _, w := range t.writes {
		if err := checkUniqueKey(seen, w.key); err != nil {
			return errors.Wrap(err, "write")
		}
		if len(w.value) > MaxValueBytes {
			return errors.Errorf("value of %q has %d bytes, limit %d", w.key, len(w.value), MaxValueBytes)
		}
		size += len(w.key) + len(w.value)
	}
	if size > MaxTransactionBytes {
		return errors.Errorf("transaction has %d bytes, limit %d", size, MaxTransactionBytes)
	}
	return nil
}

func checkUniqueKey(seen map[string]bool, key string) error {
	if err := CheckKey(key); err != nil {
		return err
	}
	if seen[key] {
		return errors.Errorf("key %q occurs twice", key)
	}
	seen[key] = true
	return nil
}

// CheckKey returns an error if the key is empty, too long or not UTF-8.
func CheckKey(key string) error {
	if key == "" || len(key) > MaxKeyBytes || !utf8.ValidString(key) {
		return errors.Errorf("key %.64q must be UTF-8 of 1 to %d bytes", key, MaxKeyBytes)
	}
	return nil
}

// MarshalJSON implements json.Marshaler.
func (t Transaction) MarshalJSON() ([]byte, error) {
	j := transactionJSON{Conditions: []conditionJSON{}, Writes: []writeJSON{}}
	for _, c := range t.conditions {
		j.Conditions = append(j.Conditions, conditionJSON{Key: c.key, Revision: c.revision})
	}
	for _, w := range t.writes {
		j.Writes = append(j.Writes, writeJSON{Key: w.key, Value: w.value, Deleted: w.deleted})
	}
	return json.Marshal(j)
}

// UnmarshalJSON implements json.Unmarshaler.
func (t *Transaction) UnmarshalJSON(b []byte) error {
	var j transactionJSON
	if err := json.Unmarshal(b, &j); err != nil {
		return err
	}
	*t = Transaction{}
	for _, c := range j.Conditions {
		t.conditions = append(t.conditions, Condition{key: c.Key, revision: c.Revision})
	}
	for _, w := range j.Writes {
		t.writes = append(t.writes, Write{key: w.Key, value: w.Value, deleted: w.Deleted})
	}
	return nil
}

// A TransactionBuilder collects the conditions and writes of a transaction.
type TransactionBuilder struct {
	tx Transaction
}

// NewTransaction returns an empty builder.
func NewTransaction() *TransactionBuilder { return &TransactionBuilder{} }

// IfRevision requires that the row has the revision. Revision 0 requires that the row is absent.
func (b *TransactionBuilder) IfRevision(key string, revision uint64) *TransactionBuilder {
	b.tx.conditions = append(b.tx.conditions, Condition{key: key, revision: revision})
	return b
}

// IfAbsent requires that the row is absent.
func (b *TransactionBuilder) IfAbsent(key string) *TransactionBuilder { return b.IfRevision(key, 0) }

// Put writes the row.
func (b *TransactionBuilder) Put(key string, value []byte) *TransactionBuilder {
	b.tx.writes = append(b.tx.writes, Write{key: key, value: slices.Clone(value)})
	return b
}

// Delete deletes the row if it exists.
func (b *TransactionBuilder) Delete(key string) *TransactionBuilder {
	b.tx.writes = append(b.tx.writes, Write{key: key, deleted: true})
	return b
}

// Build returns the transaction. Commit checks it against the limits.
func (b *TransactionBuilder) Build() Transaction {
	return Transaction{conditions: slices.Clone(b.tx.conditions), writes: slices.Clone(b.tx.writes)}
}
