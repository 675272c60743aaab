package baobabnode

import (
	"cmp"
	"io"
	"net/http"
	"slices"
	"strings"
	"time"
	"unicode/utf8"

	"github.com/pkg/errors"

	admission "github.com/baobabdale/baobabdale/baobabadmission"
	call "github.com/baobabdale/baobabdale/baobabcall"
	peer "github.com/baobabdale/baobabdale/baobabpeer"
	response "github.com/baobabdale/baobabdale/baobabresponse"
	wire "github.com/baobabdale/baobabdale/baobabwire"
)

// firstPathSegment returns the first segment of a target's path. It groups calls of similar cost.
func firstPathSegment(target string) string {
	path, _, _ := strings.Cut(target, "?")
	path = strings.TrimPrefix(path, "/")
	first, _, _ := strings.Cut(path, "/")
	return first
}

// fromWireHeader converts the header fields of a message to a header.
func fromWireHeader(fields []*wire.HeaderField) http.Header {
	h := make(http.Header, len(fields))
	for _, f := range fields {
		values := f.GetValues()
		for _, v := range f.GetRawValues() {
			values = append(values, string(v))
		}
		h[f.GetName()] = values
	}
	return h
}

// toWireHeader converts a header to message fields, sorted by name.
func toWireHeader(h http.Header) []*wire.HeaderField {
	fields := make([]*wire.HeaderField, 0, len(h))
	for name, values := range h {
		fields = append(fields, toWireField(name, values))
	}
	slices.SortFunc(fields, func(a, b *wire.HeaderField) int { return strings.Compare(a.GetName(), b.GetName()) })
	return fields
}

// toWireField converts a field. Messages can't have other strings than UTF-8, but values may be in any encoding.
func toWireField(name string, values []string) *wire.HeaderField {
	if !slices.ContainsFunc(values, func(v string) bool { return !utf8.ValidString(v) }) {
		return &wire.HeaderField{Name: name, Values: values}
	}
	f := &wire.HeaderField{Name: name}
	for _, v := range values {
		f.RawValues = append(f.RawValues, []byte(v))
	}
	return f
}

// toWireCall converts a call to a message for the admitting node. The deadline is sent as the remaining time, so that
// clocks need not agree.
func toWireCall(now time.Time, r *admissionRequest, attempt int) *wire.Call {
	c := r.call
	m := &wire.Call{
		Id:             c.ID(),
		Caller:         c.Caller(),
		Service:        r.service,
		Rank:           r.rank,
		Method:         c.Method(),
		Target:         c.Target(),
		Host:           c.Host(),
		Header:         toWireHeader(c.Header()),
		RemainingUs:    r.deadline.Sub(now).Microseconds(),
		Attempt:        uint32(attempt),
		Idempotent:     r.idempotent,
		IdempotencyKey: c.IdempotencyKey(),
		BodySize:       int64(len(c.Body())),
		Retried:        c.Retried(),
		FreeSlotOnly:   r.freeSlotOnly,
		Account:        cmp.Or(r.fairCaller, c.Account()),
		Nested:         r.nested,
		Version:        r.version,
	}
	if !r.objective.IsZero() {
		m.HasTarget, m.TargetRemainingUs = true, r.objective.Sub(now).Microseconds()
	}
	return m
}

