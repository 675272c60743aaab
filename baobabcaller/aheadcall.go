package baobabcaller

import (
	"bufio"
	"bytes"
	"context"
	"io"
	"net/http"
	"runtime/debug"
	"sync"
	"time"

	call "github.com/baobabdale/baobabdale/baobabcall"
)

// maxHeldAnswerBytes is how much of an answer is held until its turn, so that the upstream's connection and slot become
// free at once. The rest of a longer answer is read in its turn.
const maxHeldAnswerBytes = 64 << 10

// An aheadCall is a call that was handed on before its turn on its connection.
type aheadCall struct {
	number  int // Of the request on its connection.
	request *http.Request
	arrived time.Time
	call    *call.Call
	cancel  context.CancelFunc
	memory  *call.BodyMemory
	onPanic func(value any, stack []byte)
	done    chan struct{} // Closed when answer and refusal are set.

	mu        sync.Mutex
	finished  bool         // Guarded by mu.
	abandoned bool         // Guarded by mu; nobody takes the answer.
	answer    *call.Answer // Set before done is closed.
	refusal   *call.Refusal
	held      int64 // Bytes of the answer that are held, reserved in memory.
}

// readAheadRequest parses a simple request that was read ahead. It returns nil when the HTTP server would not accept it.
func readAheadRequest(raw []byte, remoteAddress string) *http.Request {
	r, err := http.ReadRequest(bufio.NewReaderSize(bytes.NewReader(raw), len(raw)))
	if err != nil || r.Host == "" || r.URL.Path == "" || r.URL.Path[0] != '/' {
		return nil
	}
	r.RemoteAddr = remoteAddress
	return r
}

// Number implements aheadItem.
func (a *aheadCall) Number() int { return a.number }

// Cancel implements aheadItem.
func (a *aheadCall) Cancel() {
	a.cancel()
	a.mu.Lock()
	finished := a.finished
	a.abandoned = true
	a.mu.Unlock()
	if finished {
		a.release()
	}
}

// run serves the call and holds the start of its answer.
func (a *aheadCall) run(ctx context.Context, s CallServer) {
	defer close(a.done)
	answer, refusal := a.serve(ctx, s)
	a.mu.Lock()
	a.answer, a.refusal, a.finished = answer, refusal, true
	abandoned := a.abandoned
	a.mu.Unlock()
	if abandoned {
		a.release()
	}
}

// serve serves the call. A panic ends it as unknown: net/http contains the panics of calls in their turn, but not those
// of this goroutine.
func (a *aheadCall) serve(ctx context.Context, s CallServer) (answer *call.Answer, refusal *call.Refusal) {
	defer func() {
		if v := recover(); v != nil {
			a.onPanic(v, debug.Stack())
			answer = nil
			refusal = call.NewRefusal(call.ReasonUpstreamFailed, call.OutcomeUnknown, "unexpected error at this node")
		}
	}()
	answer, refusal = s.Serve(ctx, a.arrived, a.call)
	if answer != nil && answer.Body() != nil {
		answer = a.hold(answer)
	}
	return answer, refusal
}

// hold reads the start of an answer and returns the answer with it. It closes the body at the end of the answer.
func (a *aheadCall) hold(answer *call.Answer) *call.Answer {
	var start bytes.Buffer
	body := answer.Body()
	buffer := copyBuffers.Get().(*[copyBufferBytes]byte)
	defer copyBuffers.Put(buffer)
	for start.Len()+len(buffer) <= maxHeldAnswerBytes {
		n, err := body.Read(buffer[:])
		if n > 0 && !a.memory.Reserve(int64(n)) {
			// There is no room to hold more: the bytes at hand are kept, the rest waits at the upstream's node.
			start.Write(buffer[:n])
			break
		}
		a.held += int64(n)
		start.Write(buffer[:n])
		if err != nil {
			_ = body.Close()
			rest := io.Reader(failingReader{err})
			return call.NewAnswer(answer.Status(), answer.Header(), io.NopCloser(io.MultiReader(&start, rest)))
		}
	}
	return call.NewAnswer(answer.Status(), answer.Header(), heldBody{Reader: io.MultiReader(&start, body), Closer: body})
}

// release frees what a finished call holds. It is called once, in the turn of the call or when it is abandoned.
func (a *aheadCall) release() {
	a.cancel()
	closeBody(a.answer)
	a.memory.Release(a.held)
}

// matches reports whether a request that came in its turn is the one that was handed on.
func (a *aheadCall) matches(r *http.Request) bool {
	return r.Method == a.request.Method && r.Host == a.request.Host && r.RequestURI == a.request.RequestURI &&
		r.ContentLength == 0 && len(r.Header) == len(a.request.Header)
}

// heldBody is the body of an answer whose start was read ahead.
type heldBody struct {
	io.Reader
	io.Closer
}

// failingReader returns an error from each Read.
type failingReader struct{ err error }

// Read implements io.Reader.
func (r failingReader) Read([]byte) (int, error) { return 0, r.err }
