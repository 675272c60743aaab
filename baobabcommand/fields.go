package baobabcommand

import (
	"bytes"
	"encoding/json"
	"io"
	"slices"
	"strings"

	"github.com/pkg/errors"
)

// fields are the fields of a resource text. Fields that this program does not know are preserved.
type fields map[string]any

// decodeFields decodes a resource text, which is a single JSON object.
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

// setField sets a field if the option is given.
func setField[T any](f fields, name string, value *T) {
	if value != nil {
		f[name] = *value
	}
}

// setListField replaces a list if the option is given. The new list is sorted and has no duplicates.
func setListField(f fields, name string, values []string) {
	if len(values) > 0 {
		f[name] = slices.Compact(slices.Sorted(slices.Values(values)))
	}
}

// objectField returns the object in a field. It is created if the field holds none.
func (f fields) objectField(name string) map[string]any {
	m, ok := f[name].(map[string]any)
	if !ok {
		m = map[string]any{}
		f[name] = m
	}
	return m
}

// parseKeyValues parses KEY=VALUE arguments.
func parseKeyValues(arguments []string) (map[string]string, error) {
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
