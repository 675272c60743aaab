package baobabcall

import (
	"net/textproto"
	"slices"
	"strings"
)

// A HeaderField identifies a header field between the mesh and its callers or upstreams, independently of its name.
type HeaderField int

// Header fields of requests and answers.
const (
	FieldAccount        HeaderField = iota // Client account of the call, for upstreams.
	FieldCallID                            // Id of the call.
	FieldCaller                            // Identity of the caller.
	FieldCallerService                     // Service of the VM through which the call entered the mesh.
	FieldCredential                        // Key of a client account, as "Bearer KEY"; never forwarded.
	FieldIdempotencyKey                    // Key that identifies repetitions of the same request.
	FieldLeaving                           // Set to 1 by an upstream that is about to leave.
	FieldNotStarted                        // Set by an upstream that did not start the call.
	FieldOutcome                           // Whether an upstream ran the call, an Outcome.
	FieldParentID                          // Id of the call during which an upstream makes this one.
	FieldRank                              // Rank that the caller requests.
	FieldRefusal                           // Reason for a refusal.
	FieldRequestLimit                      // Requests per second that an upstream takes from all nodes together.
	FieldRetried                           // An earlier hop retries the call.
	FieldTimeout                           // How long the sender waits for the answer, in milliseconds.
	FieldUpstreamID                        // Id of the only upstream that may run the call.
	fieldCount
)

// HeaderNames maps header fields to their canonical names. A field without a name is neither read nor sent.
type HeaderNames struct {
	names    [fieldCount]string
	internal []string // Canonical names of fields that only the mesh sets, sorted.
	prefix   string   // Fields whose name starts with it are internal too; lower case, may be empty.
}

// NewHeaderNames returns the given names in canonical form. Internal fields are set by the mesh only; they are removed
// from what callers and upstreams send.
func NewHeaderNames(names map[HeaderField]string, internal ...HeaderField) HeaderNames {
	var n HeaderNames
	for field, name := range names {
		n.names[field] = textproto.CanonicalMIMEHeaderKey(name)
	}
	for _, field := range internal {
		if name := n.names[field]; name != "" {
			n.internal = append(n.internal, name)
		}
	}
	slices.Sort(n.internal)
	return n
}

// DefaultHeaderNames returns baobabdale's own names. All fields that start with "Baobab-" are internal.
func DefaultHeaderNames() HeaderNames {
	n := NewHeaderNames(map[HeaderField]string{
		FieldAccount:        "Baobab-Account",
		FieldCallID:         "Baobab-Call-Id",
		FieldCaller:         "Baobab-Caller",
		FieldCredential:     "Authorization",
		FieldIdempotencyKey: "Idempotency-Key",
		FieldLeaving:        "Baobab-Leaving",
		FieldNotStarted:     "Baobab-Not-Started",
		FieldOutcome:        "Baobab-Outcome",
		FieldParentID:       "Baobab-Parent-Id",
		FieldRank:           "Baobab-Rank",
		FieldRefusal:        "Baobab-Refusal",
		FieldRequestLimit:   "Baobab-Request-Limit",
		FieldRetried:        "Baobab-Retried",
		FieldTimeout:        "Baobab-Timeout-Ms",
	})
	n.prefix = "baobab-"
	return n
}

// Name returns the name of a field, or an empty string.
func (n HeaderNames) Name(field HeaderField) string { return n.names[field] }

// IsInternal reports whether only the mesh may set the named field, so that neither callers nor upstreams can forge it.
// An underscore in the name counts as a hyphen, because many upstreams treat the two alike.
func (n HeaderNames) IsInternal(name string) bool {
	hyphens := strings.ReplaceAll(name, "_", "-")
	if n.prefix != "" && strings.HasPrefix(strings.ToLower(hyphens), n.prefix) {
		return true
	}
	if len(n.internal) == 0 {
		return false
	}
	return slices.Contains(n.internal, textproto.CanonicalMIMEHeaderKey(hyphens))
}
