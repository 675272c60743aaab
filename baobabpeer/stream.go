package baobabpeer

import (
	"context"
	"errors"
	"fmt"
	"io"
	"sync"
	"sync/atomic"
	"time"

	"github.com/hashicorp/yamux"
	"google.golang.org/protobuf/proto"

	wire "github.com/baobabdale/baobabdale/baobabwire"
)

const (
	// Received frames that wait for the reader, per stream. Beyond it the sender is held back by yamux's window.
	maxQueuedBytes = 256 << 10
	// Bounds a single write to yamux, which keeps a buffer of the largest write per link.
	maxWriteBytes = 32 << 10
	// Bounds the wait for window space for a reset frame; closing the stream tells the other side as well.
	resetTimeout = 50 * time.Millisecond
)

var (
	errReset      = errors.New("reset by the other side")
	errFrameOrder = errors.New("frame out of order")
	past          = time.Unix(1, 0)
)

// A Stream carries messages and one body in each direction. One goroutine may send while another receives; Close
// and Reset may be called at any time.
//
// The opening side notices a reset when it receives. The accepting side reads ahead and ends the handler's context;
// up to 256 KiB of received frames wait for the handler, and a reset that follows more than that is noticed when
// they are read.
type Stream struct {
	link    *link
	yamux   *yamux.Stream
	dialled bool               // Opened by this side.
	cancel  context.CancelFunc // Ends the handler's context; nil on the opening side.
	unwatch func() bool        // Stops watching the opener's context; nil on the accepting side.
	class   atomic.Int32       // A streamClass, set by the first message.
	done    sync.Once
	scratch [frameHeaderBytes]byte // Used by the reading goroutine.

	sendMu sync.Mutex
	broken bool // A frame was written in part; no other may follow.

	mu         sync.Mutex
	changed    sync.Cond
	queue      []frame
	queued     int  // Bytes in queue.
	pumping    bool // A goroutine reads ahead.
	discarding bool // Received frames are dropped.
	ended      bool // The end frame was received.
	failed     error
}

func newStream(l *link, y *yamux.Stream, dialled bool) *Stream {
	s := &Stream{link: l, yamux: y, dialled: dialled}
	s.changed.L = &s.mu
	return s
}

// Address returns the dialled address or, on the accepting side, the remote address.
func (s *Stream) Address() string { return s.link.address }

// Send sends a message.
func (s *Stream) Send(m *wire.Envelope) error {
	buffer := getBuffer()
	defer putBuffer(buffer)
	b, err := s.appendMessage(*buffer, m)
	if err != nil {
		return err
	}
	*buffer = b
	return s.write(b)
}

// SendWhole sends a message, a body and its end. A body within the bound of a chunk goes out in one write, because
// each write costs two changes of goroutines on this side and one on the other.
func (s *Stream) SendWhole(m *wire.Envelope, body []byte) error {
	buffer := getBuffer()
	defer putBuffer(buffer)
	b, err := s.appendMessage(*buffer, m)
	if err != nil {
		return err
	}
	*buffer = b
	if len(body) > s.link.transport.options.maxChunk {
		if err := s.write(b); err != nil {
			return err
		}
		if err := s.SendChunk(body); err != nil {
			return err
		}
		return s.SendEnd()
	}
	if len(body) > 0 {
		b = append(appendFrameHeader(b, frameChunk, len(body)), body...)
	}
	b = appendFrameHeader(b, frameEnd, 0)
	*buffer = b
	return s.write(b)
}

// appendMessage appends the frame of a message.
func (s *Stream) appendMessage(b []byte, m *wire.Envelope) ([]byte, error) {
	if m.GetCall() != nil || m.GetCallAnswer() != nil {
		s.class.Store(int32(classCall))
	}
	start := len(b)
	b = appendFrameHeader(b, frameMessage, 0)
	b, err := proto.MarshalOptions{}.MarshalAppend(b, m)
	if err != nil {
		return nil, newError("send", KindMalformed, err)
	}
	size := len(b) - start - frameHeaderBytes
	if size > s.link.transport.options.maxMessage {
		return nil, newError("send", KindOversize, errFrameSize)
	}
	putFrameHeader(b[start:], frameMessage, size)
	return b, nil
}

