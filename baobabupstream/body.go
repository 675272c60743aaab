package baobabupstream

import (
	"bytes"
	"context"
	"io"
	"sync"
)

// requestBody is a body without a way to read it again, so that http.Transport cannot resend the request.
type requestBody struct{ r *bytes.Reader }

func (b requestBody) Read(p []byte) (int, error) { return b.r.Read(p) }

func (requestBody) Close() error { return nil }

// answerBody reports each truncation as io.ErrUnexpectedEOF and remembers its cause.
type answerBody struct {
	body      io.ReadCloser
	ctx       context.Context // The call's own context, to tell the cause of a truncation.
	cancel    context.CancelFunc
	unbounded bool // The answer ends only with its connection, so its end cannot be told from truncation.

	mu  sync.Mutex
	err error
}

// Read implements io.Reader.
func (b *answerBody) Read(p []byte) (int, error) {
	n, err := b.body.Read(p)
	if err == nil || (err == io.EOF && !b.unbounded) {
		return n, err
	}
	b.fail(err)
	return n, io.ErrUnexpectedEOF
}

func (b *answerBody) fail(err error) {
	if cause := b.ctx.Err(); cause != nil {
		err = cause
	} else if deadlineOver(b.ctx) {
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

// Close implements io.Closer. Closing before the end closes the connection, so that the rest of this answer never
// reaches another call.
func (b *answerBody) Close() error {
	err := b.body.Close()
	b.cancel()
	return err
}
