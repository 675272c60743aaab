package baobabupstream

import (
	"errors"
	"net/http"
	"time"

	goji "goji.io"
	"goji.io/pat"
)

const maxAnnouncementBytes = 64 << 10

// AnnouncementHandler serves the announcement API of a node for its local upstream:
// POST /v1/announce, DELETE /v1/announce?upstream_id=ID.
type AnnouncementHandler struct {
	registry *Registry
	mux      *goji.Mux
	clock    func() time.Time
}

// NewAnnouncementHandler returns a handler that updates the registry.
func NewAnnouncementHandler(registry *Registry) *AnnouncementHandler {
	a := &AnnouncementHandler{registry: registry, mux: goji.NewMux(), clock: time.Now}
	a.mux.HandleFunc(pat.Post("/v1/announce"), a.announce)
	a.mux.HandleFunc(pat.Delete("/v1/announce"), a.leave)
	return a
}

// ServeHTTP implements http.Handler.
func (a *AnnouncementHandler) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	a.mux.ServeHTTP(w, r)
}

func (a *AnnouncementHandler) announce(w http.ResponseWriter, r *http.Request) {
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

func (a *AnnouncementHandler) leave(w http.ResponseWriter, r *http.Request) {
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
	case KindConflict, KindOutOfOrder:
		return http.StatusConflict
	case KindGone:
		return http.StatusGone
	default:
		return http.StatusBadRequest
	}
}
