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

func (h *Handler) writeRefusal(w http.ResponseWriter, conn *pipelinedConn, r *call.Refusal) {
	h.extendWriteDeadline(w)
	h.metrics.refusalCounter(r.Reason(), r.Outcome()).Inc()
	header := w.Header()
	h.setField(header, call.FieldOutcome, string(r.Outcome()))
	h.setField(header, call.FieldRefusal, string(r.Reason()))
	header.Set("Content-Type", "application/json")
	header.Set("Cache-Control", "no-store")
	if r.RetryAfter() > 0 {
		header.Set("Retry-After", h.formatRetryAfter(r.RetryAfter()))
	}
	if r.Reason() == call.ReasonUnauthorized {
		header.Set("WWW-Authenticate", "Bearer") // Required with 401 (RFC 9110, section 15.5.2).
	}
	if h.closesConnection(conn) {
		header.Set("Connection", "close")
	}
	w.WriteHeader(h.refusalStatus(r))
	_ = json.NewEncoder(w).Encode(refusalBody{Reason: r.Reason(), Outcome: r.Outcome(), Detail: r.Detail()})
}

// retryAfterSeconds returns d in whole seconds, the unit of Retry-After. It rounds up, because an earlier retry would be
// refused again.
func retryAfterSeconds(d time.Duration) string {
	return strconv.FormatInt(int64((d+time.Second-1)/time.Second), 10)
}

// defaultRefusalStatus returns the status of a refusal unless WithRefusalFormat sets another function.
func defaultRefusalStatus(r *call.Refusal) int { return r.Reason().Status() }
