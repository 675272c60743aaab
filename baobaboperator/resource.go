package baobaboperator

import (
	"bytes"
	"encoding/json"
	"reflect"
)

// A Resource is a resource as operators last edited it: its text and its revision. It is a wire format.
type Resource struct {
	Kind     Kind            `json:"kind"`
	Name     string          `json:"name"`
	Revision uint64          `json:"revision"` // Increases with each change; never 0 for a stored resource.
	Text     json.RawMessage `json:"text"`
}

// SameText reports whether two JSON texts have equal content, regardless of white space and key order.
func SameText(a, b []byte) bool {
	x, errA := decodeJSON(a)
	y, errB := decodeJSON(b)
	return errA == nil && errB == nil && reflect.DeepEqual(x, y)
}

func decodeJSON(text []byte) (any, error) {
	d := json.NewDecoder(bytes.NewReader(text))
	d.UseNumber()
	var v any
	err := d.Decode(&v)
	return v, err
}
