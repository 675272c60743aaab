package baobabcaller

import (
	"bytes"
	"io"
	"net/http"
	"strconv"
	"sync"
	"time"

	call "github.com/baobabdale/baobabdale/baobabcall"
)

const pieceBytes = 32 << 10

var pieces = sync.Pool{New: func() any { return new([pieceBytes]byte) }}

// validStatus reports whether s is the status of a final answer.
func validStatus(s int) bool { return s >= 200 && s <= 999 }

func closeBody(a *call.Answer) {
	if a != nil && a.Body() != nil {
		_ = a.Body().Close()
	}
}

// writeAnswer streams the answer. A truncated body aborts the connection, so that the caller never takes a part
// for the whole.
func (h *Handler) writeAnswer(w http.ResponseWriter, r *http.Request, a *call.Answer) {
	defer closeBody(a)
	header := w.Header()
	for name, values := range h.forwardable(a.Header()) {
		header[name] = values
	}
	if !r.ProtoAtLeast(1, 1) && header.Get("Content-Length") == "" && hasBody(r, a) {
		h.writeBuffered(w, a)
		return
	}
	h.begin(w, a.Status())
	if !hasBody(r, a) {
		return
	}
	h.copyBody(w, r, a.Body())
}

func hasBody(r *http.Request, a *call.Answer) bool {
	if r.Method == http.MethodHead || a.Body() == nil {
		return false
	}
	return a.Status() != http.StatusNoContent && a.Status() != http.StatusNotModified
}

func (h *Handler) begin(w http.ResponseWriter, status int) {
	if h.closing.Load() {
		w.Header().Set("Connection", "close")
	}
	h.extend(w)
	h.setField(w.Header(), call.FieldOutcome, string(call.OutcomeRan))
	h.meters.answers(call.OutcomeRan).Inc()
	w.WriteHeader(status)
}

// writeBuffered reads the answer whole before it sends anything: HTTP/1.0 has no chunks, so a caller could not
// tell a truncated answer of unknown length from a complete one.
func (h *Handler) writeBuffered(w http.ResponseWriter, a *call.Answer) {
	var b bytes.Buffer
	n, err := b.ReadFrom(io.LimitReader(a.Body(), h.maxBodyBytes+1))
	if err != nil || n > h.maxBodyBytes {
		h.meters.truncated.Inc()
		id := w.Header().Get(h.fields.Name(call.FieldCallID))
		clear(w.Header())
		h.setField(w.Header(), call.FieldCallID, id)
		h.writeRefusal(w, call.NewRefusal(call.ReasonAnswerLost, call.OutcomeUnknown, "answer is incomplete or too large for HTTP/1.0"))
		return
	}
	w.Header().Set("Content-Length", strconv.FormatInt(n, 10))
	h.begin(w, a.Status())
	_, _ = w.Write(b.Bytes())
}

// extend gives the caller writeTimeout for the next piece. A connection keeps its deadline, so each write that may
// come long after the last one needs it: the end of an answer, or an answer on a reused connection.
func (h *Handler) extend(w http.ResponseWriter) {
	_ = http.NewResponseController(w).SetWriteDeadline(time.Now().Add(h.writeTimeout))
}

func (h *Handler) copyBody(w http.ResponseWriter, r *http.Request, body io.Reader) {
	controller := http.NewResponseController(w)
	length, err := strconv.ParseInt(w.Header().Get("Content-Length"), 10, 64)
	if err != nil {
		length = -1
	}
	piece := pieces.Get().(*[pieceBytes]byte)
	defer pieces.Put(piece)
	var sent int64
	for {
		n, err := body.Read(piece[:])
		if n > 0 {
			h.extend(w)
			if _, werr := w.Write(piece[:n]); werr != nil {
				h.meters.gone.Inc()
				panic(http.ErrAbortHandler)
			}
			sent += int64(n)
		}
		if err == io.EOF {
			h.extend(w)
			return
		}
		if err != nil {
			h.abort(r)
		}
		if n > 0 && sent != length {
			_ = controller.Flush()
		}
	}
}

func (h *Handler) abort(r *http.Request) {
	if r.Context().Err() != nil {
		h.meters.gone.Inc()
	} else {
		h.meters.truncated.Inc()
	}
	panic(http.ErrAbortHandler)
}
