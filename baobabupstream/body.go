package baobabupstream

import (
	"bytes"
	"context"
	"errors"
	"io"
	"net/http"
	"sync"

	response "github.com/baobabdale/baobabdale/baobabresponse"
)

var errTrailerName = errors.New("the name of a trailer is malformed")

// requestBody is a body that can be read only once, so that http.Transport cannot resend the request.
type requestBody struct{ r *bytes.Reader }

func (b requestBody) Read(p []byte) (int, error) { return b.r.Read(p) }

func (requestBody) Close() error { return nil }

// answerBody reports every truncation as io.ErrUnexpectedEOF and keeps the cause.
type answerBody struct {
	body         io.ReadCloser
	ctx          context.Context // The call's context, which distinguishes the causes of a truncation.
	cancel       context.CancelFunc
	ambiguousEnd bool         // Only the end of the connection ends the answer, which could also be a truncation.
	trailer      *http.Header // Set when body has ended.

	mu  sync.Mutex
	err error
}

// Read implements io.Reader.
func (b *answerBody) Read(p []byte) (int, error) {
	n, err := b.body.Read(p)
	if err == io.EOF {
		err = b.checkTrailer()
	}
	if err == nil || (err == io.EOF && !b.ambiguousEnd) {
		return n, err
	}
	b.recordFailure(err)
	return n, io.ErrUnexpectedEOF
}

// checkTrailer returns io.EOF, or an error if the trailer is malformed.
func (b *answerBody) checkTrailer() error {
	for name := range *b.trailer {
		if !response.ValidFieldName(name) {
			return errTrailerName
		}
	}
	return io.EOF
}

func (b *answerBody) recordFailure(err error) {
	if cause := b.ctx.Err(); cause != nil {
		err = cause
	} else if deadlineExceeded(b.ctx) {
		err = context.DeadlineExceeded
	}
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.err == nil {
		b.err = err
	}
}

func (b *answerBody) failure() error {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.err
}

// Close implements io.Closer. Closing before the end of the answer closes the connection, so that the rest of the answer
// never reaches another call.
func (b *answerBody) Close() error {
	err := b.body.Close()
	b.cancel()
	return err
}
