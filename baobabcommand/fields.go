package baobabcommand

import (
	"bytes"
	"encoding/json"
	"io"
	"slices"
	"strings"

	"github.com/pkg/errors"
)

// fields are the fields of a resource text. Fields that this program does not know are kept.
type fields map[string]any

func decodeFields(text []byte) (fields, error) {
	d := json.NewDecoder(bytes.NewReader(text))
	d.UseNumber()
	f := fields{}
	if err := d.Decode(&f); err != nil {
		return nil, errors.Wrap(err, "decode resource")
	}
	if _, err := d.Token(); !errors.Is(err, io.EOF) {
		return nil, errors.New("decode resource: there is text after the JSON object")
	}
	if f == nil {
		return nil, errors.New("decode resource: the text is not a JSON object")
	}
	return f, nil
}

func (f fields) encode() ([]byte, error) {
	text, err := json.Marshal(f)
	return text, errors.Wrap(err, "encode resource")
}

// set sets a field if the option was given.
func set[T any](f fields, name string, value *T) {
	if value != nil {
		f[name] = *value
	}
}

// setList replaces a list if the option was given; the list is sorted.
func setList(f fields, name string, values []string) {
	if len(values) > 0 {
		f[name] = slices.Compact(slices.Sorted(slices.Values(values)))
	}
}

// pairs returns the object in a field, which is created if it is absent.
func (f fields) pairs(name string) map[string]any {
	m, ok := f[name].(map[string]any)
	if !ok {
		m = map[string]any{}
		f[name] = m
	}
	return m
}

// parsePairs reads KEY=VALUE arguments.
func parsePairs(arguments []string) (map[string]string, error) {
	pairs := map[string]string{}
	for _, a := range arguments {
		key, value, ok := strings.Cut(a, "=")
		if !ok || key == "" || value == "" {
			return nil, usagef("%q is not KEY=VALUE", a)
		}
		if _, repeated := pairs[key]; repeated {
			return nil, usagef("%s is given more than once", key)
		}
		pairs[key] = value
	}
	return pairs, nil
}
