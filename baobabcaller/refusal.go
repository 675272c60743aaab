package baobabcaller

import (
	"encoding/json"
	"net/http"
	"strconv"
	"time"

	call "github.com/baobabdale/baobabdale/baobabcall"
)

// refusalBody is the JSON body of a refusal.
type refusalBody struct {
	Reason  call.Reason  `json:"reason"`
	Outcome call.Outcome `json:"outcome"`
	Detail  string       `json:"detail"`
}

func (h *Handler) writeRefusal(w http.ResponseWriter, r *call.Refusal) {
	h.extend(w)
	h.meters.refusals(r.Reason(), r.Outcome()).Inc()
	header := w.Header()
	h.setField(header, call.FieldOutcome, string(r.Outcome()))
	h.setField(header, call.FieldRefusal, string(r.Reason()))
	header.Set("Content-Type", "application/json")
	header.Set("Cache-Control", "no-store")
	if r.RetryAfter() > 0 {
		header.Set("Retry-After", h.retryAfter(r.RetryAfter()))
	}
	if h.closing.Load() {
		header.Set("Connection", "close")
	}
	w.WriteHeader(h.status(r))
	_ = json.NewEncoder(w).Encode(refusalBody{Reason: r.Reason(), Outcome: r.Outcome(), Detail: r.Detail()})
}

// wholeSeconds rounds up, because Retry-After has whole seconds and an early return would be refused again.
func wholeSeconds(d time.Duration) string {
	return strconv.FormatInt(int64((d+time.Second-1)/time.Second), 10)
}

// statusOf is the status of a refusal unless WithRefusals sets another.
func statusOf(r *call.Refusal) int { return r.Reason().Status() }
