package baobabadmission

import call "github.com/baobabdale/baobabdale/baobabcall"

// A waiter passes the decision on one request from the goroutine that makes it to the one that waits for it. Exactly one
// of permit and refusal is set, under the gate's lock, before decided is closed.
type waiter struct {
	decided chan struct{}
	permit  *Permit
	refusal *call.Refusal
}

func newWaiter() *waiter {
	return &waiter{decided: make(chan struct{})}
}

func (w *waiter) grant(p *Permit) {
	w.permit = p
	close(w.decided)
}

func (w *waiter) refuse(r *call.Refusal) {
	w.refusal = r
	close(w.decided)
}
