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

// An Announcement is what an upstream says about itself.
type Announcement struct {
	upstreamID  string
	service     string
	address     string // IP address and port.
	slots       int    // Calls that the upstream runs at the same time.
	connections int    // Connections that the upstream accepts.
	labels      map[string]string
	state       State
	startedAt   time.Time // On the node's clock, or on the upstream's where that is what it tells; zero: not known.
	aged        bool      // The start was worked out from an age, so it seems later when the announcement was delayed.
	sequence    uint64    // Grows with each announcement of a process; 0: not known.
}

// AnnouncementOption sets an optional property of an Announcement.
type AnnouncementOption func(*Announcement)

// WithSequence sets the number that grows with each announcement of a process, so that a late one is recognized.
func WithSequence(n uint64) AnnouncementOption { return func(a *Announcement) { a.sequence = n } }

// WithStart sets when the upstream started.
func WithStart(t time.Time) AnnouncementOption { return func(a *Announcement) { a.startedAt = t } }

// WithState sets the state; the default is StateReady.
func WithState(s State) AnnouncementOption { return func(a *Announcement) { a.state = s } }

// NewAnnouncement returns an announcement of an upstream with slots calls at the same time and a number of
// connections. Errors have KindInvalid.
func NewAnnouncement(upstreamID, service, address string, slots, connections int, options ...AnnouncementOption) (Announcement, error) {
	a := Announcement{
		upstreamID: upstreamID, service: service, address: address, slots: slots, connections: connections, state: StateReady,
	}
	for _, o := range options {
		o(&a)
	}
	j := announcementJSON{
		UpstreamID: upstreamID, Service: service, Address: address, Slots: slots, Connections: connections, State: a.state,
	}
	if problem := j.problem(); problem != "" {
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

// ParseAnnouncement reads strict JSON. Errors have KindInvalid.
func ParseAnnouncement(now time.Time, r io.Reader) (Announcement, error) {
	const operation = "parse announcement"
	d := json.NewDecoder(r)
	d.DisallowUnknownFields()
	var j announcementJSON
	if err := d.Decode(&j); err != nil {
		return Announcement{}, newError(operation, KindInvalid, "%v", err)
	}
	if problem := j.problem(); problem != "" {
		return Announcement{}, newError(operation, KindInvalid, "%s", problem)
	}
	return Announcement{
		upstreamID:  j.UpstreamID,
		service:     j.Service,
		address:     j.Address,
		slots:       j.Slots,
		connections: j.Connections,
		labels:      j.Labels,
		state:       j.State,
		startedAt:   now.Add(-time.Duration(j.StartedMsAgo) * time.Millisecond),
		aged:        true,
	}, nil
}

func (j announcementJSON) problem() string {
	if !validName(j.UpstreamID) {
		return "upstream_id must have 1 to 256 bytes"
	}
	if !validName(j.Service) {
		return "service must have 1 to 256 bytes"
	}
	if _, err := netip.ParseAddrPort(j.Address); err != nil {
		return "address must be an IP address and a port"
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
	return j.labelProblem()
}

func (j announcementJSON) labelProblem() string {
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

// UpstreamID returns the id of the upstream process.
func (a Announcement) UpstreamID() string { return a.upstreamID }

// Service returns the name of the service.
func (a Announcement) Service() string { return a.service }

// Address returns the IP address and port at which the upstream takes calls.
func (a Announcement) Address() string { return a.address }

// Slots returns how many calls the upstream runs at the same time.
func (a Announcement) Slots() int { return a.slots }

// Connections returns how many connections the upstream accepts.
func (a Announcement) Connections() int { return a.connections }

// Labels returns a copy of the labels.
func (a Announcement) Labels() map[string]string { return maps.Clone(a.labels) }

// State returns the announced state.
func (a Announcement) State() State { return a.state }

// StartedAt returns when the upstream started, on the node's clock.
func (a Announcement) StartedAt() time.Time { return a.startedAt }

// sameAs reports whether a and b differ at most in the start time.
func (a Announcement) sameAs(b Announcement) bool {
	return a.upstreamID == b.upstreamID && a.service == b.service && a.address == b.address && a.slots == b.slots &&
		a.connections == b.connections && a.state == b.state && maps.Equal(a.labels, b.labels)
}
