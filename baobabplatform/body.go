package baobabplatform

import (
	"bytes"
	"io"
	"sync/atomic"

	"github.com/pkg/errors"
)

const (
	bodyUnread int32 = iota
	bodyRead
	bodyWithdrawn
)

var errWithdrawn = errors.New("request was withdrawn before it was sent")

// A singleUseBody is a request body that records whether the transport began to send it, and how much is left. It cannot be
// rewound, so net/http never sends the request a second time.
type singleUseBody struct {
	reader *bytes.Reader
	state  atomic.Int32
	unread atomic.Int64 // In bytes.
}

func newSingleUseBody(data []byte) *singleUseBody {
	b := &singleUseBody{reader: bytes.NewReader(data)}
	b.unread.Store(int64(len(data)))
	return b
}

// Read implements io.Reader. It fails once the body is withdrawn.
func (b *singleUseBody) Read(p []byte) (int, error) {
	if b.state.CompareAndSwap(bodyUnread, bodyRead) || b.state.Load() == bodyRead {
		n, err := b.reader.Read(p)
		b.unread.Add(-int64(n))
		return n, err
	}
	return 0, errWithdrawn
}

// readWhole reports whether the transport has read the whole body. As long as it has not, the platform does not have it.
func (b *singleUseBody) readWhole() bool { return b.unread.Load() == 0 }

// Close implements io.Closer.
func (b *singleUseBody) Close() error { return nil }

// withdraw prevents an unread body from being sent later, and reports whether it was still unread. The transport
// may return an error before its writing goroutine reads the body, so a check without this step could race.
func (b *singleUseBody) withdraw() bool {
	return b.state.CompareAndSwap(bodyUnread, bodyWithdrawn)
}

var _ io.ReadCloser = (*singleUseBody)(nil)
