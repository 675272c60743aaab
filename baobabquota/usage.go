package baobabquota

import "time"

// A Usage is the running total of one account at one node since the start of the sender's session.
type Usage struct {
	account  string
	asked    uint64 // Never decreases within a session.
	admitted uint64 // Decreases when an admitted request is refunded.
	withheld float64

	knownAsked, knownAdmitted uint64 // Totals that the coordinator has acknowledged in this session.

	level    float64       // Requests that might still run by the last grant, of any coordinator.
	levelAge time.Duration // Since that grant arrived.
	hasLevel bool          // There was such a grant.
}

// NewUsage returns a running total, with the share of the requests that the sender refuses now, from 0 to 1.
func NewUsage(account string, asked, admitted uint64, withheld float64, options ...UsageOption) Usage {
	u := Usage{account: account, asked: asked, admitted: admitted, withheld: min(max(withheld, 0), 1)}
	for _, o := range options {
		o(&u)
	}
	return u
}

// UsageOption sets an optional property of a Usage.
type UsageOption func(*Usage)

// WithKnown sets the totals that the coordinator has acknowledged. One that does not know the session, because it has started
// since or took over, counts from them.
func WithKnown(asked, admitted uint64) UsageOption {
	return func(u *Usage) { u.knownAsked, u.knownAdmitted = asked, admitted }
}

// WithLevel sets what the last grant said of the requests that might still run, and how long ago.
func WithLevel(level float64, age time.Duration) UsageOption {
	return func(u *Usage) { u.level, u.levelAge, u.hasLevel = level, max(age, 0), true }
}

// KnownAsked returns the number of requests that the coordinator has acknowledged.
func (u Usage) KnownAsked() uint64 { return u.knownAsked }

// KnownAdmitted returns the number of admitted requests that the coordinator has acknowledged.
func (u Usage) KnownAdmitted() uint64 { return u.knownAdmitted }

// Level returns the level by the last grant, its age, and whether there was one.
func (u Usage) Level() (requests float64, age time.Duration, ok bool) {
	return u.level, u.levelAge, u.hasLevel
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
