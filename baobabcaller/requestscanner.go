package baobabcaller

import (
	"bytes"
	"strconv"
	"strings"
)

// maxScannedLineBytes is the longest line of a head or of a chunked body that a requestScanner keeps.
const maxScannedLineBytes = 64 << 10

// scanState is the part of a request that a requestScanner expects next.
type scanState int

const (
	scanHead      scanState = iota
	scanBody                // remaining bytes of a body with a length.
	scanChunkSize           // A line with the size of a chunk.
	scanChunkData           // remaining bytes of a chunk and of the line end behind it.
	scanTrailer             // Lines behind the last chunk, to an empty one.
	scanComplete
	scanOpaque // The end of the request is not known.
)

// A requestScanner finds where the requests on a connection end. It accepts only what any two parsers of HTTP/1.1 read
// alike: lines that end with CR LF, at most one length, chunks without any doubt. Everything else is opaque, and so is
// what follows it on the connection. It does no I/O.
type requestScanner struct {
	state       scanState
	line        []byte // Start of a line that continues in the next bytes.
	requestLine bool   // The request line has been read.
	remaining   int64  // Of the body or of the chunk, in bytes.

	readOnly    bool // The method is GET or HEAD.
	version11   bool
	hosts       int  // Number of Host fields.
	lengths     int  // Number of Content-Length fields.
	chunked     bool // The body comes in chunks.
	connections bool // A field concerns the connection or asks for an answer before the body.
}

// scan takes the bytes of the current request from b and returns how many belong to it. The request is complete when
// complete returns true afterwards.
func (s *requestScanner) scan(b []byte) int {
	n := 0
	for n < len(b) && s.state != scanComplete {
		switch s.state {
		case scanOpaque:
			return len(b)
		case scanBody, scanChunkData:
			take := min(int64(len(b)-n), s.remaining)
			n += int(take)
			s.remaining -= take
			if s.remaining == 0 {
				s.endOfData()
			}
		default:
			n += s.scanLine(b[n:])
		}
	}
	return n
}

// started reports whether a byte of the request has been scanned.
func (s *requestScanner) started() bool {
	return s.requestLine || len(s.line) > 0 || s.state != scanHead
}

// complete reports whether the whole request has been scanned.
func (s *requestScanner) complete() bool { return s.state == scanComplete }

// opaque reports whether the end of the request cannot be known.
func (s *requestScanner) opaque() bool { return s.state == scanOpaque }

// ambiguous reports whether the request has both a length and chunks, so that two parsers may see different bodies.
func (s *requestScanner) ambiguous() bool { return s.chunked && s.lengths > 0 }

// simple reports whether a complete request has no body and says nothing about its connection, so that it can be handed
// on while others before it are unanswered.
func (s *requestScanner) simple() bool {
	return s.complete() && s.readOnly && s.version11 && s.hosts == 1 && s.lengths == 0 &&
		!s.chunked && !s.connections
}

func (s *requestScanner) endOfData() {
	if s.state == scanBody {
		s.state = scanComplete
		return
	}
	s.state = scanChunkSize
}

// scanLine takes the bytes up to and including the next line end.
func (s *requestScanner) scanLine(b []byte) int {
	i := bytes.IndexByte(b, '\n')
	if i < 0 {
		s.line = append(s.line, b...)
		if len(s.line) > maxScannedLineBytes {
			s.state, s.line = scanOpaque, nil
		}
		return len(b)
	}
	line := b[:i+1]
	if len(s.line) > 0 {
		s.line = append(s.line, line...)
		line = s.line
	}
	s.readLine(line)
	s.line = s.line[:0]
	return i + 1
}

func (s *requestScanner) readLine(line []byte) {
	text, ok := bytes.CutSuffix(line, []byte("\r\n"))
	if !ok || bytes.IndexByte(text, '\r') >= 0 || bytes.IndexByte(text, 0) >= 0 {
		s.state = scanOpaque
		return
	}
	switch s.state {
	case scanChunkSize:
		s.readChunkSize(text)
	case scanTrailer:
		if len(text) == 0 {
			s.state = scanComplete
		}
	default:
		s.readHeadLine(text)
	}
}

func (s *requestScanner) readHeadLine(text []byte) {
	switch {
	case !s.requestLine:
		s.readRequestLine(text)
	case len(text) == 0:
		s.endHead()
	default:
		s.readField(text)
	}
}

func (s *requestScanner) readRequestLine(text []byte) {
	s.requestLine = true
	method, rest, _ := bytes.Cut(text, []byte(" "))
	target, version, ok := bytes.Cut(rest, []byte(" "))
	if !ok || len(method) == 0 || len(target) == 0 || bytes.IndexByte(version, ' ') >= 0 {
		s.state = scanOpaque
		return
	}
	s.readOnly = string(method) == "GET" || string(method) == "HEAD"
	s.version11 = string(version) == "HTTP/1.1"
	if !s.version11 && string(version) != "HTTP/1.0" || target[0] != '/' {
		s.state = scanOpaque
	}
}

func (s *requestScanner) readField(text []byte) {
	i := bytes.IndexByte(text, ':')
	if i <= 0 || !isToken(text[:i]) {
		s.state = scanOpaque
		return
	}
	name, value := text[:i], bytes.Trim(text[i+1:], " \t")
	switch {
	case isField(name, "Host"):
		s.hosts++
	case isField(name, "Content-Length"):
		s.lengths++
		length, err := strconv.ParseUint(string(value), 10, 63)
		if err != nil || s.lengths > 1 {
			s.state = scanOpaque
			return
		}
		s.remaining = int64(length)
	case isField(name, "Transfer-Encoding"):
		if s.chunked || !isField(value, "chunked") {
			s.state = scanOpaque
			return
		}
		s.chunked = true
	case isField(name, "Connection"):
		s.connections = s.connections || !isField(value, "keep-alive")
	case isField(name, "Expect"), isField(name, "Upgrade"):
		s.connections = true
	}
}

// isField reports whether b is name, in any case.
func isField(b []byte, name string) bool {
	return len(b) == len(name) && strings.EqualFold(string(b), name)
}

func (s *requestScanner) endHead() {
	switch {
	case s.ambiguous(), s.chunked && !s.version11:
		s.state = scanOpaque
	case s.chunked:
		s.state = scanChunkSize
	case s.remaining > 0:
		s.state = scanBody
	default:
		s.state = scanComplete
	}
}

// readChunkSize reads the line before a chunk. A chunk with an extension makes the request opaque.
func (s *requestScanner) readChunkSize(text []byte) {
	const maxDigits = 15
	size, err := strconv.ParseUint(string(text), 16, 63)
	if err != nil || len(text) > maxDigits {
		s.state = scanOpaque
		return
	}
	if size == 0 {
		s.state = scanTrailer
		return
	}
	s.state, s.remaining = scanChunkData, int64(size)+int64(len("\r\n"))
}

// isToken reports whether b may be the name of a header field.
func isToken(b []byte) bool {
	for _, c := range b {
		letter := 'a' <= c|0x20 && c|0x20 <= 'z'
		if !letter && (c < '0' || c > '9') && !strings.ContainsRune("!#$%&'*+-.^_`|~", rune(c)) {
			return false
		}
	}
	return len(b) > 0
}
