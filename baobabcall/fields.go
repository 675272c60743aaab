package baobabcall

import (
	"net/textproto"
	"slices"
	"strings"
)

// A Field is what a header field between the mesh and its callers or upstreams says.
type Field int

// Fields of requests and answers.
const (
	FieldCallID         Field = iota // Id of the call.
	FieldCaller                      // Identity of the caller.
	FieldCallerService               // Service of the VM at which the call entered the mesh.
	FieldIdempotencyKey              // Key under which the caller may send the request again.
	FieldNotStarted                  // Set by an upstream that did not start the call.
	FieldOutcome                     // Whether the call ran.
	FieldRank                        // Rank that the caller asks for.
	FieldRefusal                     // Reason of a refusal.
	FieldRetried                     // An earlier hop retries the call.
	FieldTimeout                     // Milliseconds that the sender will wait.
	FieldUpstreamID                  // The only upstream that may run the call.
	fieldCount
)

// Fields are the names of header fields. A field without a name is neither read nor sent. Names are canonical.
type Fields struct {
	names    [fieldCount]string
	internal []string // Canonical names that only the mesh sets, sorted.
	prefix   string   // Fields whose name starts with it are internal too; small letters, may be empty.
}

// NewFields returns fields with names. The internal ones are set by the mesh only: they are removed from what callers
// and upstreams send.
func NewFields(names map[Field]string, internal ...Field) Fields {
	var f Fields
	for field, name := range names {
		f.names[field] = textproto.CanonicalMIMEHeaderKey(name)
	}
	for _, field := range internal {
		if name := f.names[field]; name != "" {
			f.internal = append(f.internal, name)
		}
	}
	slices.Sort(f.internal)
	return f
}

// DefaultFields returns the project's own fields.
func DefaultFields() Fields {
	f := NewFields(map[Field]string{
		FieldCallID:         "Baobab-Call-Id",
		FieldCaller:         "Baobab-Caller",
		FieldIdempotencyKey: "Idempotency-Key",
		FieldNotStarted:     "Baobab-Not-Started",
		FieldOutcome:        "Baobab-Outcome",
		FieldRank:           "Baobab-Rank",
		FieldRefusal:        "Baobab-Refusal",
		FieldRetried:        "Baobab-Retried",
		FieldTimeout:        "Baobab-Timeout-Ms",
	})
	f.prefix = "baobab-"
	return f
}

// Name returns the name of a field, or an empty text.
func (f Fields) Name(field Field) string { return f.names[field] }

// Internal reports whether only the mesh sets a field, so that neither callers nor upstreams can forge it. Many
// upstreams take an underscore for a hyphen.
func (f Fields) Internal(name string) bool {
	hyphens := strings.ReplaceAll(name, "_", "-")
	if f.prefix != "" && strings.HasPrefix(strings.ToLower(hyphens), f.prefix) {
		return true
	}
	if len(f.internal) == 0 {
		return false
	}
	return slices.Contains(f.internal, textproto.CanonicalMIMEHeaderKey(hyphens))
}
