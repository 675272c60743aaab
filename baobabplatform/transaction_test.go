package baobabplatform

import (
	"strconv"
	"strings"
	"testing"
)

// TestTransactionValidate guards against sending transactions that the platform rejects or that are ambiguous.
func TestTransactionValidate(t *testing.T) {
	many := NewTransaction()
	large := NewTransaction()
	for i := range MaxTransactionItems + 1 {
		many.Put(strconv.Itoa(i), nil)
		if i < 20 {
			large.Put(strconv.Itoa(i), make([]byte, MaxValueBytes))
		}
	}
	tests := []struct {
		name    string
		builder *TransactionBuilder
		valid   bool
	}{
		{"check only", NewTransaction().IfAbsent("a"), true},
		{"check and write", NewTransaction().IfRevision("a", 3).Put("a", nil).Delete("b"), true},
		{"empty", NewTransaction(), false},
		{"empty key", NewTransaction().Put("", nil), false},
		{"long key", NewTransaction().IfAbsent(strings.Repeat("k", MaxKeyBytes+1)), false},
		{"key not UTF-8", NewTransaction().Put("\xff", nil), false},
		{"large value", NewTransaction().Put("a", make([]byte, MaxValueBytes+1)), false},
		{"two conditions on a key", NewTransaction().IfAbsent("a").IfRevision("a", 1), false},
		{"two writes of a key", NewTransaction().Put("a", nil).Delete("a"), false},
		{"too many items", many, false},
		{"too many bytes", large, false},
	}
	for _, tt := range tests {
		if err := tt.builder.Build().Validate(); (err == nil) != tt.valid {
			t.Errorf("%s: Validate() = %v, want valid %v", tt.name, err, tt.valid)
		}
	}
}
