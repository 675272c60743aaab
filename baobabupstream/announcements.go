package baobabupstream

import (
	"errors"
	"net/http"
	"time"

	goji "goji.io"
	"goji.io/pat"
)

const maxAnnouncementBytes = 64 << 10

// Announcements serves the announcement API of a node to its local upstream:
// POST /v1/announce, DELETE /v1/announce?upstream_id=ID.
type Announcements struct {
	registry *Registry
	mux      *goji.Mux
	clock    func() time.Time
}

// NewAnnouncements returns the handler that fills the registry.
func NewAnnouncements(registry *Registry) *Announcements {
	a := &Announcements{registry: registry, mux: goji.NewMux(), clock: time.Now}
	a.mux.HandleFunc(pat.Post("/v1/announce"), a.announce)
	a.mux.HandleFunc(pat.Delete("/v1/announce"), a.leave)
	return a
}

// ServeHTTP implements http.Handler.
func (a *Announcements) ServeHTTP(w http.ResponseWriter, r *http.Request) { a.mux.ServeHTTP(w, r) }

func (a *Announcements) announce(w http.ResponseWriter, r *http.Request) {
	now := a.clock()
	announcement, err := ParseAnnouncement(now, http.MaxBytesReader(w, r.Body, maxAnnouncementBytes))
	if err == nil {
		err = a.registry.Announce(now, announcement)
	}
	if err != nil {
		http.Error(w, err.Error(), statusOf(err))
		return
	}
	w.WriteHeader(http.StatusNoContent)
}

func (a *Announcements) leave(w http.ResponseWriter, r *http.Request) {
	id := r.URL.Query().Get("upstream_id")
	if !a.registry.Leave(a.clock(), id) {
		http.Error(w, "upstream is not announced", http.StatusNotFound)
		return
	}
	w.WriteHeader(http.StatusNoContent)
}

func statusOf(err error) int {
	e, ok := errors.AsType[*Error](err)
	if !ok {
		return http.StatusInternalServerError
	}
	switch e.Kind() {
	case KindConflict, KindLate:
		return http.StatusConflict
	case KindGone:
		return http.StatusGone
	default:
		return http.StatusBadRequest
	}
}
