package baobabquota

// A Usage is the running total of one account at one node since the start of the sender's session.
type Usage struct {
	account  string
	asked    uint64 // Never decreases within a session.
	admitted uint64 // Decreases when an admitted request is refunded.
}

// NewUsage returns a running total.
func NewUsage(account string, asked, admitted uint64) Usage {
	return Usage{account: account, asked: asked, admitted: admitted}
}

// Account returns the name of the account.
func (u Usage) Account() string { return u.account }

// Asked returns the number of requests that arrived.
func (u Usage) Asked() uint64 { return u.asked }

// Admitted returns the number of admitted requests, without the refunded ones.
func (u Usage) Admitted() uint64 { return u.admitted }
