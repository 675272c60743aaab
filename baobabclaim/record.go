package baobabclaim

import "net/http"

// maxRecordedBody is the size in bytes up to which the body of an answer is recorded.
const maxRecordedBody = 16 << 10

// maxRecordedHeader is the size in bytes up to which header fields are recorded, so that rows stay small.
const maxRecordedHeader = 4 << 10

// unrecordedFields are the header fields that concern one connection or one sending of the answer, those that only
// the mesh sets, and credentials, which must not be stored.
func unrecordedFields() []string {
	return []string{
		"Authentication-Info", "Baobab-Call-Id", "Baobab-Not-Started", "Baobab-Outcome", "Baobab-Refusal", "Connection",
		"Content-Length", "Date", "Keep-Alive", "Proxy-Authenticate", "Proxy-Connection", "Set-Cookie", "Trailer",
		"Transfer-Encoding", "Upgrade", "Www-Authenticate",
	}
}

// A Record is the answer that a repeated key gets.
type Record struct {
	status   int
	header   http.Header // Without unrecordedFields; nil when not complete.
	body     []byte      // Nil when not complete.
	complete bool        // False when only the status was recorded.
}

// NewRecord returns the record of an answer. Of an answer that is too large only the status is recorded.
func NewRecord(status int, header http.Header, body []byte) Record {
	selected := header.Clone()
	for _, name := range unrecordedFields() {
		selected.Del(name)
	}
	size := 0
	for name, values := range selected {
		for _, v := range values {
			size += len(name) + len(v)
		}
	}
	if len(body) > maxRecordedBody || size > maxRecordedHeader {
		return NewStatusRecord(status)
	}
	return Record{status: status, header: selected, body: body, complete: true}
}

// NewStatusRecord returns a record of the status alone.
func NewStatusRecord(status int) Record {
	return Record{status: status}
}

// Status returns the HTTP status code.
func (r Record) Status() int { return r.status }

// Header returns the recorded header fields; it must not be changed.
func (r Record) Header() http.Header { return r.header }

// Body returns the recorded body; it must not be changed.
func (r Record) Body() []byte { return r.body }

// Complete reports whether header and body were recorded.
func (r Record) Complete() bool { return r.complete }
