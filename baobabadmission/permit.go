package baobabadmission

import "time"

// A Permit allows one call to run at the upstream. The holder must release it.
type Permit struct {
	gate      *Gate
	kind      string
	rank      string // Rank name under the policy at the time of the grant.
	grantedAt time.Time
	wait      time.Duration
	released  bool // Guarded by the gate's lock.
}

// GrantedAt returns when the permit was granted.
func (p *Permit) GrantedAt() time.Time { return p.grantedAt }

// Wait returns how long the request waited for the permit.
func (p *Permit) Wait() time.Duration { return p.wait }

// Release returns the permit and records the outcome of the call. Further calls have no effect.
func (p *Permit) Release(now time.Time, o Outcome) {
	p.gate.release(now, p, o)
}
