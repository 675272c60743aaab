package baobabquota

import "time"

// A Report tells a coordinator the use of the accounts of one shard at one node.
type Report struct {
	from        string
	session     uint64
	usages      []Usage
	shard       int    // Known to the sender only.
	coordinator string // Known to the sender only.
	sentAt      time.Time
}

// NewReport returns a received report of a node. The session identifies the process of the sender and its current series
// of reports to this coordinator.
func NewReport(from string, session uint64, usages []Usage) Report {
	return Report{from: from, session: session, usages: usages}
}

// From returns the id of the sender.
func (r Report) From() string { return r.from }

// Session returns the session of the totals.
func (r Report) Session() uint64 { return r.session }

// Usages returns the totals by account. The caller must not change them.
func (r Report) Usages() []Usage { return r.usages }

// Coordinator returns the id of the node that the report is for.
func (r Report) Coordinator() string { return r.coordinator }
