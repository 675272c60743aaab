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
	// Received frames queued for the reader, per stream. Beyond it yamux's flow control blocks the sender.
	maxQueuedBytes = 256 << 10
	// Largest single write to yamux, which keeps a buffer of the size of the largest write for each link.
	maxWriteBytes = 32 << 10
	// How long a reset frame waits for window space. The peer also notices that the stream is closed afterwards.
	resetTimeout = 50 * time.Millisecond
)

var (
	errIncomplete   = errors.New("not sent completely")
	errReset        = errors.New("stream reset by peer")
	errFrameOrder   = errors.New("frame out of order")
	expiredDeadline = time.Unix(1, 0)
)

// A Stream carries messages and one body in each direction. One goroutine may send while another receives; Close and
// Reset may be called at any time.
//
// The opening side detects a reset when it receives. The accepting side reads ahead, and a reset cancels the handler's
// context; up to 256 KiB of received frames are queued for the handler, and a reset behind more than that is detected
// only once the handler has read them.
type Stream struct {
	link         *link
	yamux        *yamux.Stream
	outbound     bool               // Opened by this side.
	cancel       context.CancelFunc // Cancels the handler's context; nil on the opening side.
	stopWatching func() bool        // Unregisters the reset on the end of Open's context; nil on the accepting side.
	class        atomic.Int32       // A streamClass, set by the first message.
	finishOnce   sync.Once
	scratch      [frameHeaderBytes]byte // Used by the reading goroutine.

	sendMu     sync.Mutex
	sendClosed bool // A frame was written in part or a reset was sent; no frame may follow.

	mu           sync.Mutex
	changed      sync.Cond
	queue        []frame
	queuedBytes  int  // Bytes in queue.
	readingAhead bool // The read-ahead goroutine is running.
	discarding   bool // Received frames are discarded.
	endReceived  bool // The end frame was received.
	endReason    error
}

func newStream(l *link, y *yamux.Stream, outbound bool) *Stream {
	s := &Stream{link: l, yamux: y, outbound: outbound}
	s.changed.L = &s.mu
	l.addStream(s)
	return s
}

// expire unblocks the reader and the writer of the stream for good, because its link has ended. Received frames can
// still be read.
func (s *Stream) expire() {
	_ = s.yamux.SetReadDeadline(expiredDeadline)
	_ = s.yamux.SetWriteDeadline(expiredDeadline)
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
	return s.writeFrames(b)
}

