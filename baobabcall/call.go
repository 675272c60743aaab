package baobabcall

import (
	"maps"
	"net/http"
	"time"
)

// A Call is one request of a caller, with its complete body, deadline and rank.
type Call struct {
	id             string
	caller         string
	method         string
	host           string
	target         string // Path and query.
	header         http.Header
	body           []byte
	deadline       time.Time // Local clock; zero means that the route's timeout applies.
	rank           string    // Empty means that the route's rank applies.
	idempotencyKey string
	retried        bool
	credential     Credential // Never forwarded and never logged.
	keyField       string     // Name of the header field that holds the key; dropped when the call gets an account.
	account        string     // Client account; empty for none.
	parentID       string     // Id of the call during which an upstream makes this one; empty for none.
}

// Option sets an optional property of a Call.
type Option func(*Call)

// WithBody sets the request body. The call takes ownership of it.
func WithBody(b []byte) Option { return func(c *Call) { c.body = b } }

// WithDeadline sets the time after which the caller no longer waits for the answer.
func WithDeadline(t time.Time) Option { return func(c *Call) { c.deadline = t } }

// WithHeader sets the request header.
func WithHeader(h http.Header) Option { return func(c *Call) { c.header = h } }

// WithIdempotencyKey sets the key that identifies repetitions of the same request.
func WithIdempotencyKey(key string) Option { return func(c *Call) { c.idempotencyKey = key } }

// WithRank sets the rank that the caller requests.
func WithRank(rank string) Option { return func(c *Call) { c.rank = rank } }

// WithRetried marks a call that an earlier hop retries itself, so that this node does not retry it.
func WithRetried() Option { return func(c *Call) { c.retried = true } }

// WithCredential sets the credential that the caller presented in the named header field.
func WithCredential(k Credential, field string) Option {
	return func(c *Call) { c.credential, c.keyField = k, field }
}

// WithAccount sets the client account that the call is charged to.
func WithAccount(name string) Option { return func(c *Call) { c.account = name } }

// ForAccount returns a copy that is charged to a client account and does not hold the key.
func (c *Call) ForAccount(name string) *Call {
	copied := *c
	copied.account, copied.credential = name, Credential{}
	if _, ok := c.header[c.keyField]; ok {
		copied.header = maps.Clone(c.header)
		delete(copied.header, c.keyField)
	}
	return &copied
}

// WithParentID sets the id of the call during which an upstream makes this one.
func WithParentID(id string) Option { return func(c *Call) { c.parentID = id } }

// NewCall returns a call. The id must be unique for each call. The target is the path with its query.
func NewCall(id, caller, method, host, target string, options ...Option) *Call {
	c := &Call{id: id, caller: caller, method: method, host: host, target: target, header: http.Header{}}
	for _, o := range options {
		o(c)
	}
	return c
}

// ID returns the unique id of the call.
func (c *Call) ID() string { return c.id }

// Caller returns the identity of the caller. Fair shares and idempotency keys are separate for each caller.
func (c *Call) Caller() string { return c.caller }

// Method returns the HTTP method.
func (c *Call) Method() string { return c.method }

// Host returns the HTTP host.
func (c *Call) Host() string { return c.host }

// Target returns the path with its query.
func (c *Call) Target() string { return c.target }

// Header returns the request header; it must not be changed.
func (c *Call) Header() http.Header { return c.header }

// Body returns the request body; it must not be changed.
func (c *Call) Body() []byte { return c.body }

// Deadline returns the time after which the caller no longer waits for the answer, or the zero time.
func (c *Call) Deadline() time.Time { return c.deadline }

// Rank returns the requested rank, or an empty string.
func (c *Call) Rank() string { return c.rank }

// IdempotencyKey returns the idempotency key, or an empty string.
func (c *Call) IdempotencyKey() string { return c.idempotencyKey }

// Retried reports whether an earlier hop retries the call.
func (c *Call) Retried() bool { return c.retried }

// Credential returns the credential that the caller presented; its zero value means none.
func (c *Call) Credential() Credential { return c.credential }

// Account returns the name of the client account, or an empty string.
func (c *Call) Account() string { return c.account }

// ParentID returns the id of the call during which an upstream made this one, or an empty string.
func (c *Call) ParentID() string { return c.parentID }
