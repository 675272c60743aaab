package baobabaccount

import "time"

// A Proof says that no configuration with a higher number had been accepted at a time.
type Proof struct {
	number uint64
	at     time.Duration // Boot time when the request that obtained the proof was sent; never later.
}

// NewProof returns the proof that a number was the newest at a boot time. The time is when the request for the proof was
// sent, so that a slow answer makes the proof look older.
func NewProof(number uint64, at time.Duration) Proof { return Proof{number: number, at: at} }

// NewReceivedProof returns the proof in the answer of another node to a request sent at a boot time. Only the age counts,
// because the clocks of nodes are not comparable; the answer was written after the request was sent, so the proof cannot
// look newer than it is.
func NewReceivedProof(number uint64, sent, age time.Duration) Proof {
	return Proof{number: number, at: sent - max(age, 0)}
}

// Number returns the number of the configuration.
func (p Proof) Number() uint64 { return p.number }

// At returns the boot time of the proof.
func (p Proof) At() time.Duration { return p.at }
