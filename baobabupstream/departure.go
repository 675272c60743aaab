package baobabupstream

import (
	"encoding/json"
	"time"
)

// A Departure records that an upstream drains or has left, so that a late announcement does not bring it back. The zero
// value records nothing.
type Departure struct {
	upstreamID   string    // Empty: none.
	startedAt    time.Time // Of the process that departs; zero: unknown.
	startFromAge bool      // startedAt was computed from an age.
	observedAt   time.Time // On the node's clock.
	sequence     uint64    // Of the latest announcement before the departure, or of the one that announced it.
	sequenced    bool      // The sequence is known.
	gone         bool      // The upstream has left; otherwise it drains.
}

// newDeparture returns the departure of the process that sent an announcement.
func newDeparture(now time.Time, a Announcement, gone bool) Departure {
	return Departure{
		upstreamID: a.upstreamID, startedAt: a.startedAt, startFromAge: a.startFromAge, observedAt: now,
		sequence: a.sequence, sequenced: a.sequenced, gone: gone,
	}
}

// left returns the departure once the upstream that drained has left.
func (d Departure) left() Departure {
	d.gone = true
	return d
}

// UpstreamID returns the id of the upstream, or an empty string if the departure records nothing.
func (d Departure) UpstreamID() string { return d.upstreamID }

// Gone reports whether the upstream has left.
func (d Departure) Gone() bool { return d.gone }

// IsZero reports whether the departure records nothing.
func (d Departure) IsZero() bool { return d.upstreamID == "" }

// Covers reports whether d keeps out every announcement that o keeps out. The numbered announcement of a drain also
// covers the leaving that follows it, because no later announcement of that process says that it is ready.
func (d Departure) Covers(o Departure) bool {
	if o.IsZero() {
		return true
	}
	if !d.sameProcess(o) {
		return false
	}
	if d.gone {
		return true
	}
	if !d.sequenced {
		return !o.gone && !o.sequenced
	}
	return o.sequenced && d.sequence >= o.sequence
}

// sameProcess reports whether both departures are of one process. Start times are stored in milliseconds.
func (d Departure) sameProcess(o Departure) bool {
	return d.upstreamID == o.upstreamID && d.startedAt.UnixMilli() == o.startedAt.UnixMilli()
}

// excludes returns the kind of error with which an announcement is refused because of the departure, or an empty kind.
func (d Departure) excludes(a Announcement) Kind {
	if d.IsZero() || a.upstreamID != d.upstreamID || d.isBeforeStartOf(a) {
		return ""
	}
	if d.gone || a.startedAt.Before(d.startedAt) && !a.startedAt.IsZero() && !a.startFromAge {
		return KindGone
	}
	if a.state == StateDraining || d.isRevokedBy(a) {
		return ""
	}
	return KindOutOfOrder
}

// isBeforeStartOf reports whether an announcement with the id of the departed upstream comes from a process that started
// later. Start times that the upstream announces itself are compared with each other, because the clocks of node and
// upstream may differ.
func (d Departure) isBeforeStartOf(a Announcement) bool {
	if !a.startFromAge && !d.startedAt.IsZero() {
		return a.startedAt.After(d.startedAt)
	}
	return a.startedAt.After(d.observedAt)
}

// isRevokedBy reports whether an announcement that accepts calls is later than the one of the drain. Without numbers
// that cannot be known; then an announcement that states the start of its process counts as later.
func (d Departure) isRevokedBy(a Announcement) bool {
	if d.sequenced && a.sequenced {
		return a.sequence > d.sequence
	}
	return !a.startedAt.IsZero() && !d.sequenced
}

// departureJSON is the stored form of a Departure.
type departureJSON struct {
	UpstreamID       string  `json:"upstream_id"`
	StartedAtMillis  int64   `json:"started_at_ms,omitempty"` // Unix time; absent: unknown.
	StartFromAge     bool    `json:"start_from_age,omitempty"`
	ObservedAtMillis int64   `json:"observed_at_ms"` // Unix time.
	Sequence         *uint64 `json:"sequence,omitempty"`
	Gone             bool    `json:"gone"`
}

// Encode returns the stored form.
func (d Departure) Encode() []byte {
	j := departureJSON{
		UpstreamID: d.upstreamID, StartFromAge: d.startFromAge, ObservedAtMillis: d.observedAt.UnixMilli(), Gone: d.gone,
	}
	if !d.startedAt.IsZero() {
		j.StartedAtMillis = d.startedAt.UnixMilli()
	}
	if d.sequenced {
		j.Sequence = &d.sequence
	}
	data, _ := json.Marshal(j) // All fields can be encoded.
	return data
}

// DecodeDeparture decodes the stored form. Fields that it does not know are ignored. Errors have KindInvalid.
func DecodeDeparture(data []byte) (Departure, error) {
	var j departureJSON
	if err := json.Unmarshal(data, &j); err != nil {
		return Departure{}, newError("decode departure", KindInvalid, "%v", err)
	}
	d := Departure{
		upstreamID: j.UpstreamID, startFromAge: j.StartFromAge, observedAt: time.UnixMilli(j.ObservedAtMillis), gone: j.Gone,
	}
	if j.StartedAtMillis != 0 {
		d.startedAt = time.UnixMilli(j.StartedAtMillis)
	}
	if j.Sequence != nil {
		d.sequence, d.sequenced = *j.Sequence, true
	}
	return d, nil
}
