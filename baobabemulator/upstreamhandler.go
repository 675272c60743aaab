package baobabemulator

import (
	"context"
	"crypto/sha256"
	"encoding/hex"
	"encoding/json"
	"io"
	"math/rand/v2"
	"net/http"
	"strconv"
	"time"

	"github.com/cespare/xxhash/v2"
	goji "goji.io"
	"goji.io/pat"
)

// UpstreamAnswer is the first line of an answer of an emulated upstream. If a larger size was demanded, padding that is
// unique per run follows. The header field Emulator-Body-Sha256 holds the digest of the complete body.
type UpstreamAnswer struct {
	UpstreamID string `json:"upstream_id"`
	CallID     string `json:"call_id"`
	Key        string `json:"key"`
	Caller     string `json:"caller"`
	Target     string `json:"target"`
	BodyDigest string `json:"body_digest"` // SHA-256 of the request body.
	Serial     int64  `json:"serial"`
}

func (u *Upstream) handler() http.Handler {
	mux := goji.NewMux()
	mux.HandleFunc(pat.Get("/health"), u.serveHealth)
	mux.HandleFunc(pat.Get("/load"), u.serveLoad)
	mux.HandleFunc(pat.Get("/v1/history"), u.serveHistory)
	mux.HandleFunc(pat.Post("/v1/behaviour"), u.serveBehaviour)
	mux.HandleFunc(pat.Post("/v1/drain"), u.serveDrain)
	mux.HandleFunc(pat.New("/*"), u.serveCall)
	return mux
}

func (u *Upstream) serveHealth(w http.ResponseWriter, r *http.Request) {
	b := u.Behaviour()
	if b.HealthHang {
		<-r.Context().Done()
		return
	}
	sleepContext(r.Context(), time.Duration(b.ProbeMs)*time.Millisecond)
	if !b.Healthy {
		w.WriteHeader(http.StatusServiceUnavailable)
	}
}

func (u *Upstream) serveLoad(w http.ResponseWriter, r *http.Request) {
	b := u.Behaviour()
	sleepContext(r.Context(), time.Duration(b.ProbeMs)*time.Millisecond)
	load := u.slots.loadAt(time.Now().Add(-time.Duration(b.LoadLagMs) * time.Millisecond))
	if b.LoadInFlight != nil {
		load.inFlight, load.queued = *b.LoadInFlight, 0
	}
	writeUpstreamJSON(w, map[string]int{"in_flight": load.inFlight, "queued": load.queued, "slots": b.Slots})
}

func (u *Upstream) serveHistory(w http.ResponseWriter, _ *http.Request) {
	writeUpstreamJSON(w, u.history.Runs())
}

func (u *Upstream) serveBehaviour(w http.ResponseWriter, r *http.Request) {
	// Holding the lock from read to write keeps concurrent requests from undoing each other's changes.
	u.mu.Lock()
	b, err := u.behaviour.merge(r.Body)
	if err == nil {
		u.behaviour = b
	}
	u.mu.Unlock()
	if err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	writeUpstreamJSON(w, b)
}

func (u *Upstream) serveDrain(w http.ResponseWriter, _ *http.Request) {
	u.Drain()
	w.WriteHeader(http.StatusNoContent)
}

