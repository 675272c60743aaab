package baobabclaim

import "time"

const (
	// maxDoubts bounds memory during a long outage; beyond it the oldest doubts are dropped and their keys stay
	// in progress until retention ends.
	maxDoubts = 4096
	// doubtWatch is the time for which a row is watched for a late write. The platform's client gives up on a
	// request long before.
	doubtWatch = 2 * time.Minute
	// Bounds of the time between two looks at a row.
	leastDoubtWait = time.Second
	mostDoubtWait  = 30 * time.Second
)

// A doubt is a row that an attempt may have written, or may still write, although nobody runs its call.
type doubt struct {
	key     string
	attempt string
	since   time.Time
	due     time.Time
	wait    time.Duration
}

// postpone sets the next look.
func (d *doubt) postpone(now time.Time) {
	d.wait = min(max(2*d.wait, leastDoubtWait), mostDoubtWait)
	d.due = now.Add(d.wait)
}
