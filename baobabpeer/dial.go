package baobabpeer

import (
	"context"
	"time"

	"github.com/pkg/errors"
)

// A dial is an attempt to establish a link that any number of callers wait for.
type dial struct {
	started int64         // Monotonic nanoseconds.
	done    chan struct{} // Closed after err is set.
	err     error
}

// wait waits for the end of the dial, until it has taken patience. What waits for a VM that does not answer would
// otherwise wait as long as the dial itself, which leaves time for a lost packet to be sent again.
func (d *dial) wait(ctx context.Context, patience time.Duration) error {
	timer := time.NewTimer(patience - time.Duration(monotonic()-d.started))
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
		return newError("open", KindUnreachable, errors.New("the link is not established yet"))
	}
}
