package baobabaccount

import (
	"slices"
	"sync"
	"time"
)

const (
	// validityMargin is how much earlier than the withdrawal limit a proof expires: the time a request may take from its
	// caller to the check.
	validityMargin = 500 * time.Millisecond
	// maxProofs limits the proofs for versions that are not in force yet. Dropping a proof is always safe.
	maxProofs = 8
	// RefreshInterval is how often a proof is obtained from the source per failure domain, and by each other node from
	// a member.
	RefreshInterval = time.Second
	// refreshDelay is how much later than the first member's next proof the other members ask for it.
	refreshDelay = 150 * time.Millisecond
	// staleAge is the age of a proof after which the first member counts as failed.
	staleAge = 1600 * time.Millisecond
	// retryInterval is the least time between two requests.
	retryInterval = 300 * time.Millisecond
	// sourceJitter spreads out nodes that turn to the source because no member has a recent proof.
	sourceJitter = time.Second
)

// A Target says where a node asks for a proof.
type Target int

// Targets.
const (
	TargetSource      Target = iota // The source of configurations.
	TargetFirst                     // The member of the failure domain that asks the source.
	TargetSecond                    // The member that takes over from the first.
	TargetThird                     // The member that takes over from the second.
	TargetOtherDomain               // A member of another failure domain.
)

// A Position is the place of a node in the order of its failure domain.
type Position int

// Positions.
const (
	PositionFirst Position = iota
	PositionSecond
	PositionThird
	PositionOther
)

// Targets in the order in which a node with a stale proof asks them, by position, and those of a node without a proof. The
// second and the third member turn to the source one and three requests later than the first member fails, so that the
// others find a proof there. The first member stays in the list, because it may only wait for a slow source.
var (
	staleTargets = [][]Target{
		PositionFirst:  {TargetOtherDomain, TargetSource},
		PositionSecond: {TargetSource, TargetFirst, TargetOtherDomain},
		PositionThird:  {TargetFirst, TargetSecond, TargetSource, TargetOtherDomain},
		PositionOther: {
			TargetFirst, TargetSecond, TargetFirst, TargetThird, TargetOtherDomain, TargetSecond, TargetSource,
		},
	}
	firstTargets = [][]Target{
		PositionFirst:  {TargetSource, TargetOtherDomain},
		PositionSecond: {TargetFirst, TargetSource, TargetOtherDomain},
		PositionThird:  {TargetFirst, TargetSecond, TargetSource, TargetOtherDomain},
		PositionOther: {
			TargetFirst, TargetSecond, TargetThird, TargetOtherDomain, TargetFirst, TargetSecond, TargetThird,
			TargetOtherDomain, TargetSource,
		},
	}
)

// Freshness holds the proofs of a node and decides whether its keys may be trusted. All times are boot times. It is safe
// for concurrent use.
type Freshness struct {
	limit time.Duration // Withdrawal limit; 0 means that keys are always trusted.

	mu            sync.Mutex
	proofs        []Proof       // Guarded by mu; ascending by number and by time, at most maxProofs.
	asked         bool          // Guarded by mu; there was a request since the newest proof.
	lastAsk       time.Duration // Guarded by mu; time of the last request.
	staleAttempts int           // Guarded by mu; requests while the newest proof was stale or missing.
}

// NewFreshness returns a Freshness without proofs for a withdrawal limit; with a limit of 0 it needs none.
func NewFreshness(limit time.Duration) *Freshness { return &Freshness{limit: limit} }

// Enabled reports whether keys need proof.
func (f *Freshness) Enabled() bool { return f.limit > 0 }

// Record adds a proof. It reports whether the proof is newer than all others.
func (f *Freshness) Record(p Proof) bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	newest := len(f.proofs) == 0 || p.at > f.proofs[len(f.proofs)-1].at
	for _, q := range f.proofs {
		if q.number <= p.number && q.at >= p.at {
			return false // The known proof holds for the same versions at least as long.
		}
	}
	f.proofs = slices.DeleteFunc(f.proofs, func(q Proof) bool { return q.number >= p.number && q.at <= p.at })
	i, _ := slices.BinarySearchFunc(f.proofs, p.number, func(q Proof, number uint64) int {
		if q.number < number {
			return -1
		}
		return 1
	})
	f.proofs = slices.Insert(f.proofs, i, p)
	if len(f.proofs) > maxProofs {
		f.proofs = slices.Delete(f.proofs, 0, 1)
	}
	if newest {
		f.asked, f.staleAttempts = false, 0
	}
	return newest
}

// Valid reports whether keys of the version in force may be trusted. A proof holds for a version with its number or a
// higher one, because a higher version was accepted later; it does not hold for a lower one.
func (f *Freshness) Valid(now time.Duration, inForce uint64) bool {
	if f.limit <= 0 {
		return true
	}
	age, ok := f.Age(now, inForce)
	return ok && age <= f.limit-validityMargin
}

// Age returns the age of the newest proof that holds for the version in force, and whether there is one.
func (f *Freshness) Age(now time.Duration, inForce uint64) (time.Duration, bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	for i := len(f.proofs) - 1; i >= 0; i-- {
		if p := f.proofs[i]; p.number <= inForce && p.at <= now {
			return now - p.at, true
		}
	}
	return 0, false
}

// Newest returns the newest proof for any version, and whether there is one.
func (f *Freshness) Newest() (Proof, bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if len(f.proofs) == 0 {
		return Proof{}, false
	}
	return f.proofs[len(f.proofs)-1], true
}

// Next returns where a node asks for its next proof and when, now at the earliest. While its proof is recent, the first
// member asks the source once per RefreshInterval and the other members ask the first one. A node with a stale proof turns
// to other members and then, spread by random in [0, 1), to the source.
func (f *Freshness) Next(now time.Duration, position Position, random float64) (Target, time.Duration) {
	f.mu.Lock()
	defer f.mu.Unlock()
	due := now
	if f.asked {
		due = max(due, f.lastAsk+retryInterval)
	}
	targets := firstTargets
	if len(f.proofs) > 0 {
		newest := f.proofs[len(f.proofs)-1].at
		target, refresh := TargetFirst, newest+RefreshInterval+refreshDelay
		if position == PositionFirst {
			target, refresh = TargetSource, newest+RefreshInterval
		}
		due = max(due, refresh)
		if due < newest+staleAge {
			return target, due
		}
		targets = staleTargets
	}
	target := targets[position][f.staleAttempts%len(targets[position])]
	if target == TargetSource && position == PositionOther {
		due += time.Duration(random * float64(sourceJitter))
	}
	return target, due
}

// Asked records a request for a proof.
func (f *Freshness) Asked(now time.Duration) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.asked, f.lastAsk = true, now
	if len(f.proofs) == 0 || now >= f.proofs[len(f.proofs)-1].at+staleAge {
		f.staleAttempts++
	}
}
