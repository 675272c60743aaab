package baobabadmission

import "time"

// A Permit allows one call to run at the upstream. The holder must release it.
type Permit struct {
	gate     *Gate
	kind     string
	rank     string // Name under the policy at the time of the grant.
	since    time.Time
	wait     time.Duration
	released bool // Guarded by the gate's lock.
}

// Since returns when the permit was granted.
func (p *Permit) Since() time.Time { return p.since }

// Wait returns how long the request waited for the permit.
func (p *Permit) Wait() time.Duration { return p.wait }

// Release gives the permit back. Further calls have no effect.
func (p *Permit) Release(now time.Time, o Outcome) {
	p.gate.release(now, p, o)
}
