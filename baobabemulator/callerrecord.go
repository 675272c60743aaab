package baobabemulator

import (
	"bufio"
	"bytes"
	"crypto/sha256"
	"encoding/hex"
	"encoding/json"
	"fmt"
	"net"
	"net/http"
	"strings"
	"time"

	"github.com/pkg/errors"
)

// A CallerRecord is the result of one request as the caller saw it.
type CallerRecord struct {
	Request    CallerRequest
	Content    string    // Content that identifies the request.
	CallID     string    // Set by the ingress node; empty without an answer.
	Start      time.Time // When the request was sent.
	End        time.Time // When the answer was read or the failure was detected.
	Status     int       // Zero without an answer.
	Outcome    string    // ran, not_run or unknown; empty without an answer.
	Refusal    string    // Reason of the refusal, or empty.
	RetryAfter string    // Value of the Retry-After field, or empty.
	Answer     UpstreamAnswer
	Mismatch   string // Why the answer is not the complete answer to this request; empty if it is.
	Err        error  // Why no complete answer arrived.
}

// Latency returns the time from request to answer.
func (r CallerRecord) Latency() time.Duration { return r.End.Sub(r.Start) }

// Answered reports whether the complete answer of an upstream arrived.
func (r CallerRecord) Answered() bool { return r.Err == nil && r.Outcome == "ran" && r.Refusal == "" }

// NotConnected reports whether no connection could be opened. Then the request certainly did not reach the mesh.
func (r CallerRecord) NotConnected() bool {
	var opError *net.OpError
	return errors.As(r.Err, &opError) && opError.Op == "dial"
}

// Idempotent reports whether the method allows the request to run more than once.
func (r CallerRecord) Idempotent() bool {
	return r.Request.Method == http.MethodGet || r.Request.Method == http.MethodHead
}

func (r *CallerRecord) requestBody() string {
	if r.Idempotent() {
		return ""
	}
	return r.Content + strings.Repeat("x", r.Request.Padding)
}

// requestTarget returns the path with a query that contains the content.
func (r *CallerRecord) requestTarget() string {
	query := "content=" + r.Content
	if r.Request.Query != "" {
		query += "&" + r.Request.Query
	}
	return r.Request.Path + "?" + query
}

// verifyAnswer checks that the answer is complete and belongs to the request, and sets Mismatch if not.
func (r *CallerRecord) verifyAnswer(wantDigest string, body []byte) {
	digest := sha256.Sum256(body)
	if got := hex.EncodeToString(digest[:]); got != wantDigest {
		r.Mismatch = fmt.Sprintf("answer of %d bytes has digest %s, want %s", len(body), got, wantDigest)
		return
	}
	line, _ := bufio.NewReader(bytes.NewReader(body)).ReadBytes('\n')
	if err := json.Unmarshal(line, &r.Answer); err != nil {
		r.Mismatch = "answer is malformed: " + err.Error()
		return
	}
	if r.Answer.Target != r.requestTarget() {
		r.Mismatch = fmt.Sprintf("answer is for %s, want %s", r.Answer.Target, r.requestTarget())
		return
	}
	if sent := sha256.Sum256([]byte(r.requestBody())); r.Answer.BodyDigest != hex.EncodeToString(sent[:]) {
		r.Mismatch = "the upstream received a body that differs from the body sent"
	}
}
