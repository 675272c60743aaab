package baobabcaller

import (
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"strconv"
	"strings"
	"time"

	call "github.com/baobabdale/baobabdale/baobabcall"
)

const (
	// maxNameBytes bounds the caller identity, the rank and the idempotency key, which are kept in tables.
	maxNameBytes = 256
	// maxTimeout bounds Baobab-Timeout-Ms so that it cannot overflow.
	maxTimeout = 24 * time.Hour
)

// readCall reads the request whole and returns it as a call, or the refusal for the caller.
func (h *Handler) readCall(w http.ResponseWriter, r *http.Request, now time.Time, id string) (*call.Call, *call.Refusal) {
	if headerBytes(r.Header) > h.maxHeaderBytes {
		return nil, notRun(call.ReasonOverSize, "header is larger than %d bytes", h.maxHeaderBytes)
	}
	if r.Method == http.MethodConnect {
		return nil, notRun(call.ReasonMalformed, "method CONNECT is not supported")
	}
	options, refusal := h.readOptions(r.Header, now)
	if refusal != nil {
		return nil, refusal
	}
	caller, refusal := h.readCaller(r)
	if refusal != nil {
		return nil, refusal
	}
	body, refusal := h.readBody(w, r)
	if refusal != nil {
		return nil, refusal
	}
	header := h.forwardable(r.Header, h.fields.Name(call.FieldIdempotencyKey), "Content-Length", "Expect")
	h.setField(header, call.FieldCallerService, h.service)
	options = append(options, call.WithBody(body), call.WithHeader(header))
	return call.NewCall(id, caller, r.Method, r.Host, targetOf(r), options...), nil
}

// targetOf returns the path and query as the caller sent them. Encoding the parsed form again could change the path.
func targetOf(r *http.Request) string {
	if strings.HasPrefix(r.RequestURI, "/") {
		return r.RequestURI
	}
	return r.URL.RequestURI()
}

func (h *Handler) readOptions(header http.Header, now time.Time) ([]call.Option, *call.Refusal) {
	rank, refusal := readName(header, h.fields.Name(call.FieldRank))
	if refusal != nil {
		return nil, refusal
	}
	key, refusal := readName(header, h.fields.Name(call.FieldIdempotencyKey))
	if refusal != nil {
		return nil, refusal
	}
	deadline, refusal := readDeadline(header, h.fields.Name(call.FieldTimeout), now)
	if refusal != nil {
		return nil, refusal
	}
	retried, refusal := readRetried(header, h.fields.Name(call.FieldRetried))
	if refusal != nil {
		return nil, refusal
	}
	options := []call.Option{call.WithRank(rank), call.WithIdempotencyKey(key), call.WithDeadline(deadline)}
	if retried {
		options = append(options, call.WithRetried())
	}
	return options, nil
}

// readName returns the only value of a field, or an empty string. Two values are refused, because callers and
// upstreams could read them differently.
func readName(header http.Header, name string) (string, *call.Refusal) {
	values := header[name]
	if name == "" || len(values) == 0 {
		return "", nil
	}
	if len(values) > 1 || len(values[0]) > maxNameBytes {
		return "", notRun(call.ReasonMalformed, "%s must be one value of at most %d bytes", name, maxNameBytes)
	}
	return values[0], nil
}

func readDeadline(header http.Header, name string, now time.Time) (time.Time, *call.Refusal) {
	text, refusal := readName(header, name)
	if refusal != nil || text == "" {
		return time.Time{}, refusal
	}
	ms, err := strconv.ParseUint(text, 10, 63)
	if err != nil {
		return time.Time{}, notRun(call.ReasonMalformed, "%s must be a number of milliseconds", name)
	}
	if ms > uint64(maxTimeout.Milliseconds()) {
		return now.Add(maxTimeout), nil
	}
	return now.Add(time.Duration(ms) * time.Millisecond), nil
}

func readRetried(header http.Header, name string) (bool, *call.Refusal) {
	text, refusal := readName(header, name)
	if refusal != nil || text == "" {
		return false, refusal
	}
	retried, err := strconv.ParseBool(text)
	if err != nil {
		return false, notRun(call.ReasonMalformed, "%s must be 0 or 1", name)
	}
	return retried, nil
}

func (h *Handler) readCaller(r *http.Request) (string, *call.Refusal) {
	caller, refusal := readName(r.Header, h.fields.Name(call.FieldCaller))
	if refusal != nil || caller != "" {
		return caller, refusal
	}
	// A test may serve on an address without a port.
	if host, _, err := net.SplitHostPort(r.RemoteAddr); err == nil {
		return host, nil
	}
	return r.RemoteAddr, nil
}

// errMemory means that the bodies of the calls in progress leave no room.
var errMemory = errors.New("no memory left for bodies")

// memoryReader takes memory for what it reads.
type memoryReader struct {
	io.Reader
	memory *call.Memory
	taken  int64
}

// Read implements io.Reader.
func (r *memoryReader) Read(p []byte) (int, error) {
	n, err := r.Reader.Read(p)
	if !r.memory.Take(int64(n)) {
		return 0, errMemory
	}
	r.taken += int64(n)
	return n, err
}

// readBody reads the body whole within the limits of size, time and memory. The memory of a body that is returned is taken;
// that of a refused one is not.
func (h *Handler) readBody(w http.ResponseWriter, r *http.Request) ([]byte, *call.Refusal) {
	if r.Body == nil || r.Body == http.NoBody {
		return nil, nil
	}
	if r.ContentLength > h.maxBodyBytes {
		return nil, h.refuseBody()
	}
	// A connection's deadline is on the real clock. It is lifted again afterwards, because an expired one would cancel the request's context.
	controller := http.NewResponseController(w)
	_ = controller.SetReadDeadline(time.Now().Add(h.bodyTimeout))
	reader := &memoryReader{Reader: http.MaxBytesReader(w, r.Body, h.maxBodyBytes), memory: h.memory}
	body, err := io.ReadAll(reader)
	if err == nil {
		_ = controller.SetReadDeadline(time.Time{})
		return body, nil
	}
	h.memory.Give(reader.taken)
	if errors.Is(err, errMemory) {
		return nil, notRun(call.ReasonQueueFull, "the bodies of calls in progress fill the node's memory").WithRetryAfter(time.Second)
	}
	if _, ok := errors.AsType[*http.MaxBytesError](err); ok {
		return nil, h.refuseBody()
	}
	return nil, notRun(call.ReasonMalformed, "body is incomplete: %v", err)
}

func (h *Handler) refuseBody() *call.Refusal {
	return notRun(call.ReasonOverSize, "body is larger than %d bytes", h.maxBodyBytes)
}

func notRun(reason call.Reason, format string, arguments ...any) *call.Refusal {
	return call.NewRefusal(reason, call.OutcomeNotRun, fmt.Sprintf(format, arguments...))
}