// SendChunk sends a part of the body. It splits parts that exceed the bound of a chunk, and keeps no reference.
func (s *Stream) SendChunk(b []byte) error {
	buffer := getBuffer()
	defer putBuffer(buffer)
	limit := s.link.transport.options.maxChunk
	for len(b) > 0 {
		n := min(len(b), limit)
		f := append(appendFrameHeader((*buffer)[:0], frameChunk, n), b[:n]...)
		*buffer = f
		if err := s.write(f); err != nil {
			return err
		}
		b = b[n:]
	}
	return nil
}

// SendEnd ends the body. A body without it is truncated for the receiver.
func (s *Stream) SendEnd() error { return s.sendEmpty(frameEnd) }

func (s *Stream) sendEmpty(kind frameType) error {
	var b [frameHeaderBytes]byte
	putFrameHeader(b[:], kind, 0)
	return s.write(b[:])
}

// write writes whole frames.
func (s *Stream) write(b []byte) error {
	s.sendMu.Lock()
	defer s.sendMu.Unlock()
	if s.broken {
		return s.sendError(yamux.ErrStreamClosed)
	}
	written := 0
	for written < len(b) {
		n, err := s.yamux.Write(b[written:min(len(b), written+maxWriteBytes)])
		written += n
		if err != nil {
			s.broken = true
			return s.sendError(err)
		}
	}
	s.link.bytes.streamOut[s.class.Load()].Add(len(b))
	return nil
}

// sendError prefers the reason why the stream failed over the error of the write.
func (s *Stream) sendError(err error) error {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.failed != nil && !errors.Is(s.failed, io.EOF) {
		return s.failed
	}
	return newError("send", KindTruncated, fmt.Errorf("%w: %w", io.ErrUnexpectedEOF, err))
}

// Receive returns the next message. It returns io.EOF after the end of the body, and an error that wraps
// io.ErrUnexpectedEOF when the stream ends without it.
func (s *Stream) Receive() (*wire.Envelope, error) {
	f, err := s.next()
	if err != nil {
		return nil, err
	}
	defer f.release()
	if f.kind != frameMessage {
		return nil, s.outOfOrder()
	}
	m := &wire.Envelope{}
	if err := proto.Unmarshal(f.payload, m); err != nil {
		return nil, s.fail(err, refusedMalformed)
	}
	if m.GetCall() != nil || m.GetCallAnswer() != nil {
		s.class.Store(int32(classCall))
	}
	s.countIn(f)
	return m, nil
}

// ReceiveChunk returns the next part of the body, which the caller owns, or true at the end of the body. It returns
// an error that wraps io.ErrUnexpectedEOF when the stream ends without the end frame.
func (s *Stream) ReceiveChunk() ([]byte, bool, error) {
	f, err := s.next()
	if err == io.EOF {
		return nil, true, nil
	}
	if err != nil {
		return nil, false, err
	}
	defer f.release()
	if f.kind == frameMessage {
		return nil, false, s.outOfOrder()
	}
	s.countIn(f)
	return f.payload, f.kind == frameEnd, nil
}

func (s *Stream) countIn(f frame) {
	s.link.bytes.streamIn[s.class.Load()].Add(frameHeaderBytes + len(f.payload))
}

func (s *Stream) outOfOrder() error {
	s.link.transport.counters.refused(refusedMalformed)
	err := newError("receive", KindMalformed, errFrameOrder)
	s.reset(err)
	return err
}

// next returns the next frame that is not a reset.
func (s *Stream) next() (frame, error) {
	s.mu.Lock()
	if !s.pumping {
		if err := s.inboundError(); err != nil {
			s.mu.Unlock()
			return frame{}, err
		}
		s.mu.Unlock()
		return s.read()
	}
	defer s.mu.Unlock()
	for len(s.queue) == 0 && s.failed == nil {
		s.changed.Wait()
	}
	if len(s.queue) == 0 || s.failed != nil && !errors.Is(s.failed, io.EOF) {
		return frame{}, s.inboundError()
	}
	f := s.queue[0]
	s.queue = s.queue[1:]
	s.queued -= len(f.payload)
	s.changed.Broadcast()
	return f, nil
}

// inboundError returns the error of a reader that has taken all frames. The caller holds mu.
func (s *Stream) inboundError() error {
	if s.failed == nil || !errors.Is(s.failed, io.EOF) {
		return s.failed
	}
	if s.ended {
		return io.EOF
	}
	return newError("receive", KindTruncated, io.ErrUnexpectedEOF)
}

