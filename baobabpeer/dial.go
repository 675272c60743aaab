package baobabpeer

import (
	"context"
	"time"

	"github.com/pkg/errors"
)

// A dial is an attempt to establish a link. Any number of goroutines can wait for it.
type dial struct {
	started int64         // Monotonic nanoseconds.
	done    chan struct{} // Closed after err is set.
	err     error
}

// wait waits for the dial to end, but no longer than limit after its start. The dial timeout is longer, because it
// leaves time for the retransmission of a lost packet; without the limit a stream to an unreachable VM would wait that
// long.
func (d *dial) wait(ctx context.Context, limit time.Duration) error {
	timer := time.NewTimer(limit - time.Duration(monotonicNanos()-d.started))
	defer timer.Stop()
	select {
	case <-d.done:
		return d.err
	default:
	}
	select {
	case <-d.done:
		return d.err
	case <-ctx.Done():
		return newError("open", KindUnreachable, ctx.Err())
	case <-timer.C:
		return newError("open", KindUnreachable, errors.New("link not established within the connect patience"))
	}
}
