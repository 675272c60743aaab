package baobabemulator

import (
	"encoding/json"
	"io"
	"net/http"
	"strconv"
	"time"

	"github.com/pkg/errors"
	"golang.org/x/time/rate"

	platform "github.com/baobabdale/baobabdale/baobabplatform"
)

const (
	defaultWritesPerSecond = 400
	defaultReadsPerSecond  = 2000
	maxPlatformFaultsBytes = 4096
)

// A Platform is the emulated platform: an http.Handler with the protocol of docs/platform-api.md, and with
// /v1/faults and /v1/counters for tests.
type Platform struct {
	table    *PlatformTable
	injector platformFaultInjector
	meter    platformMeter
	writes   *rate.Limiter
	reads    *rate.Limiter
	mux      *http.ServeMux
}

// PlatformOption sets an optional property of a Platform.
type PlatformOption func(*Platform)

// WithPlatformRates sets the rates above which requests get status 429. The defaults are 400 writes/s and
// 2,000 reads/s.
func WithPlatformRates(writesPerSecond, readsPerSecond int) PlatformOption {
	return func(p *Platform) {
		p.writes = newPlatformRateLimiter(writesPerSecond)
		p.reads = newPlatformRateLimiter(readsPerSecond)
	}
}

// newPlatformRateLimiter returns a limiter that allows bursts of as many requests as the rate allows in 100 ms.
func newPlatformRateLimiter(perSecond int) *rate.Limiter {
	return rate.NewLimiter(rate.Limit(perSecond), max(1, perSecond/10))
}

// NewPlatform returns an empty platform.
func NewPlatform(options ...PlatformOption) *Platform {
	p := &Platform{table: NewPlatformTable(), mux: http.NewServeMux()}
	WithPlatformRates(defaultWritesPerSecond, defaultReadsPerSecond)(p)
	for _, o := range options {
		o(p)
	}
	p.mux.HandleFunc("POST /v1/table/commit", p.withLimitsAndFaults(p.writes, true, p.handleCommit))
	p.mux.HandleFunc("GET /v1/table/row", p.withLimitsAndFaults(p.reads, false, p.handleGetRow))
	p.mux.HandleFunc("GET /v1/table/scan", p.withLimitsAndFaults(p.reads, false, p.handleScan))
	p.mux.HandleFunc("PUT /v1/objects/{name...}", p.withLimitsAndFaults(p.writes, true, p.handlePutObject))
	p.mux.HandleFunc("GET /v1/objects/{name...}", p.withLimitsAndFaults(p.reads, false, p.handleGetObject))
	p.mux.HandleFunc("POST /v1/faults", p.handleSetFaults)
	p.mux.HandleFunc("GET /v1/faults", p.handleGetFaults)
	p.mux.HandleFunc("GET /v1/counters", p.handleGetCounters)
	p.mux.HandleFunc("POST /v1/copy", func(http.ResponseWriter, *http.Request) { p.table.makeCopy() })
	p.mux.HandleFunc("POST /v1/restore", p.handleRestore)
	return p
}

// ServeHTTP implements http.Handler.
func (p *Platform) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	w.Header().Set(platform.EraField, strconv.FormatUint(p.table.currentEra(), 10))
	p.mux.ServeHTTP(w, r)
}

// handleRestore brings the platform back from its last copy.
func (p *Platform) handleRestore(w http.ResponseWriter, _ *http.Request) {
	if !p.table.restore() {
		writePlatformResponse(w, platformErrorResponse(platform.NewError("restore", platform.KindNotFound, nil)))
	}
}

// Faults returns the current faults.
func (p *Platform) Faults() PlatformFaults { return p.injector.get() }

// SetFaults replaces the faults.
func (p *Platform) SetFaults(f PlatformFaults) error {
	if err := f.Validate(); err != nil {
		return err
	}
	p.table.SetStaleReads(f.StaleReads)
	p.injector.set(f)
	return nil
}

// Counters returns the request counts so far.
func (p *Platform) Counters() PlatformCounters { return p.meter.get() }

// platformResponse is a status code with a JSON value or, if value is nil, raw data.
type platformResponse struct {
	status int
	value  any
	data   []byte
}

type platformErrorJSON struct {
	Error  string         `json:"error"`
	Detail string         `json:"detail,omitempty"`
	Rows   []platform.Row `json:"rows,omitempty"`
}

