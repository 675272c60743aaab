package baobabclaim

import "fmt"

// An Attempt is the fencing token of one claim. No two claims share one: the instance is random per ledger and the
// sequence counts its claims.
type Attempt struct {
	instance uint64
	sequence uint64
}

// String returns the stored form.
func (a Attempt) String() string {
	return fmt.Sprintf("%016x-%016x", a.instance, a.sequence)
}
