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
	// maxFieldValueBytes is the maximum size of the caller identity, the rank and the idempotency key, which are stored
	// in tables.
	maxFieldValueBytes = 256
	// maxTimeout caps Baobab-Timeout-Ms, so that the deadline cannot overflow.
	maxTimeout = 24 * time.Hour
)

// readCall reads the complete request and returns it as a call, or a refusal for the caller.
func (h *Handler) readCall(w http.ResponseWriter, r *http.Request, now time.Time, id string) (*call.Call, *call.Refusal) {
	if headerBytes(r.Header) > h.maxHeaderBytes {
		return nil, notRunRefusal(call.ReasonOverSize, "header is larger than %d bytes", h.maxHeaderBytes)
	}
	if r.Method == http.MethodConnect {
		return nil, notRunRefusal(call.ReasonMalformed, "method CONNECT is not supported")
	}
	options, refusal := h.readCallOptions(r.Header, now)
	if refusal != nil {
		return nil, refusal
	}
	parentID, refusal := h.parentID(r.Header, id)
	if refusal != nil {
		return nil, refusal
	}
	caller, refusal := h.callerIdentity(r)
	if refusal != nil {
		return nil, refusal
	}
	body, refusal := h.readBody(w, r)
	if refusal != nil {
		return nil, refusal
	}
	header := h.forwardableHeader(r.Header, h.headerNames.Name(call.FieldIdempotencyKey), "Content-Length", "Expect")
	h.setField(header, call.FieldCallerService, h.callerService)
	field := h.headerNames.Name(call.FieldCredential)
	options = append(options, call.WithBody(body), call.WithHeader(header), call.WithParentID(parentID),
		call.WithCredential(call.ReadCredential(r.Header, field), field))
	return call.NewCall(id, caller, r.Method, r.Host, requestTarget(r), options...), nil
}

// requestTarget returns the path and query as the caller sent them. Encoding the parsed URL again could change the path.
func requestTarget(r *http.Request) string {
	if strings.HasPrefix(r.RequestURI, "/") {
		return r.RequestURI
	}
	return r.URL.RequestURI()
}

func (h *Handler) readCallOptions(header http.Header, now time.Time) ([]call.Option, *call.Refusal) {
	rank, refusal := readSingleValue(header, h.headerNames.Name(call.FieldRank))
	if refusal != nil {
		return nil, refusal
	}
	key, refusal := readSingleValue(header, h.headerNames.Name(call.FieldIdempotencyKey))
	if refusal != nil {
		return nil, refusal
	}
	deadline, refusal := readDeadline(header, h.headerNames.Name(call.FieldTimeout), now)
	if refusal != nil {
		return nil, refusal
	}
	retried, refusal := readRetried(header, h.headerNames.Name(call.FieldRetried))
	if refusal != nil {
		return nil, refusal
	}
	options := []call.Option{call.WithRank(rank), call.WithIdempotencyKey(key), call.WithDeadline(deadline)}
	if retried {
		options = append(options, call.WithRetried())
	}
	return options, nil
}

// readSingleValue returns the only value of a field, or an empty string if it is missing. Several values are refused,
// because callers and upstreams could interpret them differently.
func readSingleValue(header http.Header, name string) (string, *call.Refusal) {
	values := header[name]
	if name == "" || len(values) == 0 {
		return "", nil
	}
	if len(values) > 1 || len(values[0]) > maxFieldValueBytes {
		return "", notRunRefusal(call.ReasonMalformed, "%s must be one value of at most %d bytes", name, maxFieldValueBytes)
	}
	return values[0], nil
}

func readDeadline(header http.Header, name string, now time.Time) (time.Time, *call.Refusal) {
	text, refusal := readSingleValue(header, name)
	if refusal != nil || text == "" {
		return time.Time{}, refusal
	}
	ms, err := strconv.ParseUint(text, 10, 63)
	if err != nil {
		return time.Time{}, notRunRefusal(call.ReasonMalformed, "%s must be a number of milliseconds", name)
	}
	if ms > uint64(maxTimeout.Milliseconds()) {
		return now.Add(maxTimeout), nil
	}
	return now.Add(time.Duration(ms) * time.Millisecond), nil
}

func readRetried(header http.Header, name string) (bool, *call.Refusal) {
	text, refusal := readSingleValue(header, name)
	if refusal != nil || text == "" {
		return false, refusal
	}
	retried, err := strconv.ParseBool(text)
	if err != nil {
		return false, notRunRefusal(call.ReasonMalformed, "%s must be 0 or 1", name)
	}
	return retried, nil
}

// callerIdentity returns the identity in the request or, without one, the caller's IP address.
func (h *Handler) callerIdentity(r *http.Request) (string, *call.Refusal) {
	caller, refusal := readSingleValue(r.Header, h.headerNames.Name(call.FieldCaller))
	if refusal != nil || caller != "" {
		return caller, refusal
	}
	// In tests the remote address may have no port.
	if host, _, err := net.SplitHostPort(r.RemoteAddr); err == nil {
		return host, nil
	}
	return r.RemoteAddr, nil
}

// errBodyMemory means that the bodies of the calls in progress use all of the body memory.
var errBodyMemory = errors.New("body memory exhausted")

// bodyMemoryReader reserves body memory for what it reads.
type bodyMemoryReader struct {
	io.Reader
	memory   *call.BodyMemory
	reserved int64
}

// Read implements io.Reader.
func (r *bodyMemoryReader) Read(p []byte) (int, error) {
	n, err := r.Reader.Read(p)
	if !r.memory.Reserve(int64(n)) {
		return 0, errBodyMemory
	}
	r.reserved += int64(n)
	return n, err
}

// readBody reads the complete body within the limits on size, time and memory. The memory of a returned body stays
// reserved until serveCall releases it; that of a refused body is released here.
func (h *Handler) readBody(w http.ResponseWriter, r *http.Request) ([]byte, *call.Refusal) {
	if r.Body == nil || r.Body == http.NoBody {
		return nil, nil
	}
	if r.ContentLength > h.maxBodyBytes {
		return nil, h.bodyTooLarge()
	}
	// The deadline of a connection uses the system clock, not h.clock. It is cleared after the body, because its expiry
	// would cancel the request's context.
	controller := http.NewResponseController(w)
	_ = controller.SetReadDeadline(time.Now().Add(h.bodyTimeout))
	reader := &bodyMemoryReader{Reader: http.MaxBytesReader(w, r.Body, h.maxBodyBytes), memory: h.bodyMemory}
	body, err := io.ReadAll(reader)
	if err == nil {
		_ = controller.SetReadDeadline(time.Time{})
		return body, nil
	}
	h.bodyMemory.Release(reader.reserved)
	if errors.Is(err, errBodyMemory) {
		return nil, notRunRefusal(call.ReasonQueueFull, "the bodies of calls in progress fill the node's memory").
			WithRetryAfter(time.Second)
	}
	if _, ok := errors.AsType[*http.MaxBytesError](err); ok {
		return nil, h.bodyTooLarge()
	}
	return nil, notRunRefusal(call.ReasonMalformed, "body is incomplete: %v", err)
}

func (h *Handler) bodyTooLarge() *call.Refusal {
	return notRunRefusal(call.ReasonOverSize, "body is larger than %d bytes", h.maxBodyBytes)
}

// notRunRefusal returns a refusal of a call that no upstream started.
func notRunRefusal(reason call.Reason, format string, arguments ...any) *call.Refusal {
	return call.NewRefusal(reason, call.OutcomeNotRun, fmt.Sprintf(format, arguments...))
}
