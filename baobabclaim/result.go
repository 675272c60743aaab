package baobabclaim

import "time"

// A Result is the state of a key after a claim: Granted, InProgress, Finished or Mismatch.
type Result interface{ isResult() }

// Granted means that this claim holds the key, and no other claim may run the call.
type Granted struct {
	key              Key
	requestDigest    Digest
	token            FencingToken
	revision         uint64 // Of the row.
	claimedAt        time.Time
	unconfirmedWrite bool // A write of this claim has an unknown outcome and may still be applied.
}

// Key returns the key.
func (g Granted) Key() Key { return g.key }

// Token returns the fencing token.
func (g Granted) Token() FencingToken { return g.token }

// InProgress means that another claim holds the key; its holder may have crashed.
type InProgress struct{ since time.Time }

// Since returns when that claim was made.
func (i InProgress) Since() time.Time { return i.since }

// Finished means that the call has run.
type Finished struct{ record Record }

// Record returns the recorded response.
func (f Finished) Record() Record { return f.record }

// Mismatch means that the key was used for a different request.
type Mismatch struct{}

func (Granted) isResult()    {}
func (InProgress) isResult() {}
func (Finished) isResult()   {}
func (Mismatch) isResult()   {}
