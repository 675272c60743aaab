package baobabplatform

import (
	"context"
	"io"
	"time"
)

// maxResponseTime bounds a response from its beginning to its end, however steadily it arrives.
const maxResponseTime = 10 * time.Second

// responseTimeoutKey is the key of a context's response timeout.
type responseTimeoutKey struct{}

// WithResponseTimeout returns a context whose requests wait at most d for the beginning of a response. Unlike a deadline
// it does not end a response that is under way: whether there is one tells a store that does not respond from a large
// response on a slow link.
func WithResponseTimeout(ctx context.Context, d time.Duration) context.Context {
	return context.WithValue(ctx, responseTimeoutKey{}, d)
}

// A responseLimit cancels a request whose response does not begin, or does not go on, in time.
type responseLimit struct {
	cancel context.CancelCauseFunc
	stall  time.Duration // Longest wait for a further part of the response.
	wait   *time.Timer   // For the beginning or the next part.
	whole  *time.Timer   // For the whole response; nil until it has begun.
}

// limitResponse returns a context that ends if the response does not begin within the given time, or that of the context if
// that is shorter, or if it stalls. The limit must be stopped.
func limitResponse(ctx context.Context, beginning, stall time.Duration) (context.Context, *responseLimit) {
	if d, ok := ctx.Value(responseTimeoutKey{}).(time.Duration); ok {
		beginning = min(beginning, d)
	}
	ctx, cancel := context.WithCancelCause(ctx)
	l := &responseLimit{cancel: cancel, stall: stall}
	l.wait = time.AfterFunc(beginning, l.expire)
	return ctx, l
}

func (l *responseLimit) expire() { l.cancel(context.DeadlineExceeded) }

// stop ends the request.
func (l *responseLimit) stop() {
	l.wait.Stop()
	if l.whole != nil {
		l.whole.Stop()
	}
	l.cancel(context.Canceled)
}

// body returns the body of the response, which has begun. Each part that is read extends the time for the next one.
func (l *responseLimit) body(inner io.ReadCloser) io.ReadCloser {
	l.wait.Reset(l.stall)
	l.whole = time.AfterFunc(maxResponseTime, l.expire)
	return &limitedBody{ReadCloser: inner, limit: l}
}

// A limitedBody is the body of a response with a responseLimit.
type limitedBody struct {
	io.ReadCloser
	limit *responseLimit
}

// Read implements io.Reader.
func (b *limitedBody) Read(p []byte) (int, error) {
	n, err := b.ReadCloser.Read(p)
	if n > 0 {
		b.limit.wait.Reset(b.limit.stall)
	}
	return n, err
}
