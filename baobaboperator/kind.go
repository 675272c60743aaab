package baobaboperator

import "slices"

// Kind is the kind of a resource, as it is written in URLs and files.
type Kind string

// Kinds of resources.
const (
	KindAccount        Kind = "account"
	KindAuthentication Kind = "authentication"
	KindPolicy         Kind = "policy"
	KindRoute          Kind = "route"
	KindSelector       Kind = "selector"
	KindService        Kind = "service"
	KindUpstreamLabels Kind = "upstream_labels"
)

// Kinds returns all kinds in dependency order: resources refer only to resources of earlier kinds.
func Kinds() []Kind {
	return []Kind{KindService, KindUpstreamLabels, KindAuthentication, KindAccount, KindPolicy, KindRoute, KindSelector}
}

// Valid reports whether the kind exists.
func (k Kind) Valid() bool { return slices.Contains(Kinds(), k) }
