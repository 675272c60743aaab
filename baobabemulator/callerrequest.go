package baobabemulator

import "time"

// A CallerRequest is a request that an emulated caller sends. By default each request has unique content, so that an
// answer that belongs to another request is detected.
type CallerRequest struct {
	Method     string
	Path       string            // Path without the query.
	Query      string            // Directives for the emulated upstream, for example "delay_ms=50".
	Caller     string            // Empty: the node uses the IP address.
	Key        string            // Idempotency key, or empty.
	AccountKey string            // Key of the client account, or empty.
	Rank       string            // Empty: the route's rank.
	Timeout    time.Duration     // Zero: the route's timeout.
	Content    string            // Empty: unique per request. Equal content makes requests equal for the upstream.
	Header     map[string]string // Additional header fields.
	Padding    int               // Number of bytes that follow the content in the body, if the request has one.
}
