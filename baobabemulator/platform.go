package baobabemulator

import (
	"encoding/json"
	"io"
	"net/http"
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

// A Platform is the stand-in of the platform: an http.Handler with the protocol of docs/platform-api.md, and
// with POST /v1/faults and GET /v1/counters for tests.
type Platform struct {
	table    *PlatformTable
	injector platformInjector
	meter    platformMeter
	writes   *rate.Limiter
	reads    *rate.Limiter
	mux      *http.ServeMux
}

// PlatformOption sets an optional property of a Platform.
type PlatformOption func(*Platform)

// WithPlatformRates sets the rates beyond which requests get status 429. The defaults are 400 writes/s and
// 2,000 reads/s.
func WithPlatformRates(writesPerSecond, readsPerSecond int) PlatformOption {
	return func(p *Platform) {
		p.writes = newPlatformLimiter(writesPerSecond)
		p.reads = newPlatformLimiter(readsPerSecond)
	}
}

// newPlatformLimiter allows bursts of a tenth of a second's requests.
func newPlatformLimiter(perSecond int) *rate.Limiter {
	return rate.NewLimiter(rate.Limit(perSecond), max(1, perSecond/10))
}

// NewPlatform returns an empty platform.
func NewPlatform(options ...PlatformOption) *Platform {
	p := &Platform{table: NewPlatformTable(), mux: http.NewServeMux()}
	WithPlatformRates(defaultWritesPerSecond, defaultReadsPerSecond)(p)
	for _, o := range options {
		o(p)
	}
	p.mux.HandleFunc("POST /v1/table/commit", p.limited(p.writes, true, p.commit))
	p.mux.HandleFunc("GET /v1/table/row", p.limited(p.reads, false, p.row))
	p.mux.HandleFunc("GET /v1/table/scan", p.limited(p.reads, false, p.scan))
	p.mux.HandleFunc("PUT /v1/objects/{name...}", p.limited(p.writes, true, p.putObject))
	p.mux.HandleFunc("GET /v1/objects/{name...}", p.limited(p.reads, false, p.getObject))
	p.mux.HandleFunc("POST /v1/faults", p.setFaults)
	p.mux.HandleFunc("GET /v1/faults", p.showFaults)
	p.mux.HandleFunc("GET /v1/counters", p.showCounters)
	return p
}

// ServeHTTP implements http.Handler.
func (p *Platform) ServeHTTP(w http.ResponseWriter, r *http.Request) { p.mux.ServeHTTP(w, r) }

// Faults returns the present faults.
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

// Counters returns the numbers of requests so far.
func (p *Platform) Counters() PlatformCounters { return p.meter.get() }

// platformAnswer is a status code and a JSON value, or raw data.
type platformAnswer struct {
	status int
	value  any
	data   []byte
}

type platformErrorJSON struct {
	Error  string         `json:"error"`
	Detail string         `json:"detail,omitempty"`
	Rows   []platform.Row `json:"rows,omitempty"`
}

// limited applies rates and faults around a handler. The body is read whole before the handler runs, so a
// truncated request never has an effect. A delayed write takes effect even when its client has gone.
func (p *Platform) limited(l *rate.Limiter, write bool, handle func(*http.Request, []byte) platformAnswer) http.HandlerFunc {
	return func(w http.ResponseWriter, r *http.Request) {
		body, err := io.ReadAll(http.MaxBytesReader(w, r.Body, platform.MaxObjectBytes))
		if err != nil {
			writePlatformAnswer(w, platformFailure(platform.NewError("read body", platform.KindInvalid, err)))
			return
		}
		verdict := p.injector.decide(write)
		if verdict == platformDrop {
			panic(http.ErrAbortHandler)
		}
		if !l.Allow() {
			p.meter.countThrottled()
			writePlatformAnswer(w, platformFailure(platform.NewError("", platform.KindThrottled, nil)))
			return
		}
		time.Sleep(p.injector.delay())
		if verdict == platformRefuse {
			writePlatformAnswer(w, platformFailure(platform.NewError("", platform.KindUnavailable, nil)))
			return
		}
		p.meter.count(time.Now(), write)
		a := handle(r, body)
		if verdict == platformLose {
			panic(http.ErrAbortHandler)
		}
		writePlatformAnswer(w, a)
	}
}

func (p *Platform) commit(_ *http.Request, body []byte) platformAnswer {
	if len(body) > platform.MaxCommitBytes {
		return platformFailure(platform.NewError("commit", platform.KindInvalid, errors.New("body is too large")))
	}
	var tx platform.Transaction
	if err := json.Unmarshal(body, &tx); err != nil {
		return platformFailure(platform.NewError("commit", platform.KindInvalid, err))
	}
	revision, err := p.table.commit(tx)
	if err != nil {
		return platformFailure(err)
	}
	p.meter.countRows(len(tx.Writes()))
	return platformAnswer{status: http.StatusOK, value: map[string]uint64{"revision": revision}}
}

func (p *Platform) row(r *http.Request, _ []byte) platformAnswer {
	row, ok := p.table.get(r.URL.Query().Get("key"))
	if !ok {
		return platformFailure(platform.NewError("get", platform.KindNotFound, nil))
	}
	return platformAnswer{status: http.StatusOK, value: row}
}

func (p *Platform) scan(r *http.Request, _ []byte) platformAnswer {
	rows := p.table.scan(r.URL.Query().Get("prefix"))
	return platformAnswer{status: http.StatusOK, value: map[string][]platform.Row{"rows": rows}}
}

func (p *Platform) putObject(r *http.Request, body []byte) platformAnswer {
	if err := p.table.putObject(r.PathValue("name"), body); err != nil {
		return platformFailure(err)
	}
	return platformAnswer{status: http.StatusOK, value: struct{}{}}
}

func (p *Platform) getObject(r *http.Request, _ []byte) platformAnswer {
	b, err := p.table.getObject(r.PathValue("name"))
	if err != nil {
		return platformFailure(err)
	}
	return platformAnswer{status: http.StatusOK, data: b}
}

func (p *Platform) setFaults(w http.ResponseWriter, r *http.Request) {
	f := p.injector.get()
	d := json.NewDecoder(http.MaxBytesReader(w, r.Body, maxPlatformFaultsBytes))
	d.DisallowUnknownFields()
	err := d.Decode(&f)
	if err == nil {
		err = p.SetFaults(f)
	}
	if err != nil {
		writePlatformAnswer(w, platformFailure(platform.NewError("faults", platform.KindInvalid, err)))
		return
	}
	p.showFaults(w, r)
}

func (p *Platform) showFaults(w http.ResponseWriter, _ *http.Request) {
	writePlatformAnswer(w, platformAnswer{status: http.StatusOK, value: p.injector.get()})
}

func (p *Platform) showCounters(w http.ResponseWriter, _ *http.Request) {
	writePlatformAnswer(w, platformAnswer{status: http.StatusOK, value: p.meter.get()})
}

func platformFailure(err error) platformAnswer {
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
	return platformAnswer{status: status, value: j}
}

func writePlatformAnswer(w http.ResponseWriter, a platformAnswer) {
	contentType := "application/octet-stream"
	if a.value != nil {
		b, err := json.Marshal(a.value)
		if err != nil {
			panic(http.ErrAbortHandler) // Only plain values are marshalled; an abort is seen as a lost answer.
		}
		a.data, contentType = b, "application/json"
	}
	w.Header().Set("Content-Type", contentType)
	w.WriteHeader(a.status)
	// A failed write means that the client has gone, which the client sees by itself.
	_, _ = w.Write(a.data)
}
