package baobabnode

import (
	"context"
	"fmt"
	"net/http"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"github.com/charmbracelet/log"
	"github.com/pkg/errors"

	response "github.com/baobabdale/baobabdale/baobabresponse"
	upstream "github.com/baobabdale/baobabdale/baobabupstream"
)

const (
	// verificationPeriod is how long after the start of a node announcements may be late ones of upstreams whose leaving an
	// earlier process has acknowledged.
	verificationPeriod = time.Minute
	// upstreamCheckTimeout bounds one check. A health check may wait for a slot of the upstream.
	upstreamCheckTimeout = time.Second
	// upstreamCheckPauseMin and upstreamCheckPauseMax bound the pause between checks of an upstream that has not passed one.
	upstreamCheckPauseMin = 50 * time.Millisecond
	upstreamCheckPauseMax = 500 * time.Millisecond
)

// A Verifier checks that the upstream that sent an announcement is up and does not leave. It returns nil if it is.
type Verifier func(ctx context.Context, a upstream.Announcement) error

// An upstreamVerifier has upstreams verified that were announced soon after the start of this node. An upstream whose leaving was
// acknowledged by an earlier process is not used again because of a late announcement, whether or not the departure was
// recorded.
type upstreamVerifier struct {
	registry *upstream.Registry
	verify   Verifier
	logger   *log.Logger
	passed   *metrics.Counter
	failed   *metrics.Counter
	refused  string // Id of the upstream that the log names as not used. Used by run only.
}

func newUpstreamVerifier(r *upstream.Registry, verify Verifier, logger *log.Logger, set *metrics.Set) *upstreamVerifier {
	counter := func(result string) *metrics.Counter {
		return set.NewCounter(fmt.Sprintf("baobab_upstream_verifications_total{result=%q}", result))
	}
	return &upstreamVerifier{registry: r, verify: verify, logger: logger, passed: counter("passed"), failed: counter("failed")}
}

// run verifies upstreams until ctx is done.
func (v *upstreamVerifier) run(ctx context.Context) error {
	if v.verify == nil {
		return nil
	}
	for {
		select {
		case <-ctx.Done():
			return nil
		case <-v.registry.Unverified():
		}
		for pause := upstreamCheckPauseMin; v.check(ctx); pause = min(2*pause, upstreamCheckPauseMax) {
			if !sleep(ctx, pause) {
				return nil
			}
		}
	}
}

// check checks the upstream that is pending, and reports whether it is to be checked again.
func (v *upstreamVerifier) check(ctx context.Context) bool {
	a, ok := v.registry.Pending()
	if !ok {
		return false
	}
	attempt, cancel := context.WithTimeout(ctx, upstreamCheckTimeout)
	defer cancel()
	if err := v.verify(attempt, a); err != nil {
		v.failed.Inc()
		if v.refused != a.UpstreamID() {
			v.refused = a.UpstreamID()
			v.logger.Info("announced upstream is not used yet", "upstream", a.UpstreamID(), "err", err)
		}
		return true
	}
	v.passed.Inc()
	v.refused = ""
	v.registry.Verify(a)
	return false
}

// newHealthVerifier returns a Verifier that asks for the path that probes use.
func newHealthVerifier() Verifier {
	client := &http.Client{Transport: response.NewTransport(&http.Transport{DisableKeepAlives: true})}
	return func(ctx context.Context, a upstream.Announcement) error {
		request, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+a.Address()+upstream.HealthPath, nil)
		if err != nil {
			return err
		}
		r, err := client.Do(request)
		if err != nil {
			return err
		}
		_ = r.Body.Close()
		if r.StatusCode != http.StatusOK {
			return errors.Errorf("status %d", r.StatusCode)
		}
		return nil
	}
}
