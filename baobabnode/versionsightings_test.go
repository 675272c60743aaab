package baobabnode

import (
	"testing"
	"time"

	"github.com/VictoriaMetrics/metrics"
)

// TestVersionSightings guards against a version that seems to have come in time because a lower one, or a later sighting, is
// counted.
func TestVersionSightings(t *testing.T) {
	start := time.Unix(1000, 0)
	for _, c := range []struct {
		name      string
		sightings []uint64 // One each second.
		number    uint64   // In force after 10 s.
		want      time.Duration
	}{
		{"never seen before", nil, 1, 0},
		{"seen", []uint64{1}, 1, 10 * time.Second},
		{"seen again", []uint64{1, 1, 1}, 1, 10 * time.Second},
		{"a lower one never came into force", []uint64{1, 3}, 3, 10 * time.Second},
		{"only a higher one is known", []uint64{5}, 3, 0},
		{"the higher one counts later", []uint64{3, 5}, 3, 10 * time.Second},
	} {
		v := newVersionSightings(metrics.NewSet())
		for i, n := range c.sightings {
			v.record(start.Add(time.Duration(i)*time.Second), n)
		}
		loaded := start.Add(10 * time.Second)
		if got := v.inForce(loaded, loaded, c.number, viaSource); got != c.want {
			t.Errorf("%s: fetched in %s, want %s", c.name, got, c.want)
		}
	}
	v := newVersionSightings(metrics.NewSet())
	for n := range uint64(2 * maxSightings) {
		v.record(start, n+1)
	}
	if len(v.sightings) != maxSightings {
		t.Errorf("%d sightings are kept, want %d", len(v.sightings), maxSightings)
	}
}
