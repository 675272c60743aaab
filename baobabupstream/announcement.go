package baobabupstream

import (
	"encoding/json"
	"io"
	"maps"
	"net/netip"
	"time"
)

const (
	maxNameBytes    = 256
	maxLabels       = 64
	maxSlots        = 100_000
	maxStartedMsAgo = int64(100 * 365 * 24 * time.Hour / time.Millisecond)
)

// An Announcement describes an upstream, as the upstream announces itself.
type Announcement struct {
	upstreamID   string
	service      string
	address      string // IP address and port for calls.
	slots        int    // Calls that the upstream runs concurrently.
	connections  int    // Connections that the upstream accepts.
	labels       map[string]string
	state        State
	startedAt    time.Time // On the node's clock, or on the upstream's if it announces the time itself; zero: unknown.
	startFromAge bool      // startedAt was computed from an age, so a delayed announcement makes it too late.
	sequence     uint64    // Increases with each announcement of a process.
	sequenced    bool      // The sequence is known.
	verified     bool      // The node itself has seen that the upstream is up and does not leave.
}

// AnnouncementOption sets an optional property of an Announcement.
type AnnouncementOption func(*Announcement)

// WithSequence sets a number that increases with each announcement of a process, so that one that arrives out of order
// is detected.
func WithSequence(n uint64) AnnouncementOption {
	return func(a *Announcement) { a.sequence, a.sequenced = n, true }
}

// WithStart sets the start time of the upstream.
func WithStart(t time.Time) AnnouncementOption { return func(a *Announcement) { a.startedAt = t } }

// WithVerified marks an announcement that follows from a health check by the node, and not from what an upstream has sent.
func WithVerified() AnnouncementOption { return func(a *Announcement) { a.verified = true } }

// WithLabel adds a label.
func WithLabel(name, value string) AnnouncementOption {
	return func(a *Announcement) {
		a.labels = maps.Clone(a.labels)
		if a.labels == nil {
			a.labels = map[string]string{}
		}
		a.labels[name] = value
	}
}

// WithState sets the state; the default is StateReady.
func WithState(s State) AnnouncementOption { return func(a *Announcement) { a.state = s } }

// NewAnnouncement returns the announcement of an upstream that runs up to slots calls concurrently and accepts the given
// number of connections. Errors have KindInvalid.
func NewAnnouncement(upstreamID, service, address string, slots, connections int, options ...AnnouncementOption) (Announcement, error) {
	a := Announcement{
		upstreamID: upstreamID, service: service, address: address, slots: slots, connections: connections, state: StateReady,
	}
	for _, o := range options {
		o(&a)
	}
	j := announcementJSON{
		UpstreamID: upstreamID, Service: service, Address: address, Slots: slots, Connections: connections, State: a.state,
		Labels: a.labels,
	}
	if problem := j.validate(); problem != "" {
		return Announcement{}, newError("new announcement", KindInvalid, "%s", problem)
	}
	return a, nil
}

// announcementJSON is the wire form of an Announcement.
type announcementJSON struct {
	UpstreamID   string            `json:"upstream_id"`
	Service      string            `json:"service"`
	Address      string            `json:"address"`
	Slots        int               `json:"slots"`
	Connections  int               `json:"connections"`
	Labels       map[string]string `json:"labels"`
	State        State             `json:"state"`
	StartedMsAgo int64             `json:"started_ms_ago"`
}

// ParseAnnouncement decodes an announcement from JSON without unknown fields. Its start time is now minus the announced
// age. Errors have KindInvalid.
func ParseAnnouncement(now time.Time, r io.Reader) (Announcement, error) {
	const operation = "parse announcement"
	d := json.NewDecoder(r)
	d.DisallowUnknownFields()
	var j announcementJSON
	if err := d.Decode(&j); err != nil {
		return Announcement{}, newError(operation, KindInvalid, "%v", err)
	}
	if problem := j.validate(); problem != "" {
		return Announcement{}, newError(operation, KindInvalid, "%s", problem)
	}
	return Announcement{
		upstreamID:   j.UpstreamID,
		service:      j.Service,
		address:      j.Address,
		slots:        j.Slots,
		connections:  j.Connections,
		labels:       j.Labels,
		state:        j.State,
		startedAt:    now.Add(-time.Duration(j.StartedMsAgo) * time.Millisecond),
		startFromAge: true,
	}, nil
}

// validate returns what is wrong with the announcement, or an empty string.
func (j announcementJSON) validate() string {
	if !validName(j.UpstreamID) {
		return "upstream_id must have 1 to 256 bytes"
	}
	if !validName(j.Service) {
		return "service must have 1 to 256 bytes"
	}
	if a, err := netip.ParseAddrPort(j.Address); err != nil || a.Port() == 0 {
		return "address must be an IP address and a port from 1 to 65535"
	}
	if j.Slots < 1 || j.Slots > maxSlots {
		return "slots must be from 1 to 100000"
	}
	if j.Connections < 1 || j.Connections > maxSlots {
		return "connections must be from 1 to 100000"
	}
	if !j.State.announceable() {
		return "state must be warming, ready or draining"
	}
	if j.StartedMsAgo < 0 || j.StartedMsAgo > maxStartedMsAgo {
		return "started_ms_ago is out of range"
	}
	return j.validateLabels()
}

func (j announcementJSON) validateLabels() string {
	if len(j.Labels) > maxLabels {
		return "labels must be at most 64"
	}
	for name, value := range j.Labels {
		if !validName(name) || len(value) > maxNameBytes {
			return "label names must have 1 to 256 bytes, values at most 256"
		}
	}
	return ""
}

func validName(s string) bool { return s != "" && len(s) <= maxNameBytes }

// UpstreamID returns the id of the upstream.
func (a Announcement) UpstreamID() string { return a.upstreamID }

// Service returns the name of the service.
func (a Announcement) Service() string { return a.service }

// Address returns the IP address and port at which the upstream accepts calls.
func (a Announcement) Address() string { return a.address }

// Slots returns how many calls the upstream runs concurrently.
func (a Announcement) Slots() int { return a.slots }

// Connections returns how many connections the upstream accepts.
func (a Announcement) Connections() int { return a.connections }

// Labels returns a copy of the labels.
func (a Announcement) Labels() map[string]string { return maps.Clone(a.labels) }

// Label returns the value of a label, or an empty string.
func (a Announcement) Label(name string) string { return a.labels[name] }

// State returns the announced state.
func (a Announcement) State() State { return a.state }

// StartedAt returns when the upstream started, on the node's clock or on that of an upstream that announces the time
// itself. It is zero if unknown.
func (a Announcement) StartedAt() time.Time { return a.startedAt }

// equalExceptStart reports whether a and b describe the same upstream in the same state, regardless of start time and
// sequence.
func (a Announcement) equalExceptStart(b Announcement) bool {
	return a.upstreamID == b.upstreamID && a.service == b.service && a.address == b.address && a.slots == b.slots &&
		a.connections == b.connections && a.state == b.state && maps.Equal(a.labels, b.labels)
}
