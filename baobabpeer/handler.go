package baobabpeer

import "context"

// A Handler serves inbound streams. ServeStream is called in a separate goroutine for each stream, once the first frame
// has arrived. The context is cancelled when the peer resets or closes the stream, when the link fails and when the
// transport closes. The stream is closed after ServeStream returns.
type Handler interface {
	ServeStream(ctx context.Context, s *Stream)
}

// HandlerFunc adapts a function to a Handler.
type HandlerFunc func(ctx context.Context, s *Stream)

// ServeStream calls f.
func (f HandlerFunc) ServeStream(ctx context.Context, s *Stream) { f(ctx, s) }
