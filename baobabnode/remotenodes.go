package baobabnode

import (
	"context"
	"strings"
	"time"

	"github.com/pkg/errors"

	call "github.com/baobabdale/baobabdale/baobabcall"
	peer "github.com/baobabdale/baobabdale/baobabpeer"
	route "github.com/baobabdale/baobabdale/baobabroute"
	wire "github.com/baobabdale/baobabdale/baobabwire"
)

// remoteNodes hands calls to the nodes of other upstreams.
type remoteNodes struct {
	transport *peer.Transport
	now       func() time.Time
}

// attempt hands a call to the node of an endpoint. Report is called with the load that comes with the answer.
func (n *remoteNodes) attempt(ctx context.Context, r *admissionRequest, to route.Candidate, number int, report func(route.Load, bool)) attemptEnd {
	deadlineCtx, cancel := context.WithDeadline(ctx, r.deadline.Add(answerGrace))
	stream, err := n.transport.Open(deadlineCtx, to.Address())
	if err != nil {
		cancel()
		refusal := call.NewRefusal(call.ReasonPeerUnreachable, call.OutcomeNotRun, "node "+to.ID()+" could not be reached")
		return attemptEnd{refusal: refusal, ending: route.NotSent{}}
	}
	end := n.exchange(stream, r, number, report)
	if end.answer == nil {
		_ = stream.Close()
		cancel()
		return end
	}
	end.answer = withClose(end.answer, cancel)
	return end
}

// exchange sends the call and receives the head of the answer.
func (n *remoteNodes) exchange(s *peer.Stream, r *admissionRequest, number int, report func(route.Load, bool)) attemptEnd {
	if err := n.send(s, r, number); err != nil {
		return n.lost(r, err)
	}
	reply, err := s.Receive()
	if err != nil {
		return n.lost(r, err)
	}
	m := reply.GetCallAnswer()
	if m == nil {
		return n.lost(r, errors.New("unexpected message"))
	}
	l := m.GetLoad()
	report(route.NewLoad(int(l.GetInProgress()), int(l.GetLimit()), int(l.GetQueued()), time.Duration(l.GetWaitUs())*time.Microsecond), l.GetDraining())
	if m.GetRefusal() != nil {
		refusal := toRefusal(m)
		return attemptEnd{refusal: refusal, ending: endingOf(refusal)}
	}
	body := &streamBody{stream: s, done: func(bool) {}}
	answer := call.NewAnswer(int(m.GetStatus()), toHeader(m.GetHeader()), body)
	if m.GetReplayed() {
		answer = call.NewReplayedAnswer(int(m.GetStatus()), toHeader(m.GetHeader()), body)
	}
	return attemptEnd{answer: answer, ending: route.Answered{}}
}

func (n *remoteNodes) send(s *peer.Stream, r *admissionRequest, number int) error {
	m := &wire.Envelope{Body: &wire.Envelope_Call{Call: toWireCall(n.now(), r, number)}}
	return s.SendWhole(m, r.call.Body())
}

// lost ends an attempt of which nobody says whether it ran.
func (n *remoteNodes) lost(r *admissionRequest, err error) attemptEnd {
	reason := call.ReasonAnswerLost
	if !n.now().Before(r.deadline) {
		reason = call.ReasonDeadlinePassed
	}
	refusal := call.NewRefusal(reason, call.OutcomeUnknown, "no answer of the admitting node: "+err.Error())
	return attemptEnd{refusal: refusal, ending: route.NewLost(false)}
}

// pathWithoutQuery returns the path of a target.
func pathWithoutQuery(target string) string {
	path, _, _ := strings.Cut(target, "?")
	return path
}
