package baobabclaim

import "time"

const (
	// maxOrphans bounds memory during a long outage. Beyond it the oldest orphans are dropped, and their keys stay in
	// progress until the retention time has passed.
	maxOrphans = 4096
	// orphanWatchTime is the time for which a row is watched for a late write. It is much longer than the request
	// timeout of the platform's client.
	orphanWatchTime = 2 * time.Minute
	// Bounds of the exponential backoff between two checks of a row.
	minOrphanCheckInterval = time.Second
	maxOrphanCheckInterval = 30 * time.Second
)

// An orphan is a claim row that may exist, or may still be written, although no node runs its call. It must be released
// so that the key does not stay in progress.
type orphan struct {
	key           string
	token         string // Of the abandoned claim, in its stored form.
	addedAt       time.Time
	nextCheck     time.Time
	checkInterval time.Duration
}

// scheduleNextCheck doubles the check interval, within its bounds, and sets the time of the next check.
func (o *orphan) scheduleNextCheck(now time.Time) {
	o.checkInterval = min(max(2*o.checkInterval, minOrphanCheckInterval), maxOrphanCheckInterval)
	o.nextCheck = now.Add(o.checkInterval)
}
