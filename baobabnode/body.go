package baobabnode

import (
	"bytes"
	"context"
	"errors"
	"io"
	"sync"
	"time"

	call "github.com/baobabdale/baobabdale/baobabcall"
	peer "github.com/baobabdale/baobabdale/baobabpeer"
)

// maxRecordedBytes bounds the answer body that is recorded in a claim. It equals the limit of claim records.
const maxRecordedBytes = 16 << 10

// admittedBody is the body of an upstream's answer. It reports once how the body ended, and captures the content if it
// is to be recorded.
type admittedBody struct {
	inner io.ReadCloser
	onEnd func(complete bool) // Called once, at the end of the body or when it is closed early.
	once  sync.Once

	capture  bool         // Whether to capture the body for the record of the claim.
	captured bytes.Buffer // The first bytes, at most maxRecordedBytes.
	overflow bool         // Whether the body is longer than maxRecordedBytes.
}

// Read implements io.Reader.
func (b *admittedBody) Read(p []byte) (int, error) {
	n, err := b.inner.Read(p)
	if b.capture && n > 0 {
		b.captureBytes(p[:n])
	}
	if err != nil {
		b.finish(err == io.EOF)
	}
	return n, err
}

// Close implements io.Closer.
func (b *admittedBody) Close() error {
	err := b.inner.Close()
	b.finish(false)
	return err
}

func (b *admittedBody) captureBytes(p []byte) {
	if b.overflow || b.captured.Len()+len(p) > maxRecordedBytes {
		b.overflow = true
		return
	}
	b.captured.Write(p)
}

func (b *admittedBody) finish(complete bool) {
	b.once.Do(func() { b.onEnd(complete) })
}

// closingBody calls a function when the body is closed.
type closingBody struct {
	io.ReadCloser
	close func()
}

// Close implements io.Closer.
func (b *closingBody) Close() error {
	err := b.ReadCloser.Close()
	b.close()
	return err
}

// withOnClose returns the answer with a body that calls f after it is closed.
func withOnClose(a *call.Answer, f func()) *call.Answer {
	body := &closingBody{ReadCloser: a.Body(), close: f}
	if a.Replayed() {
		return call.NewReplayedAnswer(a.Status(), a.Header(), body)
	}
	return call.NewAnswer(a.Status(), a.Header(), body)
}

// streamBody is an answer body that is received on a stream from the admitting node.
type streamBody struct {
	stream *peer.Stream
	unread []byte
	err    error
	onEnd  func(complete bool)
	once   sync.Once
}

// Read implements io.Reader. It returns an error other than io.EOF if the body is truncated.
func (b *streamBody) Read(p []byte) (int, error) {
	for len(b.unread) == 0 && b.err == nil {
		b.receive()
	}
	if len(b.unread) == 0 {
		b.finish(b.err == io.EOF)
		return 0, b.err
	}
	n := copy(p, b.unread)
	b.unread = b.unread[n:]
	return n, nil
}

// Close implements io.Closer. It resets the stream if the body was not read to its end.
func (b *streamBody) Close() error {
	b.finish(false)
	return b.stream.Close()
}

func (b *streamBody) receive() {
	chunk, end, err := b.stream.ReceiveChunk()
	switch {
	case err != nil:
		b.err = err
	case end:
		b.err = io.EOF
	default:
		b.unread = chunk
	}
}

func (b *streamBody) finish(complete bool) {
	b.once.Do(func() { b.onEnd(complete) })
}

// isContextError reports whether err is due to a cancelled context or an expired deadline.
func isContextError(err error) bool {
	return errors.Is(err, context.Canceled) || errors.Is(err, context.DeadlineExceeded)
}

func earlierOf(a, b time.Time) time.Time {
	if a.Before(b) {
		return a
	}
	return b
}
