package baobabpeer

import "context"

// A Handler serves inbound streams. ServeStream is called in a goroutine of its own per stream, once the first
// frame has arrived. The context ends when the other side resets or closes the stream, when the link fails and when
// the transport closes. The stream is closed after ServeStream returns.
type Handler interface {
	ServeStream(ctx context.Context, s *Stream)
}

// HandlerFunc is a function that implements Handler.
type HandlerFunc func(ctx context.Context, s *Stream)

// ServeStream calls f.
func (f HandlerFunc) ServeStream(ctx context.Context, s *Stream) { f(ctx, s) }