// read reads one frame from yamux and records how the stream ends.
func (s *Stream) read() (frame, error) {
	o := &s.link.transport.options
	f, err := readFrame(s.yamux, s.scratch[:], o.maxMessage, o.maxChunk)
	switch {
	case errors.Is(err, errFrameSize):
		return frame{}, s.fail(err, refusedOversize)
	case errors.Is(err, errFrameType):
		return frame{}, s.fail(err, refusedMalformed)
	case err == io.EOF:
		return frame{}, s.end(io.EOF)
	case err != nil:
		return frame{}, s.end(newError("receive", KindTruncated, fmt.Errorf("%w: %w", io.ErrUnexpectedEOF, err)))
	case f.kind == frameReset:
		return frame{}, s.end(newError("receive", KindReset, errReset))
	}
	if f.kind == frameEnd {
		s.mu.Lock()
		s.ended = true
		s.mu.Unlock()
	}
	return f, nil
}

// end records the reason for the end of the inbound direction unless there is one, ends the handler's context and
// stops a blocked writer. It returns the error for the reader.
func (s *Stream) end(reason error) error {
	s.mu.Lock()
	if s.failed == nil {
		s.failed = reason
	}
	err := s.inboundError()
	s.changed.Broadcast()
	s.mu.Unlock()
	if s.cancel != nil {
		s.cancel()
	}
	_ = s.yamux.SetWriteDeadline(past)
	return err
}

// fail closes the link after a violation of the protocol.
func (s *Stream) fail(cause error, reason string) error {
	kind := KindMalformed
	if reason == refusedOversize {
		kind = KindOversize
	}
	s.link.transport.counters.refused(reason)
	err := s.end(newError("receive", kind, cause))
	s.link.close()
	return err
}

// startPump starts to read ahead on the accepting side, so that a reset is noticed while the handler does something
// else. It reports whether the transport is still open.
func (s *Stream) startPump() bool {
	s.pumping = true
	return s.link.transport.spawn(s.pump)
}

// pump reads until the other side closes the stream, so that its writer is not left blocked.
func (s *Stream) pump() {
	for {
		f, err := s.read()
		if err != nil {
			return
		}
		s.push(f)
	}
}

// push hands a frame to the reader, and waits while too much is queued.
func (s *Stream) push(f frame) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for s.queued > maxQueuedBytes && !s.discarding && s.failed == nil {
		s.changed.Wait()
	}
	if s.discarding || s.failed != nil {
		f.release()
		return
	}
	s.queue = append(s.queue, f)
	s.queued += len(f.payload)
	s.changed.Broadcast()
}

// Close ends the stream. On the opening side it resets the stream unless all of the other side's body has been
// received; on the accepting side the rest of the other side's body is discarded.
func (s *Stream) Close() error {
	if !s.dialled {
		s.discard()
		return s.yamux.Close()
	}
	s.mu.Lock()
	complete := s.ended || s.failed != nil
	s.mu.Unlock()
	if !complete {
		s.reset(newError("close", KindCancelled, context.Canceled))
		return nil
	}
	return s.closeDialled()
}

// closeDialled ends a stream of the opening side without a reset frame.
func (s *Stream) closeDialled() error {
	err := s.yamux.Close()
	s.finish()
	return err
}

// Reset aborts the stream in both directions. The handler on the other side sees its context end.
func (s *Stream) Reset() { s.reset(newError("reset", KindCancelled, context.Canceled)) }

func (s *Stream) reset(reason error) {
	_ = s.end(reason)
	if s.dialled {
		_ = s.yamux.SetReadDeadline(past)
	}
	s.sendMu.Lock()
	if !s.broken {
		s.broken = true
		var b [frameHeaderBytes]byte
		putFrameHeader(b[:], frameReset, 0)
		_ = s.yamux.SetWriteDeadline(time.Now().Add(resetTimeout))
		_, _ = s.yamux.Write(b[:])
	}
	s.sendMu.Unlock()
	s.discard()
	_ = s.yamux.Close()
	if s.dialled {
		s.finish()
	}
}

// discard drops the received frames and lets the pump drop those that follow.
func (s *Stream) discard() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.discarding = true
	for i := range s.queue {
		s.queue[i].release()
	}
	s.queue, s.queued = nil, 0
	s.changed.Broadcast()
}

// finish ends the use of the stream once: on the opening side after Close or Reset, on the accepting side after the
// handler.
func (s *Stream) finish() {
	s.done.Do(func() {
		if s.unwatch != nil {
			s.unwatch()
		}
		if !s.dialled {
			_ = s.Close()
		}
		s.link.release()
	})
}
