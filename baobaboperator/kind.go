package baobaboperator

import "slices"

// Kind names a kind of resource, in the form used in URLs and files.
type Kind string

// Kinds of resources.
const (
	KindPolicy         Kind = "policy"
	KindRoute          Kind = "route"
	KindSelector       Kind = "selector"
	KindService        Kind = "service"
	KindUpstreamLabels Kind = "upstream_labels"
)

// Kinds returns all kinds in the order of reference: a kind refers only to kinds before it.
func Kinds() []Kind {
	return []Kind{KindService, KindUpstreamLabels, KindPolicy, KindRoute, KindSelector}
}

// Valid reports whether the kind exists.
func (k Kind) Valid() bool { return slices.Contains(Kinds(), k) }
