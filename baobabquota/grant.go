package baobabquota

// A Grant is what a node may admit for one account until the next reply.
type Grant struct {
	account  string
	share    float64
	requests float64
	level    float64
	hasLevel bool
}

// NewGrant returns a grant of a share of the requests, from 0 to 1, and at most a number of requests.
func NewGrant(account string, share, requests float64) Grant {
	return Grant{account: account, share: min(max(share, 0), 1), requests: max(requests, 0)}
}

// WithLevel returns the grant with the requests of the account that may still run at all nodes together; negative when more ran
// than the limit allows. Nodes pass it on to the next coordinator.
func (g Grant) WithLevel(requests float64) Grant {
	g.level, g.hasLevel = requests, true
	return g
}

// Level returns the requests of the account that may still run at all nodes together, and whether they are known.
func (g Grant) Level() (requests float64, ok bool) { return g.level, g.hasLevel }

// Account returns the name of the account.
func (g Grant) Account() string { return g.account }

// Share returns the share of the requests to admit, from 0 to 1.
func (g Grant) Share() float64 { return g.share }

// Requests returns the maximum number of requests to admit.
func (g Grant) Requests() float64 { return g.requests }
