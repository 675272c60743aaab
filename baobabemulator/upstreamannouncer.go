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

// An upstreamAnnouncer announces an upstream to its node periodically. It runs one goroutine, which stop ends.
type upstreamAnnouncer struct {
	nodeURL      string // Base URL of the node's announcement API.
	announcement func() (body map[string]any, enabled bool)
	wake         chan struct{} // Receives a value when an announcement is due at once.
	client       *http.Client
	tomb         tomb.Tomb
}

func newUpstreamAnnouncer(nodeURL string, announcement func() (map[string]any, bool)) *upstreamAnnouncer {
	a := &upstreamAnnouncer{
		nodeURL:      nodeURL,
		announcement: announcement,
		wake:         make(chan struct{}, 1),
		client:       &http.Client{Timeout: upstreamAnnounceTimeout, Transport: &http.Transport{}},
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
		case <-a.wake:
		}
	}
}

// announceNow makes run announce without waiting for the next interval.
func (a *upstreamAnnouncer) announceNow() {
	select {
	case a.wake <- struct{}{}:
	default:
	}
}

func (a *upstreamAnnouncer) stop() {
	a.tomb.Kill(nil)
	_ = a.tomb.Wait()
}

// announce sends one heartbeat. It ignores failures, because the next heartbeat follows.
func (a *upstreamAnnouncer) announce() {
	body, enabled := a.announcement()
	if !enabled {
		return
	}
	b, _ := json.Marshal(body)
	a.send(http.MethodPost, a.nodeURL+"/v1/announce", bytes.NewReader(b))
}

// deregister removes the announcement of the upstream from its node. It must be called after stop, so that no heartbeat
// follows.
func (a *upstreamAnnouncer) deregister(id string) {
	a.send(http.MethodDelete, a.nodeURL+"/v1/announce?upstream_id="+url.QueryEscape(id), nil)
	a.client.CloseIdleConnections()
}

func (a *upstreamAnnouncer) send(method, target string, body io.Reader) {
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
