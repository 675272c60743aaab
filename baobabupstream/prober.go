package baobabupstream

import (
	"context"
	"encoding/json"
	"io"
	"net/http"
	"time"

	"gopkg.in/tomb.v2"
)

const (
	defaultProbeInterval = time.Second
	defaultProbeTimeout  = 500 * time.Millisecond
	maxProbeBytes        = 64 << 10
)

// A Prober asks an upstream's health and load endpoints for hints. It owns one goroutine, ended by Stop, and one
// connection.
type Prober struct {
	address   string
	interval  time.Duration
	timeout   time.Duration
	observe   func(Hint)
	transport *http.Transport
	tomb      tomb.Tomb
}

// ProberOption sets an optional property of a Prober.
type ProberOption func(*Prober)

// WithProbeInterval sets the time between probes.
func WithProbeInterval(d time.Duration) ProberOption { return func(p *Prober) { p.interval = d } }

// WithProbeTimeout sets the time in which both endpoints must answer.
func WithProbeTimeout(d time.Duration) ProberOption { return func(p *Prober) { p.timeout = d } }

// NewProber returns a started prober that hands each hint to observe.
func NewProber(address string, observe func(Hint), options ...ProberOption) *Prober {
	p := &Prober{
		address:   address,
		interval:  defaultProbeInterval,
		timeout:   defaultProbeTimeout,
		observe:   observe,
		transport: &http.Transport{MaxConnsPerHost: probeConnections, MaxIdleConnsPerHost: probeConnections},
	}
	for _, o := range options {
		o(p)
	}
	p.tomb.Go(p.run)
	return p
}

// Stop ends the prober and waits for it.
func (p *Prober) Stop() {
	p.tomb.Kill(nil)
	_ = p.tomb.Wait()
}

func (p *Prober) run() error {
	defer p.transport.CloseIdleConnections()
	ticker := time.NewTicker(p.interval)
	defer ticker.Stop()
	for {
		hint := p.probe(p.tomb.Context(context.Background()))
		if !p.tomb.Alive() {
			return nil
		}
		p.observe(hint)
		select {
		case <-p.tomb.Dying():
			return nil
		case <-ticker.C:
		}
	}
}

func (p *Prober) probe(ctx context.Context) Hint {
	ctx, cancel := context.WithTimeout(ctx, p.timeout)
	defer cancel()
	var h Hint
	_, h.healthy = p.get(ctx, "/health")
	if body, ok := p.get(ctx, "/load"); ok {
		h.setLoad(body)
	}
	h.at = time.Now()
	return h
}

// setLoad takes a load report and ignores one that it cannot read: it is only a hint.
func (h *Hint) setLoad(body []byte) {
	var j struct {
		InFlight int `json:"in_flight"`
		Queued   int `json:"queued"`
	}
	if json.Unmarshal(body, &j) != nil || j.InFlight < 0 || j.Queued < 0 {
		return
	}
	h.inFlight, h.queued, h.loaded = j.InFlight, j.Queued, true
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
