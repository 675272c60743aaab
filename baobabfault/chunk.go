package baobabfault

import "time"

// A chunk is data in transit that is delivered at a given time.
type chunk struct {
	data      []byte
	deliverAt time.Time
}