// receiveCall reads the body that follows a call message and returns the request. It returns an error if the body
// exceeds maxBodyBytes or does not have the announced size.
func receiveCall(now time.Time, s *peer.Stream, m *wire.Call, maxBodyBytes int64) (*admissionRequest, error) {
	if m.GetBodySize() < 0 || m.GetBodySize() > maxBodyBytes {
		return nil, errors.Errorf("receive call: body of %d bytes exceeds the limit of %d", m.GetBodySize(), maxBodyBytes)
	}
	body := make([]byte, 0, m.GetBodySize())
	for {
		chunk, end, err := s.ReceiveChunk()
		if err != nil {
			return nil, errors.Wrap(err, "receive call")
		}
		if end {
			break
		}
		if int64(len(body)+len(chunk)) > m.GetBodySize() {
			return nil, errors.New("receive call: body is longer than its announced size")
		}
		body = append(body, chunk...)
	}
	if int64(len(body)) != m.GetBodySize() {
		return nil, errors.New("receive call: body is shorter than its announced size")
	}
	options := []call.Option{
		call.WithBody(body), call.WithHeader(fromWireHeader(m.GetHeader())), call.WithIdempotencyKey(m.GetIdempotencyKey()),
		call.WithAccount(m.GetAccount()),
	}
	if m.GetNested() {
		// The caller to charge is not an account of the call, so the upstream does not see it.
		options = append(options, call.WithAccount(""))
	}
	if m.GetRetried() {
		options = append(options, call.WithRetried())
	}
	r := &admissionRequest{
		call:         call.NewCall(m.GetId(), m.GetCaller(), m.GetMethod(), m.GetHost(), m.GetTarget(), options...),
		service:      m.GetService(),
		rank:         m.GetRank(),
		deadline:     now.Add(time.Duration(m.GetRemainingUs()) * time.Microsecond),
		idempotent:   m.GetIdempotent(),
		freeSlotOnly: m.GetFreeSlotOnly(),
		nested:       m.GetNested(),
		version:      m.GetVersion(),
	}
	if r.nested {
		r.fairCaller = m.GetAccount()
	}
	if m.GetHasTarget() {
		r.objective = now.Add(time.Duration(m.GetTargetRemainingUs()) * time.Microsecond)
	}
	return r, nil
}

// toWireAnswer converts the head of an answer, or a refusal, to a message.
func toWireAnswer(a *call.Answer, r *call.Refusal, load admission.Load) *wire.CallAnswer {
	m := &wire.CallAnswer{Load: toWireLoad(load)}
	if r != nil {
		m.Outcome = string(r.Outcome())
		m.Refusal = &wire.Refusal{
			Reason: string(r.Reason()), Detail: r.Detail(), RetryAfterMs: r.RetryAfter().Milliseconds(),
		}
		return m
	}
	m.Outcome = string(call.OutcomeRan)
	m.Status = uint32(a.Status())
	m.Header = toWireHeader(a.Header())
	m.Replayed = a.Replayed()
	return m
}

// fromWireAnswer converts the head of an answer with a body. It returns an error if the head is malformed.
func fromWireAnswer(m *wire.CallAnswer, body io.ReadCloser) (*call.Answer, error) {
	if m.GetStatus() < http.StatusOK || m.GetStatus() > response.MaxStatus {
		return nil, errors.Errorf("status %d", m.GetStatus())
	}
	header := fromWireHeader(m.GetHeader())
	for name, values := range header {
		if !response.ValidFieldName(name) || !response.ValidFieldValues(values) {
			return nil, errors.Errorf("malformed field %.64q", name)
		}
	}
	if m.GetReplayed() {
		return call.NewReplayedAnswer(int(m.GetStatus()), header, body), nil
	}
	return call.NewAnswer(int(m.GetStatus()), header, body), nil
}

func toWireLoad(l admission.Load) *wire.Load {
	return &wire.Load{
		InProgress: uint32(l.InFlight()),
		Limit:      uint32(l.Limit()),
		Queued:     uint32(l.Queued()),
		WaitUs:     l.Wait().Microseconds(),
		Draining:   l.Draining(),
	}
}

// fromWireRefusal converts a refusal. An unrecognized outcome is treated as unknown.
func fromWireRefusal(m *wire.CallAnswer) *call.Refusal {
	outcome := call.Outcome(m.GetOutcome())
	if outcome != call.OutcomeNotRun && outcome != call.OutcomeRan {
		outcome = call.OutcomeUnknown
	}
	r := call.NewRefusal(call.Reason(m.GetRefusal().GetReason()), outcome, m.GetRefusal().GetDetail())
	return r.WithRetryAfter(time.Duration(m.GetRefusal().GetRetryAfterMs()) * time.Millisecond)
}
