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

// peerClient sends calls to the nodes of other upstreams.
type peerClient struct {
	transport *peer.Transport
	bodies    *bodySender // Nil: bodies are sent with their calls.
	now       func() time.Time
	grace     time.Duration // How long a call waits beyond its deadline for the admitting node to say whether it ran.
}

// A loadReport is what an answering node reports about itself and its upstream.
type loadReport struct {
	load            route.Load
	draining        bool
	leavingUpstream string // Id of the node's upstream if it has said that it leaves; otherwise empty.
}

// attempt sends a call to the node of an endpoint. It calls report with the load that the answer carries.
func (c *peerClient) attempt(ctx context.Context, r *admissionRequest, to route.Candidate, number int,
	report func(loadReport)) attemptResult {
	if refusal := c.bodies.refuse(r); refusal != nil {
		return attemptResult{refusal: refusal, outcome: route.NewRefused(refusal)}
	}
	deadlineCtx, cancel := context.WithDeadline(ctx, r.deadline.Add(c.grace))
	stream, err := c.transport.Open(deadlineCtx, to.Address())
	if err != nil {
		cancel()
		refusal := call.NewRefusal(call.ReasonPeerUnreachable, call.OutcomeNotRun, "node "+to.ID()+" could not be reached")
		return attemptResult{refusal: refusal, outcome: route.NotSent{}}
	}
	result := c.roundTrip(deadlineCtx, stream, r, number, report)
	if result.answer == nil {
		_ = stream.Close()
		cancel()
		return result
	}
	result.answer = withOnClose(result.answer, cancel)
	return result
}

// roundTrip sends the call and receives the head of the answer.
func (c *peerClient) roundTrip(ctx context.Context, s *peer.Stream, r *admissionRequest, number int,
	report func(loadReport)) attemptResult {
	reply, sent, err := c.sendCall(ctx, s, r, number)
	if err != nil && !sent {
		return notSentResult(err)
	}
	if peer.Incomplete(err) {
		return c.notSentCompletely(r, err)
	}
	if err != nil {
		return c.unknownOutcome(r, err)
	}
	m := reply.GetCallAnswer()
	if m == nil {
		return c.unknownOutcome(r, errors.New("unexpected message"))
	}
	l := m.GetLoad()
	wait := time.Duration(l.GetWaitUs()) * time.Microsecond
	report(loadReport{
		load:     withReportedRate(route.NewLoad(int(l.GetInProgress()), int(l.GetLimit()), int(l.GetQueued()), wait), r, l),
		draining: l.GetDraining(), leavingUpstream: m.GetLeavingUpstreamId(),
	})
	if m.GetRefusal() != nil {
		refusal := fromWireRefusal(m)
		return attemptResult{refusal: refusal, outcome: toAttemptOutcome(refusal)}
	}
	answer, err := fromWireAnswer(m, &streamBody{stream: s, onEnd: func(bool) {}})
	if err != nil {
		return c.unknownOutcome(r, err)
	}
	return attemptResult{answer: answer, outcome: route.Answered{}}
}

// needsGrant reports whether the body of a call is sent only after a grant.
func (c *peerClient) needsGrant(r *admissionRequest) bool { return c != nil && c.bodies.needsGrant(r) }

// sendCall sends the call and receives the first message of the answer. Sent is false if the call certainly did not run
// because of an error.
func (c *peerClient) sendCall(ctx context.Context, s *peer.Stream, r *admissionRequest, number int) (
	reply *wire.Envelope, sent bool, err error) {
	m := toWireCall(c.now(), r, number)
	if c.bodies.needsGrant(r) {
		return c.bodies.roundTrip(ctx, s, m, r.call.Body())
	}
	if err := s.SendWithBody(&wire.Envelope{Body: &wire.Envelope_Call{Call: m}}, r.call.Body()); err != nil {
		return nil, true, err
	}
	reply, err = s.Receive()
	return reply, true, err
}

// notSentCompletely returns the result of an attempt that certainly did not run, because the admitting node admits a call
// only once it has received the end of its body.
func (c *peerClient) notSentCompletely(r *admissionRequest, err error) attemptResult {
	reason := call.ReasonPeerUnreachable
	if !c.now().Before(r.deadline) {
		reason = call.ReasonDeadlinePassed
	}
	refusal := call.NewRefusal(reason, call.OutcomeNotRun, "the call did not reach the admitting node: "+err.Error())
	return attemptResult{refusal: refusal, outcome: route.NewRefused(refusal)}
}

// unknownOutcome returns the result of an attempt that may or may not have run.
func (c *peerClient) unknownOutcome(r *admissionRequest, err error) attemptResult {
	reason := call.ReasonAnswerLost
	if !c.now().Before(r.deadline) {
		reason = call.ReasonDeadlinePassed
	}
	refusal := call.NewRefusal(reason, call.OutcomeUnknown, "no answer of the admitting node: "+err.Error())
	return attemptResult{refusal: refusal, outcome: route.NewLost(false)}
}

// pathWithoutQuery returns the path of a target.
func pathWithoutQuery(target string) string {
	path, _, _ := strings.Cut(target, "?")
	return path
}
