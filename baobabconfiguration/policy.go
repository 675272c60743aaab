package baobabconfiguration

import (
	"cmp"
	"slices"
	"sync"
	"time"
)

// DefaultPolicyName is the name of the policy for routes that specify none.
const DefaultPolicyName = "default"

// DefaultRankName is the name of the rank for routes that specify none.
const DefaultRankName = "normal"

// A Policy controls how calls are prioritized by rank, queued, retried and quarantined.
type Policy struct {
	baseResource
	ranks              []Rank // Sorted by priority.
	retryBudgetPercent int
	maxAttempts        int
	queueLimit         int
	callerFloorPercent int
	quarantineAfter    int
	quarantineTime     time.Duration
}

type policyJSON struct {
	Ranks              []rankJSON   `json:"ranks"`
	RetryBudgetPercent int          `json:"retry_budget_percent"`
	MaxAttempts        int          `json:"max_attempts"`
	QueueLimit         int          `json:"queue_limit"`
	CallerFloorPercent int          `json:"caller_floor_percent"`
	QuarantineAfter    int          `json:"quarantine_after"`
	QuarantineTime     jsonDuration `json:"quarantine_time"`
}

// defaultPolicyJSON returns the default policy. A retry budget of 10% keeps retries from adding more than a tenth to the
// load during an overload. A queue of 128 calls is about 20 per slot of the smallest current upstream (6 slots).
func defaultPolicyJSON() policyJSON {
	return policyJSON{
		Ranks: []rankJSON{
			{Name: "urgent", Priority: 0, FloorPercent: 20, Target: jsonDuration(250 * time.Millisecond), Worth: 10},
			{Name: DefaultRankName, Priority: 1, FloorPercent: 20, Target: jsonDuration(time.Second), Worth: 3},
			{Name: "deferrable", Priority: 2, FloorPercent: 10, Target: jsonDuration(5 * time.Second), Worth: 1},
		},
		RetryBudgetPercent: 10,
		MaxAttempts:        3,
		QueueLimit:         128,
		CallerFloorPercent: 10,
		QuarantineAfter:    2,
		QuarantineTime:     jsonDuration(time.Minute),
	}
}

var defaultPolicy = sync.OnceValue(func() Policy {
	p, err := newPolicy(DefaultPolicyName, defaultPolicyJSON())
	if err != nil {
		panic(err) // Cannot happen: constants always encode.
	}
	return p
})

// DefaultPolicy returns the policy that applies to routes that specify none, unless the document defines a policy with
// the name DefaultPolicyName.
func DefaultPolicy() Policy { return defaultPolicy() }

func parsePolicy(name string, text []byte) (Resource, error) {
	j := defaultPolicyJSON()
	defaults := j.Ranks
	// Decoding into existing elements would mix the given ranks with the default ones.
	j.Ranks = nil
	if err := decodeObject(text, &j); err != nil {
		return nil, err
	}
	if j.Ranks == nil {
		j.Ranks = defaults
	}
	return newPolicy(name, j)
}

func newPolicy(name string, j policyJSON) (Policy, error) {
	slices.SortStableFunc(j.Ranks, func(a, b rankJSON) int {
		return cmp.Or(cmp.Compare(a.Priority, b.Priority), cmp.Compare(a.Name, b.Name))
	})
	p := Policy{
		retryBudgetPercent: j.RetryBudgetPercent,
		maxAttempts:        j.MaxAttempts,
		queueLimit:         j.QueueLimit,
		callerFloorPercent: j.CallerFloorPercent,
		quarantineAfter:    j.QuarantineAfter,
		quarantineTime:     time.Duration(j.QuarantineTime),
	}
	for _, r := range j.Ranks {
		p.ranks = append(p.ranks, newRank(r))
	}
	var err error
	p.baseResource, err = newBaseResource(name, j)
	return p, err
}

// Kind implements Resource.
func (p Policy) Kind() Kind { return KindPolicy }

// Ranks returns the ranks, the most urgent first; they must not be modified.
func (p Policy) Ranks() []Rank { return p.ranks }

// Rank returns the rank with the name, and whether it exists.
func (p Policy) Rank(name string) (Rank, bool) {
	for _, r := range p.ranks {
		if r.name == name {
			return r, true
		}
	}
	return Rank{}, false
}

// RetryBudgetPercent returns the limit on retries as a percentage of calls.
func (p Policy) RetryBudgetPercent() int { return p.retryBudgetPercent }

// MaxAttempts returns the maximum number of attempts for a call, including the first.
func (p Policy) MaxAttempts() int { return p.maxAttempts }

// QueueLimit returns the maximum number of calls that may be queued at one upstream.
func (p Policy) QueueLimit() int { return p.queueLimit }

// CallerFloorPercent returns the guaranteed share of each caller in its rank, in percent.
func (p Policy) CallerFloorPercent() int { return p.callerFloorPercent }

// QuarantineAfter returns the number of crashes after which a request is quarantined, that is, refused.
func (p Policy) QuarantineAfter() int { return p.quarantineAfter }

// QuarantineTime returns how long a request stays quarantined.
func (p Policy) QuarantineTime() time.Duration { return p.quarantineTime }
