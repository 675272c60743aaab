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
	// answerChunkBytes is the size of the pieces in which an answer's body is passed on.
	answerChunkBytes = 32 << 10
	// wholeAnswerBytes bounds the answers that are passed on with one write.
	wholeAnswerBytes = 8 << 10
)

// A peerHandler serves the streams of other nodes.
type peerHandler struct {
	admitter      *Admitter
	configuration *configurationController
	membership    *membershipController
	broadcaster   *broadcaster
	quarantine    *quarantineController
	status        *statusController
	maxBody       int64
	memory        *call.Memory // Of the bodies of all calls that are being admitted.
	now           func() time.Time
	logger        *log.Logger
	calls         sync.WaitGroup // Calls that are being answered.
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
	reply, err := h.answer(ctx, m)
	if err != nil {
		h.logger.Warn("message not handled", "err", err)
		reply = &wire.Envelope{Body: &wire.Envelope_Error{Error: &wire.Error{Kind: "failed", Text: err.Error()}}}
	}
	_ = s.SendWhole(reply, nil)
}

// answer handles a control message.
func (h *peerHandler) answer(ctx context.Context, m *wire.Envelope) (*wire.Envelope, error) {
	switch t := m.GetBody().(type) {
	case *wire.Envelope_Probe:
		return &wire.Envelope{Body: &wire.Envelope_ProbeAck{ProbeAck: h.membership.answerProbe(t.Probe)}}, nil
	case *wire.Envelope_IndirectProbe:
		return &wire.Envelope{Body: &wire.Envelope_ProbeAck{ProbeAck: h.membership.answerIndirectProbe(ctx, t.IndirectProbe)}}, nil
	case *wire.Envelope_Exchange:
		return &wire.Envelope{Body: &wire.Envelope_ExchangeReply{ExchangeReply: h.membership.answerExchange(t.Exchange)}}, nil
	case *wire.Envelope_Broadcast:
		h.receiveBroadcast(t.Broadcast)
		ack := &wire.BroadcastAck{Version: toWireVersion(h.configuration.board.Version())}
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
	default:
		return &wire.Envelope{Body: &wire.Envelope_Error{Error: &wire.Error{Kind: "unsupported", Text: "unsupported message"}}}, nil
	}
}

// receiveBroadcast passes an update on before it is applied, so that its way through the tree stays short.
func (h *peerHandler) receiveBroadcast(m *wire.Broadcast) {
	h.broadcaster.receive(m)
	switch t := m.GetUpdate().(type) {
	case *wire.Broadcast_Configuration:
		address := ""
		if origin, ok := h.membership.members.member(m.GetOrigin()); ok {
			address = origin.PeerAddress()
		}
		h.configuration.receive(t.Configuration, address)
	case *wire.Broadcast_Members:
		h.membership.merge(t.Members.GetRecords())
	case *wire.Broadcast_Quarantine:
		h.quarantine.receive(t.Quarantine)
	}
}

// serveCall admits a call and streams the answer back. A body that is not sent whole is reset, never ended.
func (h *peerHandler) serveCall(ctx context.Context, s *peer.Stream, c *wire.Call) {
	h.calls.Add(1)
	defer h.calls.Done()
	size := max(c.GetBodySize(), 0)
	if !h.memory.Take(size) {
		refusal := call.NewRefusal(call.ReasonQueueFull, call.OutcomeNotRun, "the bodies of calls in progress fill the node's memory")
		m := toWireAnswer(nil, refusal, h.admitter.Load(h.now()))
		_ = s.SendWhole(&wire.Envelope{Body: &wire.Envelope_CallAnswer{CallAnswer: m}}, nil)
		return
	}
	defer h.memory.Give(size)
	r, err := receiveCall(h.now(), s, c, h.maxBody)
	if err != nil {
		h.logger.Warn("call not received", "call", c.GetId(), "err", err)
		s.Reset()
		return
	}
	ctx, cancel := context.WithDeadline(ctx, r.deadline)
	defer cancel()
	answer, refusal := h.admitter.Admit(ctx, h.now(), r)
	m := toWireAnswer(answer, refusal, h.admitter.Load(h.now()))
	envelope := &wire.Envelope{Body: &wire.Envelope_CallAnswer{CallAnswer: m}}
	if refusal != nil {
		_ = s.SendWhole(envelope, nil)
		return
	}
	body := answer.Body()
	defer func() { _ = body.Close() }()
	if err := sendAnswer(s, envelope, answer, body); err != nil {
		s.Reset()
		drainKeyed(r, body)
	}
}

// sendAnswer sends the head and the body of an answer. A body that the upstream announces as short is read whole
// first and goes out with the head.
func sendAnswer(s *peer.Stream, head *wire.Envelope, answer *call.Answer, body io.Reader) error {
	length, err := strconv.Atoi(answer.Header().Get("Content-Length"))
	if err == nil && length >= 0 && length <= wholeAnswerBytes {
		short, err := io.ReadAll(body)
		if err == nil {
			return s.SendWhole(head, short)
		}
		// The part that arrived is passed on, as that of a longer answer is.
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

// drainKeyed reads the rest of an answer that nobody waits for, so that it is recorded under its key.
func drainKeyed(r *admissionRequest, body io.Reader) {
	if r.keyed() {
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
