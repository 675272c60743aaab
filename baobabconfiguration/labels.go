package baobabconfiguration

import (
	"maps"
	"regexp"
	"slices"
	"strings"

	"github.com/pkg/errors"
)

// Labels is an immutable set of label keys with one value each. The zero value is empty.
type Labels struct {
	values map[string]string
}

// NewLabels returns labels with a copy of the values.
func NewLabels(values map[string]string) Labels { return Labels{values: maps.Clone(values)} }

// Get returns the value of the key, and whether it is set.
func (l Labels) Get(key string) (string, bool) {
	v, ok := l.values[key]
	return v, ok
}

// Len returns the number of labels.
func (l Labels) Len() int { return len(l.values) }

// Map returns a copy of the values.
func (l Labels) Map() map[string]string { return maps.Clone(l.values) }

// With returns these labels overridden by others.
func (l Labels) With(others Labels) Labels {
	v := make(map[string]string, len(l.values)+len(others.values))
	maps.Copy(v, l.values)
	maps.Copy(v, others.values)
	return Labels{values: v}
}

// Contains reports whether all wanted labels are set to equal values. Empty wanted labels are always contained.
func (l Labels) Contains(wanted Labels) bool {
	for k, v := range wanted.values {
		if have, ok := l.values[k]; !ok || have != v {
			return false
		}
	}
	return true
}

// compatible reports whether some proxy can have both sets of labels.
func (l Labels) compatible(other Labels) bool {
	for k, v := range l.values {
		if o, ok := other.values[k]; ok && o != v {
			return false
		}
	}
	return true
}

// String returns the labels as "key=value" pairs, sorted and separated by commas.
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

// check returns an error for the first label, in sorted order, that is malformed.
func (l Labels) check() error {
	for _, k := range slices.Sorted(maps.Keys(l.values)) {
		if !labelKeyPattern.MatchString(k) {
			return errors.Errorf("label key %.64q must be 1 to 63 small letters, digits, '.', '_', '/' or '-'", k)
		}
		if !labelValuePattern.MatchString(l.values[k]) {
			return errors.Errorf("value of label %s must be 1 to 128 letters, digits, '.', '_', ':', '/' or '-'", k)
		}
	}
	return nil
}

// jsonMap returns the values for encoding; an empty set is encoded as {}.
func (l Labels) jsonMap() map[string]string {
	if l.values == nil {
		return map[string]string{}
	}
	return l.values
}
