package baobabplatform

import (
	"errors"
	"io"
	"testing"
)

// TestWithdrawnBodyIsNotSent guards against a transport that sends the body after the write was reported as not
// applied.
func TestWithdrawnBodyIsNotSent(t *testing.T) {
	b := newSingleUseBody([]byte("data"))
	if !b.withdraw() {
		t.Error("withdraw() of an unread body = false, want true")
	}
	if _, err := io.ReadAll(b); !errors.Is(err, errWithdrawn) {
		t.Errorf("Read() = %v, want %v", err, errWithdrawn)
	}
	b = newSingleUseBody([]byte("data"))
	if _, err := io.ReadAll(b); err != nil {
		t.Error(err)
	}
	if b.withdraw() {
		t.Error("withdraw() of a read body = true, want false")
	}
}