// SendWithBody sends a message, a body and its end. A body that fits into one chunk is sent in one write, because each
// write costs two goroutine switches on this side and one at the peer.
func (s *Stream) SendWithBody(m *wire.Envelope, body []byte) error {
	buffer := getBuffer()
	defer putBuffer(buffer)
	b, err := s.appendMessage(*buffer, m)
	if err != nil {
		return err
	}
	*buffer = b
	if len(body) > s.link.transport.options.maxChunkBytes {
		if err := s.writeFrames(b); err != nil {
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
	return s.writeFrames(b)
}

// appendMessage appends a message frame to b.
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
	if size > s.link.transport.options.maxMessageBytes {
		return nil, newError("send", KindOversize, errFrameSize)
	}
	putFrameHeader(b[start:], frameMessage, size)
	return b, nil
}

// SendChunk sends a part of the body. It splits a part that exceeds the maximum chunk size, and does not retain b.
func (s *Stream) SendChunk(b []byte) error {
	buffer := getBuffer()
	defer putBuffer(buffer)
	limit := s.link.transport.options.maxChunkBytes
	for len(b) > 0 {
		n := min(len(b), limit)
		f := append(appendFrameHeader((*buffer)[:0], frameChunk, n), b[:n]...)
		*buffer = f
		if err := s.writeFrames(f); err != nil {
			return err
		}
		b = b[n:]
	}
	return nil
}

// SendEnd ends the body. Without it the receiver reports the body as truncated.
func (s *Stream) SendEnd() error { return s.sendEmptyFrame(frameEnd) }

func (s *Stream) sendEmptyFrame(kind frameType) error {
	var b [frameHeaderBytes]byte
	putFrameHeader(b[:], kind, 0)
	return s.writeFrames(b[:])
}

// writeFrames writes b, which consists of complete frames.
func (s *Stream) writeFrames(b []byte) error {
	s.sendMu.Lock()
	defer s.sendMu.Unlock()
	if s.sendClosed {
		return fmt.Errorf("%w: %w", errIncomplete, s.sendError(yamux.ErrStreamClosed))
	}
	written := 0
	for written < len(b) {
		n, err := s.yamux.Write(b[written:min(len(b), written+maxWriteBytes)])
		written += n
		if err != nil {
			s.sendClosed = true
			if endedBeforeWrite(err) {
				return fmt.Errorf("%w: %w", errIncomplete, s.sendError(err))
			}
			return s.sendError(err)
		}
	}
	s.link.bytes.streamOut[s.class.Load()].Add(len(b))
	return nil
}

// endedBeforeWrite reports whether a write failed before its bytes were queued for the link. After other errors they may
// still be sent.
func endedBeforeWrite(err error) bool {
	return errors.Is(err, yamux.ErrTimeout) || errors.Is(err, yamux.ErrStreamClosed) || errors.Is(err, yamux.ErrConnectionReset)
}

// Incomplete reports whether an error of a send means that the peer certainly did not get the end of what was sent.
func Incomplete(err error) bool { return errors.Is(err, errIncomplete) }

// sendError returns the reason why the stream ended, if there is one, rather than the error of the write.
func (s *Stream) sendError(err error) error {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.endReason != nil && !errors.Is(s.endReason, io.EOF) {
		return s.endReason
	}
	return newError("send", KindTruncated, fmt.Errorf("%w: %w", io.ErrUnexpectedEOF, err))
}

// Receive returns the next message. It returns io.EOF after the end of the body, and an error that wraps
// io.ErrUnexpectedEOF when the stream ends without an end frame.
func (s *Stream) Receive() (*wire.Envelope, error) {
	f, err := s.nextFrame()
	if err != nil {
		return nil, err
	}
	defer f.release()
	if f.kind != frameMessage {
		return nil, s.resetOutOfOrder()
	}
	m := &wire.Envelope{}
	if err := proto.Unmarshal(f.payload, m); err != nil {
		return nil, s.abortLink(err, refusedMalformed)
	}
	if m.GetCall() != nil || m.GetCallAnswer() != nil {
		s.class.Store(int32(classCall))
	}
	s.countReceived(f)
	return m, nil
}

// ReceiveChunk returns the next part of the body, which the caller owns, or true at the end of the body. It returns an
// error that wraps io.ErrUnexpectedEOF when the stream ends without an end frame.
func (s *Stream) ReceiveChunk() ([]byte, bool, error) {
	f, err := s.nextFrame()
	if err == io.EOF {
		return nil, true, nil
	}
	if err != nil {
		return nil, false, err
	}
	defer f.release()
	if f.kind == frameMessage {
		return nil, false, s.resetOutOfOrder()
	}
	s.countReceived(f)
	return f.payload, f.kind == frameEnd, nil
}

func (s *Stream) countReceived(f frame) {
	s.link.bytes.streamIn[s.class.Load()].Add(frameHeaderBytes + len(f.payload))
}

// resetOutOfOrder resets the stream after a frame of the wrong type.
func (s *Stream) resetOutOfOrder() error {
	s.link.transport.counters.countRefused(refusedMalformed)
	err := newError("receive", KindMalformed, errFrameOrder)
	s.reset(err)
	return err
}

// nextFrame returns the next message, chunk or end frame. It takes it from the queue while a goroutine reads ahead.
func (s *Stream) nextFrame() (frame, error) {
	s.mu.Lock()
	if !s.readingAhead {
		if err := s.receiveError(); err != nil {
			s.mu.Unlock()
			return frame{}, err
		}
		s.mu.Unlock()
		return s.receiveFrame()
	}
	defer s.mu.Unlock()
	for len(s.queue) == 0 && s.endReason == nil {
		s.changed.Wait()
	}
	if len(s.queue) == 0 || s.endReason != nil && !errors.Is(s.endReason, io.EOF) {
		return frame{}, s.receiveError()
	}
	f := s.queue[0]
	s.queue = s.queue[1:]
	s.queuedBytes -= len(f.payload)
	s.changed.Broadcast()
	return f, nil
}

// receiveError returns the error that the reader gets after all received frames, or nil while the stream is open. mu
// must be held.
func (s *Stream) receiveError() error {
	if s.endReason == nil || !errors.Is(s.endReason, io.EOF) {
		return s.endReason
	}
	if s.endReceived {
		return io.EOF
	}
	return newError("receive", KindTruncated, io.ErrUnexpectedEOF)
}

// receiveFrame reads one frame from yamux. When there is none, it records why the stream ended.
func (s *Stream) receiveFrame() (frame, error) {
	o := &s.link.transport.options
	f, err := readFrame(s.yamux, s.scratch[:], o.maxMessageBytes, o.maxChunkBytes)
	switch {
	case errors.Is(err, errFrameSize):
		return frame{}, s.abortLink(err, refusedOversize)
	case errors.Is(err, errFrameType):
		return frame{}, s.abortLink(err, refusedMalformed)
	case err == io.EOF:
		return frame{}, s.endInbound(io.EOF)
	case err != nil:
		return frame{}, s.endInbound(newError("receive", KindTruncated, fmt.Errorf("%w: %w", io.ErrUnexpectedEOF, err)))
	case f.kind == frameReset:
		return frame{}, s.endInbound(newError("receive", KindReset, errReset))
	}
	if f.kind == frameEnd {
		s.mu.Lock()
		s.endReceived = true
		s.mu.Unlock()
	}
	return f, nil
}

// endInbound records the reason for the end of the inbound direction unless one is recorded, cancels the handler's
// context and unblocks a blocked writer. It returns the error for the reader.
func (s *Stream) endInbound(reason error) error {
	s.mu.Lock()
	if s.endReason == nil {
		s.endReason = reason
	}
	err := s.receiveError()
	s.changed.Broadcast()
	s.mu.Unlock()
	if s.cancel != nil {
		s.cancel()
	}
	_ = s.yamux.SetWriteDeadline(expiredDeadline)
	return err
}

// abortLink closes the whole link after a protocol violation.
func (s *Stream) abortLink(cause error, reason string) error {
	kind := KindMalformed
	if reason == refusedOversize {
		kind = KindOversize
	}
	s.link.transport.counters.countRefused(reason)
	err := s.endInbound(newError("receive", kind, cause))
	s.link.close()
	return err
}

// startReadAhead starts a goroutine that reads ahead on the accepting side, so that a reset is detected while the
// handler is busy. It reports whether the transport is still open.
func (s *Stream) startReadAhead() bool {
	s.readingAhead = true
	if !s.link.transport.spawn(s.readAhead) {
		s.link.removeStream(s)
		return false
	}
	return true
}

// readAhead reads until the peer closes the stream, so that the peer's writer does not stay blocked.
func (s *Stream) readAhead() {
	defer s.link.removeStream(s)
	for {
		f, err := s.receiveFrame()
		if err != nil {
			return
		}
		s.enqueue(f)
	}
}

// enqueue queues a frame for the reader, and waits while more than maxQueuedBytes are queued.
func (s *Stream) enqueue(f frame) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for s.queuedBytes > maxQueuedBytes && !s.discarding && s.endReason == nil {
		s.changed.Wait()
	}
	if s.discarding || s.endReason != nil {
		f.release()
		return
	}
	s.queue = append(s.queue, f)
	s.queuedBytes += len(f.payload)
	s.changed.Broadcast()
}