// serveCall waits for a slot, records the run and executes the call. It refuses the call as not started if it gets no
// slot.
func (u *Upstream) serveCall(w http.ResponseWriter, r *http.Request) {
	body, err := io.ReadAll(r.Body)
	if err != nil {
		return
	}
	b := u.Behaviour()
	if b.Leaving {
		w.Header().Set("Baobab-Leaving", "1")
	}
	if b.RequestLimit > 0 {
		w.Header().Set("Baobab-Request-Limit", strconv.FormatFloat(b.RequestLimit, 'f', -1, 64))
	}
	ctx, cancel := newRunContext(r, b)
	defer cancel()
	if b.Shed || ctx.Err() != nil || !u.slots.acquire(ctx) {
		w.Header().Set("Baobab-Not-Started", "1")
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	defer u.slots.release()
	digest := sha256.Sum256(body)
	run := newUpstreamRun(u.id, r, hex.EncodeToString(digest[:]))
	serial := u.history.recordStart(time.Now(), run)
	result := UpstreamCancelled
	defer func() { u.history.recordEnd(time.Now(), serial, result) }()
	result = u.execute(ctx, w, r, run, serial)
	switch result {
	case UpstreamCompleted, UpstreamFailed:
	case UpstreamCancelled:
		if r.Context().Err() != nil {
			panic(http.ErrAbortHandler)
		}
		// The deadline has passed but the client is still connected.
		w.WriteHeader(http.StatusGatewayTimeout)
	default:
		panic(http.ErrAbortHandler)
	}
}

func newUpstreamRun(id string, r *http.Request, digest string) UpstreamRun {
	return UpstreamRun{
		UpstreamID: id,
		CallID:     r.Header.Get("Baobab-Call-Id"),
		Key:        r.Header.Get("Idempotency-Key"),
		Caller:     r.Header.Get("Baobab-Caller"),
		Rank:       r.Header.Get("Baobab-Rank"),
		Account:    r.Header.Get("Baobab-Account"),
		KeyShown:   r.Header.Get("Authorization") != "",
		Retried:    r.Header.Get("Baobab-Retried") == "1",
		Method:     r.Method,
		Path:       r.URL.RequestURI(),
		BodyDigest: digest,
	}
}

// execute runs a call that holds a slot, and answers it unless it is cancelled or crashes.
func (u *Upstream) execute(
	ctx context.Context, w http.ResponseWriter, r *http.Request, run UpstreamRun, serial int64,
) UpstreamResult {
	d := parseUpstreamDirective(r)
	if d.Fail == 0 && u.drawFailure() {
		d.Fail = http.StatusInternalServerError
	}
	if d.Fail >= 200 && d.Fail <= 599 {
		w.Header().Set("Baobab-Call-Id", run.CallID)
		w.WriteHeader(d.Fail)
		return UpstreamFailed
	}
	delay := d.Delay
	if !d.hasDelay {
		delay = u.drawServiceTime()
	}
	if !sleepContext(ctx, delay) {
		return UpstreamCancelled
	}
	if d.Crash {
		u.crash()
		return UpstreamCrashed
	}
	return writeUpstreamAnswer(ctx, w, d, newUpstreamAnswerBody(run, serial, d.Size), run.CallID)
}

// newUpstreamAnswerBody returns the JSON line, followed by padding up to size. The padding is determined by the upstream,
// the call and the run.
func newUpstreamAnswerBody(run UpstreamRun, serial int64, size int) []byte {
	line, _ := json.Marshal(UpstreamAnswer{
		UpstreamID: run.UpstreamID, CallID: run.CallID, Key: run.Key, Caller: run.Caller, Target: run.Path,
		BodyDigest: run.BodyDigest, Serial: serial,
	})
	body := append(line, '\n')
	random := rand.New(rand.NewPCG(xxhash.Sum64String(run.UpstreamID+"/"+run.CallID), uint64(serial)))
	for len(body) < size {
		body = strconv.AppendUint(body, random.Uint64(), 36)
	}
	return body[:max(size, len(line)+1)]
}

func writeUpstreamAnswer(
	ctx context.Context, w http.ResponseWriter, d UpstreamDirective, body []byte, callID string,
) UpstreamResult {
	digest := sha256.Sum256(body)
	w.Header().Set("Baobab-Call-Id", callID)
	w.Header().Set("Emulator-Body-Sha256", hex.EncodeToString(digest[:]))
	w.Header().Set("Content-Type", "text/plain")
	if d.Pieces == 1 {
		w.Header().Set("Content-Length", strconv.Itoa(len(body)))
	}
	total := len(body)
	if d.Truncate {
		body = body[:total/2]
	}
	pieceSize := max((total+d.Pieces-1)/d.Pieces, 1)
	for len(body) > 0 {
		n := min(pieceSize, len(body))
		if _, err := w.Write(body[:n]); err != nil {
			return UpstreamTruncated
		}
		body = body[n:]
		if d.Pieces > 1 || d.Truncate {
			_ = http.NewResponseController(w).Flush()
		}
		if len(body) > 0 && !sleepContext(ctx, d.PieceInterval) {
			return UpstreamTruncated
		}
	}
	if d.Truncate {
		return UpstreamTruncated
	}
	return UpstreamCompleted
}

// newRunContext returns a context that ends when the client disconnects and when Baobab-Timeout-Ms has expired, unless
// the behaviour ignores these.
func newRunContext(r *http.Request, b UpstreamBehaviour) (context.Context, context.CancelFunc) {
	ctx := r.Context()
	if b.IgnoreCancel {
		ctx = context.WithoutCancel(ctx)
	}
	ms, err := strconv.ParseInt(r.Header.Get("Baobab-Timeout-Ms"), 10, 32)
	if err != nil || b.IgnoreTimeout {
		return context.WithCancel(ctx)
	}
	return context.WithTimeout(ctx, time.Duration(ms)*time.Millisecond)
}

// sleepContext waits for d and returns false if ctx ends first.
func sleepContext(ctx context.Context, d time.Duration) bool {
	if d <= 0 {
		return ctx.Err() == nil
	}
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-timer.C:
		return true
	case <-ctx.Done():
		return false
	}
}

func writeUpstreamJSON(w http.ResponseWriter, v any) {
	w.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(w).Encode(v)
}
