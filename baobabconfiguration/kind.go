package baobabconfiguration

import (
	"slices"

	"github.com/pkg/errors"
)

// Kind is the kind of a resource, as written in row keys and encodings.
type Kind string

// Kinds of resources, sorted.
const (
	KindAccount        Kind = "account"
	KindAuthentication Kind = "authentication"
	KindPolicy         Kind = "policy"
	KindRoute          Kind = "route"
	KindSelector       Kind = "selector"
	KindService        Kind = "service"
	KindUpstreamLabels Kind = "upstream_labels"
)

// Kinds returns all kinds, sorted.
func Kinds() []Kind {
	return []Kind{KindAccount, KindAuthentication, KindPolicy, KindRoute, KindSelector, KindService, KindUpstreamLabels}
}

// ParseKind returns the kind with the name, or an error if there is none.
func ParseKind(name string) (Kind, error) {
	if !slices.Contains(Kinds(), Kind(name)) {
		return "", newError("parse kind", ErrorInvalid, errors.Errorf("unknown kind %.64q", name))
	}
	return Kind(name), nil
}
