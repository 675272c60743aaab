package baobabdependency

import (
	"slices"
	"strings"
	"time"
)

const (
	// decisionInterval is the time between two decisions about a kind.
	decisionInterval = 250 * time.Millisecond
	// minEvidence is how many nested calls a cut before maxDecisionInterval needs.
	minEvidence = 6
	// maxDecisionInterval bounds the time without a decision.
	maxDecisionInterval = 500 * time.Millisecond
	// evidenceLifetime is how long nested calls count. Longer intervals occur only without calls.
	evidenceLifetime = time.Second
	// settleTime is how long nested calls are ignored after a cut, because they belong to roots that started before it.
	settleTime = 250 * time.Millisecond
	// tolerance is the share of nested calls refused for lack of room up to which a service has room.
	tolerance = 0.05
	// minShare is the least share of roots that start. They show whether the service has room again.
	minShare = 0.05
	// slowGrowth is the factor per decision while the share is near that of a lasting shortage, and fastGrowth the factor
	// once holdTime has passed since the last cut or the service is as fast as before. From minShare the share is 1 again
	// in 4 fast steps.
	slowGrowth = 1.1
	fastGrowth = 2.5
	holdTime   = 2 * time.Second
	// fullShare is the share from which all roots start.
	fullShare = 0.97

	// minReturn and maxReturn bound Retry-After. While roots are refused, those that return take the place of new ones, so
	// callers wait about as long as the shortage has lasted: most shortages last at least as long again.
	minReturn = 250 * time.Millisecond
	maxReturn = 4 * time.Second
	// goldenRatio spreads consecutive refusals evenly from half of that time to all of it, however many there are.
	goldenRatio = 0.618034

	// maxServices bounds the services remembered per kind.
	maxServices = 16
)

// A kind is a group of roots that make similar nested calls.
type kind struct {
	name         string
	dependencies []*dependency // Sorted by service.
	roots        uint64        // Started.
	refused      uint64
	mix          mix

	share      float64   // Share of roots that start, minShare to 1.
	phase      float64   // Position of the next Retry-After in the spread, 0 to 1.
	decidedAt  time.Time // Of the last change, or of the first nested call.
	cutAt      time.Time // Of the last cut.
	shortSince time.Time // Zero while all roots start.
	shortOf    string    // Service that lacks room, or lacked it last.
}

func newKind(name string) *kind { return &kind{name: name, share: 1} }

// dependencyOn returns the dependency on a service, or nil if too many are remembered.
func (k *kind) dependencyOn(service string) *dependency {
	i, found := slices.BinarySearchFunc(k.dependencies, service, func(d *dependency, name string) int {
		return strings.Compare(d.service, name)
	})
	if found {
		return k.dependencies[i]
	}
	if len(k.dependencies) >= maxServices {
		return nil
	}
	k.dependencies = slices.Insert(k.dependencies, i, &dependency{service: service})
	return k.dependencies[i]
}

// start counts a root that starts.
func (k *kind) start(now time.Time) {
	k.roots++
	k.mix.recordRoot(now)
}

// record adds a nested call, the first one of its root or a further one.
func (k *kind) record(now time.Time, service string, first bool, e Ending, took time.Duration) {
	if first {
		k.mix.recordCalling(now)
	}
	d := k.dependencyOn(service)
	if d == nil {
		return
	}
	if k.decidedAt.IsZero() {
		k.decidedAt = now
	}
	if e == EndingShort && k.settling(now) {
		return
	}
	d.record(e, took)
	k.decide(now)
}

// settling reports whether nested calls may still belong to roots that started before the last cut.
func (k *kind) settling(now time.Time) bool {
	return !k.cutAt.IsZero() && now.Sub(k.cutAt) < settleTime
}

// decide changes the share by the nested calls since the last decision, once enough time has passed.
//
// The share falls by the share of nested calls that were refused, so that about as many roots start as find room, but at
// least half as many as make no nested calls. It rises slowly after a cut, because a lasting shortage would refuse the nested calls of more roots, and fast later. It
// also rises without any nested calls, because nothing shows then that a service lacks room.
func (k *kind) decide(now time.Time) {
	elapsed := now.Sub(k.decidedAt)
	if elapsed < decisionInterval || k.settling(now) {
		return
	}
	worst := k.worst()
	short := worst != nil && worst.shortShare() > tolerance && elapsed < evidenceLifetime
	if short && worst.evidence() < minEvidence && elapsed < maxDecisionInterval {
		return
	}
	steps := 1 + int((elapsed-decisionInterval)/decisionInterval)
	k.decidedAt = now
	if short {
		k.cut(now, worst)
	} else {
		k.grow(now, steps)
	}
	for _, d := range k.dependencies {
		d.clear()
	}
}

// worst returns the dependency with the largest share of refusals, or nil.
func (k *kind) worst() *dependency {
	var worst *dependency
	for _, d := range k.dependencies {
		if worst == nil || d.shortShare() > worst.shortShare() {
			worst = d
		}
	}
	return worst
}

func (k *kind) cut(now time.Time, d *dependency) {
	k.share = max(minShare, k.mix.withoutNested()/2, k.share*(1-d.shortShare()))
	k.cutAt, k.shortOf = now, d.service
	if d.calls[EndingServed] > 0 {
		d.shortLatency = d.meanTook()
	}
	if k.shortSince.IsZero() {
		k.shortSince = now
	}
}

// grow raises the share once per step. More than one step means that time has passed without any roots or nested calls.
func (k *kind) grow(now time.Time, steps int) {
	hold := now.Sub(k.cutAt) < holdTime && !k.hasRoomAgain()
	for range min(steps, 8) {
		if hold {
			k.share *= slowGrowth
		} else {
			k.share *= fastGrowth
		}
	}
	if k.share >= fullShare {
		k.share, k.shortSince = 1, time.Time{}
	}
}

// hasRoomAgain reports whether the service that lacked room serves all nested calls again without a wait.
func (k *kind) hasRoomAgain() bool {
	for _, d := range k.dependencies {
		if d.service == k.shortOf {
			return d.hasRoomAgain()
		}
	}
	return false
}

// admit reports whether the root with the given position, 0 to 1, starts, and otherwise when its caller should return.
func (k *kind) admit(now time.Time, position float64) (bool, time.Duration) {
	k.decide(now)
	if k.share >= 1 || position < k.share {
		return true, 0
	}
	k.refused++
	k.phase += goldenRatio
	if k.phase >= 1 {
		k.phase--
	}
	longest := min(max(2*now.Sub(k.shortSince), 2*minReturn), maxReturn)
	return false, time.Duration((0.5 + 0.5*k.phase) * float64(longest))
}
