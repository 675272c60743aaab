package baobabadmission

import (
	"math"
	"time"
)

const (
	// waitWeight is the weight of one grant in the recent mean wait.
	waitWeight = 0.2
	// waitDecayTime is the time constant with which the mean decays while nothing is granted.
	waitDecayTime = time.Second
)

// A waitMeter tracks the recent mean wait for a permit.
type waitMeter struct {
	mean    float64 // Seconds.
	updated time.Time
}

// observe adds the wait of one grant to the mean.
func (w *waitMeter) observe(now time.Time, wait time.Duration) {
	w.mean += waitWeight * (max(0, wait).Seconds() - w.mean)
	w.updated = now
}

// decayedMean returns the mean wait, decayed by the time since the last grant.
func (w *waitMeter) decayedMean(now time.Time) time.Duration {
	idle := max(0, now.Sub(w.updated))
	return time.Duration(w.mean * math.Exp(-idle.Seconds()/waitDecayTime.Seconds()) * float64(time.Second))
}
