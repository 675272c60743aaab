package baobabpeer

import (
	"context"
	"errors"
	"net"
	"syscall"
	"time"
)

const (
	// acceptPauseMin and acceptPauseMax bound the pause after a connection could not be accepted.
	acceptPauseMin = 5 * time.Millisecond
	acceptPauseMax = time.Second
)

// An acceptRetry decides how to go on when a listener does not accept a connection.
type acceptRetry struct {
	pause time.Duration // After the last failure; 0: none.
}

// next returns the pause before the next attempt, and false if the listener has failed for good. A caller that has gone and
// a lack of descriptors or memory pass.
func (a *acceptRetry) next(err error) (time.Duration, bool) {
	var timeout net.Error
	if errors.As(err, &timeout) && timeout.Timeout() {
		return 0, true
	}
	for _, passing := range []syscall.Errno{
		syscall.ECONNABORTED, syscall.ECONNRESET, syscall.EINTR, syscall.EPROTO, // Of the connection.
		syscall.EMFILE, syscall.ENFILE, syscall.ENOBUFS, syscall.ENOMEM,
	} {
		if errors.Is(err, passing) {
			a.pause = min(max(2*a.pause, acceptPauseMin), acceptPauseMax)
			return a.pause, true
		}
	}
	return 0, false
}

// wait pauses before the next attempt, at most until ctx is done. It returns false if the listener has failed for good.
func (a *acceptRetry) wait(ctx context.Context, err error) bool {
	pause, ok := a.next(err)
	if !ok || pause == 0 {
		return ok
	}
	timer := time.NewTimer(pause)
	defer timer.Stop()
	select {
	case <-timer.C:
	case <-ctx.Done():
	}
	return true
}

// reset is called after a connection was accepted.
func (a *acceptRetry) reset() { a.pause = 0 }
