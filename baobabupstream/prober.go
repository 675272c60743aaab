package baobabupstream

import (
	"context"
	"encoding/json"
	"io"
	"net/http"
	"time"

	"gopkg.in/tomb.v2"

	"github.com/baobabdale/baobabdale/baobabresponse"
)

const (
	defaultProbeInterval = time.Second
	defaultProbeTimeout  = 500 * time.Millisecond
	maxProbeBytes        = 64 << 10
)

// HealthPath is the path at which an upstream answers with 200 OK while it is healthy.
const HealthPath = "/health"

// A Prober probes an upstream's health and load endpoints at an interval. It owns one goroutine, which Stop ends, and
// one connection.
type Prober struct {
	address   string
	interval  time.Duration
	timeout   time.Duration
	observe   func(ProbeResult)
	transport *baobabresponse.Transport
	tomb      tomb.Tomb
}

// ProberOption sets an optional property of a Prober.
type ProberOption func(*Prober)

// WithProbeInterval sets the time between probes.
func WithProbeInterval(d time.Duration) ProberOption { return func(p *Prober) { p.interval = d } }

// WithProbeTimeout sets the time within which both endpoints must answer.
func WithProbeTimeout(d time.Duration) ProberOption { return func(p *Prober) { p.timeout = d } }

// NewProber starts a prober that passes each result to observe.
func NewProber(address string, observe func(ProbeResult), options ...ProberOption) *Prober {
	p := &Prober{
		address:  address,
		interval: defaultProbeInterval,
		timeout:  defaultProbeTimeout,
		observe:  observe,
		transport: baobabresponse.NewTransport(&http.Transport{
			MaxConnsPerHost: probeConnections, MaxIdleConnsPerHost: probeConnections, MaxResponseHeaderBytes: maxAnswerHeaderBytes,
		}),
	}
	for _, o := range options {
		o(p)
	}
	p.tomb.Go(p.run)
	return p
}

// Stop stops the prober and waits for its goroutine to end.
func (p *Prober) Stop() {
	p.tomb.Kill(nil)
	_ = p.tomb.Wait()
}

func (p *Prober) run() error {
	defer p.transport.CloseIdleConnections()
	ticker := time.NewTicker(p.interval)
	defer ticker.Stop()
	for {
		result := p.probe(p.tomb.Context(context.Background()))
		if !p.tomb.Alive() {
			return nil
		}
		p.observe(result)
		select {
		case <-p.tomb.Dying():
			return nil
		case <-ticker.C:
		}
	}
}

func (p *Prober) probe(ctx context.Context) ProbeResult {
	ctx, cancel := context.WithTimeout(ctx, p.timeout)
	defer cancel()
	var r ProbeResult
	_, r.healthy = p.get(ctx, HealthPath)
	if body, ok := p.get(ctx, "/load"); ok {
		r.parseLoad(body)
	}
	r.at = time.Now()
	return r
}

// parseLoad stores the load report in body. It ignores a malformed one, because the report is only a hint.
func (r *ProbeResult) parseLoad(body []byte) {
	var j struct {
		InFlight int `json:"in_flight"`
		Queued   int `json:"queued"`
	}
	if json.Unmarshal(body, &j) != nil || j.InFlight < 0 || j.Queued < 0 {
		return
	}
	r.inFlight, r.queued, r.hasLoad = j.InFlight, j.Queued, true
}

func (p *Prober) get(ctx context.Context, path string) ([]byte, bool) {
	request, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+p.address+path, nil)
	if err != nil {
		return nil, false
	}
	response, err := p.transport.RoundTrip(request)
	if err != nil {
		return nil, false
	}
	defer response.Body.Close()
	body, err := io.ReadAll(io.LimitReader(response.Body, maxProbeBytes))
	return body, err == nil && response.StatusCode == http.StatusOK
}
