package baobabconfiguration

import (
	"bytes"
	"cmp"
	"encoding/json"
	"regexp"

	"github.com/pkg/errors"
)

// MaxResourceBytes limits the size of the JSON text of a resource. The platform stores rows of up to 64 KiB.
const MaxResourceBytes = 48 << 10

// A Resource is a named part of the configuration: an Account, Authentication, Policy, Route, Selector, Service or UpstreamLabels.
type Resource interface {
	// Kind returns the kind.
	Kind() Kind
	// Name returns the name, which is unique within the kind.
	Name() string
	// Text returns the canonical JSON text with all defaults filled in; it must not be modified.
	Text() []byte

	sealed()
}

// baseResource holds the name and text that all resources have.
type baseResource struct {
	name string
	text []byte // Canonical JSON. Digests cover it, so fields added later must be omitted when they have their default.
}

// Name returns the name, which is unique within the kind.
func (b baseResource) Name() string { return b.name }

// Text returns the canonical JSON text; it must not be modified.
func (b baseResource) Text() []byte { return b.text }

func (b baseResource) sealed() {}

// newBaseResource encodes the JSON struct of a resource. Such structs hold only plain values, so they always encode.
func newBaseResource(name string, v any) (baseResource, error) {
	text, err := json.Marshal(v)
	if err != nil {
		return baseResource{}, err
	}
	return baseResource{name: name, text: text}, nil
}

var namePattern = regexp.MustCompile(`^[A-Za-z0-9][A-Za-z0-9._:-]{0,127}$`)

// ParseResource parses the JSON text of a resource. Unknown, repeated and null fields are rejected; omitted fields get
// their defaults. It checks only the form of the text; Validate checks its content.
func ParseResource(kind Kind, name string, text []byte) (Resource, error) {
	operation := "parse " + string(kind) + " " + name
	if err := checkName(kind, name); err != nil {
		return nil, err
	}
	if len(text) > MaxResourceBytes {
		return nil, newError(operation, ErrorSize, errors.Errorf("%d bytes, limit %d", len(text), MaxResourceBytes))
	}
	r, err := parseByKind(kind, name, text)
	// Text in canonical form, as in snapshots, has only known fields and each of them once. Skipping the strict check
	// for it halves the time of BenchmarkDecodeSnapshot (44 ms instead of 88 ms).
	if err == nil && bytes.Equal(r.Text(), text) {
		return r, nil
	}
	if strictErr := checkStrictJSON(text); strictErr != nil {
		err = strictErr
	}
	if err != nil {
		return nil, newError(operation, ErrorInvalid, err)
	}
	if len(r.Text()) > MaxResourceBytes {
		return nil, newError(operation, ErrorSize,
			errors.Errorf("%d bytes with defaults, limit %d", len(r.Text()), MaxResourceBytes))
	}
	return r, nil
}

// ValidName reports whether a resource can have the name.
func ValidName(name string) bool { return namePattern.MatchString(name) }

func checkName(kind Kind, name string) error {
	if ValidName(name) {
		return nil
	}
	return newError("parse "+string(kind), ErrorInvalid,
		errors.Errorf("name %.64q must be 1 to 128 letters, digits, '.', '_', ':' or '-'", name))
}

func parseByKind(kind Kind, name string, text []byte) (Resource, error) {
	switch kind {
	case KindAccount:
		return parseAccount(name, text)
	case KindAuthentication:
		return parseAuthentication(name, text)
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
