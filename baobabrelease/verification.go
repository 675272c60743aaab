package baobabrelease

import (
	"sync"
	"time"
)

const (
	// VerifyInterval is how often the first member of a failure domain verifies the head with the source and tells the
	// others.
	VerifyInterval = 900 * time.Millisecond
	// firstVerifyAge is the age of the last verification at which the first member asks the source besides its usual
	// requests, because one of them may remain without a response.
	firstVerifyAge = 1300 * time.Millisecond
	// lastVerifyAge is the age at which each other member has asked the source itself.
	lastVerifyAge = 1600 * time.Millisecond
	// maxVerifyStep is the greatest difference between the ages at which two members in succession ask the source, so that
	// the news of the one reaches the other before.
	maxVerifyStep = 50 * time.Millisecond
	// verifyRetry is the mean pause after a request that failed, for a member that hears of no other.
	verifyRetry = time.Second
	// verifyRetryPerMember is that pause for each live member of the failure domain, as long as the member hears of
	// others: the first one that reaches the source tells all. It limits the requests to a source that is unavailable.
	verifyRetryPerMember = 150 * time.Millisecond
	// maxVerifyRetry bounds the pause.
	maxVerifyRetry = 5 * time.Second
	// companyTime is how long a member counts as in contact after it has heard of another.
	companyTime = 2 * time.Second
)

// A Verification is what a node knows about how long ago its version was the newest one: the time of the last proof,
// whether it came from the source or from another member. From that follows when the node must ask the source itself, by
// its own facts alone, so that the silence of others does not leave it with an old version. All times are boot times. It is
// safe for concurrent use.
type Verification struct {
	watched bool // The first member watches the source, so that it asks besides only if a watch remains without response.

	mu         sync.Mutex
	verifiedAt time.Duration // Guarded by mu; the version in force was the newest one then. It never goes back.
	failedAt   time.Duration // Guarded by mu; end of the last request to the source that failed.
	heardAt    time.Duration // Guarded by mu; when another member last told of its verification, even of an old one.
}

// NewVerification returns a verification for a node whose version is known to be the newest one now, and whose source tells
// of changes if watched is set. A read of other sources may be stale and proves nothing.
func NewVerification(now time.Duration, watched bool) *Verification {
	return &Verification{watched: watched, verifiedAt: now, failedAt: now, heardAt: now - companyTime}
}

// Verify records that the version in force was the newest one at a time.
func (v *Verification) Verify(at time.Duration) {
	v.mu.Lock()
	defer v.mu.Unlock()
	v.verifiedAt = max(v.verifiedAt, at)
}

// Fail records that a request to the source has failed.
func (v *Verification) Fail(now time.Duration) {
	v.mu.Lock()
	defer v.mu.Unlock()
	v.failedAt = now
}

// Hear records that another member has told of its verification.
func (v *Verification) Hear(now time.Duration) {
	v.mu.Lock()
	defer v.mu.Unlock()
	v.heardAt = now
}

// Age returns the time since the version in force was known to be the newest one.
func (v *Verification) Age(now time.Duration) time.Duration {
	v.mu.Lock()
	defer v.mu.Unlock()
	return max(now-v.verifiedAt, 0)
}

// Due returns when the node must ask the source itself unless it learns more before. Position is the place of the node in
// the order of its failure domain, members the number of live members in it, and jitter a random number in [0, 1).
func (v *Verification) Due(now time.Duration, position, members int, jitter float64) time.Duration {
	v.mu.Lock()
	defer v.mu.Unlock()
	due := v.verifiedAt + v.verifyAge(position, members)
	if v.failedAt <= v.verifiedAt {
		return due
	}
	pause := verifyRetry
	if now-v.heardAt < companyTime {
		pause = min(max(time.Duration(members)*verifyRetryPerMember, verifyRetry), maxVerifyRetry)
	}
	retry := v.failedAt + time.Duration(float64(pause)*(0.75+jitter/2))
	return max(retry, due)
}

// verifyAge returns the age of the last verification at which a member asks the source.
func (v *Verification) verifyAge(position, members int) time.Duration {
	if position == 0 && !v.watched {
		return VerifyInterval
	}
	spread := min(time.Duration(max(members-1, 0))*maxVerifyStep, lastVerifyAge-firstVerifyAge)
	if position >= members {
		return firstVerifyAge + spread
	}
	return firstVerifyAge + spread*time.Duration(position)/time.Duration(max(members-1, 1))
}
