package baobabconfiguration

import (
	"maps"
	"regexp"
	"slices"
	"strings"

	"github.com/pkg/errors"
)

// Labels is an immutable set of labels, each a key with one value. The zero value is empty.
type Labels struct {
	values map[string]string
}

// NewLabels returns labels with a copy of the values, which are keyed by label key.
func NewLabels(values map[string]string) Labels { return Labels{values: maps.Clone(values)} }

// Get returns the value of the key, and whether it is set.
func (l Labels) Get(key string) (string, bool) {
	v, ok := l.values[key]
	return v, ok
}

// Len returns the number of labels.
func (l Labels) Len() int { return len(l.values) }

// Map returns a copy of the values, keyed by label key.
func (l Labels) Map() map[string]string { return maps.Clone(l.values) }

// Merge returns the union of both sets of labels; for keys in both, others takes precedence.
func (l Labels) Merge(others Labels) Labels {
	v := make(map[string]string, len(l.values)+len(others.values))
	maps.Copy(v, l.values)
	maps.Copy(v, others.values)
	return Labels{values: v}
}

// Contains reports whether l has all wanted labels with the same values. An empty set is always contained.
func (l Labels) Contains(wanted Labels) bool {
	for k, v := range wanted.values {
		if have, ok := l.values[k]; !ok || have != v {
			return false
		}
	}
	return true
}

// compatibleWith reports whether a proxy could have both sets of labels.
func (l Labels) compatibleWith(other Labels) bool {
	for k, v := range l.values {
		if o, ok := other.values[k]; ok && o != v {
			return false
		}
	}
	return true
}

// String returns the labels as "key=value" pairs, sorted by key and separated by commas.
func (l Labels) String() string {
	var b strings.Builder
	for i, k := range slices.Sorted(maps.Keys(l.values)) {
		if i > 0 {
			b.WriteByte(',')
		}
		b.WriteString(k + "=" + l.values[k])
	}
	return b.String()
}

var (
	labelKeyPattern   = regexp.MustCompile(`^[a-z0-9][a-z0-9._/-]{0,62}$`)
	labelValuePattern = regexp.MustCompile(`^[A-Za-z0-9._:/-]{1,128}$`)
)

// validate returns an error for the first malformed label in the order of keys.
func (l Labels) validate() error {
	for _, k := range slices.Sorted(maps.Keys(l.values)) {
		if !labelKeyPattern.MatchString(k) {
			return errors.Errorf("label key %.64q must be 1 to 63 lower-case letters, digits, '.', '_', '/' or '-'", k)
		}
		if !labelValuePattern.MatchString(l.values[k]) {
			return errors.Errorf("value of label %s must be 1 to 128 letters, digits, '.', '_', ':', '/' or '-'", k)
		}
	}
	return nil
}

// jsonMap returns the values for encoding. It is never nil, so that an empty set is encoded as {}.
func (l Labels) jsonMap() map[string]string {
	if l.values == nil {
		return map[string]string{}
	}
	return l.values
}
