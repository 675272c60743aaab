package baobabcaller

import (
	"errors"
	"io"

	call "github.com/baobabdale/baobabdale/baobabcall"
)

const (
	// answerPieceBytes is the size of the pieces in which an answer is buffered.
	answerPieceBytes = 32 << 10
	// answerMemoryShare is the share of the memory for bodies that buffered answers may use: one in this number.
	answerMemoryShare = 4
	// maxAnswerShare is the share of the memory for buffered answers that one of them may use: one in this number. So one
	// without end leaves room for others.
	maxAnswerShare = 4
	// defaultAnswerMemoryBytes is the memory for buffered answers without a limit on the memory for bodies.
	defaultAnswerMemoryBytes = 64 << 20
)

// errAnswerTooLarge means that an answer is too large to be buffered, or that others use the memory.
var errAnswerTooLarge = errors.New("answer is too large to be buffered")

// An answerBuffer holds an answer in pieces, for which it reserves memory.
type answerBuffer struct {
	memory   *call.BodyMemory
	limit    int64 // In bytes.
	reserved int64
	size     int64
	pieces   [][]byte
}

// newAnswerMemory returns the memory for buffered answers beside the memory for bodies.
func newAnswerMemory(bodies *call.BodyMemory) *call.BodyMemory {
	if bodies.Limit() <= 0 {
		return call.NewBodyMemory(defaultAnswerMemoryBytes)
	}
	return call.NewBodyMemory(bodies.Limit() / answerMemoryShare)
}

// readFrom reads the complete answer. It fails if the answer is truncated or larger than the limit, or if the memory is used
// up.
func (b *answerBuffer) readFrom(r io.Reader) error {
	var room []byte // Of the last piece.
	for {
		if len(room) == 0 {
			bytes := min(answerPieceBytes, b.limit-b.size+1) // One more than is allowed, to see the end.
			if !b.memory.Reserve(bytes) {
				return errAnswerTooLarge
			}
			b.reserved += bytes
			room = make([]byte, bytes)
			b.pieces = append(b.pieces, room[:0])
		}
		n, err := r.Read(room)
		last := &b.pieces[len(b.pieces)-1]
		*last = (*last)[:len(*last)+n]
		room = room[n:]
		if b.size += int64(n); b.size > b.limit {
			return errAnswerTooLarge
		}
		if err == io.EOF {
			return nil
		}
		if err != nil {
			return err
		}
	}
}

// release returns the memory.
func (b *answerBuffer) release() {
	b.memory.Release(b.reserved)
	b.pieces, b.reserved = nil, 0
}
