package baobabclaim

import "net/http"

// maxRecordedBodyBytes is the size up to which the body of a response is recorded.
const maxRecordedBodyBytes = 16 << 10

// maxRecordedHeaderBytes is the size up to which header fields are recorded, so that rows stay small.
const maxRecordedHeaderBytes = 4 << 10

// unrecordedHeaderFields returns the header fields that apply to one connection or one transmission of the response,
// those that only the mesh sets, and credentials, which must not be stored.
func unrecordedHeaderFields() []string {
	return []string{
		"Authentication-Info", "Baobab-Call-Id", "Baobab-Not-Started", "Baobab-Outcome", "Baobab-Refusal", "Connection",
		"Content-Length", "Date", "Keep-Alive", "Proxy-Authenticate", "Proxy-Connection", "Set-Cookie", "Trailer",
		"Transfer-Encoding", "Upgrade", "Www-Authenticate",
	}
}

// A Record is the recorded response that is returned for a repeated key.
type Record struct {
	status   int
	header   http.Header // Without unrecordedHeaderFields; nil when not complete.
	body     []byte      // Nil when not complete.
	complete bool        // False when only the status was recorded.
}

// NewRecord returns the record of a response. Only the status is recorded when the body or the header is too large.
func NewRecord(status int, header http.Header, body []byte) Record {
	selected := header.Clone()
	for _, name := range unrecordedHeaderFields() {
		selected.Del(name)
	}
	size := 0
	for name, values := range selected {
		for _, v := range values {
			size += len(name) + len(v)
		}
	}
	if len(body) > maxRecordedBodyBytes || size > maxRecordedHeaderBytes {
		return NewStatusRecord(status)
	}
	return Record{status: status, header: selected, body: body, complete: true}
}

// NewStatusRecord returns a record of the status only.
func NewStatusRecord(status int) Record {
	return Record{status: status}
}

// Status returns the HTTP status code.
func (r Record) Status() int { return r.status }

// Header returns the recorded header fields, which must not be modified.
func (r Record) Header() http.Header { return r.header }

// Body returns the recorded body, which must not be modified.
func (r Record) Body() []byte { return r.body }

// Complete reports whether the header and the body were recorded.
func (r Record) Complete() bool { return r.complete }
