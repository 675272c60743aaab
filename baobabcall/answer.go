package baobabcall

import (
	"io"
	"net/http"
)

// An Answer is the answer of an upstream. The reader of the body must close it.
type Answer struct {
	status   int
	header   http.Header
	body     io.ReadCloser // Returns io.ErrUnexpectedEOF when the answer is truncated.
	replayed bool
}

// NewAnswer returns an answer.
func NewAnswer(status int, header http.Header, body io.ReadCloser) *Answer {
	return &Answer{status: status, header: header, body: body}
}

// NewReplayedAnswer returns the recorded answer of an earlier call under the same idempotency key.
func NewReplayedAnswer(status int, header http.Header, body io.ReadCloser) *Answer {
	return &Answer{status: status, header: header, body: body, replayed: true}
}

// Status returns the HTTP status code.
func (a *Answer) Status() int { return a.status }

// Header returns the answer header.
func (a *Answer) Header() http.Header { return a.header }

// Body returns the answer body.
func (a *Answer) Body() io.ReadCloser { return a.body }

// Replayed reports whether the answer is a record of an earlier call.
func (a *Answer) Replayed() bool { return a.replayed }
