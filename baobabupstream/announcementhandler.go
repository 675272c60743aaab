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
	h := &AnnouncementHandler{registry: registry, mux: goji.NewMux(), clock: time.Now}
	h.mux.HandleFunc(pat.Post("/v1/announce"), h.announce)
	h.mux.HandleFunc(pat.Delete("/v1/announce"), h.leave)
	return h
}

// ServeHTTP implements http.Handler.
func (h *AnnouncementHandler) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	h.mux.ServeHTTP(w, r)
}

func (h *AnnouncementHandler) announce(w http.ResponseWriter, r *http.Request) {
	now := h.clock()
	announcement, err := ParseAnnouncement(now, http.MaxBytesReader(w, r.Body, maxAnnouncementBytes))
	if err == nil {
		err = h.registry.Announce(now, announcement)
	}
	if err != nil {
		http.Error(w, err.Error(), statusOf(err))
		return
	}
	w.WriteHeader(http.StatusNoContent)
}

func (h *AnnouncementHandler) leave(w http.ResponseWriter, r *http.Request) {
	id := r.URL.Query().Get("upstream_id")
	if !h.registry.Leave(h.clock(), id) {
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
