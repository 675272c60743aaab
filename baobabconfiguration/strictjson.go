package baobabconfiguration

import (
	"bytes"
	"encoding/json"
	"io"
	"regexp"
	"time"

	"github.com/pkg/errors"
)

var fieldPattern = regexp.MustCompile(`^[a-z][a-z_]*$`)

// decodeFields decodes one JSON object into form, which holds the defaults. Errors name the field, not the Go type.
func decodeFields(text []byte, form any) error {
	d := json.NewDecoder(bytes.NewReader(text))
	d.DisallowUnknownFields()
	err := d.Decode(form)
	var mismatch *json.UnmarshalTypeError
	if errors.As(err, &mismatch) {
		return errors.Errorf("%s: unexpected %s", mismatch.Field, mismatch.Value)
	}
	return err
}

// checkStrict returns an error unless the text is one JSON object without repeated fields, null, or field names
// in other case.
func checkStrict(text []byte) error {
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
		return errors.New("text after the JSON object")
	}
	return nil
}

// checkObject refuses what encoding/json accepts silently: repeated keys, null, and field names in other case.
// The keys of an object directly inside another object are labels and may have any form.
func checkObject(d *json.Decoder, fields bool) error {
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
		if fields && !fieldPattern.MatchString(key) {
			return errors.Errorf("unknown field %.64q", key)
		}
		if err := checkValue(d, false); err != nil {
			return errors.Wrap(err, key)
		}
	}
	_, err := d.Token()
	return err
}

func checkValue(d *json.Decoder, fields bool) error {
	t, err := d.Token()
	if err != nil {
		return err
	}
	switch t {
	case nil:
		return errors.New("null is not allowed")
	case json.Delim('{'):
		return checkObject(d, fields)
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

// durationText is a duration in the JSON form "250ms".
type durationText time.Duration

// MarshalText implements encoding.TextMarshaler.
func (d durationText) MarshalText() ([]byte, error) { return []byte(time.Duration(d).String()), nil }

// UnmarshalText implements encoding.TextUnmarshaler.
func (d *durationText) UnmarshalText(b []byte) error {
	v, err := time.ParseDuration(string(b))
	if err != nil {
		return err
	}
	*d = durationText(v)
	return nil
}
