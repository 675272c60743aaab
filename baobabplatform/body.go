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

// A singleUseBody is a request body that records whether the transport began to send it. It cannot be rewound,
// so net/http never sends the request a second time.
type singleUseBody struct {
	reader *bytes.Reader
	state  atomic.Int32
}

func newSingleUseBody(b []byte) *singleUseBody { return &singleUseBody{reader: bytes.NewReader(b)} }

// Read implements io.Reader. It fails once the body is withdrawn.
func (b *singleUseBody) Read(p []byte) (int, error) {
	if b.state.CompareAndSwap(bodyUnread, bodyRead) || b.state.Load() == bodyRead {
		return b.reader.Read(p)
	}
	return 0, errWithdrawn
}

// Close implements io.Closer.
func (b *singleUseBody) Close() error { return nil }

// withdraw prevents an unread body from being sent later, and reports whether it was still unread. The transport
// may return an error before its writing goroutine reads the body, so a check without this step could race.
func (b *singleUseBody) withdraw() bool {
	return b.state.CompareAndSwap(bodyUnread, bodyWithdrawn)
}

var _ io.ReadCloser = (*singleUseBody)(nil)
