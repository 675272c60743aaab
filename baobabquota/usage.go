package baobabquota

// A Usage is the running total of one account at one node since the start of the sender's session.
type Usage struct {
	account  string
	asked    uint64 // Never decreases within a session.
	admitted uint64 // Decreases when an admitted request is refunded.
	withheld float64
}

// NewUsage returns a running total, with the share of the requests that the sender refuses now, from 0 to 1.
func NewUsage(account string, asked, admitted uint64, withheld float64) Usage {
	return Usage{account: account, asked: asked, admitted: admitted, withheld: min(max(withheld, 0), 1)}
}

// Account returns the name of the account.
func (u Usage) Account() string { return u.account }

// Asked returns the number of requests that arrived.
func (u Usage) Asked() uint64 { return u.asked }

// Withheld returns the share of the requests that the sender refuses by its last grant, from 0 to 1. A coordinator that has
// just started does not grant more until it knows the demand.
func (u Usage) Withheld() float64 { return u.withheld }

// Admitted returns the number of admitted requests, without the refunded ones.
func (u Usage) Admitted() uint64 { return u.admitted }
