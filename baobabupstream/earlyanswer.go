package baobabupstream

import (
	"bytes"
	"io"
	"time"
)

const (
	// earlyAnswerWait is how long the end of an answer is awaited that begins before its request has been written.
	earlyAnswerWait = 20 * time.Millisecond
	// maxEarlyAnswerBytes bounds what is read of such an answer before it is passed on.
	maxEarlyAnswerBytes = 64 << 10
	earlyReadBytes      = 8 << 10
)

// An earlyBody is the body of an answer that began before its request had been written, with its start read ahead. An
// upstream that breaks off in such an answer mostly does so at once, and the call can be tried again as long as nothing of
// the answer has been passed on.
type earlyBody struct {
	inner   io.ReadCloser
	start   bytes.Buffer
	err     error            // Follows start; nil if more may come.
	pending chan earlyResult // A read in progress, which follows start; may be nil.
}

type earlyResult struct {
	data []byte
	err  error
}

// newEarlyBody reads the start of inner until its end, maxEarlyAnswerBytes or the time limit.
func newEarlyBody(inner io.ReadCloser, limit <-chan time.Time) *earlyBody {
	b := &earlyBody{inner: inner}
	for b.err == nil && b.start.Len() < maxEarlyAnswerBytes {
		b.pending = make(chan earlyResult, 1)
		go readEarly(inner, b.pending)
		select {
		case r := <-b.pending:
			b.take(r)
		case <-limit:
			return b
		}
	}
	return b
}

func readEarly(body io.Reader, result chan<- earlyResult) {
	buffer := make([]byte, earlyReadBytes)
	n, err := body.Read(buffer)
	result <- earlyResult{data: buffer[:n], err: err}
}

func (b *earlyBody) take(r earlyResult) {
	b.pending = nil
	b.start.Write(r.data)
	b.err = r.err
}

// broken reports whether the body is known to end early.
func (b *earlyBody) broken() bool { return b.err != nil && b.err != io.EOF }

// Read implements io.Reader.
func (b *earlyBody) Read(p []byte) (int, error) {
	for {
		switch {
		case b.start.Len() > 0:
			return b.start.Read(p)
		case b.err != nil:
			return 0, b.err
		case b.pending == nil:
			return b.inner.Read(p)
		}
		b.take(<-b.pending)
	}
}

// Close implements io.Closer. It ends a read in progress.
func (b *earlyBody) Close() error { return b.inner.Close() }
