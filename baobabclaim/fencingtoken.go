package baobabclaim

import "fmt"

// A FencingToken identifies one claim of a key. Tokens are unique: the instance id is random per ledger, and the
// sequence counts the claims of that ledger.
type FencingToken struct {
	instanceID uint64
	sequence   uint64
}

// String returns the form in which the token is stored.
func (t FencingToken) String() string {
	return fmt.Sprintf("%016x-%016x", t.instanceID, t.sequence)
}
