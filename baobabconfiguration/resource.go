package baobabconfiguration

import (
	"bytes"
	"cmp"
	"encoding/json"
	"regexp"

	"github.com/pkg/errors"
)

// MaxResourceBytes limits the text of one resource. The platform stores rows of up to 64 KiB.
const MaxResourceBytes = 48 << 10

// A Resource is one named part of the configuration: a Policy, Route, Selector, Service or UpstreamLabels.
type Resource interface {
	// Kind returns the kind.
	Kind() Kind
	// Name returns the name, which is unique within the kind.
	Name() string
	// Text returns the canonical JSON text with all defaults filled in; it must not be changed.
	Text() []byte

	sealed()
}

// identity holds what all resources have in common.
type identity struct {
	name string
	text []byte // Canonical JSON. Digests cover it, so a field added later must be omitted while it has its default.
}

// Name returns the name, which is unique within the kind.
func (i identity) Name() string { return i.name }

// Text returns the canonical JSON text; it must not be changed.
func (i identity) Text() []byte { return i.text }

func (i identity) sealed() {}

// newIdentity encodes the JSON form of a resource, which consists of plain values and always encodes.
func newIdentity(name string, form any) (identity, error) {
	text, err := json.Marshal(form)
	if err != nil {
		return identity{}, err
	}
	return identity{name: name, text: text}, nil
}

var namePattern = regexp.MustCompile(`^[A-Za-z0-9][A-Za-z0-9._:-]{0,127}$`)

// ParseResource parses the JSON text of a resource. Unknown, repeated and null fields are refused; fields that
// are left out get their defaults. Whether the content is valid is decided by Validate.
func ParseResource(kind Kind, name string, text []byte) (Resource, error) {
	operation := "parse " + string(kind) + " " + name
	if err := checkName(kind, name); err != nil {
		return nil, err
	}
	if len(text) > MaxResourceBytes {
		return nil, newError(operation, ErrorSize, errors.Errorf("%d bytes, limit %d", len(text), MaxResourceBytes))
	}
	r, err := parse(kind, name, text)
	// A text that equals its canonical form, as in snapshots, has only known fields, once each. Checking these
	// texts too doubled the time of BenchmarkDecodeSnapshot (88 ms against 44 ms).
	if err == nil && bytes.Equal(r.Text(), text) {
		return r, nil
	}
	if strict := checkStrict(text); strict != nil {
		err = strict
	}
	if err != nil {
		return nil, newError(operation, ErrorInvalid, err)
	}
	if len(r.Text()) > MaxResourceBytes {
		return nil, newError(operation, ErrorSize, errors.Errorf("%d bytes with defaults, limit %d", len(r.Text()), MaxResourceBytes))
	}
	return r, nil
}

func checkName(kind Kind, name string) error {
	if namePattern.MatchString(name) {
		return nil
	}
	return newError("parse "+string(kind), ErrorInvalid,
		errors.Errorf("name %.64q must be 1 to 128 letters, digits, '.', '_', ':' or '-'", name))
}

func parse(kind Kind, name string, text []byte) (Resource, error) {
	switch kind {
	case KindPolicy:
		return parsePolicy(name, text)
	case KindRoute:
		return parseRoute(name, text)
	case KindSelector:
		return parseSelector(name, text)
	case KindService:
		return parseService(name, text)
	case KindUpstreamLabels:
		return parseUpstreamLabels(name, text)
	default:
		return nil, errors.Errorf("unknown kind %.64q", string(kind))
	}
}

// compareResources orders by kind, then by name.
func compareResources(a, b Resource) int {
	return cmp.Or(cmp.Compare(a.Kind(), b.Kind()), cmp.Compare(a.Name(), b.Name()))
}
