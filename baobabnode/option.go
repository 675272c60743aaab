package baobabnode

import (
	"net/http"
	"time"

	caller "github.com/baobabdale/baobabdale/baobabcaller"
	platform "github.com/baobabdale/baobabdale/baobabplatform"
	upstream "github.com/baobabdale/baobabdale/baobabupstream"
)

// An Option replaces a part of a node through which it speaks with its surroundings.
type Option func(*parts)

// parts are what a node can get from outside.
type parts struct {
	store         platform.Store // Nil: a client of the platform named in the settings.
	source        Source         // Nil: the versions that operators accept through nodes.
	authoritative bool
	caller        []caller.Option
	client        []upstream.ClientOption
	announcements func(*upstream.Registry) http.Handler
	grace, drain  time.Duration // Zero: as in the settings.
}

// WithStore replaces the client of the platform. The node does not close it.
func WithStore(s platform.Store) Option { return func(p *parts) { p.store = s } }

// WithSource replaces where versions come from.
func WithSource(s Source) Option { return func(p *parts) { p.source = s } }

// WithAuthoritativeSource lets a starting node serve as soon as its source has confirmed the version. It needs a source
// whose Confirm never answers with an older version than one that has been in force.
func WithAuthoritativeSource() Option { return func(p *parts) { p.authoritative = true } }

// WithCallerOptions adds options of the callers' edge.
func WithCallerOptions(o ...caller.Option) Option {
	return func(p *parts) { p.caller = append(p.caller, o...) }
}

// WithClientOptions adds options of the client of the upstream.
func WithClientOptions(o ...upstream.ClientOption) Option {
	return func(p *parts) { p.client = append(p.client, o...) }
}

// WithShutdown replaces the grace period and the drain timeout of the settings where they follow from what stops the
// process.
func WithShutdown(grace, drain time.Duration) Option {
	return func(p *parts) { p.grace, p.drain = grace, drain }
}

// WithAnnouncements replaces the handler at the announce address.
func WithAnnouncements(handler func(*upstream.Registry) http.Handler) Option {
	return func(p *parts) { p.announcements = handler }
}
