package baobabconfiguration

import "time"

// jsonDuration is a duration that is encoded as a JSON string such as "250ms".
type jsonDuration time.Duration

// MarshalText implements encoding.TextMarshaler.
func (d jsonDuration) MarshalText() ([]byte, error) { return []byte(time.Duration(d).String()), nil }

// UnmarshalText implements encoding.TextUnmarshaler.
func (d *jsonDuration) UnmarshalText(b []byte) error {
	v, err := time.ParseDuration(string(b))
	if err != nil {
		return err
	}
	*d = jsonDuration(v)
	return nil
}
