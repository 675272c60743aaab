package baobabconfiguration

// An AccountRank names the rank that a route gives to calls of accounts with a priority.
type AccountRank struct {
	priority int
	rank     string
}

type accountRankJSON struct {
	Priority int    `json:"priority"`
	Rank     string `json:"rank"`
}

// Priority returns the priority of the accounts.
func (r AccountRank) Priority() int { return r.priority }

// Rank returns the name of the rank in the route's policy.
func (r AccountRank) Rank() string { return r.rank }
