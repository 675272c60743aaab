package baobabnode

import (
	"math"
	"net/http"
	"sync"
	"time"

	admission "github.com/baobabdale/baobabdale/baobabadmission"
	route "github.com/baobabdale/baobabdale/baobabroute"
	wire "github.com/baobabdale/baobabdale/baobabwire"
)

const (
	// usualPercent states that work takes as long as usual.
	usualPercent = 100
	// minStatedPercent and maxStatedPercent bound a stated speed, so that a false figure has little effect.
	minStatedPercent, maxStatedPercent = 25, 400
	// statedSpeedDecayTime is the time in which a stated speed without a newer one falls to 1/e of its distance from usual.
	// It changes many times a second.
	statedSpeedDecayTime = 300 * time.Millisecond
)

// A SpeedReader returns how long work takes at an upstream by the header of its answer, in percent of the usual time, and
// whether the header says so.
type SpeedReader func(h http.Header) (percent int, ok bool)

// An upstreamRate tells other nodes how long calls take at the upstream on this VM. It is safe for concurrent use. A nil
// upstreamRate tells nothing.
type upstreamRate struct {
	gate *admission.Gate
	read SpeedReader // Nil: upstreams do not state their speed.

	mu       sync.Mutex
	stated   int       // Percent, between the bounds.
	statedAt time.Time // Zero: not stated.
}

// observe records the speed that an answer of the upstream states.
func (u *upstreamRate) observe(now time.Time, h http.Header) {
	if u == nil || u.read == nil {
		return
	}
	percent, ok := u.read(h)
	if !ok {
		return
	}
	u.mu.Lock()
	defer u.mu.Unlock()
	u.stated, u.statedAt = min(max(percent, minStatedPercent), maxStatedPercent), now
}

// percent returns the stated speed, decayed by its age, or zero if the upstream states none.
func (u *upstreamRate) percent(now time.Time) int {
	u.mu.Lock()
	defer u.mu.Unlock()
	if u.statedAt.IsZero() {
		return 0
	}
	decay := math.Exp(-float64(max(now.Sub(u.statedAt), 0)) / float64(statedSpeedDecayTime))
	return usualPercent + int(float64(u.stated-usualPercent)*decay)
}

// addTo adds the figures for calls like c to a load report.
func (u *upstreamRate) addTo(now time.Time, l *wire.Load, c *wire.Call) {
	if u == nil {
		return
	}
	l.ServiceUs = u.gate.ExpectedLatency(kindOf(c.GetMethod(), c.GetTarget())).Microseconds()
	l.SpeedPercent = uint32(u.percent(now))
}

// ownRate returns the figures of the upstream on this VM for calls like r: their kind, expected service time and stated
// speed.
func (u *upstreamRate) ownRate(now time.Time, r *admissionRequest) (string, time.Duration, int) {
	if u == nil {
		return "", 0, 0
	}
	kind := kindOf(r.call.Method(), r.call.Target())
	return r.service + " " + kind, u.gate.ExpectedLatency(kind), u.percent(now)
}

// withReportedRate adds the figures in a load report of another node.
func withReportedRate(load route.Load, r *admissionRequest, l *wire.Load) route.Load {
	if l.GetServiceUs() <= 0 && l.GetSpeedPercent() == 0 {
		return load
	}
	kind := r.service + " " + kindOf(r.call.Method(), r.call.Target())
	return load.WithRate(kind, time.Duration(l.GetServiceUs())*time.Microsecond, int(min(l.GetSpeedPercent(), maxStatedPercent)))
}

// kindOf returns the group of calls of similar cost to which a call belongs.
func kindOf(method, target string) string { return method + " " + firstPathSegment(target) }
