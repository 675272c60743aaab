package baobabcall

import (
	"io"
	"net/http"
)

// An Answer is the response of an upstream to a call. The consumer must close the body.
type Answer struct {
	status   int
	header   http.Header
	body     io.ReadCloser // Read returns io.ErrUnexpectedEOF when the answer is truncated.
	replayed bool
}

// NewAnswer returns an answer that comes directly from an upstream.
func NewAnswer(status int, header http.Header, body io.ReadCloser) *Answer {
	return &Answer{status: status, header: header, body: body}
}

// NewReplayedAnswer returns the stored answer to an earlier call with the same idempotency key.
func NewReplayedAnswer(status int, header http.Header, body io.ReadCloser) *Answer {
	return &Answer{status: status, header: header, body: body, replayed: true}
}

// Status returns the HTTP status code.
func (a *Answer) Status() int { return a.status }

// Header returns the answer header.
func (a *Answer) Header() http.Header { return a.header }

// Body returns the answer body.
func (a *Answer) Body() io.ReadCloser { return a.body }

// Replayed reports whether this is the stored answer to an earlier call.
func (a *Answer) Replayed() bool { return a.replayed }
