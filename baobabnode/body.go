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

// maxKeptBytes bounds the answer that is kept for the record of a claim, which is limited to as much.
const maxKeptBytes = 16 << 10

// admittedBody passes the body of an upstream's answer on and reports once how it ended.
type admittedBody struct {
	inner io.ReadCloser
	done  func(complete bool) // Called once, at the end of the body or when it is closed early.
	once  sync.Once

	keep     bool         // Whether the body is kept for the record of the claim.
	kept     bytes.Buffer // The first bytes, at most maxKeptBytes.
	overflow bool         // Whether the body is longer than what was kept.
}

// Read implements io.Reader.
func (b *admittedBody) Read(p []byte) (int, error) {
	n, err := b.inner.Read(p)
	if b.keep && n > 0 {
		b.record(p[:n])
	}
	if err != nil {
		b.end(err == io.EOF)
	}
	return n, err
}

// Close implements io.Closer.
func (b *admittedBody) Close() error {
	err := b.inner.Close()
	b.end(false)
	return err
}

func (b *admittedBody) record(p []byte) {
	if b.overflow || b.kept.Len()+len(p) > maxKeptBytes {
		b.overflow = true
		return
	}
	b.kept.Write(p)
}

func (b *admittedBody) end(complete bool) {
	b.once.Do(func() { b.done(complete) })
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

// withClose returns the answer with a body that calls f when it is closed.
func withClose(a *call.Answer, f func()) *call.Answer {
	body := &closingBody{ReadCloser: a.Body(), close: f}
	if a.Replayed() {
		return call.NewReplayedAnswer(a.Status(), a.Header(), body)
	}
	return call.NewAnswer(a.Status(), a.Header(), body)
}

// streamBody is the body of an answer that arrives on a stream from the admitting node.
type streamBody struct {
	stream *peer.Stream
	rest   []byte
	err    error
	done   func(complete bool)
	once   sync.Once
}

// Read implements io.Reader. It returns an error other than io.EOF when the body is truncated.
func (b *streamBody) Read(p []byte) (int, error) {
	for len(b.rest) == 0 && b.err == nil {
		b.receive()
	}
	if len(b.rest) == 0 {
		b.end(b.err == io.EOF)
		return 0, b.err
	}
	n := copy(p, b.rest)
	b.rest = b.rest[n:]
	return n, nil
}

// Close implements io.Closer. It resets the stream when the body was not read to its end.
func (b *streamBody) Close() error {
	b.end(false)
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
		b.rest = chunk
	}
}

func (b *streamBody) end(complete bool) {
	b.once.Do(func() { b.done(complete) })
}

// ended reports whether an error only says that the caller or the deadline ended the call.
func ended(err error) bool {
	return errors.Is(err, context.Canceled) || errors.Is(err, context.DeadlineExceeded)
}

// earlier returns the earlier of two times.
func earlier(a, b time.Time) time.Time {
	if a.Before(b) {
		return a
	}
	return b
}
