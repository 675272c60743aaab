package baobabcaller

import (
	"io"
	"net/http"
	"strconv"
	"sync"
	"time"

	call "github.com/baobabdale/baobabdale/baobabcall"
	response "github.com/baobabdale/baobabdale/baobabresponse"
)

const copyBufferBytes = 32 << 10

var copyBuffers = sync.Pool{New: func() any { return new([copyBufferBytes]byte) }}

// validStatus reports whether s is a valid status code of a final response, not of an informational one.
func validStatus(s int) bool { return s >= http.StatusOK && s <= response.MaxStatus }

func closeBody(a *call.Answer) {
	if a != nil && a.Body() != nil {
		_ = a.Body().Close()
	}
}

// writeAnswer streams the answer to the caller. It aborts the connection when the body is truncated, so that the caller
// cannot take an incomplete answer for a complete one.
func (h *Handler) writeAnswer(w http.ResponseWriter, r *http.Request, conn *pipelinedConn, a *call.Answer) {
	defer closeBody(a)
	header := w.Header()
	for name, values := range h.forwardableHeader(a.Header()) {
		header[name] = values
	}
	if !r.ProtoAtLeast(1, 1) && header.Get("Content-Length") == "" && hasBody(r, a) {
		h.writeBuffered(w, conn, a)
		return
	}
	h.writeAnswerHeader(w, conn, a.Status())
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

// closesConnection reports whether an answer asks the caller to close its connection: while the node drains, unless
// requests that were handed on wait for their turn behind it.
func (h *Handler) closesConnection(conn *pipelinedConn) bool {
	return h.draining.Load() && conn.answersWaiting() == 0
}

func (h *Handler) writeAnswerHeader(w http.ResponseWriter, conn *pipelinedConn, status int) {
	if h.closesConnection(conn) {
		w.Header().Set("Connection", "close")
	}
	h.extendWriteDeadline(w)
	h.setField(w.Header(), call.FieldOutcome, string(call.OutcomeRan))
	h.metrics.answerCounter(call.OutcomeRan).Inc()
	w.WriteHeader(status)
}

// writeBuffered reads the complete answer before it sends anything: HTTP/1.0 has no chunked encoding, so a caller could
// not tell a truncated answer of unknown length from a complete one. Answers without end must not take the memory of other
// calls, so the memory for all such answers is limited.
func (h *Handler) writeBuffered(w http.ResponseWriter, conn *pipelinedConn, a *call.Answer) {
	b := &answerBuffer{memory: h.answerMemory, limit: min(h.maxBodyBytes, h.answerMemory.Limit()/maxAnswerShare)}
	defer b.release()
	if err := b.readFrom(a.Body()); err != nil {
		h.metrics.truncated.Inc()
		id := w.Header().Get(h.headerNames.Name(call.FieldCallID))
		clear(w.Header())
		h.setField(w.Header(), call.FieldCallID, id)
		h.writeRefusal(w, conn, call.NewRefusal(call.ReasonAnswerLost, call.OutcomeUnknown,
			"answer is incomplete or too large for HTTP/1.0"))
		return
	}
	w.Header().Set("Content-Length", strconv.FormatInt(b.size, 10))
	h.writeAnswerHeader(w, conn, a.Status())
	for _, p := range b.pieces {
		if _, err := w.Write(p); err != nil {
			return
		}
	}
}

// extendWriteDeadline gives the caller writeTimeout to receive the next write. A connection keeps its deadline, so it
// must be extended before each write that may come long after the previous one: the end of an answer, or an answer on a
// reused connection.
func (h *Handler) extendWriteDeadline(w http.ResponseWriter) {
	_ = http.NewResponseController(w).SetWriteDeadline(time.Now().Add(h.writeTimeout))
}

func (h *Handler) copyBody(w http.ResponseWriter, r *http.Request, body io.Reader) {
	controller := http.NewResponseController(w)
	length, err := strconv.ParseInt(w.Header().Get("Content-Length"), 10, 64)
	if err != nil {
		length = -1
	}
	buffer := copyBuffers.Get().(*[copyBufferBytes]byte)
	defer copyBuffers.Put(buffer)
	var sent int64
	for {
		n, err := body.Read(buffer[:])
		if n > 0 {
			h.extendWriteDeadline(w)
			if _, werr := w.Write(buffer[:n]); werr != nil {
				h.metrics.callerGone.Inc()
				panic(http.ErrAbortHandler)
			}
			sent += int64(n)
		}
		if err == io.EOF {
			h.extendWriteDeadline(w)
			return
		}
		if err != nil {
			h.abortAnswer(r)
		}
		if n > 0 && sent != length {
			_ = controller.Flush()
		}
	}
}

// abortAnswer closes the connection in the middle of an answer.
func (h *Handler) abortAnswer(r *http.Request) {
	if r.Context().Err() != nil {
		h.metrics.callerGone.Inc()
	} else {
		h.metrics.truncated.Inc()
	}
	panic(http.ErrAbortHandler)
}
