package baobabnode

import (
	"context"
	"io"
	"strconv"
	"sync"
	"time"

	"github.com/charmbracelet/log"

	call "github.com/baobabdale/baobabdale/baobabcall"
	peer "github.com/baobabdale/baobabdale/baobabpeer"
	wire "github.com/baobabdale/baobabdale/baobabwire"
)

const (
	// answerChunkBytes is the size of the chunks in which an answer body is forwarded.
	answerChunkBytes = 32 << 10
	// maxBufferedAnswerBytes bounds the answer bodies that are buffered and sent with the head in one write.
	maxBufferedAnswerBytes = 8 << 10
)

// A peerHandler serves streams from other nodes.
type peerHandler struct {
	admitter      *Admitter
	configuration *configurationController
	membership    *membershipController
	broadcaster   *broadcaster
	quarantine    *quarantineController
	accounts      *accountController
	limits        *limitController
	rollouts      *rolloutController
	status        *statusController
	maxBodyBytes  int64
	bodyMemory    *call.BodyMemory // Memory for the bodies of all calls in progress.
	bodies        *bodyGranter
	now           func() time.Time
	logger        *log.Logger
	calls         sync.WaitGroup // Calls in progress.
}

// ServeStream implements peer.Handler.
func (h *peerHandler) ServeStream(ctx context.Context, s *peer.Stream) {
	m, err := s.Receive()
	if err != nil {
		return
	}
	if c := m.GetCall(); c != nil {
		h.serveCall(ctx, s, c)
		return
	}
	reply, err := h.handleControl(ctx, m)
	if err != nil {
		h.logger.Warn("failed to handle message", "err", err)
		reply = &wire.Envelope{Body: &wire.Envelope_Error{Error: &wire.Error{Kind: "failed", Text: err.Error()}}}
	}
	_ = s.SendWithBody(reply, nil)
}

// handleControl handles a control message and returns the reply.
func (h *peerHandler) handleControl(ctx context.Context, m *wire.Envelope) (*wire.Envelope, error) {
	switch t := m.GetBody().(type) {
	case *wire.Envelope_Probe:
		return &wire.Envelope{Body: &wire.Envelope_ProbeAck{ProbeAck: h.membership.answerProbe(t.Probe)}}, nil
	case *wire.Envelope_IndirectProbe:
		return &wire.Envelope{Body: &wire.Envelope_ProbeAck{ProbeAck: h.membership.answerIndirectProbe(ctx, t.IndirectProbe)}}, nil
	case *wire.Envelope_Exchange:
		return &wire.Envelope{Body: &wire.Envelope_ExchangeReply{ExchangeReply: h.membership.answerExchange(t.Exchange)}}, nil
	case *wire.Envelope_Broadcast:
		h.receiveBroadcast(t.Broadcast)
		ack := &wire.BroadcastAck{Version: toWireVersion(h.configuration.board.ActiveVersion())}
		return &wire.Envelope{Body: &wire.Envelope_BroadcastAck{BroadcastAck: ack}}, nil
	case *wire.Envelope_FetchDelta:
		reply, err := h.configuration.answerDelta(t.FetchDelta.GetBase())
		return &wire.Envelope{Body: &wire.Envelope_ConfigurationReply{ConfigurationReply: reply}}, err
	case *wire.Envelope_FetchSnapshot:
		reply, err := h.configuration.answerDelta(&wire.Version{})
		return &wire.Envelope{Body: &wire.Envelope_ConfigurationReply{ConfigurationReply: reply}}, err
	case *wire.Envelope_Join:
		reply, err := h.membership.answerJoin(t.Join)
		return &wire.Envelope{Body: &wire.Envelope_JoinReply{JoinReply: reply}}, err
	case *wire.Envelope_StatusRequest:
		return &wire.Envelope{Body: &wire.Envelope_StatusReply{StatusReply: h.status.answer(ctx, t.StatusRequest)}}, nil
	case *wire.Envelope_ProofRequest:
		return &wire.Envelope{Body: &wire.Envelope_Proof{Proof: h.accounts.answerProof(h.now(), t.ProofRequest)}}, nil
	case *wire.Envelope_UsageReport:
		return &wire.Envelope{Body: &wire.Envelope_UsageReply{UsageReply: h.limits.answerUsage(h.now(), t.UsageReport)}}, nil
	case *wire.Envelope_RolloutEvidence:
		ack := h.rollouts.answerEvidence(h.now(), t.RolloutEvidence)
		return &wire.Envelope{Body: &wire.Envelope_RolloutEvidenceAck{RolloutEvidenceAck: ack}}, nil
	default:
		return &wire.Envelope{Body: &wire.Envelope_Error{Error: &wire.Error{Kind: "unsupported", Text: "unsupported message"}}}, nil
	}
}

