package baobabpeer

import (
	"context"
	"errors"
	"testing"

	wire "github.com/baobabdale/baobabdale/baobabwire"
)

// TestHandlerPanic guards against one message that takes down the process: only its stream ends, others on the link go on.
func TestHandlerPanic(t *testing.T) {
	s, address := startServer(t, sharedKey(t, testKey), func(ctx context.Context, s *Stream) {
		m, err := s.Receive()
		if err != nil {
			return
		}
		_ = m.GetCall().GetHeader()[0].GetName() // Panics for a call without a header field.
		_ = s.SendWithBody(m, nil)
		<-ctx.Done()
	}, WithPanicHandler(func(string, any, []byte) {}))
	c := newClient(t, sharedKey(t, testKey))
	good := &wire.Envelope{Body: &wire.Envelope_Call{Call: &wire.Call{Header: []*wire.HeaderField{{Name: "A"}}}}}
	for range 3 {
		if _, err := c.Request(t.Context(), address, &wire.Envelope{}); !errors.Is(err, errReset) {
			t.Errorf("Request() of a message that panics = %v, want a reset stream", err)
		}
		if _, err := c.Request(t.Context(), address, good); err != nil {
			t.Errorf("Request() behind it on the link = %v", err)
		}
	}
	if n := s.counters.refusedCounter(refusedPanic).Get(); n != 3 {
		t.Errorf("%d panics counted, want 3", n)
	}
	if dialled, _ := c.Links(); dialled != 1 {
		t.Errorf("%d links, want the first one", dialled)
	}
}
