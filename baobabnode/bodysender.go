package baobabnode

import (
	"context"
	"time"

	"github.com/pkg/errors"
	"golang.org/x/time/rate"

	call "github.com/baobabdale/baobabdale/baobabcall"
	peer "github.com/baobabdale/baobabdale/baobabpeer"
	route "github.com/baobabdale/baobabdale/baobabroute"
	wire "github.com/baobabdale/baobabdale/baobabwire"
)

const (
	// grantWait bounds how long a call waits for the grant of its body. The answer needs no slot, so that a node which has
	// not sent it after this time is unreachable or stopped, and another node can still run the call.
	grantWait = time.Second
	// bodyChunkBytes is the size of the parts in which a granted body is sent. A short call on the same link waits for one
	// part at most, which takes 6.6 ms at 10 Mbit/s.
	bodyChunkBytes = 8 << 10
	// bodyShare is the share of the link's speed at which bodies are sent. The rest carries short calls meanwhile.
	bodyShare = 0.8
)

// errLinkBusy means that other bodies take the link until the deadline.
var errLinkBusy = errors.New("the link has no room for the body before the deadline")

// A bodySender sends large bodies to other nodes after these have asked for them.
type bodySender struct {
	transfers *transferMeter
	pace      *rate.Limiter // Of all large bodies of the node, in bytes; nil if the speed of the link is not known.
	now       func() time.Time
}

func newBodySender(m *transferMeter, now func() time.Time) *bodySender {
	b := &bodySender{transfers: m, now: now}
	if m.bytesPerSecond > 0 {
		// Bodies that are handed over faster fill the buffers of the connection, where short calls wait behind them.
		b.pace = rate.NewLimiter(rate.Limit(bodyShare*float64(m.bytesPerSecond)), 2*bodyChunkBytes)
	}
	return b
}

// needsGrant reports whether the body of a call is sent only after a grant.
func (b *bodySender) needsGrant(r *admissionRequest) bool {
	return b != nil && b.transfers.needsGrant(len(r.call.Body()))
}

// refuse returns a refusal if the body of a call cannot be sent before the deadline.
func (b *bodySender) refuse(r *admissionRequest) *call.Refusal {
	if !b.needsGrant(r) || b.now().Add(b.transfers.sendTime(int64(len(r.call.Body())))).Before(r.deadline) {
		return nil
	}
	return call.NewRefusal(call.ReasonDeadlineUnmeetable, call.OutcomeNotRun, "the body cannot be sent before the deadline")
}

// roundTrip sends a call and, after the grant, its body, and receives the answer. Until the end of the body has been sent
// the call certainly does not run; sent reports whether that has happened.
func (b *bodySender) roundTrip(ctx context.Context, s *peer.Stream, m *wire.Call, body []byte) (reply *wire.Envelope, sent bool, err error) {
	m.GrantFirst = true
	reply, err = b.askForGrant(s, m)
	if err != nil {
		b.transfers.lost.Inc()
		return nil, false, err
	}
	if reply.GetCallAnswer() != nil {
		return reply, false, nil
	}
	if reply.GetCallGrant() == nil {
		return nil, false, errors.New("unexpected message")
	}
	if err := b.sendBody(ctx, s, body); err != nil {
		b.transfers.lost.Inc()
		return nil, false, err
	}
	if err := s.SendEnd(); err != nil {
		return nil, true, err
	}
	reply, err = s.Receive()
	return reply, true, err
}

// askForGrant sends a call without its body and returns the first message of the admitting node.
func (b *bodySender) askForGrant(s *peer.Stream, m *wire.Call) (*wire.Envelope, error) {
	expired := time.AfterFunc(grantWait, s.Reset)
	defer expired.Stop()
	if err := s.Send(&wire.Envelope{Body: &wire.Envelope_Call{Call: m}}); err != nil {
		return nil, err
	}
	return s.Receive()
}

// sendBody sends a body in small parts, so that short calls on the link do not wait for all of it.
func (b *bodySender) sendBody(ctx context.Context, s *peer.Stream, body []byte) error {
	remaining := int64(len(body))
	b.transfers.sending.Add(remaining)
	defer func() { b.transfers.sending.Add(-remaining) }()
	for len(body) > 0 {
		part := body[:min(len(body), bodyChunkBytes)]
		if b.pace != nil {
			if err := b.pace.WaitN(ctx, len(part)); err != nil {
				return errLinkBusy
			}
		}
		if err := s.SendChunk(part); err != nil {
			return err
		}
		b.transfers.sending.Add(-int64(len(part)))
		remaining -= int64(len(part))
		body = body[len(part):]
	}
	return nil
}

// notSentResult returns the result of a call whose body did not reach the admitting node, so that it did not run.
func notSentResult(err error) attemptResult {
	if errors.Is(err, errLinkBusy) {
		refusal := call.NewRefusal(call.ReasonDeadlineUnmeetable, call.OutcomeNotRun, err.Error())
		return attemptResult{refusal: refusal, outcome: route.NewRefused(refusal)}
	}
	refusal := call.NewRefusal(call.ReasonPeerUnreachable, call.OutcomeNotRun, "the body was not sent: "+err.Error())
	return attemptResult{refusal: refusal, outcome: route.NotSent{}}
}
