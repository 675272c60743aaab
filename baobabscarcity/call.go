package baobabscarcity

import (
	"fmt"
	"time"

	admission "github.com/baobabdale/baobabdale/baobabadmission"
	call "github.com/baobabdale/baobabdale/baobabcall"
)

// rankNames are the names of the ranks, the most urgent first.
var rankNames = []string{"rank-0", "rank-1", "rank-2"}

// A simCall is one request of a caller, or one nested call.
type simCall struct {
	id          int
	kind        int // Index of the kind, also of the root's kind; nested is set for nested calls.
	service     int
	rank        int
	work        time.Duration
	nested      bool
	nestedCalls int // Made so far.
	deadline    time.Time
	objective   time.Time
}

// kindName returns the group of calls of similar cost.
func (c *simCall) kindName() string {
	if c.nested {
		return "nested"
	}
	return fmt.Sprintf("kind-%d", c.kind)
}

// request returns the request of the call for a slot.
func (c *simCall) request() admission.Request {
	r := admission.NewRequest(rankNames[c.rank], "caller", c.deadline, c.kindName()).WithObjective(c.objective)
	if c.nested {
		r = r.WithNested()
	}
	return r
}

// A callEnd is how a call or an attempt of it ended. A call without a refusal was answered by an upstream.
type callEnd struct {
	refusal *call.Refusal
	failed  bool // The upstream answered with an error, because a nested call failed or the time was up.
}
