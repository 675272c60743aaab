package baobabcaller

import (
	"bytes"
	"io"
	"strings"
	"testing"
	"testing/iotest"

	call "github.com/baobabdale/baobabdale/baobabcall"
)

// TestAnswerBuffer guards against a truncated answer that counts as complete, against an answer without end that takes more
// than its share of the memory, and against memory that is not returned.
func TestAnswerBuffer(t *testing.T) {
	const memory = 4 * answerMemoryShare * answerPieceBytes
	long := strings.Repeat("abcdefg", answerPieceBytes/4) // Longer than a piece.
	for _, c := range []struct {
		name  string
		body  io.Reader
		limit int64
		want  string // Empty: it fails.
	}{
		{"several pieces", strings.NewReader(long), 1 << 20, long},
		{"byte by byte", iotest.OneByteReader(strings.NewReader("slow")), 1 << 20, "slow"},
		{"end with the last bytes", iotest.DataErrReader(strings.NewReader("end")), 1 << 20, "end"},
		{"as long as the limit", strings.NewReader("limit"), 5, "limit"},
		{"longer than the limit", strings.NewReader("limits"), 5, ""},
		{"truncated", io.MultiReader(strings.NewReader("cut"), iotest.ErrReader(io.ErrUnexpectedEOF)), 1 << 20, ""},
		{"truncated at the end of a piece", io.MultiReader(strings.NewReader(long[:answerPieceBytes]), iotest.ErrReader(io.ErrUnexpectedEOF)), 1 << 20, ""},
		{"without end", zeros{}, 1 << 40, ""},
	} {
		t.Run(c.name, func(t *testing.T) {
			m := newAnswerMemory(call.NewBodyMemory(memory))
			b := &answerBuffer{memory: m, limit: c.limit}
			err := b.readFrom(c.body)
			if got := bytes.Join(b.pieces, nil); (err == nil) != (c.want != "") || c.want != "" && string(got) != c.want {
				t.Errorf("readFrom = %v after %d bytes, want %d", err, len(got), len(c.want))
			}
			if m.Reserved() > memory/answerMemoryShare {
				t.Errorf("%d bytes reserved", m.Reserved())
			}
			b.release()
			if m.Reserved() != 0 {
				t.Errorf("%d bytes are still reserved", m.Reserved())
			}
		})
	}
}

// zeros yields zero bytes without end.
type zeros struct{}

func (zeros) Read(p []byte) (int, error) { return len(p), nil }
