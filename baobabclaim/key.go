package baobabclaim

import "net/url"

// rowPrefix is the table prefix of all claims.
const rowPrefix = "claim/"

// A Key identifies a call that must run at most once. Keys of different callers never collide.
type Key struct {
	service string
	caller  string
	key     string
}

// NewKey returns the key for an idempotency key that the caller chose for a call to the service.
func NewKey(service, caller, key string) Key {
	return Key{service: service, caller: caller, key: key}
}

// rowKey returns the key of the row in the table. The parts are escaped so that a slash in one of them cannot make two
// keys equal.
func (k Key) rowKey() string {
	return rowPrefix + url.PathEscape(k.service) + "/" + url.PathEscape(k.caller) + "/" + url.PathEscape(k.key)
}
