package baobabconfiguration

import (
	"bytes"
	"encoding/json"
	"io"
	"regexp"

	"github.com/pkg/errors"
)

var fieldNamePattern = regexp.MustCompile(`^[a-z][a-z_]*$`)

// decodeObject decodes one JSON object into v, which holds the defaults. Errors name the field, not the Go type.
func decodeObject(text []byte, v any) error {
	d := json.NewDecoder(bytes.NewReader(text))
	d.DisallowUnknownFields()
	err := d.Decode(v)
	var mismatch *json.UnmarshalTypeError
	if errors.As(err, &mismatch) {
		return errors.Errorf("%s: unexpected %s", mismatch.Field, mismatch.Value)
	}
	return err
}

// checkStrictJSON returns an error unless the text is one JSON object without repeated fields, null values or field
// names that are not in lower case.
func checkStrictJSON(text []byte) error {
	d := json.NewDecoder(bytes.NewReader(text))
	t, err := d.Token()
	if err != nil {
		return err
	}
	if t != json.Delim('{') {
		return errors.New("want a JSON object")
	}
	if err := checkObject(d, true); errors.Is(err, io.EOF) {
		return io.ErrUnexpectedEOF
	} else if err != nil {
		return err
	}
	if _, err := d.Token(); err != io.EOF {
		return errors.New("unexpected text after the JSON object")
	}
	return nil
}

// checkObject rejects what encoding/json silently accepts: repeated keys, null values, and field names that differ only
// in case. Keys are checked as field names if checkNames is set. The keys of an object directly inside another object
// are label keys and may have any form.
func checkObject(d *json.Decoder, checkNames bool) error {
	seen := map[string]bool{}
	for d.More() {
		t, err := d.Token()
		if err != nil {
			return err
		}
		key, _ := t.(string)
		if seen[key] {
			return errors.Errorf("repeated field %.64q", key)
		}
		seen[key] = true
		if checkNames && !fieldNamePattern.MatchString(key) {
			return errors.Errorf("unknown field %.64q", key)
		}
		if err := checkValue(d, false); err != nil {
			return errors.Wrap(err, key)
		}
	}
	_, err := d.Token()
	return err
}

// checkValue applies checkObject to objects, directly or in arrays, and rejects null.
func checkValue(d *json.Decoder, checkNames bool) error {
	t, err := d.Token()
	if err != nil {
		return err
	}
	switch t {
	case nil:
		return errors.New("null is not allowed")
	case json.Delim('{'):
		return checkObject(d, checkNames)
	case json.Delim('['):
		for d.More() {
			if err := checkValue(d, true); err != nil {
				return err
			}
		}
		_, err := d.Token()
		return err
	default:
		return nil
	}
}
