package baobabconfiguration

import (
	"slices"
	"sort"

	"github.com/pkg/errors"
)

// A Document is an immutable set of resources.
type Document struct {
	resources []Resource // Sorted by kind and name, without duplicates.
	digest    Digest
}

// NewDocument returns a document, or an error if two resources have the same kind and name.
func NewDocument(resources []Resource) (*Document, error) {
	list := slices.Clone(resources)
	slices.SortFunc(list, compareResources)
	for i := 1; i < len(list); i++ {
		if compareResources(list[i-1], list[i]) == 0 {
			return nil, newError("build document", ErrorInvalid,
				errors.Errorf("%s %s occurs twice", list[i].Kind(), list[i].Name()))
		}
	}
	return &Document{resources: list, digest: computeDigest(list)}, nil
}

// EmptyDocument returns a document without resources.
func EmptyDocument() *Document { return &Document{digest: computeDigest(nil)} }

// Resources returns the resources, sorted by kind and name; they must not be modified.
func (d *Document) Resources() []Resource { return d.resources }

// Digest returns the digest of all resources.
func (d *Document) Digest() Digest { return d.digest }

// Get returns the resource, and whether it exists.
func (d *Document) Get(kind Kind, name string) (Resource, bool) {
	i, ok := sort.Find(len(d.resources), func(i int) int {
		r := d.resources[i]
		if r.Kind() != kind {
			if kind < r.Kind() {
				return -1
			}
			return 1
		}
		switch {
		case name < r.Name():
			return -1
		case name > r.Name():
			return 1
		}
		return 0
	})
	if !ok {
		return nil, false
	}
	return d.resources[i], true
}

// Service returns the service, and whether it exists.
func (d *Document) Service(name string) (Service, bool) {
	return findResource[Service](d, KindService, name)
}

// Policy returns the policy, and whether it exists. An empty name means DefaultPolicyName; that policy always exists,
// because it is DefaultPolicy unless the document defines a policy of that name.
func (d *Document) Policy(name string) (Policy, bool) {
	if name == "" {
		name = DefaultPolicyName
	}
	p, ok := findResource[Policy](d, KindPolicy, name)
	if !ok && name == DefaultPolicyName {
		return DefaultPolicy(), true
	}
	return p, ok
}

// Route returns the route, and whether it exists.
func (d *Document) Route(name string) (Route, bool) { return findResource[Route](d, KindRoute, name) }

// Account returns the account with the name, and whether it exists.
func (d *Document) Account(name string) (Account, bool) {
	return findResource[Account](d, KindAccount, name)
}

// Accounts returns all accounts, sorted by name.
func (d *Document) Accounts() []Account { return resourcesOfKind[Account](d, KindAccount) }

// RequiresKeys reports whether routes that do not allow anonymous calls require the key of an account: if the document has
// an account or an Authentication.
func (d *Document) RequiresKeys() bool {
	_, required := d.Get(KindAuthentication, AuthenticationRequired)
	return required || len(d.Accounts()) > 0
}

// UpstreamLabels returns the labels of the upstream with the id, and whether it has any.
func (d *Document) UpstreamLabels(id string) (UpstreamLabels, bool) {
	return findResource[UpstreamLabels](d, KindUpstreamLabels, id)
}

// Routes returns all routes, sorted by name.
func (d *Document) Routes() []Route { return resourcesOfKind[Route](d, KindRoute) }

// Selectors returns all selectors, sorted by name.
func (d *Document) Selectors() []Selector { return resourcesOfKind[Selector](d, KindSelector) }

// ProxyLabels returns the effective labels of a proxy. The labels of its service override its own, and the labels that
// operators set on its upstream override both.
func (d *Document) ProxyLabels(own Labels, service, upstreamID string) Labels {
	l := own
	if s, ok := d.Service(service); ok {
		l = l.Merge(s.Labels())
	}
	if u, ok := d.UpstreamLabels(upstreamID); ok {
		l = l.Merge(u.Labels())
	}
	return l
}

// findResource returns the resource as its type, and whether it exists.
func findResource[T Resource](d *Document, kind Kind, name string) (T, bool) {
	r, ok := d.Get(kind, name)
	if !ok {
		var zero T
		return zero, false
	}
	t, ok := r.(T)
	return t, ok
}

// resourcesOfKind returns all resources of the kind, sorted by name.
func resourcesOfKind[T Resource](d *Document, kind Kind) []T {
	start := sort.Search(len(d.resources), func(i int) bool { return d.resources[i].Kind() >= kind })
	end := start + sort.Search(len(d.resources)-start, func(i int) bool { return d.resources[start+i].Kind() > kind })
	list := make([]T, 0, end-start)
	for _, r := range d.resources[start:end] {
		if t, ok := r.(T); ok {
			list = append(list, t)
		}
	}
	return list
}