// withLimitsAndFaults returns a handler that applies the rate limit and the faults before and after handle. The body is
// read completely before, so a truncated request has no effect. A delayed write takes effect even if its client has gone.
func (p *Platform) withLimitsAndFaults(
	l *rate.Limiter, write bool, handle func(*http.Request, []byte) platformResponse,
) http.HandlerFunc {
	return func(w http.ResponseWriter, r *http.Request) {
		body, err := io.ReadAll(http.MaxBytesReader(w, r.Body, platform.MaxObjectBytes))
		if err != nil {
			writePlatformResponse(w, platformErrorResponse(platform.NewError("read body", platform.KindInvalid, err)))
			return
		}
		action := p.injector.nextAction(write)
		if action == platformCloseConnection {
			panic(http.ErrAbortHandler)
		}
		if !l.Allow() {
			p.meter.countThrottled()
			writePlatformResponse(w, platformErrorResponse(platform.NewError("", platform.KindThrottled, nil)))
			return
		}
		time.Sleep(p.injector.delay())
		if action == platformRefuse {
			writePlatformResponse(w, platformErrorResponse(platform.NewError("", platform.KindUnavailable, nil)))
			return
		}
		p.meter.count(time.Now(), write)
		a := handle(r, body)
		if action == platformLoseResponse {
			panic(http.ErrAbortHandler)
		}
		writePlatformResponse(w, a)
	}
}

func (p *Platform) handleCommit(_ *http.Request, body []byte) platformResponse {
	if len(body) > platform.MaxCommitBytes {
		return platformErrorResponse(platform.NewError("commit", platform.KindInvalid, errors.New("body is too large")))
	}
	var tx platform.Transaction
	if err := json.Unmarshal(body, &tx); err != nil {
		return platformErrorResponse(platform.NewError("commit", platform.KindInvalid, err))
	}
	revision, err := p.table.commit(tx)
	if err != nil {
		return platformErrorResponse(err)
	}
	p.meter.countRows(len(tx.Writes()))
	return platformResponse{status: http.StatusOK, value: map[string]uint64{"revision": revision}}
}

func (p *Platform) handleGetRow(r *http.Request, _ []byte) platformResponse {
	row, ok := p.table.get(r.URL.Query().Get("key"))
	if !ok {
		return platformErrorResponse(platform.NewError("get", platform.KindNotFound, nil))
	}
	return platformResponse{status: http.StatusOK, value: row}
}

func (p *Platform) handleScan(r *http.Request, _ []byte) platformResponse {
	rows := p.table.scan(r.URL.Query().Get("prefix"))
	return platformResponse{status: http.StatusOK, value: map[string][]platform.Row{"rows": rows}}
}

func (p *Platform) handlePutObject(r *http.Request, body []byte) platformResponse {
	if err := p.table.putObject(r.PathValue("name"), body); err != nil {
		return platformErrorResponse(err)
	}
	return platformResponse{status: http.StatusOK, value: struct{}{}}
}

func (p *Platform) handleGetObject(r *http.Request, _ []byte) platformResponse {
	b, err := p.table.getObject(r.PathValue("name"))
	if err != nil {
		return platformErrorResponse(err)
	}
	return platformResponse{status: http.StatusOK, data: b}
}

func (p *Platform) handleSetFaults(w http.ResponseWriter, r *http.Request) {
	f := p.injector.get()
	d := json.NewDecoder(http.MaxBytesReader(w, r.Body, maxPlatformFaultsBytes))
	d.DisallowUnknownFields()
	err := d.Decode(&f)
	if err == nil {
		err = p.SetFaults(f)
	}
	if err != nil {
		writePlatformResponse(w, platformErrorResponse(platform.NewError("faults", platform.KindInvalid, err)))
		return
	}
	p.handleGetFaults(w, r)
}

func (p *Platform) handleGetFaults(w http.ResponseWriter, _ *http.Request) {
	writePlatformResponse(w, platformResponse{status: http.StatusOK, value: p.injector.get()})
}

func (p *Platform) handleGetCounters(w http.ResponseWriter, _ *http.Request) {
	writePlatformResponse(w, platformResponse{status: http.StatusOK, value: p.meter.get()})
}

func platformErrorResponse(err error) platformResponse {
	j := platformErrorJSON{Error: string(platform.KindOf(err)), Detail: err.Error()}
	status := http.StatusInternalServerError
	switch platform.KindOf(err) {
	case platform.KindConflict:
		status = http.StatusConflict
		var e *platform.Error
		if errors.As(err, &e) {
			j.Rows = e.Rows()
		}
	case platform.KindInvalid:
		status = http.StatusBadRequest
	case platform.KindNotFound:
		status = http.StatusNotFound
	case platform.KindThrottled:
		status = http.StatusTooManyRequests
	case platform.KindUnavailable:
		status = http.StatusServiceUnavailable
	}
	return platformResponse{status: status, value: j}
}

func writePlatformResponse(w http.ResponseWriter, a platformResponse) {
	contentType := "application/octet-stream"
	if a.value != nil {
		b, err := json.Marshal(a.value)
		if err != nil {
			panic(http.ErrAbortHandler) // All values can be marshalled; a client sees the abort as a lost response.
		}
		a.data, contentType = b, "application/json"
	}
	w.Header().Set("Content-Type", contentType)
	w.WriteHeader(a.status)
	// A write fails only if the client has gone, so there is no one to report it to.
	_, _ = w.Write(a.data)
}
