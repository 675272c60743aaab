package baobabblackboard

import (
	"sync/atomic"

	configuration "github.com/baobabdale/baobabdale/baobabconfiguration"
	route "github.com/baobabdale/baobabdale/baobabroute"
)

// A Board holds the state that the controllers of a node share, after the blackboard pattern. Each Set method is called
// by one controller only, which its comment names. It is safe for concurrent use.
type Board struct {
	active        atomic.Pointer[ActiveConfiguration] // Replaced only by a newer version, or by the same with another view.
	rejected      atomic.Pointer[Rejection]           // Nil when no version newer than the one in force was rejected.
	highestNumber atomic.Uint64                       // Never decreases.
	upstream      atomic.Pointer[Upstream]            // Nil when no upstream is announced.

	endpoints *ShardedMap[string, *route.CandidateSet] // By service.

	activeChanged   *Signal
	upstreamChanged *Signal
}

// NewBoard returns an empty board.
func NewBoard() *Board {
	return &Board{
		endpoints:       NewShardedMap[string, *route.CandidateSet](),
		activeChanged:   NewSignal(),
		upstreamChanged: NewSignal(),
	}
}

// ActiveConfiguration returns the configuration in force, or nil before the first one.
func (b *Board) ActiveConfiguration() *ActiveConfiguration { return b.active.Load() }

// ActiveVersion returns the version in force; its number is 0 before the first one.
func (b *Board) ActiveVersion() configuration.Version {
	c := b.active.Load()
	if c == nil {
		return configuration.Version{}
	}
	return c.Version()
}

// SetActiveConfiguration puts a configuration in force unless the one in force is newer, and reports whether it did.
// The configuration controller calls it.
func (b *Board) SetActiveConfiguration(c *ActiveConfiguration) bool {
	for {
		old := b.active.Load()
		if old != nil && old.Version().Number() > c.Version().Number() {
			return false
		}
		if b.active.CompareAndSwap(old, c) {
			b.RaiseHighestNumber(c.Version().Number())
			b.activeChanged.Notify()
			return true
		}
	}
}

// ActiveConfigurationChanged returns a channel that is closed at the next change of the configuration in force.
func (b *Board) ActiveConfigurationChanged() <-chan struct{} { return b.activeChanged.Changed() }

// Rejected returns the last rejected version, or nil when no version newer than the one in force was rejected.
func (b *Board) Rejected() *Rejection { return b.rejected.Load() }

// SetRejected records a rejected version, or clears it with nil. The configuration controller calls it.
func (b *Board) SetRejected(r *Rejection) { b.rejected.Store(r) }

// HighestNumber returns the highest version number known to this node, whether or not it holds that version.
func (b *Board) HighestNumber() uint64 { return b.highestNumber.Load() }

// RaiseHighestNumber records a version number that this node has learned of. Lower numbers than the highest known one
// are ignored.
func (b *Board) RaiseHighestNumber(number uint64) {
	for {
		old := b.highestNumber.Load()
		if old >= number || b.highestNumber.CompareAndSwap(old, number) {
			return
		}
	}
}

// Upstream returns the upstream on this VM, or nil.
func (b *Board) Upstream() *Upstream { return b.upstream.Load() }

// SetUpstream records the upstream on this VM. The upstream controller calls it.
func (b *Board) SetUpstream(u *Upstream) {
	b.upstream.Store(u)
	b.upstreamChanged.Notify()
}

// UpstreamChanged returns a channel that is closed at the next change of the upstream.
func (b *Board) UpstreamChanged() <-chan struct{} { return b.upstreamChanged.Changed() }

// Endpoints returns the endpoints of a service, or nil when there are none.
func (b *Board) Endpoints(service string) *route.CandidateSet {
	set, _ := b.endpoints.Get(service)
	return set
}

// SetEndpoints replaces the endpoints of all services. The membership controller calls it.
func (b *Board) SetEndpoints(byService map[string]*route.CandidateSet) {
	b.endpoints.Replace(byService)
}
