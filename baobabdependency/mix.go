package baobabdependency

import (
	"math"
	"time"
)

// mixTime is the time constant with which the mix of roots decays.
const mixTime = 5 * time.Second

// A mix is how many roots of a kind make nested calls. Counts decay with mixTime.
type mix struct {
	roots   float64 // Started.
	calling float64 // Roots that made a nested call.
	updated time.Time
}

// decay lets the counts decay until now.
func (m *mix) decay(now time.Time) {
	if elapsed := now.Sub(m.updated); elapsed > 0 {
		f := math.Exp(-elapsed.Seconds() / mixTime.Seconds())
		m.roots, m.calling, m.updated = m.roots*f, m.calling*f, now
	}
}

func (m *mix) recordRoot(now time.Time) {
	m.decay(now)
	m.roots++
}

func (m *mix) recordCalling(now time.Time) {
	m.decay(now)
	m.calling++
}

// withoutNested returns the share of roots that make no nested calls, or 0 without knowledge of the mix.
func (m *mix) withoutNested() float64 {
	if m.roots <= 0 {
		return 0
	}
	return max(0, 1-m.calling/m.roots)
}
