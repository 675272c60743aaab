package baobabemulator

import (
	"bytes"
	"context"
	"encoding/json"
	"io"
	"net/http"
	"net/url"
	"time"

	"gopkg.in/tomb.v2"
)

const (
	upstreamAnnounceInterval = time.Second
	upstreamAnnounceTimeout  = 2 * time.Second
)

// upstreamAnnouncer tells the upstream's node about it. It owns one goroutine, ended by stop.
type upstreamAnnouncer struct {
	node     string // Base URL of the node's announcement API.
	describe func() (body map[string]any, send bool)
	now      chan struct{} // Receives a value to announce at once.
	client   *http.Client
	tomb     tomb.Tomb
}

func newUpstreamAnnouncer(node string, describe func() (map[string]any, bool)) *upstreamAnnouncer {
	a := &upstreamAnnouncer{
		node:     node,
		describe: describe,
		now:      make(chan struct{}, 1),
		client:   &http.Client{Timeout: upstreamAnnounceTimeout, Transport: &http.Transport{}},
	}
	a.tomb.Go(a.run)
	return a
}

func (a *upstreamAnnouncer) run() error {
	defer a.client.CloseIdleConnections()
	ticker := time.NewTicker(upstreamAnnounceInterval)
	defer ticker.Stop()
	for {
		a.announce()
		select {
		case <-a.tomb.Dying():
			return nil
		case <-ticker.C:
		case <-a.now:
		}
	}
}

func (a *upstreamAnnouncer) trigger() {
	select {
	case a.now <- struct{}{}:
	default:
	}
}

func (a *upstreamAnnouncer) stop() {
	a.tomb.Kill(nil)
	_ = a.tomb.Wait()
}

// announce sends one heartbeat. A failure needs no handling, because the next heartbeat follows.
func (a *upstreamAnnouncer) announce() {
	body, send := a.describe()
	if !send {
		return
	}
	b, _ := json.Marshal(body)
	a.do(http.MethodPost, a.node+"/v1/announce", bytes.NewReader(b))
}

// leave removes the upstream from its node. Call it after stop, so that no heartbeat follows.
func (a *upstreamAnnouncer) leave(id string) {
	a.do(http.MethodDelete, a.node+"/v1/announce?upstream_id="+url.QueryEscape(id), nil)
	a.client.CloseIdleConnections()
}

func (a *upstreamAnnouncer) do(method, target string, body io.Reader) {
	ctx, cancel := context.WithTimeout(context.Background(), upstreamAnnounceTimeout)
	defer cancel()
	request, err := http.NewRequestWithContext(ctx, method, target, body)
	if err != nil {
		return
	}
	response, err := a.client.Do(request)
	if err != nil {
		return
	}
	_, _ = io.Copy(io.Discard, response.Body)
	_ = response.Body.Close()
}
