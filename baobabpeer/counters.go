package baobabpeer

import (
	"fmt"

	"github.com/VictoriaMetrics/metrics"
)

// Refusal reasons of links and streams, sorted.
const (
	refusedAcceptedLinks = "accepted_links"
	refusedHandshake     = "handshake"
	refusedLinks         = "links"
	refusedMalformed     = "malformed"
	refusedOversize      = "oversize"
	refusedPanic         = "panic"
	refusedProof         = "proof"
	refusedSilent        = "silent"
	refusedStreams       = "streams"
)

// refusedReasons lists all refusal reasons, so that each counter is registered from the start.
var refusedReasons = []string{
	refusedAcceptedLinks, refusedHandshake, refusedLinks, refusedMalformed, refusedOversize, refusedPanic, refusedProof,
	refusedSilent, refusedStreams,
}

// counters hold all metrics of a transport.
type counters struct {
	set       *metrics.Set
	bytes     map[string]*byteCounters // By failure domain: "same" or "other".
	dialled   *metrics.Counter
	accepted  *metrics.Counter
	evicted   *metrics.Counter
	idle      *metrics.Counter
	redialled *metrics.Counter
}

func newCounters(set *metrics.Set) *counters {
	c := &counters{
		set:       set,
		bytes:     map[string]*byteCounters{},
		dialled:   set.GetOrCreateCounter(`baobab_peer_links_opened_total{side="dialled"}`),
		accepted:  set.GetOrCreateCounter(`baobab_peer_links_opened_total{side="accepted"}`),
		evicted:   set.GetOrCreateCounter(`baobab_peer_links_closed_total{reason="evicted"}`),
		idle:      set.GetOrCreateCounter(`baobab_peer_links_closed_total{reason="idle"}`),
		redialled: set.GetOrCreateCounter(`baobab_peer_redials_total`),
	}
	for _, reason := range refusedReasons {
		c.refusedCounter(reason)
	}
	for _, domain := range []string{"other", "same"} {
		b := &byteCounters{
			linkIn:  linkBytes(set, domain, "in"),
			linkOut: linkBytes(set, domain, "out"),
		}
		for class, name := range []string{"control", "call"} {
			b.streamIn[class] = streamBytes(set, domain, "in", name)
			b.streamOut[class] = streamBytes(set, domain, "out", name)
		}
		c.bytes[domain] = b
	}
	return c
}

func linkBytes(set *metrics.Set, domain, direction string) *metrics.Counter {
	const name = `baobab_peer_link_bytes_total{direction=%q,domain=%q}`
	return set.GetOrCreateCounter(fmt.Sprintf(name, direction, domain))
}

func streamBytes(set *metrics.Set, domain, direction, class string) *metrics.Counter {
	const name = `baobab_peer_stream_bytes_total{class=%q,direction=%q,domain=%q}`
	return set.GetOrCreateCounter(fmt.Sprintf(name, class, direction, domain))
}

func (c *counters) refusedCounter(reason string) *metrics.Counter {
	return c.set.GetOrCreateCounter(fmt.Sprintf(`baobab_peer_refused_total{reason=%q}`, reason))
}

// countRefused counts a refused link or stream.
func (c *counters) countRefused(reason string) {
	c.refusedCounter(reason).Inc()
}
