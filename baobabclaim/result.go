package baobabclaim

import "time"

// A Result is the state of a key after a claim: Granted, InProgress, Finished or Mismatch.
type Result interface{ isResult() }

// Granted means that the caller of Claim holds the key, and nobody else runs the call.
type Granted struct {
	key       Key
	request   Digest
	attempt   Attempt
	revision  uint64 // Of the row.
	claimedAt time.Time
	doubtful  bool // A write of this claim has an unknown outcome and may still be applied.
}

// Key returns the key.
func (g Granted) Key() Key { return g.key }

// Attempt returns the fencing token.
func (g Granted) Attempt() Attempt { return g.attempt }

// InProgress means that another attempt holds the key, or died while it did.
type InProgress struct{ since time.Time }

// Since returns when that attempt claimed the key.
func (i InProgress) Since() time.Time { return i.since }

// Finished means that the call has run.
type Finished struct{ record Record }

// Record returns the recorded answer.
func (f Finished) Record() Record { return f.record }

// Mismatch means that the key was used for another request.
type Mismatch struct{}

func (Granted) isResult()    {}
func (InProgress) isResult() {}
func (Finished) isResult()   {}
func (Mismatch) isResult()   {}