// Close ends the stream. On the opening side it resets the stream unless the peer's body has been received completely;
// on the accepting side it discards the rest of the peer's body.
func (s *Stream) Close() error {
	if !s.outbound {
		s.discardInbound()
		return s.yamux.Close()
	}
	s.mu.Lock()
	complete := s.endReceived || s.endReason != nil
	s.mu.Unlock()
	if !complete {
		s.reset(newError("close", KindCancelled, context.Canceled))
		return nil
	}
	return s.closeOutbound()
}

// closeOutbound closes a stream of the opening side without a reset frame.
func (s *Stream) closeOutbound() error {
	err := s.yamux.Close()
	s.finish()
	return err
}

// Reset aborts the stream in both directions. The context of the peer's handler is cancelled.
func (s *Stream) Reset() { s.reset(newError("reset", KindCancelled, context.Canceled)) }

func (s *Stream) reset(reason error) {
	_ = s.endInbound(reason)
	if s.outbound {
		_ = s.yamux.SetReadDeadline(expiredDeadline)
	}
	s.sendMu.Lock()
	if !s.sendClosed {
		s.sendClosed = true
		var b [frameHeaderBytes]byte
		putFrameHeader(b[:], frameReset, 0)
		_ = s.yamux.SetWriteDeadline(time.Now().Add(resetTimeout))
		_, _ = s.yamux.Write(b[:])
	}
	s.sendMu.Unlock()
	s.discardInbound()
	_ = s.yamux.Close()
	if s.outbound {
		s.finish()
	}
}

// discardInbound discards the queued frames and those that are received later.
func (s *Stream) discardInbound() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.discarding = true
	for i := range s.queue {
		s.queue[i].release()
	}
	s.queue, s.queuedBytes = nil, 0
	s.changed.Broadcast()
}

// finish releases the stream once: on the opening side after Close or Reset, on the accepting side after the handler
// has returned.
func (s *Stream) finish() {
	s.finishOnce.Do(func() {
		if s.stopWatching != nil {
			s.stopWatching()
		}
		if s.outbound {
			s.link.removeStream(s)
		} else {
			_ = s.Close()
		}
		s.link.releaseStream()
	})
}
