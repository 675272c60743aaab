package baobaboperator

import (
	"bytes"
	"encoding/json"
	"reflect"
)

// A Resource is one edit of the operators: the text of a resource and its revision. It is a wire format.
type Resource struct {
	Kind     Kind            `json:"kind"`
	Name     string          `json:"name"`
	Revision uint64          `json:"revision"` // Raised by each change; never 0 for a stored resource.
	Text     json.RawMessage `json:"text"`
}

// SameText reports whether two JSON texts have the same content, whatever their white space and key order.
func SameText(a, b []byte) bool {
	x, errA := decodeText(a)
	y, errB := decodeText(b)
	return errA == nil && errB == nil && reflect.DeepEqual(x, y)
}

func decodeText(text []byte) (any, error) {
	d := json.NewDecoder(bytes.NewReader(text))
	d.UseNumber()
	var v any
	err := d.Decode(&v)
	return v, err
}
