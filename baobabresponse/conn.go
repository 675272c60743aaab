package baobabresponse

import (
	"errors"
	"io"
	"net"
	"os"
	"sync"
	"syscall"
)

// A Conn is the connection of a client. It reports a malformed head of a response, and a reset by the peer, as an error of
// Read, however the reset was noticed. Its user reads and writes at the same time, as http.Transport does.
type Conn struct {
	net.Conn
	raw      syscall.RawConn // Nil if the connection is not a socket.
	readsEnd chan struct{}   // Closed when a read has failed or the connection is closed.
	endOnce  sync.Once

	// writeMu is held during each system call that writes, so that a read which ends because a write has got the error of the
	// connection finds that error.
	writeMu  sync.Mutex
	writeErr error // The first one.

	// readMu guards what a read finds. Reading goes on in one goroutine, while another one begins the next response.
	readMu  sync.Mutex
	expects bool // A response has been expected, so somebody reads while a request is written.
	head    headScanner
	readErr error // The first error, which all further reads return: some readers pass over an error in the middle of a head.
}

// NewConn returns c with strict reads.
func NewConn(c net.Conn) *Conn {
	s := &Conn{Conn: c, readsEnd: make(chan struct{})}
	if socket, ok := c.(syscall.Conn); ok {
		s.raw, _ = socket.SyscallConn()
	}
	return s
}

// ExpectResponse makes the next byte that is read the first one of a response. It is called before a request is written.
func (c *Conn) ExpectResponse() {
	c.readMu.Lock()
	defer c.readMu.Unlock()
	c.expects = true
	c.head.begin()
}

// Read implements net.Conn. Its errors include *Error values. Every error is final.
func (c *Conn) Read(b []byte) (int, error) {
	n, err := c.Conn.Read(b)
	if err == io.EOF {
		err = c.endOfStream()
	}
	c.readMu.Lock()
	defer c.readMu.Unlock()
	if c.readErr != nil {
		return 0, c.readErr
	}
	if headErr := c.head.scan(b[:n]); headErr != nil {
		n, err = 0, headErr
	}
	if err != nil {
		c.readErr = err
		c.endReads()
	}
	return n, err
}

// endOfStream returns io.EOF if the peer has closed the connection, and an error if the connection broke. The kernel reports
// a reset once, to a read or to a write; a read after that write gets the end of the stream. After the peer has closed the
// connection, a write fails with EPIPE.
func (c *Conn) endOfStream() error {
	c.writeMu.Lock()
	defer c.writeMu.Unlock()
	if c.writeErr == nil || errors.Is(c.writeErr, syscall.EPIPE) {
		return io.EOF
	}
	return &Error{operation: "read", kind: KindCutOff, err: c.writeErr}
}

// Write implements net.Conn. If the peer has closed or reset the connection, Write returns only when what came before that
// has been read, once a response is expected: the peer may have answered early, and http.Transport drops an answer after a failed write.
func (c *Conn) Write(b []byte) (int, error) {
	n, err := c.write(b)
	if c.expectsResponse() && (errors.Is(err, syscall.ECONNRESET) || errors.Is(err, syscall.EPIPE)) {
		<-c.readsEnd
	}
	return n, err
}

func (c *Conn) expectsResponse() bool {
	c.readMu.Lock()
	defer c.readMu.Unlock()
	return c.expects
}

func (c *Conn) write(b []byte) (int, error) {
	if c.raw == nil {
		n, err := c.Conn.Write(b)
		c.writeMu.Lock()
		defer c.writeMu.Unlock()
		c.recordWrite(err)
		return n, err
	}
	var written int
	var writeErr error
	err := c.raw.Write(func(fd uintptr) bool {
		for written < len(b) && writeErr == nil {
			n, err := c.writeOnce(int(fd), b[written:])
			switch {
			case n > 0:
				written += n
			case err == syscall.EAGAIN:
				return false
			case err == nil:
				writeErr = io.ErrUnexpectedEOF
			case err != syscall.EINTR:
				writeErr = os.NewSyscallError("write", err)
			}
		}
		return true
	})
	if err == nil {
		err = writeErr
	}
	if err != nil {
		err = &net.OpError{Op: "write", Net: "tcp", Source: c.LocalAddr(), Addr: c.RemoteAddr(), Err: err}
	}
	return written, err
}

// writeOnce makes one system call, which does not block.
func (c *Conn) writeOnce(fd int, b []byte) (int, error) {
	c.writeMu.Lock()
	defer c.writeMu.Unlock()
	n, err := syscall.Write(fd, b)
	if err != syscall.EAGAIN && err != syscall.EINTR {
		c.recordWrite(err)
	}
	return n, err
}

// recordWrite is called with writeMu held.
func (c *Conn) recordWrite(err error) {
	if c.writeErr == nil {
		c.writeErr = err
	}
}

// Close implements net.Conn.
func (c *Conn) Close() error {
	err := c.Conn.Close()
	c.endReads()
	return err
}

func (c *Conn) endReads() { c.endOnce.Do(func() { close(c.readsEnd) }) }
