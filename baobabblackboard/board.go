package baobabblackboard

import (
	"sync/atomic"

	configuration "github.com/baobabdale/baobabdale/baobabconfiguration"
	route "github.com/baobabdale/baobabdale/baobabroute"
)

// A Board holds the facts that the controllers of a node share. Each setter is called by one controller only,
// which its comment names. It is safe for concurrent use.
type Board struct {
	inForce  atomic.Pointer[InForce]   // Only replaced by a newer version, or by the same with another view.
	rejected atomic.Pointer[Rejection] // Nil when no version newer than the one in force was rejected.
	highest  atomic.Uint64             // Never decreases.
	upstream atomic.Pointer[Upstream]  // Nil when no upstream is announced.

	endpoints *Map[string, *route.CandidateSet] // By service.

	inForceChanged  *Signal
	upstreamChanged *Signal
}

// NewBoard returns an empty board.
func NewBoard() *Board {
	return &Board{
		endpoints:       NewMap[string, *route.CandidateSet](),
		inForceChanged:  NewSignal(),
		upstreamChanged: NewSignal(),
	}
}

// InForce returns the configuration in force, or nil before the first one.
func (b *Board) InForce() *InForce { return b.inForce.Load() }

// Version returns the version in force; its number is 0 before the first one.
func (b *Board) Version() configuration.Version {
	f := b.inForce.Load()
	if f == nil {
		return configuration.Version{}
	}
	return f.Version()
}

// SetInForce puts a configuration in force unless the one in force is newer, and reports whether it did. The
// configuration controller calls it.
func (b *Board) SetInForce(f *InForce) bool {
	for {
		old := b.inForce.Load()
		if old != nil && old.Version().Number() > f.Version().Number() {
			return false
		}
		if b.inForce.CompareAndSwap(old, f) {
			b.RaiseHighest(f.Version().Number())
			b.inForceChanged.Notify()
			return true
		}
	}
}

// InForceChanged returns a channel that is closed when another configuration comes into force.
func (b *Board) InForceChanged() <-chan struct{} { return b.inForceChanged.Changed() }

// Rejected returns the last rejected version, or nil.
func (b *Board) Rejected() *Rejection { return b.rejected.Load() }

// SetRejected records a rejected version, or none. The configuration controller calls it.
func (b *Board) SetRejected(r *Rejection) { b.rejected.Store(r) }

// Highest returns the highest version number that this node has heard of.
func (b *Board) Highest() uint64 { return b.highest.Load() }

// RaiseHighest records a version number that was heard of.
func (b *Board) RaiseHighest(number uint64) {
	for {
		old := b.highest.Load()
		if old >= number || b.highest.CompareAndSwap(old, number) {
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

// UpstreamChanged returns a channel that is closed when the upstream changes.
func (b *Board) UpstreamChanged() <-chan struct{} { return b.upstreamChanged.Changed() }

// Endpoints returns the endpoints of a service, or nil.
func (b *Board) Endpoints(service string) *route.CandidateSet {
	set, _ := b.endpoints.Get(service)
	return set
}

// SetEndpoints replaces the endpoints of all services. The membership controller calls it.
func (b *Board) SetEndpoints(byService map[string]*route.CandidateSet) {
	b.endpoints.Replace(byService)
}
