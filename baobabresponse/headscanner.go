package baobabresponse

import (
	"net/http"
	"strconv"
	"strings"
)

// MaxStatus is the highest status of a response (RFC 9110, section 15).
const MaxStatus = 599

const (
	// maxStatusLinePrefix is how much of a status line is kept, which includes the status.
	maxStatusLinePrefix = 64
	// maxFieldNamePrefix is how much of a field name is kept, which is more than the names that matter here have.
	maxFieldNamePrefix = 32
)

// headState is what the next byte of a head belongs to.
type headState int

const (
	beyondHead headState = iota // Bytes are not examined.
	inStatusLine
	atLineStart
	inName
	inValue
	inFold // In a folded line, of which only blanks and token characters have come.
)

// A headScanner checks the heads of the responses to one request, byte by byte: those of interim responses, and that of
// the final one. It rejects what RFC 9112 does not allow and http.Transport accepts, and a few things that this one rejects
// itself. It keeps no more than the beginnings of lines. The zero value examines nothing.
type headScanner struct {
	state          headState
	carriageReturn bool   // The last byte was a carriage return.
	line           []byte // Beginning of the status line.
	name           []byte // Beginning of the current field name, in lower case.
	nameBytes      int
	first          bool // No field has come.
	minorVersion   byte
	status         int
	encoded        bool // Transfer-Encoding has come.
	length         bool // Content-Length has come.
	content        bool // Content-Length is not zero.
}

// begin expects the head of a response.
func (s *headScanner) begin() {
	*s = headScanner{state: inStatusLine, line: s.line[:0], name: s.name[:0], first: true}
}

// scan examines the next bytes of the connection, and returns an error if they cannot belong to a response.
func (s *headScanner) scan(b []byte) error {
	for _, c := range b {
		if s.state == beyondHead {
			return nil
		}
		if err := s.next(c); err != nil {
			return err
		}
	}
	return nil
}

func (s *headScanner) next(c byte) *Error {
	if c == '\n' {
		s.carriageReturn = false
		return s.endLine()
	}
	if s.carriageReturn {
		return malformed("a carriage return within a line")
	}
	if c == '\r' {
		s.carriageReturn = true
		return nil
	}
	switch s.state {
	case inStatusLine:
		if len(s.line) < maxStatusLinePrefix {
			s.line = append(s.line, c)
		}
		return s.checkText(c, "status line")
	case atLineStart:
		return s.startLine(c)
	case inName:
		return s.nextOfName(c)
	case inFold:
		return s.nextOfFold(c)
	default:
		return s.nextOfValue(c)
	}
}

func (s *headScanner) startLine(c byte) *Error {
	s.name, s.nameBytes = s.name[:0], 0
	if !isBlank(c) {
		s.state = inName
		return s.nextOfName(c)
	}
	if s.first {
		return malformed("a blank before the first field")
	}
	s.state = inFold
	return nil
}

func (s *headScanner) nextOfName(c byte) *Error {
	if c == ':' {
		if s.nameBytes == 0 {
			return malformed("a field without a name")
		}
		s.first = false
		s.state = inValue
		switch string(s.name) {
		case "transfer-encoding":
			s.encoded = true
		case "content-length":
			s.length = true
		}
		return nil
	}
	if !isToken(c) {
		return malformed("the name of a field has the byte %q", c)
	}
	s.keepName(c)
	return nil
}

func (s *headScanner) keepName(c byte) {
	s.nameBytes++
	if len(s.name) >= maxFieldNamePrefix {
		return
	}
	if 'A' <= c && c <= 'Z' {
		c += 'a' - 'A'
	}
	s.name = append(s.name, c)
}

// nextOfFold examines a byte of a folded line. One that reads like a field is rejected, because others may take it for a
// field.
func (s *headScanner) nextOfFold(c byte) *Error {
	switch {
	case isBlank(c) && s.nameBytes == 0:
		return nil
	case c == ':' && s.nameBytes > 0:
		return malformed("a blank before the name of a field")
	case isToken(c):
		s.nameBytes++
		return nil
	default:
		s.state = inValue
		return s.checkText(c, "folded line")
	}
}

func (s *headScanner) nextOfValue(c byte) *Error {
	if string(s.name) == "content-length" && c != '0' && !isBlank(c) {
		s.content = true
	}
	return s.checkText(c, "value of a field")
}

// checkText returns an error if c is a control character, other than a tab.
func (s *headScanner) checkText(c byte, where string) *Error {
	if !isText(c) {
		return malformed("the %s has the byte %q", where, c)
	}
	return nil
}

func (s *headScanner) endLine() *Error {
	switch s.state {
	case inStatusLine:
		s.state = atLineStart
		return s.parseStatusLine()
	case inName:
		return malformed("a line without a colon")
	case atLineStart:
		return s.endHead()
	case inFold:
		if s.nameBytes == 0 {
			return malformed("a line of blanks") // Others may take it for the end of the head.
		}
	}
	s.state = atLineStart
	return nil
}

// parseStatusLine reads the version and the status. As in http.Transport, several spaces may stand between them.
func (s *headScanner) parseStatusLine() *Error {
	version, rest, _ := strings.Cut(string(s.line), " ")
	if len(version) != len("HTTP/1.1") || version[:7] != "HTTP/1." || version[7] < '0' || version[7] > '9' {
		return malformed("the version is %.16q", version)
	}
	s.minorVersion = version[7] - '0'
	text, _, _ := strings.Cut(strings.TrimLeft(rest, " "), " ")
	status, err := strconv.ParseUint(text, 10, 16)
	if err != nil || len(text) != 3 || status < http.StatusContinue || status > MaxStatus {
		return malformed("the status is %.16q", text)
	}
	s.status = int(status)
	return nil
}

// endHead checks how the body is delimited, and expects another head after an interim response.
func (s *headScanner) endHead() *Error {
	interim := s.status < http.StatusOK && s.status != http.StatusSwitchingProtocols
	switch {
	case s.encoded && s.length:
		return malformed("both a length and a transfer encoding")
	case s.encoded && s.minorVersion == 0:
		return malformed("a transfer encoding in HTTP/1.0")
	case (interim || s.status == http.StatusNoContent) && (s.encoded || s.content):
		return malformed("content with status %d", s.status)
	}
	if interim {
		s.begin()
		return nil
	}
	s.state = beyondHead
	return nil
}

// ValidFieldName reports whether name can be the name of a field.
func ValidFieldName(name string) bool {
	for i := range len(name) {
		if !isToken(name[i]) {
			return false
		}
	}
	return name != ""
}

// ValidFieldValues reports whether each value can be that of a field.
func ValidFieldValues(values []string) bool {
	for _, v := range values {
		for i := range len(v) {
			if !isText(v[i]) {
				return false
			}
		}
	}
	return true
}

// isText reports whether c may occur in the value of a field.
func isText(c byte) bool { return c >= ' ' && c != 0x7f || c == '\t' }

// isToken reports whether c may occur in a token (RFC 9110, section 5.6.2).
func isToken(c byte) bool {
	return 'a' <= c && c <= 'z' || 'A' <= c && c <= 'Z' || '0' <= c && c <= '9' ||
		strings.IndexByte("!#$%&'*+-.^_`|~", c) >= 0
}

func isBlank(c byte) bool { return c == ' ' || c == '\t' }
