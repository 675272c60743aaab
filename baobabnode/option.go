package baobabnode

import (
	"net/http"
	"time"

	caller "github.com/baobabdale/baobabdale/baobabcaller"
	platform "github.com/baobabdale/baobabdale/baobabplatform"
	upstream "github.com/baobabdale/baobabdale/baobabupstream"
)

// An Option overrides a dependency of a node or a setting.
type Option func(*overrides)

// overrides are the dependencies and settings that options can replace.
type overrides struct {
	store                     platform.Store // Nil: a client for the platform URL in the settings.
	source                    Source         // Nil: the versions that operators accept through nodes, from the store.
	authoritative             bool
	rollouts                  bool
	callerOptions             []caller.Option
	clientOptions             []upstream.ClientOption
	announcementHandler       func(*upstream.Registry) http.Handler
	verifier                  Verifier      // Nil: by the health endpoint, if the settings turn probes on.
	speedReader               SpeedReader   // Nil: upstreams do not state their speed.
	gracePeriod, drainTimeout time.Duration // Default to the settings.
	withdrawalLimit           time.Duration // Defaults to the settings.
}

// WithStore replaces the platform client. The node does not close the store.
func WithStore(s platform.Store) Option { return func(o *overrides) { o.store = s } }

// WithSource replaces the source of configuration versions.
func WithSource(s Source) Option { return func(o *overrides) { o.source = s } }

// WithAuthoritativeSource lets a starting node serve as soon as its source has confirmed the version. The source's
// Confirm must never return a version older than one that has been in force.
func WithAuthoritativeSource() Option { return func(o *overrides) { o.authoritative = true } }

// WithRollouts restricts the calls of each service to upstreams of the version in use, which the label "version" states, and
// of a version that an operator rolls out.
func WithRollouts() Option { return func(o *overrides) { o.rollouts = true } }

// WithCallerOptions adds options for the handler that serves callers.
func WithCallerOptions(options ...caller.Option) Option {
	return func(o *overrides) { o.callerOptions = append(o.callerOptions, options...) }
}

// WithClientOptions adds options for the upstream client.
func WithClientOptions(options ...upstream.ClientOption) Option {
	return func(o *overrides) { o.clientOptions = append(o.clientOptions, options...) }
}

// WithShutdown overrides the grace period and the drain timeout of the settings, for deployments in which the
// supervisor of the process determines them.
func WithShutdown(gracePeriod, drainTimeout time.Duration) Option {
	return func(o *overrides) { o.gracePeriod, o.drainTimeout = gracePeriod, drainTimeout }
}

// WithWithdrawalLimit overrides the withdrawal limit of the settings; 0 turns it off.
func WithWithdrawalLimit(d time.Duration) Option {
	return func(o *overrides) { o.withdrawalLimit = d }
}

// WithAnnouncementHandler replaces the HTTP handler at the announce address.
func WithAnnouncementHandler(handler func(*upstream.Registry) http.Handler) Option {
	return func(o *overrides) { o.announcementHandler = handler }
}

// WithVerifier replaces the check of an upstream that is announced soon after the start of the node.
func WithVerifier(v Verifier) Option { return func(o *overrides) { o.verifier = v } }

// WithSpeedReader sets how answers of the upstream state how long work takes there. It has an effect only where the
// settings make nodes choose by rates.
func WithSpeedReader(read SpeedReader) Option { return func(o *overrides) { o.speedReader = read } }
