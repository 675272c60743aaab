package baobabpeer

import (
	"bytes"
	"errors"
	"io"
	"testing"

	"google.golang.org/protobuf/proto"

	wire "github.com/baobabdale/baobabdale/baobabwire"
)

// FuzzReadFrame guards against frames and messages that crash the reader, exceed their size limits, or change when
// they are encoded again.
func FuzzReadFrame(f *testing.F) {
	payload, err := proto.Marshal(message("text"))
	if err != nil {
		f.Fatal(err)
	}
	whole := append([]byte{1, 0, 0, 0, byte(len(payload))}, payload...)
	for _, b := range [][]byte{
		nil, whole, whole[:7], {2, 0, 0, 0, 1, 'x'}, {3, 0, 0, 0, 0}, {4, 0, 0, 0, 0}, {3, 0, 0, 0, 1, 'x'},
		{5, 0, 0, 0, 0}, {1, 0xff, 0xff, 0xff, 0xff}, {2, 0, 0, 4, 1},
	} {
		f.Add(b)
	}
	const maxMessage, maxChunk = 1 << 20, 1 << 10
	f.Fuzz(func(t *testing.T, b []byte) {
		var scratch [frameHeaderBytes]byte
		got, err := readFrame(bytes.NewReader(b), scratch[:], maxMessage, maxChunk)
		if err != nil {
			known := errors.Is(err, io.EOF) || errors.Is(err, io.ErrUnexpectedEOF) ||
				errors.Is(err, errFrameSize) || errors.Is(err, errFrameType)
			if !known {
				t.Errorf("readFrame(%x) = %v", b, err)
			}
			return
		}
		defer got.release()
		if len(got.payload) > maxMessage || got.kind == frameChunk && len(got.payload) > maxChunk {
			t.Errorf("readFrame returned %d bytes", len(got.payload))
		}
		again := make([]byte, frameHeaderBytes)
		putFrameHeader(again, got.kind, len(got.payload))
		if again = append(again, got.payload...); !bytes.HasPrefix(b, again) {
			t.Errorf("frame %x is written as %x", b, again)
		}
		_ = proto.Unmarshal(got.payload, &wire.Envelope{})
	})
}

// TestReadFrameLargeAnnouncement guards against allocating the declared size of a frame whose payload never arrives.
func TestReadFrameLargeAnnouncement(t *testing.T) {
	b := []byte{1, 0x7f, 0xff, 0xff, 0xff, 'x'}
	var scratch [frameHeaderBytes]byte
	allocated := testing.Benchmark(func(p *testing.B) {
		for p.Loop() {
			if _, err := readFrame(bytes.NewReader(b), scratch[:], 1<<31-1, 0); err != io.ErrUnexpectedEOF {
				t.Fatalf("readFrame() = %v, want unexpected EOF", err)
			}
		}
	}).AllocedBytesPerOp()
	if allocated > 4*maxPooledBytes {
		t.Errorf("readFrame allocated %d bytes for 1 received byte", allocated)
	}
}
