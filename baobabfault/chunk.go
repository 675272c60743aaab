package baobabfault

import "time"

// A chunk is data in transit, to be delivered at a time.
type chunk struct {
	data []byte
	at   time.Time
}
