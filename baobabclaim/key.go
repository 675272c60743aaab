package baobabclaim

import "net/url"

// rowPrefix is the table prefix of all claims.
const rowPrefix = "claim/"

// A Key names the call that runs at most once. Keys of different callers never meet.
type Key struct {
	service string
	caller  string
	key     string
}

// NewKey returns the key that the caller chose for a call of the service.
func NewKey(service, caller, key string) Key {
	return Key{service: service, caller: caller, key: key}
}

// row returns the table key. Escaping keeps a slash in one part from making two keys equal.
func (k Key) row() string {
	return rowPrefix + url.PathEscape(k.service) + "/" + url.PathEscape(k.caller) + "/" + url.PathEscape(k.key)
}
