package baobabpeer

import (
	"encoding/binary"
	"errors"
	"io"
	"sync"
)

// frameType is the first byte of a frame.
type frameType byte

const (
	frameMessage frameType = 1
	frameChunk   frameType = 2
	frameEnd     frameType = 3
	frameReset   frameType = 4
)

const (
	frameHeaderBytes = 5
	// Larger buffers are not pooled, so that one large message does not stay in memory.
	maxPooledBytes = 64 << 10
)

var (
	errFrameType = errors.New("unknown frame type")
	errFrameSize = errors.New("frame exceeds the size limit")
)

// A frame is the unit of transmission on a stream. The payload of a message is a pooled buffer; the payload of a chunk
// is owned by the receiver.
type frame struct {
	kind    frameType
	payload []byte
	pooled  *[]byte // Nil when the payload is not pooled.
}

// release returns a pooled payload to the pool. The payload must not be used afterwards.
func (f *frame) release() {
	if f.pooled != nil {
		putBuffer(f.pooled)
		f.pooled, f.payload = nil, nil
	}
}

var buffers = sync.Pool{New: func() any { b := make([]byte, 0, 1024); return &b }}

func getBuffer() *[]byte { return buffers.Get().(*[]byte) }

func putBuffer(b *[]byte) {
	if cap(*b) > maxPooledBytes {
		return
	}
	*b = (*b)[:0]
	buffers.Put(b)
}

// putFrameHeader writes the header of a frame into the first 5 bytes of b.
func putFrameHeader(b []byte, kind frameType, size int) {
	b[0] = byte(kind)
	binary.BigEndian.PutUint32(b[1:frameHeaderBytes], uint32(size))
}

// appendFrameHeader appends the header of a frame.
func appendFrameHeader(b []byte, kind frameType, size int) []byte {
	return binary.BigEndian.AppendUint32(append(b, byte(kind)), uint32(size))
}

// readFrame reads one frame. It returns io.EOF only when the reader ends before the first byte,
// io.ErrUnexpectedEOF when it ends within the frame, and errFrameType or errFrameSize when the frame is invalid.
// The header is read into scratch, which has 5 bytes.
func readFrame(r io.Reader, scratch []byte, maxMessage, maxChunk int) (frame, error) {
	if _, err := io.ReadFull(r, scratch[:frameHeaderBytes]); err != nil {
		return frame{}, err
	}
	f := frame{kind: frameType(scratch[0])}
	size := int64(binary.BigEndian.Uint32(scratch[1:frameHeaderBytes]))
	limit := int64(0)
	switch f.kind {
	case frameMessage:
		limit = int64(maxMessage)
	case frameChunk:
		limit = int64(maxChunk)
	case frameEnd, frameReset:
	default:
		return frame{}, errFrameType
	}
	if size > limit {
		return frame{}, errFrameSize
	}
	if size == 0 {
		return f, nil
	}
	if err := f.readPayload(r, int(size)); err != nil {
		f.release()
		return frame{}, err
	}
	return f, nil
}

// readPayload reads and allocates in steps of at most maxPooledBytes, so that a frame that declares a larger size than
// it carries takes little memory.
func (f *frame) readPayload(r io.Reader, size int) error {
	if f.kind == frameMessage {
		f.pooled = getBuffer()
		f.payload = (*f.pooled)[:0]
	}
	for len(f.payload) < size {
		step := min(size-len(f.payload), maxPooledBytes)
		f.payload = grow(f.payload, step)
		start := len(f.payload)
		f.payload = f.payload[:start+step]
		if _, err := io.ReadFull(r, f.payload[start:]); err != nil {
			if err == io.EOF {
				err = io.ErrUnexpectedEOF
			}
			return err
		}
		if f.pooled != nil {
			*f.pooled = f.payload
		}
	}
	return nil
}

// grow returns b with capacity for n more bytes.
func grow(b []byte, n int) []byte {
	if cap(b)-len(b) >= n {
		return b
	}
	c := make([]byte, len(b), max(len(b)+n, 2*len(b)))
	copy(c, b)
	return c
}
