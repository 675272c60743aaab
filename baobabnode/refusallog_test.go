package baobabnode

import (
	"fmt"
	"testing"
	"time"
)

// TestRefusalLog guards against a client that fills the log by repeated attempts, and against a cause that is never
// logged again.
func TestRefusalLog(t *testing.T) {
	l := newRefusalLog(time.Now, nil)
	now := time.Unix(0, 0)
	for _, c := range []struct {
		after   time.Duration // Time since the first refusal.
		cause   string
		address string
		want    bool
	}{
		{0, "proof", "10.0.0.1:5", true},
		{time.Second, "proof", "10.0.0.1:6", false},
		{time.Second, "proof", "10.0.0.2:5", true},
		{time.Second, "handshake", "10.0.0.1:5", true},
		{refusalLogInterval, "proof", "10.0.0.1:7", true},
		{refusalLogInterval, "proof", "10.0.0.1:7", false},
	} {
		if got := l.shouldLog(now.Add(c.after), c.cause, c.address); got != c.want {
			t.Errorf("%s from %s after %s: logged %t, want %t", c.cause, c.address, c.after, got, c.want)
		}
	}
	logged := 0
	for i := range 3 * maxRefusalCauses {
		if l.shouldLog(now.Add(refusalLogInterval), "proof", fmt.Sprintf("host%d:1", i)) {
			logged++
		}
	}
	if logged > maxRefusalCauses || len(l.lastLogged) > maxRefusalCauses {
		t.Errorf("%d causes logged and %d remembered, want at most %d", logged, len(l.lastLogged), maxRefusalCauses)
	}
}