// receiveBroadcast forwards an update before it applies it, to keep the latency of the broadcast tree low.
func (h *peerHandler) receiveBroadcast(m *wire.Broadcast) {
	h.broadcaster.relay(m)
	address := ""
	if origin, ok := h.membership.members.member(m.GetOrigin()); ok {
		address = origin.PeerAddress()
	}
	switch t := m.GetUpdate().(type) {
	case *wire.Broadcast_Configuration:
		h.configuration.receiveUpdate(t.Configuration, address)
	case *wire.Broadcast_Head:
		h.configuration.receiveHead(h.configuration.bootTime(), t.Head, address)
	case *wire.Broadcast_Members:
		h.membership.merge(t.Members.GetRecords())
	case *wire.Broadcast_Quarantine:
		h.quarantine.receiveUpdate(t.Quarantine)
	case *wire.Broadcast_Rollouts:
		h.rollouts.receiveUpdate(h.now(), t.Rollouts)
	case *wire.Broadcast_Usage:
		h.limits.receiveAnnouncement(h.now(), t.Usage)
	}
}

// serveCall admits a call and streams the answer. If the body cannot be sent completely, the stream is reset, so that
// the receiver does not take the body as complete.
func (h *peerHandler) serveCall(ctx context.Context, s *peer.Stream, c *wire.Call) {
	h.calls.Add(1)
	defer h.calls.Done()
	size := max(c.GetBodySize(), 0)
	if !h.bodyMemory.Reserve(size) {
		refusal := call.NewRefusal(call.ReasonQueueFull, call.OutcomeNotRun, "the bodies of calls in progress fill the node's memory")
		m := toWireAnswer(nil, refusal, h.admitter.Load(h.now()))
		_ = s.SendWithBody(&wire.Envelope{Body: &wire.Envelope_CallAnswer{CallAnswer: m}}, nil)
		return
	}
	defer h.bodyMemory.Release(size)
	bodyArrived := func() {}
	if c.GetGrantFirst() && size <= h.maxBodyBytes {
		var refusal *call.Refusal
		if bodyArrived, refusal = h.bodies.grant(ctx, h.now(), s, c); refusal != nil {
			m := toWireAnswer(nil, refusal, h.admitter.Load(h.now()))
			h.admitter.rate.addTo(h.now(), m.GetLoad(), c)
			_ = s.SendWithBody(&wire.Envelope{Body: &wire.Envelope_CallAnswer{CallAnswer: m}}, nil)
			return
		}
	}
	r, err := receiveCall(h.now(), s, c, h.maxBodyBytes)
	bodyArrived()
	if err != nil {
		h.logger.Warn("failed to receive call", "call", c.GetId(), "err", err)
		s.Reset()
		return
	}
	ctx, cancel := context.WithDeadline(ctx, r.deadline)
	defer cancel()
	answer, refusal := h.admitter.Admit(ctx, h.now(), r)
	m := toWireAnswer(answer, refusal, h.admitter.Load(h.now()))
	h.admitter.rate.addTo(h.now(), m.GetLoad(), c)
	m.LeavingUpstreamId = h.admitter.leavingUpstream()
	envelope := &wire.Envelope{Body: &wire.Envelope_CallAnswer{CallAnswer: m}}
	if refusal != nil {
		_ = s.SendWithBody(envelope, nil)
		return
	}
	body := answer.Body()
	defer func() { _ = body.Close() }()
	if err := sendAnswer(s, envelope, answer, body); err != nil {
		s.Reset()
		drainClaimed(r, body)
	}
}

// sendAnswer sends the head and the body of an answer. A body with a Content-Length of at most maxBufferedAnswerBytes
// is read completely first and sent with the head.
func sendAnswer(s *peer.Stream, head *wire.Envelope, answer *call.Answer, body io.Reader) error {
	length, err := strconv.Atoi(answer.Header().Get("Content-Length"))
	if err == nil && length >= 0 && length <= maxBufferedAnswerBytes {
		short, err := io.ReadAll(body)
		if err == nil {
			return s.SendWithBody(head, short)
		}
		// Forward the part that arrived, as for a longer answer.
		if s.Send(head) == nil {
			_ = s.SendChunk(short)
		}
		return err
	}
	if err := s.Send(head); err != nil {
		return err
	}
	if err := copyBody(s, body); err != nil {
		return err
	}
	return s.SendEnd()
}

// drainClaimed reads the rest of an answer that cannot be delivered, so that it is recorded in the claim of the call.
func drainClaimed(r *admissionRequest, body io.Reader) {
	if r.needsClaim() {
		_, _ = io.Copy(io.Discard, body)
	}
}

func copyBody(s *peer.Stream, body io.Reader) error {
	buffer := make([]byte, answerChunkBytes)
	for {
		n, err := body.Read(buffer)
		if n > 0 {
			if sendErr := s.SendChunk(buffer[:n]); sendErr != nil {
				return sendErr
			}
		}
		if err == io.EOF {
			return nil
		}
		if err != nil {
			return err
		}
	}
}
