package baobabadmission

import (
	"math"
	"time"
)

const (
	// waitWeight is the weight of one grant in the recent mean wait.
	waitWeight = 0.2
	// waitFade is the time constant with which the wait fades when nothing is granted.
	waitFade = time.Second
)

// A waitMeter holds the recent mean wait for a permit.
type waitMeter struct {
	mean    float64 // Seconds.
	updated time.Time
}

// note takes the wait of one grant into the mean.
func (w *waitMeter) note(now time.Time, wait time.Duration) {
	w.mean += waitWeight * (max(0, wait).Seconds() - w.mean)
	w.updated = now
}

// recent returns the mean wait, faded by the time since the last grant.
func (w *waitMeter) recent(now time.Time) time.Duration {
	idle := max(0, now.Sub(w.updated))
	return time.Duration(w.mean * math.Exp(-idle.Seconds()/waitFade.Seconds()) * float64(time.Second))
}
