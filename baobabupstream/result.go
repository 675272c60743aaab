package baobabupstream

import (
	"time"

	call "github.com/baobabdale/baobabdale/baobabcall"
)

// A Result is the end of a call at the local upstream. It is one of *Answered, Refused, NotSent, Died,
// DeadlineReached, Cancelled.
type Result interface{ result() }

// Answered holds the answer. The call is over when its body is read or closed.
type Answered struct {
	answer *call.Answer
	body   *answerBody
}

// Answer returns the answer.
func (a *Answered) Answer() *call.Answer { return a.answer }

// Failure returns why the body was truncated, or nil. It tells a possible crash of the upstream from the caller's
// cancellation (context.Canceled) and the deadline (context.DeadlineExceeded).
func (a *Answered) Failure() error { return a.body.failure() }

// Refused says that the upstream refused the call before it started it.
type Refused struct{ retryAfter time.Duration }

// RetryAfter returns how long the upstream asked to wait, or zero.
func (r Refused) RetryAfter() time.Duration { return r.retryAfter }

// NotSent says that no byte of the call reached a connection, so that the upstream surely did not start it.
type NotSent struct{ err error }

// Err returns the cause.
func (n NotSent) Err() error { return n.err }

// Died says that the connection died or broke the protocol while the upstream may have run the call: possibly a
// crash.
type Died struct {
	err    error
	reused bool
}

// Err returns the cause.
func (d Died) Err() error { return d.err }

// Reused reports whether the connection had served a call before. The upstream may then have closed it as idle
// just when the call was sent, so that a crash is less likely than on a new connection.
func (d Died) Reused() bool { return d.reused }

// DeadlineReached says that the deadline came before the answer.
type DeadlineReached struct{ sent bool }

// Sent reports whether the upstream may have started the call.
func (d DeadlineReached) Sent() bool { return d.sent }

// Cancelled says that the caller's context ended before the answer.
type Cancelled struct{ sent bool }

// Sent reports whether the upstream may have started the call.
func (c Cancelled) Sent() bool { return c.sent }

func (*Answered) result()       {}
func (Refused) result()         {}
func (NotSent) result()         {}
func (Died) result()            {}
func (DeadlineReached) result() {}
func (Cancelled) result()       {}
