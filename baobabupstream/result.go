package baobabupstream

import (
	"time"

	call "github.com/baobabdale/baobabdale/baobabcall"
)

// A Result is the result of a call to the local upstream. It is one of *Answered, Refused, NotSent, ConnectionFailed,
// DeadlineExceeded, Cancelled.
type Result interface{ result() }

// Answered holds the answer. The call ends when the body has been read to its end or closed.
type Answered struct {
	answer *call.Answer
	body   *answerBody
	notice Notice
}

// Answer returns the answer.
func (a *Answered) Answer() *call.Answer { return a.answer }

// Notice returns what the upstream says about itself.
func (a *Answered) Notice() Notice { return a.notice }

// Failure returns why the body was truncated, or nil. It distinguishes a possible crash of the upstream from the
// caller's cancellation (context.Canceled) and the deadline (context.DeadlineExceeded).
func (a *Answered) Failure() error { return a.body.failure() }

// Refused means that the upstream refused the call without starting it.
type Refused struct {
	retryAfter  time.Duration
	misdirected bool // Another process than the meant upstream refused the call.
	notice      Notice
}

// RetryAfter returns how long the upstream asked to wait before a retry, or zero.
func (r Refused) RetryAfter() time.Duration { return r.retryAfter }

// Notice returns what the upstream says about itself; false if another process refused the call.
func (r Refused) Notice() (Notice, bool) { return r.notice, !r.misdirected }

// NotSent means that no byte of the call was written to a connection, so the upstream certainly did not start it.
type NotSent struct{ err error }

// Err returns the cause.
func (n NotSent) Err() error { return n.err }

// ConnectionFailed means that the connection broke, or the upstream violated the protocol, while the upstream may have
// run the call. The upstream may have crashed.
type ConnectionFailed struct {
	err    error
	reused bool
}

// Err returns the cause.
func (f ConnectionFailed) Err() error { return f.err }

// Reused reports whether the connection had served a call before. The upstream may then have closed it as idle just
// when the call was sent, so a crash is less likely than on a new connection.
func (f ConnectionFailed) Reused() bool { return f.reused }

// DeadlineExceeded means that the deadline passed before the answer arrived.
type DeadlineExceeded struct{ sent bool }

// Sent reports whether the upstream may have started the call.
func (d DeadlineExceeded) Sent() bool { return d.sent }

// Cancelled means that the caller's context ended before the answer arrived.
type Cancelled struct{ sent bool }

// Sent reports whether the upstream may have started the call.
func (c Cancelled) Sent() bool { return c.sent }

func (*Answered) result()        {}
func (Refused) result()          {}
func (NotSent) result()          {}
func (ConnectionFailed) result() {}
func (DeadlineExceeded) result() {}
func (Cancelled) result()        {}
