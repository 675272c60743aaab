package baobabrelease

import (
	"testing"
	"time"
)

// TestVerificationDue guards against a node that waits for the news of others until after it should have a new version,
// and against many nodes that ask the source although one of them does.
func TestVerificationDue(t *testing.T) {
	start := 1000 * time.Second
	at := func(d time.Duration) time.Duration { return start + d }
	for _, c := range []struct {
		name              string
		position, members int
		change            func(*Verification)
		now               time.Duration
		jitter            float64
		want              time.Duration
	}{
		{"first", 0, 5, nil, 0, 0, firstVerifyAge},
		{"first, not watched", 0, 5, nil, 0, 0, VerifyInterval},
		{"second", 1, 5, nil, 0, 0, firstVerifyAge + maxVerifyStep},
		{"last of many", 166, 167, nil, 0, 0, lastVerifyAge},
		{"beyond the members", 10, 10, nil, 0, 0, lastVerifyAge},
		{"only one", 0, 1, nil, 0, 0, firstVerifyAge},
		{"later proof", 0, 5, func(v *Verification) { v.Verify(at(time.Second)) }, time.Second, 0, time.Second + firstVerifyAge},
		{"earlier proof", 0, 5, func(v *Verification) { v.Verify(at(-time.Second)) }, time.Second, 0, firstVerifyAge},
		{"failed, alone", 0, 25, func(v *Verification) { v.Fail(at(2 * time.Second)) }, 2 * time.Second, 0.5, 3 * time.Second},
		{"failed, early jitter", 0, 25, func(v *Verification) { v.Fail(at(2 * time.Second)) }, 2 * time.Second, 0, 2750 * time.Millisecond},
		{"failed, in company", 0, 20, func(v *Verification) {
			v.Fail(at(2 * time.Second))
			v.Hear(at(2 * time.Second))
		}, 2 * time.Second, 0.5, 5 * time.Second},
		{"failed, company gone", 0, 20, func(v *Verification) {
			v.Fail(at(2 * time.Second))
			v.Hear(at(-time.Second))
		}, 2 * time.Second, 0.5, 3 * time.Second},
		{"failed, then verified", 0, 5, func(v *Verification) {
			v.Fail(at(2 * time.Second))
			v.Verify(at(3 * time.Second))
		}, 3 * time.Second, 0, 3*time.Second + firstVerifyAge},
	} {
		t.Run(c.name, func(t *testing.T) {
			v := NewVerification(start, c.name != "first, not watched")
			if c.change != nil {
				c.change(v)
			}
			if got := v.Due(at(c.now), c.position, c.members, c.jitter) - start; got != c.want {
				t.Errorf("due after %s, want %s", got, c.want)
			}
		})
	}
}
